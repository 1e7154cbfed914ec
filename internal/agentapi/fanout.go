package agentapi

import (
	"context"

	"golang.org/x/sync/errgroup"

	"milletbarrow/internal/limits"
)

// FanOut calls do for each key, with at most b.FanOut calls at a time. It returns the values and the errors in the
// order of the keys.
func FanOut[K, V any](
	ctx context.Context, b limits.Control, keys []K, do func(context.Context, K) (V, error),
) ([]V, []error) {
	values := make([]V, len(keys))
	errs := make([]error, len(keys))
	var group errgroup.Group
	group.SetLimit(b.FanOut)
	for i, key := range keys {
		group.Go(func() error {
			values[i], errs[i] = do(ctx, key)
			return nil
		})
	}
	_ = group.Wait() // always nil: the errors of do are in errs
	return values, errs
}
