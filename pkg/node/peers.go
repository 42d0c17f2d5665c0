package node

import (
	"context"
	"errors"

	"github.com/hopwell/hopwell/pkg/claim"
	"github.com/hopwell/hopwell/pkg/gossip"
	"github.com/hopwell/hopwell/pkg/wire/wirepb"
)

// peers implements gossip.Peers with calls to other processes.
type peers struct{ n *Node }

// Addresses implements gossip.Peers.
func (p peers) Addresses() []string {
	var out []string
	for _, in := range p.n.Members.Members() {
		if in.Name != p.n.Self.Name {
			out = append(out, in.Inner)
		}
	}
	return out
}

// Exchange implements gossip.Peers.
func (p peers) Exchange(ctx context.Context, address string, mine gossip.Digest, document []byte) (gossip.Digest, []byte, error) {
	client := wirepb.NewDRPCPeerClient(p.n.Pool.Conn(address))
	reply, err := client.Exchange(ctx, &wirepb.Digest{
		Process: p.n.Self.Name, Revision: mine.Revision, Hash: mine.Hash,
		Document: document, Clock: p.n.Log.Clock.Next(),
	})
	if err != nil {
		return gossip.Digest{}, nil, err
	}
	p.n.Log.Clock.Meet(reply.Clock)
	return gossip.Digest{Revision: reply.Revision, Hash: reply.Hash}, reply.Document, nil
}

// PeerServer serves the calls of other processes.
type PeerServer struct{ N *Node }

// Exchange implements wirepb.DRPCPeerServer.
func (p PeerServer) Exchange(_ context.Context, d *wirepb.Digest) (*wirepb.Digest, error) {
	p.N.Log.Clock.Meet(d.Clock)
	mine, document := p.N.Agent.Answer(gossip.Digest{Revision: d.Revision, Hash: d.Hash}, d.Document)
	return &wirepb.Digest{
		Process: p.N.Self.Name, Revision: mine.Revision, Hash: mine.Hash,
		Document: document, Clock: p.N.Log.Clock.Next(),
	}, nil
}

// Claim implements wirepb.DRPCPeerServer. This process commits or releases claims
// on behalf of others, so that many claims share one write to the
// key-value service.
func (p PeerServer) Claim(ctx context.Context, r *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	if len(r.Key) != len(claim.Key{}) {
		return &wirepb.ClaimReply{Error: "bad key length"}, nil
	}
	if r.Release {
		if err := p.N.Claims.Release(ctx, claim.Key(r.Key), r.RequestId); err != nil {
			return &wirepb.ClaimReply{Error: err.Error()}, nil
		}
		return &wirepb.ClaimReply{}, nil
	}
	holder, err := p.N.Claims.Claim(ctx, claim.Key(r.Key), r.RequestId)
	var unsettled *claim.ErrUnsettled
	if errors.As(err, &unsettled) {
		return &wirepb.ClaimReply{Error: err.Error()}, nil
	}
	return &wirepb.ClaimReply{Holder: holder}, err
}
