package process

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
	"github.com/hopwell/hopwell/pkg/ingress"
	"github.com/hopwell/hopwell/pkg/store"
)

// BenchmarkFullRead applies full reads of 730 runners.
func BenchmarkFullRead(b *testing.B) {
	log := decisionlog.New("test", io.Discard)
	defer log.Close(time.Second)
	f := &fixture{feed: newFeed(ingress.New(ingress.Options{Log: log}), log, nil, "", pace)}
	f.onOrderLock, f.onGateway = func(bool) {}, func(string, string) {}
	f.exchange, f.onRunnerRestart, f.onRestore = f, func(string) {}, func() {}
	var items []store.Item
	for n := range 730 {
		items = append(items, entry(fmt.Sprintf("i-%03d", n), "decode", store.Revision(n+1)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := f.reset(items, 900); err != nil {
			b.Fatal(err)
		}
	}
}
