package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hopwell/hopwell/pkg/claim"
	"github.com/hopwell/hopwell/pkg/fleet"
	"github.com/hopwell/hopwell/pkg/platform"
	"github.com/hopwell/hopwell/pkg/trace"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

const (
	// claimTime bounds a claim.
	claimTime = 3 * time.Second
	// ownerTime bounds the wait for the gateway that commits a shard's claims.
	ownerTime = 1200 * time.Millisecond
	// unclaimTime is how long a key that was not used is tried to be given back.
	unclaimTime = 5 * time.Minute
)

// keyClaim is a request's hold on its caller's key.
type keyClaim struct {
	g                  *Gateway
	workspace, key, id string
	made               bool
}

// newKeyClaim returns nil for a request that may be repeated or has no key.
func (g *Gateway) newKeyClaim(workspace, key, id string, repeatable bool) *keyClaim {
	if key == "" || repeatable {
		return nil
	}
	return &keyClaim{g: g, workspace: workspace, key: key, id: id}
}

// take claims the key before the first order that may run the request.
func (c *keyClaim) take(ctx context.Context) error {
	if c == nil || c.made {
		return nil
	}
	if err := c.claim(ctx); err != nil {
		return err
	}
	c.made = true
	return nil
}

// giveBack returns a claimed key whose request certainly did not run.
func (c *keyClaim) giveBack() {
	if c != nil && c.made {
		c.release()
	}
}

// claim makes the key the request's own, or fails with *claim.ErrHeld when
// another request has it and *ErrShed when that can't be told now. After the
// latter the key is given back in case the claim was made.
func (c *keyClaim) claim(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	k := claim.NewKey(c.workspace, c.key)
	holder, err := c.g.claimer(k).Claim(ctx, k, c.id)
	if err != nil {
		c.g.log.Info("claim not settled", "request", c.id, "err", err)
		c.release()
		return &ErrShed{Reason: "claim", RetryAfter: time.Second}
	}
	if holder != c.id {
		return &claim.ErrHeld{Holder: holder}
	}
	c.g.Log.Add(trace.Event{Type: trace.Claimed, Request: c.id})
	return nil
}

// release gives the key back in the background.
func (c *keyClaim) release() {
	k := claim.NewKey(c.workspace, c.key)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), unclaimTime)
		defer cancel()
		if err := c.g.Claims.Release(ctx, k, c.id); err != nil {
			c.g.log.Warn("key not given back", err, "request", c.id)
		}
	}()
}

// claimer returns who commits the key's claim: the gateway that the key's shard
// belongs to, so that the claims of many gateways share one write. Which one
// that is need not be agreed on, since each commit is a compare-and-swap.
func (g *Gateway) claimer(k claim.Key) claim.Claimer {
	owner := g.owner(k.Shard())
	if owner == nil || owner.Name == g.Self.Name {
		return g.Claims
	}
	return &remoteClaimer{g: g, owner: owner}
}

// owner picks a shard's gateway by rendezvous hashing.
func (g *Gateway) owner(shard int) *fleet.Member {
	var best *fleet.Member
	var top uint64
	for _, m := range g.View().Members {
		if m.Role != platform.RoleGateway || m.Leaving {
			continue
		}
		if h := xxhash.Sum64String(m.Name + string(rune('0'+shard))); best == nil || h > top {
			best, top = m, h
		}
	}
	return best
}

// remoteClaimer claims through another gateway, and by itself where that one
// does not answer: a claim that both make is one claim, being the same
// request's.
type remoteClaimer struct {
	g     *Gateway
	owner *fleet.Member
}

// Claim implements claim.Claimer.
func (c *remoteClaimer) Claim(ctx context.Context, k claim.Key, id string) (string, error) {
	call, cancel := context.WithTimeout(ctx, ownerTime)
	defer cancel()
	client := wirepb.NewDRPCPeerClient(c.g.Pool.Conn(c.owner.Inner))
	r, err := client.Claim(call, &wirepb.ClaimRequest{Process: c.g.Self.Name, Key: k[:], RequestId: id})
	if err == nil && r.Error == "" {
		return r.Holder, nil
	}
	return c.g.Claims.Claim(ctx, k, id)
}

// Release implements claim.Claimer.
func (c *remoteClaimer) Release(ctx context.Context, k claim.Key, id string) error {
	return c.g.Claims.Release(ctx, k, id)
}
