package experiment

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"milletbarrow/internal/simulation"
)

// Progress is reported after each run.
type Progress struct {
	Done, Total int // runs
	Cached      int // of Done, found in the result directory
	Cell        *Cell
	Result      *simulation.Result
}

// Run plays all cells of an experiment on that many cores, stores each result as it comes, and skips those that the
// directory has. A call that was interrupted is continued by the same call. Results are in the order of the cells,
// whatever the number of cores. dir may be nil: nothing is stored. onProgress may be nil; it is called by one goroutine
// at a time.
func Run(ctx context.Context, x *Experiment, dir *ResultDir, cores int, onProgress func(Progress)) ([]*simulation.Result, error) {
	cells, err := x.Cells()
	if err != nil {
		return nil, err
	}
	results := make([]*simulation.Result, len(cells))
	callerContext := ctx
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, cores))
	var mu sync.Mutex
	state := Progress{Total: len(cells)}
	finished := func(i int, r *simulation.Result, cached bool) {
		mu.Lock()
		defer mu.Unlock()
		results[i] = r
		state.Done++
		if cached {
			state.Cached++
		}
		state.Cell, state.Result = &cells[i], r
		if onProgress != nil {
			onProgress(state)
		}
	}
	for i := range cells {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			c := &cells[i]
			if dir != nil {
				if r, ok := dir.Load(c.Key); ok {
					finished(i, r, true)
					return nil
				}
			}
			r, err := simulation.Play(&c.Scenario, c.Policy, c.Seed, nil)
			if err != nil {
				return err
			}
			if dir != nil {
				if err := dir.Write(c.Key, r); err != nil {
					return fmt.Errorf("result of %s: %w", c.Key, err)
				}
			}
			finished(i, r, false)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return results, callerContext.Err()
}

// Load reads the stored results of an experiment. A missing one is nil, and counted.
func Load(x *Experiment, dir string) (results []*simulation.Result, missing int, err error) {
	cells, err := x.Cells()
	if err != nil {
		return nil, 0, err
	}
	p := &ResultDir{Dir: dir}
	for _, c := range cells {
		r, ok := p.Load(c.Key)
		if !ok {
			missing++
		}
		results = append(results, r)
	}
	return results, missing, nil
}
