//go:build lockorder

package lockcheck_test

import (
	"io"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sasha-s/go-deadlock"

	"github.com/hopwell/hopwell/pkg/lockcheck"
	"github.com/hopwell/hopwell/pkg/peers"
	"github.com/hopwell/hopwell/pkg/runners"
)

// Guards against a check that passes since the locks of the product are not replaced.
func TestLocksOfPackagesAreReplaced(t *testing.T) {
	g := NewWithT(t)
	for _, holder := range []reflect.Type{reflect.TypeFor[peers.Exchange](), reflect.TypeFor[runners.Directory]()} {
		lock, found := holder.FieldByName("mu")
		g.Expect(found).To(BeTrue())
		g.Expect(lock.Type.PkgPath()).To(Equal(reflect.TypeFor[lockcheck.Mutex]().PkgPath()), "%s", holder)
	}
}

func TestReversalIsReported(t *testing.T) {
	g := NewWithT(t)
	report, out := deadlock.Opts.OnPotentialDeadlock, deadlock.Opts.LogBuf
	defer func() { deadlock.Opts.OnPotentialDeadlock, deadlock.Opts.LogBuf = report, out }()
	reports := 0
	deadlock.Opts.OnPotentialDeadlock, deadlock.Opts.LogBuf = func() { reports++ }, io.Discard
	var a lockcheck.Mutex
	var b lockcheck.RWMutex
	both := func(first, second interface {
		Lock()
		Unlock()
	}) {
		first.Lock()
		second.Lock()
		second.Unlock()
		first.Unlock()
	}
	both(&a, &b)
	both(&a, &b)
	g.Expect(reports).To(BeZero())
	both(&b, &a)
	g.Expect(reports).To(Equal(1), "the locks never met, but their order is reversed")
}
