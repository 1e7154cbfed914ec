package coldstart

import (
	"fmt"

	"milletbarrow/monotime"
)

// requestWindow is the number of requests by other members after which a waiting member that has not repeated its own
// no longer delays them, as its agent may have failed.
const requestWindow uint64 = 64

// RequestStart decides whether a member may start now, and counts it as starting if so. Otherwise reason is what it
// waits for. Of the members that requested recently, those first in the order start first.
func (s *State) RequestStart(name MemberName) (ok bool, reason string) {
	position, isMember := s.position[name]
	switch {
	case !isMember:
		return false, fmt.Sprintf("%s is not a member of cold start %s", name, s.ID)
	case s.Ready[name]:
		return true, "" // it has exited since, and its agent restarts it
	case s.HaltReason != "":
		return false, "the cold start is halted: " + s.HaltReason
	}
	if _, starting := s.Starting[name]; starting {
		return true, ""
	}
	s.recordRequest(name)
	if s.Pause > 0 {
		return false, fmt.Sprintf("nothing starts for %d ms, so that what failed can get well: %s",
			s.Pause/monotime.Millisecond, s.Reason)
	}
	capacity := s.Limit() - int64(len(s.Starting))
	if capacity < 1 {
		return false, fmt.Sprintf("%d are starting, the limit is %d: %s", len(s.Starting), s.Limit(), s.Reason)
	}
	if ahead, first := s.waitingAhead(position); ahead >= capacity {
		return false, fmt.Sprintf("%s comes first, of %s", first, s.Members[s.position[first]].Group)
	}
	s.start(name)
	return true, ""
}

// recordRequest counts a member as waiting.
func (s *State) recordRequest(name MemberName) {
	s.Requests++
	s.LastRequest[name] = s.Requests
	delete(s.Failed, name)
}

// start counts a waiting member as starting.
func (s *State) start(name MemberName) {
	delete(s.LastRequest, name)
	s.Starts++
	s.Starting[name] = RunningStart{Number: s.Starts}
}

// waitingAhead returns the number of waiting members before a position, and the first of them. It removes members
// that have not requested within requestWindow.
func (s *State) waitingAhead(position int) (ahead int64, first MemberName) {
	firstPosition := position
	for name, request := range s.LastRequest {
		if s.Requests-request > requestWindow {
			delete(s.LastRequest, name)
			continue
		}
		other := s.position[name]
		if other >= position {
			continue
		}
		ahead++
		if other < firstPosition {
			firstPosition = other
			first = name
		}
	}
	return ahead, first
}
