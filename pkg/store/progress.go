package store

import "context"

// Progress says that a part of the answer to a call came.
func Progress(ctx context.Context) {}
