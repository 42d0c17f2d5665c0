package process

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that relies on a call to the store that was sent before the request came, and against a call
// for each request.
func TestRefreshBeginsAfterTheRequestsThatShareIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime, interval = 10 * time.Millisecond, 5 * time.Millisecond
		g := NewWithT(t)
		var r refreshes
		var calls atomic.Int64
		began := time.Now()
		call := func() {
			calls.Add(1)
			time.Sleep(callTime)
		}
		first := r.join(call, interval)
		time.Sleep(callTime / 2)
		second, third := r.join(call, interval), r.join(call, interval)
		<-first
		g.Expect(time.Since(began)).To(Equal(callTime))
		<-second
		g.Expect(time.Since(began)).To(Equal(2*callTime+interval), "the second call begins an interval after the first")
		<-third
		g.Expect(calls.Load()).To(BeEquivalentTo(2))
		time.Sleep(time.Second)
		<-r.join(call, interval)
		g.Expect(calls.Load()).To(BeEquivalentTo(3))
		time.Sleep(time.Second)
	})
}
