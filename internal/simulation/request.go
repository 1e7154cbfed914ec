package simulation

import (
	"fmt"

	"milletbarrow/monotime"
)

// request is what one caller wants. It may take several attempts and, where the caller sends it again, several entries
// in world.requests.
type request struct {
	number         uint64 // in the day, from 1; the same when the caller sends it again
	node           int32
	operation      int16
	tenant         int16
	attempts       int32
	clientRetries  uint8
	finished       bool
	retriesLater   bool // its caller will send it again
	maybeRan       bool // an attempt may have run without an answer
	retryForbidden bool
	openAttempts   [2]int32 // unanswered attempts, or none
	liveAttempts   int32    // attempts that still refer to it, also runs that nobody waits for
	generation     uint32
	arrivedAt, due monotime.Micros
	work           float64 // core time, microseconds
	hint           monotime.Micros
	lastSlot       int32 // slot of the latest attempt
}

// phase is the progress of an attempt.
type phase uint8

const (
	phaseInTransit phase = iota
	phaseUnread
	phaseQueued
	phaseRunning
	phaseBeforeCall
	phaseCalling
	phaseAwaitingResult
	phaseEnded
)

// attempt is one attempt of a request at one host.
type attempt struct {
	id                       string
	request                  int32
	host                     int32
	slot                     int32
	incarnation              uint32 // of the host, when it arrived
	generation               uint32
	phase                    phase
	answers                  uint8
	outcome                  Outcome
	callerGone               bool // its host was notified that the caller has left
	retry                    bool
	callSkipped              bool
	shed                     bool // by graceful degradation
	finishing                bool // the policy is being told of its end
	called                   bool
	quotaDrawn               bool // a unit of its tenant's quota was drawn
	atHost, atNode           bool // who still refers to it
	prev, next               int32
	reachedAt, readAt, dueAt monotime.Micros
	callNumber               uint32
	retryAfter               monotime.Micros
	dontRetry                bool
	waiters                  []int32 // repeated requests that wait for its result
}

// Outcome is how an attempt or a request ended, as the node sees it.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Throttled
	Errored
	Unreachable     // no connection: nothing ran
	Reset           // the connection ended: it may have run
	TimedOut        // no answer within the client timeout
	ThrottledByNode // throttled by the node itself
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"succeeded", "throttled", "errored", "unreachable", "reset", "lost", "local"}

const none = int32(-1)

// newRequest returns the index of a new request.
func (w *world) newRequest() int32 {
	w.active++
	if n := len(w.freeRequests); n > 0 {
		i := w.freeRequests[n-1]
		w.freeRequests = w.freeRequests[:n-1]
		w.requests[i] = request{
			generation:   w.requests[i].generation,
			openAttempts: [2]int32{none, none},
			lastSlot:     none,
		}
		return i
	}
	w.requests = append(w.requests, request{openAttempts: [2]int32{none, none}, lastSlot: none})
	return int32(len(w.requests) - 1)
}

// freeRequest makes an index available again.
func (w *world) freeRequest(i int32) {
	w.active--
	w.requests[i].generation++
	w.freeRequests = append(w.freeRequests, i)
}

// newAttempt returns the index of a new attempt. Its id begins with the index; a unique one is never used again.
func (w *world) newAttempt(unique bool) int32 {
	w.active++
	var i int32
	if n := len(w.freeAttempts); n > 0 {
		i = w.freeAttempts[n-1]
		w.freeAttempts = w.freeAttempts[:n-1]
		att := &w.attempts[i]
		*att = attempt{id: att.id, generation: att.generation, waiters: att.waiters[:0]}
	} else {
		w.attempts = append(w.attempts, attempt{})
		i = int32(len(w.attempts) - 1)
		w.attempts[i].id = fmt.Sprintf("%d", i)
	}
	if unique { // a host that caches by id must not meet it again
		w.lastUniqueID++
		w.attempts[i].id = fmt.Sprintf("%d.%d", i, w.lastUniqueID)
	}
	return i
}

// freeAttempt makes an attempt's index available again once neither host nor node refers to it.
func (w *world) freeAttempt(i int32) {
	if att := &w.attempts[i]; !att.atHost && !att.atNode && att.phase != phaseEnded {
		att.phase = phaseEnded
		att.generation++
		w.active--
		w.freeAttempts = append(w.freeAttempts, i)
		w.requests[att.request].liveAttempts--
		w.releaseRequest(att.request)
	}
}

// attemptByID returns the attempt that a policy names, or none.
func (w *world) attemptByID(id string) int32 {
	n := 0
	for i := 0; i < len(id) && id[i] != '.'; i++ {
		if id[i] < '0' || id[i] > '9' {
			return none
		}
		n = n*10 + int(id[i]-'0')
	}
	if id == "" || n >= len(w.attempts) || w.attempts[n].id != id || w.attempts[n].phase == phaseEnded {
		return none
	}
	return int32(n)
}
