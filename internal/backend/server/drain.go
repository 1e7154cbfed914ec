package server

// StopAccepting sends GoAway on all connections, and closes the listener once all connections in its accept queue are
// accepted. It blocks until the listener is closed.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.openConnections() {
		c.sendGoAway()
	}
	if err := s.listener.closeWhenEmpty(s.bounds.AcceptQueueTimeout); err != nil {
		s.violations.Warn("listener", err)
	}
}

// CloseAnswered closes the write side of each connection on which all input has been answered.
func (s *Server) CloseAnswered() {
	for _, c := range s.openConnections() {
		c.closeIfAnswered()
	}
}

// AllClosed reports whether further input is ignored on all connections.
func (s *Server) AllClosed() bool {
	for _, c := range s.openConnections() {
		if !c.ignoresInput() {
			return false
		}
	}
	return true
}

// AllAnswered reports whether all input on all connections has been read and answered, and all answers are written.
func (s *Server) AllAnswered() bool {
	for _, c := range s.openConnections() {
		if !c.allAnswered() {
			return false
		}
	}
	return true
}

// Idle reports whether all input has been answered and no invocation is in flight.
func (s *Server) Idle() bool { return s.AllAnswered() && s.inFlight.Load() == 0 }
