package server

// StopAccepting sends GoAway on all connections, and closes the listener once the connections in its accept queue are
// accepted.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.all() {
		c.sendGoAway()
	}
	if err := s.listener.closeWhenEmpty(s.bounds.AcceptQueueTimeout); err != nil {
		s.violations.Warn("listener", err)
	}
}

// CloseAnswered closes each connection on which all input is answered, for writing.
func (s *Server) CloseAnswered() {
	for _, c := range s.all() {
		c.closeIfAnswered()
	}
}

// AllClosed reports whether no connection can answer any more input.
func (s *Server) AllClosed() bool {
	for _, c := range s.all() {
		if !c.ignoresInput() {
			return false
		}
	}
	return true
}

// AllAnswered reports whether all input has been read and answered, and the answers are written.
func (s *Server) AllAnswered() bool {
	for _, c := range s.all() {
		if !c.allAnswered() {
			return false
		}
	}
	return true
}

// Idle reports whether all input is answered and no invocation is in flight.
func (s *Server) Idle() bool { return s.AllAnswered() && s.inFlight.Load() == 0 }
