package simulation

import "milletbarrow/monotime"

// sharedWork is work that shares a resource evenly. All jobs progress alike, so it is enough to know the progress of
// one that has been present since the start, and for each job the progress at which it ends.
type sharedWork struct {
	progress     float64 // of a job present since the start, in microseconds at full speed
	rate         float64 // progress per microsecond, at present
	updatedAt    monotime.Micros
	jobs         []job // heap, the first to end on top
	running      int   // jobs that were not preempted
	completionAt monotime.Micros
	generation   uint32
}

// job is one piece of work of an attempt.
type job struct {
	end        float64
	attempt    int32
	generation uint32 // of the attempt when it was added; another by now: preempted
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
		up := (i - 1) / 2
		if h[up].end <= j.end {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = j
}

// pop removes the job that ends first; there must be one.
func (s *sharedWork) pop() job {
	h := s.jobs
	top, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	s.jobs = h
	i := 0
	for len(h) > 0 {
		c := 2*i + 1
		if c >= len(h) {
			break
		}
		if c+1 < len(h) && h[c+1].end < h[c].end {
			c++
		}
		if last.end <= h[c].end {
			break
		}
		h[i] = h[c]
		i = c
	}
	if len(h) > 0 {
		h[i] = last
	}
	return top
}
