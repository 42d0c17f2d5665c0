package opclient

import (
	"context"

	"github.com/hopwell/hopwell/pkg/admin"
)

// Usage returns the usage of workspaces at all gateways that respond.
func (c *Client) Usage(ctx context.Context) ([]admin.Usage, error) {
	results, err := queryAll[[]admin.Usage](ctx, c, admin.PathUsage)
	if err != nil {
		return nil, err
	}
	out := []admin.Usage{}
	var last error
	responded := false
	for _, r := range results {
		if r.Err != nil {
			last = r.Err
			continue
		}
		responded = true
		out = append(out, r.Value...)
	}
	if !responded {
		return nil, &ErrNoProcess{Asked: len(results), Err: last}
	}
	return out, nil
}
