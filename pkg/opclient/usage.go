package opclient

import (
	"context"

	"github.com/hopwell/hopwell/pkg/admin"
)

// Usage returns the usage of workspaces at all gateways.
func (c *Client) Usage(ctx context.Context) ([]admin.Usage, error) {
	results, err := queryAll[[]admin.Usage](ctx, c, admin.PathUsage)
	if err != nil {
		return nil, err
	}
	out := []admin.Usage{}
	var last error
	responded := false
	for _, a := range results {
		if a.Err != nil {
			last = a.Err
			continue
		}
		responded = true
		out = append(out, a.Value...)
	}
	if !responded {
		return nil, &ErrNoProcess{Asked: len(results), Err: last}
	}
	return out, nil
}
