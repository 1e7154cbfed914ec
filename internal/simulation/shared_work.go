package simulation

// sharedWork is work that shares something evenly: each job gets the same, so all that is kept is how much one job has had
// since the start (given), and for each job at how much it ends.
type sharedWork struct {
	progress     float64 // microseconds of full speed that each job present since the start would have had
	rate         float64 // of it by microsecond, now
	updatedAt    Micros
	jobs         []job // heap by end
	running      int   // those not taken off
	completionAt Micros
	generation   uint32
}

type job struct {
	end        float64
	attempt    int32
	generation uint32 // of the attempt when it came; another one by now: taken off
	stage      uint8
}

func (s *sharedWork) advance(now Micros) {
	s.progress += s.rate * float64(now-s.updatedAt)
	s.updatedAt = now
}

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
