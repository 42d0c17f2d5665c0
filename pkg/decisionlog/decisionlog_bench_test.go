package decisionlog

import (
	"io"
	"testing"
	"time"
)

// BenchmarkWrite measures the cost of writing one request_end line.
func BenchmarkWrite(b *testing.B) {
	l := New("front-zone-a-1", io.Discard)
	defer l.Close(time.Second)
	for b.Loop() {
		// Resets the line count of the window and prevents the window's end, so that the rate
		// limit drops no line.
		l.windowStart = time.Now().Add(time.Hour)
		l.counts[KindDone] = 0
		l.Write(KindDone, "request_end", F("request", "13fc8ec49aa82a74"), F("route", "r-yevzqfr"), F("service", "kaba98a"), F("version", uint64(2)),
			F("status", 200), F("outcome", "done"), F("took", 2141*time.Millisecond), F("sends", 1), F("returning", false), F("target", 900*time.Millisecond),
			F("prompt", 1792), F("guess", 891), F("expected", 985.939), F("decode", "i-6c1c20b3f1"), F("prefill", "i-b2f3452875"), F("first_event", 138*time.Millisecond))
	}
}
