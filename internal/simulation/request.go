package simulation

import (
	"fmt"

	"milletbarrow/monotime"
)

// request is one request of a caller. It may take several attempts and, if the caller sends it again, several entries
// in world.requests.
type request struct {
	number          uint64 // number in the day, from 1; kept when the caller sends the request again
	node            int32
	operation       int16
	tenant          int16
	attempts        int32
	clientRetries   uint8
	finished        bool
	clientWillRetry bool // its caller sends it again later
	mayHaveRun      bool // an attempt without an answer may have run
	retryForbidden  bool
	openAttempts    [2]int32 // indexes of unanswered attempts, or none
	liveAttempts    int32    // attempts that refer to it, including runs whose caller has left
	generation      uint32
	arrivedAt, due  monotime.Micros
	work            float64 // core time, microseconds
	hint            monotime.Micros
	lastSlot        int32 // slot of the latest attempt
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
	incarnation              uint32 // of the host, at its arrival
	generation               uint32
	phase                    phase
	answers                  uint8
	outcome                  Outcome
	callerGone               bool // its host was notified that the caller left
	retry                    bool
	callSkipped              bool
	shed                     bool // graceful degradation sheds it
	finishing                bool // its end is being reported to the policy
	called                   bool
	quotaDrawn               bool // a unit of its tenant's quota was drawn for it
	atHost, atNode           bool // whether the host and the node refer to it
	prev, next               int32
	reachedAt, readAt, dueAt monotime.Micros
	callNumber               uint32
	retryAfter               monotime.Micros
	dontRetry                bool
	waiters                  []int32 // attempts of repeated requests that wait for its result
}

// Outcome is the result of an attempt or a request, as the node sees it.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Throttled
	Errored
	Unreachable     // no connection: it did not run
	Reset           // the connection was closed: it may have run
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

// freeRequest releases the index of a request.
func (w *world) freeRequest(i int32) {
	w.active--
	w.requests[i].generation++
	w.freeRequests = append(w.freeRequests, i)
}

// newAttempt returns the index of a new attempt. Its id starts with the index; a unique id is never used again.
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
	if unique { // hosts cache results by id
		w.lastUniqueID++
		w.attempts[i].id = fmt.Sprintf("%d.%d", i, w.lastUniqueID)
	}
	return i
}

// freeAttempt releases the index of an attempt unless its host or node still refers to it.
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

// attemptByID returns the attempt with an id of a policy's action, or none.
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
