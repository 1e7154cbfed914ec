package simulation

import "milletbarrow/monotime"

// sharedWork is a set of jobs that share a resource evenly (processor sharing). All jobs progress at the same rate, so
// one total suffices: the progress that a job would have made since the start. Each job has the total at which it ends.
type sharedWork struct {
	progress     float64 // of a job present since the start, in microseconds of work
	rate         float64 // current progress per microsecond
	updatedAt    monotime.Micros
	jobs         []job // binary heap, the first to end on top
	running      int   // number of jobs that were not preempted
	completionAt monotime.Micros
	generation   uint32
}

// job is the work of an attempt until its next event.
type job struct {
	end        float64
	attempt    int32
	generation uint32 // of the attempt when the job was added; if it differs now, the job was preempted
	stage      uint8
}

// advance brings the progress up to now.
func (s *sharedWork) advance(now monotime.Micros) {
	s.progress += s.rate * float64(now-s.updatedAt)
	s.updatedAt = now
}

// push adds a job.
func (s *sharedWork) push(j job) {
	s.running++
	s.jobs = append(s.jobs, j)
	h, i := s.jobs, len(s.jobs)-1
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].end <= j.end {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = j
}

// pop removes and returns the job that ends first. There must be a job.
func (s *sharedWork) pop() job {
	h := s.jobs
	top, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	s.jobs = h
	i := 0
	for len(h) > 0 {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].end < h[child].end {
			child++
		}
		if last.end <= h[child].end {
			break
		}
		h[i] = h[child]
		i = child
	}
	if len(h) > 0 {
		h[i] = last
	}
	return top
}
