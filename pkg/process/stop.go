package process

import (
	"time"

	"github.com/hopwell/hopwell/pkg/decisionlog"
)

// Stop carries out the planned stop: the health page fails first, what comes
// meanwhile is served, and then only what runs.
func (p *Ingress) Stop() {
	p.stop.Do(func() {
		p.finish()
		p.Close()
		close(p.stopped)
	})
}

func (p *Ingress) finish() {
	began := time.Now()
	settings := p.settings.Load().Drain
	wait := settings.BalancerWait.D()
	p.log.Write(decisionlog.KindProcess, "stop", decisionlog.F("open", p.Ingress.Open()))
	longest := settings.Longest.D() - endMargin
	p.Ingress.StartDrain(wait, longest)
	end := began.Add(longest)
	// Requests on kept connections are refused for a while after the last one was taken.
	refusing := began.Add(wait)
	for now := began; now.Before(end); now = time.Now() {
		if p.Ingress.Streams() > 0 && now.After(refusing) {
			refusing = now
		}
		if now.Sub(refusing) > lingerAfterWait && p.Ingress.Open() == 0 {
			break
		}
		time.Sleep(drainLook)
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
	p.client.Forget("")
	p.log.Close(logClose)
}
