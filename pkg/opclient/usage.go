package opclient

import (
	"context"

	"github.com/hopwell/hopwell/pkg/admin"
)

// Usage asks all gateways what they spent for workspaces.
func (c *Client) Usage(ctx context.Context) ([]admin.Usage, error) {
	answers, err := askAll[[]admin.Usage](ctx, c, admin.PathUsage)
	if err != nil {
		return nil, err
	}
	out := []admin.Usage{}
	var last error
	heard := false
	for _, a := range answers {
		if a.Err != nil {
			last = a.Err
			continue
		}
		heard = true
		out = append(out, a.Value...)
	}
	if !heard {
		return nil, &ErrNoProcess{Asked: len(answers), Err: last}
	}
	return out, nil
}
