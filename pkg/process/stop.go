package process

import (
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
)

// Stop carries out the planned stop: first the health check fails while new requests are still served,
// then only running requests are finished.
func (p *Ingress) Stop() {
	p.stop.Do(func() {
		p.drain()
		p.Close()
		close(p.stopped)
	})
}

func (p *Ingress) drain() {
	began := time.Now()
	settings := p.settings.Load().Drain
	wait := settings.BalancerWait.D()
	p.log.Write(decisionlog.KindProcess, "stop", decisionlog.F("open", p.Ingress.Open()))
	longest := settings.Longest.D() - stopMargin
	p.Ingress.StartDrain(wait, longest)
	end := began.Add(longest)
	// Requests on kept-alive connections are refused for refusalTime after the last stream ended.
	refusedSince := began.Add(wait)
	for now := began; now.Before(end); now = time.Now() {
		if p.Ingress.Streams() > 0 && now.After(refusedSince) {
			refusedSince = now
		}
		if now.Sub(refusedSince) > refusalTime && p.Ingress.Open() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	p.log.Write(decisionlog.KindProcess, "stopped", decisionlog.F("open", p.Ingress.Open()), decisionlog.F("took", time.Since(began)))
}

// Stopped is closed when the planned stop is over.
func (p *Ingress) Stopped() <-chan struct{} { return p.stopped }

// Close ends the process at once.
func (p *Ingress) Close() {
	p.cancel()
	p.closePorts()
	p.done.Wait()
	p.client.CloseIdle("")
	p.log.Close(logCloseTimeout)
}
