package sidecar

import (
	"time"

	"github.com/hopwell/hopwell/pkg/admission"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// load reports what the sidecar knows of its runner now.
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
		KvUsed: uint64(bytes), KvTotal: uint64(s.ledger.Bytes), KvPerToken: uint64(s.kvToken),
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
	// loadEvery is the least time between two loads that ride on renewals of one
	// gateway, however many streams it has here.
	loadEvery = 500 * time.Millisecond
	// maxReported bounds the gateways that are remembered.
	maxReported = 4096
)

// renewalLoad returns the load for an answer to a renewal, nil when the gateway
// was told a moment ago.
func (s *Sidecar) renewalLoad(gateway string) *wirepb.Load {
	now := time.Now()
	s.mu.Lock()
	if now.Sub(s.reported[gateway]) < loadEvery {
		s.mu.Unlock()
		return nil
	}
	if len(s.reported) >= maxReported {
		clear(s.reported)
	}
	s.reported[gateway] = now
	s.mu.Unlock()
	return s.load()
}
