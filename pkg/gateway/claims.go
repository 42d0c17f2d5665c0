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
	// claimTimeout limits a claim.
	claimTimeout = 3 * time.Second
	// ownerTimeout limits the wait for the gateway that commits the claims of a shard.
	ownerTimeout = 1200 * time.Millisecond
	// releaseTimeout limits the retries to release the key of a request that did not run.
	releaseTimeout = 5 * time.Minute
)

// keyClaim is a request's claim on the idempotency key of its client.
type keyClaim struct {
	g                  *Gateway
	workspace, key, id string
	claimed            bool
}

// newKeyClaim returns nil if the request may be repeated or has no key.
func (g *Gateway) newKeyClaim(workspace, key, id string, repeatable bool) *keyClaim {
	if key == "" || repeatable {
		return nil
	}
	return &keyClaim{g: g, workspace: workspace, key: key, id: id}
}

// acquire claims the key before the first order that may run the request is sent.
func (c *keyClaim) acquire(ctx context.Context) error {
	if c == nil || c.claimed {
		return nil
	}
	if err := c.claim(ctx); err != nil {
		return err
	}
	c.claimed = true
	return nil
}

// releaseIfClaimed releases the key of a request that certainly did not run.
func (c *keyClaim) releaseIfClaimed() {
	if c != nil && c.claimed {
		c.releaseAsync()
	}
}

// claim claims the key for this request. It fails with *claim.ErrHeld if another request holds the
// key, and with *ErrShed if the holder can't be determined now. If claim fails with *ErrShed, it
// also releases the key, because the claim may have been committed.
func (c *keyClaim) claim(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	k := claim.NewKey(c.workspace, c.key)
	holder, err := c.g.claimer(k).Claim(ctx, k, c.id)
	if err != nil {
		c.g.log.Info("claim not settled", "request", c.id, "err", err)
		c.releaseAsync()
		return &ErrShed{Reason: "claim", RetryAfter: time.Second}
	}
	if holder != c.id {
		return &claim.ErrHeld{Holder: holder}
	}
	c.g.Log.Add(trace.Event{Type: trace.Claimed, Request: c.id})
	return nil
}

// releaseAsync releases the key in the background.
func (c *keyClaim) releaseAsync() {
	k := claim.NewKey(c.workspace, c.key)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := c.g.Claims.Release(ctx, k, c.id); err != nil {
			c.g.log.Warn("key not given back", err, "request", c.id)
		}
	}()
}

// claimer returns the Claimer that commits claims for the key: the gateway that owns the key's
// shard, so that claims from many gateways share one write. Gateways need not agree on the owner,
// because each commit is a compare-and-swap.
func (g *Gateway) claimer(k claim.Key) claim.Claimer {
	owner := g.owner(k.Shard())
	if owner == nil || owner.Name == g.Self.Name {
		return g.Claims
	}
	return &remoteClaimer{g: g, owner: owner}
}

// owner returns the gateway that owns a shard, chosen by rendezvous hashing.
func (g *Gateway) owner(shard int) *fleet.Member {
	var best *fleet.Member
	var bestHash uint64
	for _, m := range g.View().Members {
		if m.Role != platform.RoleGateway || m.Leaving {
			continue
		}
		if h := xxhash.Sum64String(m.Name + string(rune('0'+shard))); best == nil || h > bestHash {
			best, bestHash = m, h
		}
	}
	return best
}

// remoteClaimer claims keys through the owner gateway. It commits the claim itself if the owner
// does not respond. If both commit, the result is still one claim, because both are for the same
// request.
type remoteClaimer struct {
	g     *Gateway
	owner *fleet.Member
}

// Claim implements claim.Claimer.
func (c *remoteClaimer) Claim(ctx context.Context, k claim.Key, id string) (string, error) {
	call, cancel := context.WithTimeout(ctx, ownerTimeout)
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
