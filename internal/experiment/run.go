package experiment

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"milletbarrow/internal/simulation"
)

// Progress is the progress of a call of Run after one of its runs.
type Progress struct {
	Done   int                // runs with a result
	Total  int                // runs of the experiment
	Cached int                // of Done, found in the result directory
	Cell   *Cell              // the latest run
	Result *simulation.Result // of Cell
}

// Run executes all cells of an experiment on the given number of cores. It stores each result when its run ends and
// skips cells whose results are already stored, so that repeating an interrupted call resumes the experiment. Results
// are in the order of the cells for any number of cores. If dir is nil, nothing is stored. onProgress may be nil; calls
// of it do not overlap.
func Run(
	ctx context.Context, x *Experiment, dir *ResultDir, cores int, onProgress func(Progress),
) ([]*simulation.Result, error) {
	cells, err := x.Cells()
	if err != nil {
		return nil, err
	}
	r := &runner{
		dir:        dir,
		onProgress: onProgress,
		results:    make([]*simulation.Result, len(cells)),
		progress:   Progress{Total: len(cells)},
	}
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
			if err != nil {
				return err
			}
			r.finish(i, &cells[i], result, cached)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return r.results, ctx.Err()
}

// runner collects the results of one call of Run.
type runner struct {
	dir        *ResultDir     // nil: nothing is stored
	onProgress func(Progress) // nil: none

	mu       sync.Mutex           // guards the fields below, and calls of onProgress
	results  []*simulation.Result // in the order of the cells
	progress Progress
}

// result returns the stored result of a cell, or executes the cell and stores the result.
func (r *runner) result(cell *Cell) (result *simulation.Result, cached bool, err error) {
	if r.dir != nil {
		if result, ok := r.dir.Load(cell.Key); ok {
			return result, true, nil
		}
	}
	if result, err = simulation.Play(&cell.Scenario, cell.Policy, cell.Seed, nil); err != nil {
		return nil, false, err
	}
	if r.dir != nil {
		if err := r.dir.Write(cell.Key, result); err != nil {
			return nil, false, fmt.Errorf("result of %s: %w", cell.Key, err)
		}
	}
	return result, false, nil
}

// finish records the result of the i-th cell and reports the progress.
func (r *runner) finish(i int, cell *Cell, result *simulation.Result, cached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[i] = result
	r.progress.Done++
	if cached {
		r.progress.Cached++
	}
	r.progress.Cell = cell
	r.progress.Result = result
	if r.onProgress != nil {
		r.onProgress(r.progress)
	}
}
