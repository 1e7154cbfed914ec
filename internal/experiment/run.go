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
	r := &runner{dir: dir, results: make([]*simulation.Result, len(cells)), progress: Progress{Total: len(cells)}, onProgress: onProgress}
	group, groupContext := errgroup.WithContext(ctx)
	group.SetLimit(max(1, cores))
	for i := range cells {
		if groupContext.Err() != nil {
			break
		}
		group.Go(func() error {
			if err := groupContext.Err(); err != nil {
				return err
			}
			result, cached, err := r.result(&cells[i])
			if err == nil {
				r.finish(i, &cells[i], result, cached)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return r.results, ctx.Err()
}

// runner collects the results of one call of Run.
type runner struct {
	dir        *ResultDir // nil: nothing is stored
	onProgress func(Progress)

	mu       sync.Mutex
	results  []*simulation.Result // in the order of the cells
	progress Progress
}

// result returns the stored result of a cell, else plays and stores it.
func (r *runner) result(c *Cell) (result *simulation.Result, cached bool, err error) {
	if r.dir != nil {
		if result, ok := r.dir.Load(c.Key); ok {
			return result, true, nil
		}
	}
	if result, err = simulation.Play(&c.Scenario, c.Policy, c.Seed, nil); err != nil {
		return nil, false, err
	}
	if r.dir != nil {
		if err := r.dir.Write(c.Key, result); err != nil {
			return nil, false, fmt.Errorf("result of %s: %w", c.Key, err)
		}
	}
	return result, false, nil
}

// finish records the result of the i-th cell and reports the progress.
func (r *runner) finish(i int, c *Cell, result *simulation.Result, cached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[i] = result
	r.progress.Done++
	if cached {
		r.progress.Cached++
	}
	r.progress.Cell, r.progress.Result = c, result
	if r.onProgress != nil {
		r.onProgress(r.progress)
	}
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
