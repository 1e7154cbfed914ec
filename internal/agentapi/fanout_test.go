package agentapi

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestFanOutKeepsOrderAndLimitsConcurrency checks that results are in the order of the keys, and that the maximum
// number of concurrent calls is reached and not exceeded.
func TestFanOutKeepsOrderAndLimitsConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failingKey = 4
		b := testBounds()
		b.FanOut = 3
		var mu sync.Mutex // guards running and maxRunning
		running, maxRunning := 0, 0
		count := func(change int) {
			mu.Lock()
			defer mu.Unlock()
			running += change
			maxRunning = max(maxRunning, running)
		}
		keys := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
		values, errs := FanOut(t.Context(), b, keys, func(_ context.Context, key int) (int, error) {
			count(1)
			defer count(-1)
			time.Sleep(time.Millisecond) // fake clock: by then all calls that may run concurrently have started
			if key == failingKey {
				return 0, errors.New("call failed")
			}
			return 10 * key, nil
		})
		for i, key := range keys {
			failed := errs[i] != nil
			if failed != (key == failingKey) || !failed && values[i] != 10*key {
				t.Errorf("key %d: %d, %v", key, values[i], errs[i])
			}
		}
		if maxRunning != b.FanOut {
			t.Errorf("%d calls at a time, want %d", maxRunning, b.FanOut)
		}
	})
}
