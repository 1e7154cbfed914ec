package simulation

import (
	"fmt"
)

// request is what one caller wants: it may take several attempts, and, where the caller asks anew, several incarnations.
type request struct {
	number         uint64 // the same through all that the caller asks anew
	node           int32
	operation      int16
	tenant         int16
	attempts       int32
	clientRetries  uint8
	finished       bool
	retriesLater   bool // its caller will ask anew
	maybeRan       bool // an attempt may have run without a word of it
	retryForbidden bool
	openAttempts   [2]int32 // attempts without an answer; -1: none
	liveAttempts   int32    // attempts that still name it, running ones that nobody waits for included
	gen            uint32
	arrivedAt, due Micros
	work           float64 // core time
	hint           Micros
	lastSlot       int32 // slot of the latest attempt
}

// phase of an attempt.
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

// attempt is one try at one host.
type attempt struct {
	id                       string
	request                  int32
	host                     int32
	slot                     int32
	incarnation              uint32 // of the host, when it was sent
	gen                      uint32
	phase                    phase
	answers                  uint8
	outcome                  Outcome
	callerGone               bool // its host knows that the caller has left
	retry                    bool
	skipped                  bool
	shed                     bool // by a level
	finishing                bool // the policy hears that it is over
	called                   bool
	quotaDrawn               bool // a unit of its tenant's share
	atHost, atNode           bool // who still has to do with it
	prev, next               int32
	reachedAt, readAt, dueAt Micros
	callGen                  uint32
	retryIn                  Micros
	dontRetry                bool
	waiters                  []int32 // attempts that repeat this one and wait for its result
}

// Outcome is how an attempt or an ask ended, as the node sees it.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Throttled
	Errored
	Unreachable // nothing ran
	Reset       // nobody knows
	Lost        // no answer in the client's time
	Local       // the node throttled it by itself
	outcomes
)

var outcomeNames = [outcomes]string{"succeeded", "throttled", "errored", "unreachable", "reset", "lost", "local"}

const none = int32(-1)

func (w *world) newRequest() int32 {
	w.active++
	if n := len(w.freeRequests); n > 0 {
		i := w.freeRequests[n-1]
		w.freeRequests = w.freeRequests[:n-1]
		w.requests[i] = request{gen: w.requests[i].gen, openAttempts: [2]int32{none, none}, lastSlot: none}
		return i
	}
	w.requests = append(w.requests, request{openAttempts: [2]int32{none, none}, lastSlot: none})
	return int32(len(w.requests) - 1)
}

func (w *world) freeRequest(i int32) {
	w.active--
	w.requests[i].gen++
	w.freeRequests = append(w.freeRequests, i)
}

func (w *world) newAttempt(unique bool) int32 {
	w.active++
	var i int32
	if n := len(w.freeAttempts); n > 0 {
		i = w.freeAttempts[n-1]
		w.freeAttempts = w.freeAttempts[:n-1]
		att := &w.attempts[i]
		*att = attempt{id: att.id, gen: att.gen, waiters: att.waiters[:0]}
	} else {
		w.attempts = append(w.attempts, attempt{})
		i = int32(len(w.attempts) - 1)
		w.attempts[i].id = fmt.Sprintf("%d", i)
	}
	if unique { // what a host remembers must not be met again under another's name
		w.lastUniqueID++
		w.attempts[i].id = fmt.Sprintf("%d.%d", i, w.lastUniqueID)
	}
	return i
}

// freeAttempt lets go of an attempt with which nobody has to do any more.
func (w *world) freeAttempt(i int32) {
	if att := &w.attempts[i]; !att.atHost && !att.atNode && att.phase != phaseEnded {
		att.phase = phaseEnded
		att.gen++
		w.active--
		w.freeAttempts = append(w.freeAttempts, i)
		w.requests[att.request].liveAttempts--
		w.releaseRequest(att.request)
	}
}

// attemptByID finds the attempt that a policy names: its id begins with its place.
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
