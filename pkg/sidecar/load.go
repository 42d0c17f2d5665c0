package sidecar

import (
	"time"

	"github.com/hopwell/hopwell/pkg/admission"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// load returns the present load of the runner as the sidecar records it.
func (s *Sidecar) load() *wirepb.Load {
	d, _ := s.Keeper.Digest()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	all, urgent := s.queue.Tokens(now, admission.UrgentWithin)
	running, reserved, bytes := s.ledger.Usage()
	base, slope := s.step.Model()
	l := &wirepb.Load{
		Instance: s.Self.Name, Epoch: s.Epoch, Revision: d.Revision, Leaving: s.leaving.Load(),
		Running: uint32(running), Reserved: uint32(reserved), BatchLimit: uint32(s.ledger.Batch),
		KvUsed: uint64(bytes), KvTotal: uint64(s.ledger.Bytes), KvPerToken: uint64(s.kvPerToken),
		QueuedTokens: uint64(all), UrgentTokens: uint64(urgent), PrefillRate: s.queue.Rate,
		StepBase: base.Seconds(), StepSlope: slope.Seconds(),
		Transfers: uint32(s.transfers), LinkRate: s.opt.LinkRate,
		Waiting: uint32(s.queue.Len()), SlotSeconds: s.ledger.SlotTime(now).Seconds(),
	}
	if s.opt.Service != nil {
		l.Running, l.BatchLimit = uint32(s.calls), uint32(s.opt.Slots)
	}
	return l
}

const (
	// loadInterval is the minimum time between two load messages to one gateway
	// in response to lease renewals, however many streams the gateway has here.
	loadInterval = 500 * time.Millisecond
	// maxLoadGateways bounds the gateways for which the time of the last load
	// is recorded.
	maxLoadGateways = 4096
)

// renewalLoad returns the load for the response to a renewal, nil when one was
// sent to the gateway within loadInterval.
func (s *Sidecar) renewalLoad(gateway string) *wirepb.Load {
	now := time.Now()
	s.mu.Lock()
	if now.Sub(s.reported[gateway]) < loadInterval {
		s.mu.Unlock()
		return nil
	}
	if len(s.reported) >= maxLoadGateways {
		clear(s.reported)
	}
	s.reported[gateway] = now
	s.mu.Unlock()
	return s.load()
}
