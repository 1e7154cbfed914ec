package simulation

import (
	"fmt"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Audit checks the four rules of the balancer against the simulated events, never against what a policy reports:
//  1. each attempt gets exactly one final answer, in time, unless its caller has left;
//  2. no request takes effect twice;
//  3. a draining host runs nothing that arrived after the grace period, and answers everything before it exits;
//  4. no host crashes for lack of memory or under overload.
type Audit struct {
	Counts  [5]int   // number of breaches by rule, indexed 1 to 4
	First   []Breach // the first maxBreaches
	effects map[uint64]effect
}

// Breach is one violation of a rule. Results store its description.
type Breach struct {
	At          monotime.Micros `json:"at_us"`
	Rule        int             `json:"rule"`
	Host        int32           `json:"host"`
	Invocation  string          `json:"invocation,omitempty"`
	Description string          `json:"what"`
}

// String returns the breach as a line of a report.
func (b Breach) String() string {
	return fmt.Sprintf(
		"rule %d at %.3f s, host %d, invocation %s: %s",
		b.Rule,
		float64(b.At)/1e6,
		b.Host,
		b.Invocation,
		b.Description,
	)
}

// maxBreaches limits the breaches that a result describes; further ones are only counted.
const maxBreaches = 20

// effect is the host and incarnation on which a request last took effect.
type effect struct {
	host        int32
	incarnation uint32
}

// breach counts a violation and records it if it is one of the first maxBreaches. att may be nil.
func (a *Audit) breach(w *world, rule int, h *host, att *attempt, description string) {
	a.Counts[rule]++
	if len(a.First) < maxBreaches {
		b := Breach{At: w.now, Rule: rule, Host: h.number, Description: description}
		if att != nil {
			b.Invocation = fmt.Sprintf("%d (attempt %s)", w.requests[att.request].number, att.id)
		}
		a.First = append(a.First, b)
	}
}

// checkAnswer checks rule 1 when a host answers: the first answer is in time, and there is no second one.
func (a *Audit) checkAnswer(w *world, h *host, att *attempt) {
	switch {
	case att.answers > 0:
		a.breach(w, 1, h, att, "a second final answer")
	case !att.callerGone && w.now > att.dueAt+w.scenario.Hosts.AnswerSlack:
		a.breach(w, 1, h, att, fmt.Sprintf("the answer came %d us late", w.now-att.dueAt))
	}
}

// checkRemoval checks rule 1 when an attempt is removed from its host: it was answered, or its host was notified that
// the caller has left.
func (a *Audit) checkRemoval(w *world, h *host, att *attempt) {
	if att.answers == 0 && !att.callerGone {
		a.breach(w, 1, h, att, "it went out of hand without an answer")
	}
}

// checkOverdue checks rule 1 for the attempts in flight: none is unanswered past its deadline.
func (a *Audit) checkOverdue(w *world) {
	for i := range w.hosts {
		h := &w.hosts[i]
		for j := h.firstAttempt; h.up && j != none; j = w.attempts[j].next {
			if att := &w.attempts[j]; att.answers == 0 && !att.callerGone && att.phase != phaseUnread &&
				w.now > att.dueAt+w.scenario.Hosts.AnswerSlack &&
				att.dueAt > 0 {
				a.breach(w, 1, h, att, "its time is over and it has no answer")
				att.dueAt = 0 // report it only once
			}
		}
	}
}

// checkStart checks rule 3 when a run starts: the attempt did not arrive after the grace period.
func (a *Audit) checkStart(w *world, h *host, att *attempt) {
	if h.draining && att.reachedAt > h.noticedAt+w.scenario.Hosts.DrainGrace {
		a.breach(w, 3, h, att, fmt.Sprintf("it came %d us after the notice and is run", att.reachedAt-h.noticedAt))
	}
}

// checkEffect checks rule 2 at the end of a run: the request takes effect for the first time. A second effect of a
// request with an idempotency key is no breach on another host or in another incarnation, as after a crash the policy
// has lost the record of the first one.
func (a *Audit) checkEffect(w *world, h *host, att *attempt) {
	req := &w.requests[att.request]
	op := &w.scenario.Operations[req.operation]
	if op.RetrySafety == admission.Idempotent {
		return
	}
	if a.effects == nil {
		a.effects = map[uint64]effect{}
	}
	previous, found := a.effects[req.number]
	sameProcess := previous.host == h.number && previous.incarnation == h.incarnation
	if found && (op.RetrySafety == admission.NonIdempotent || sameProcess) {
		a.breach(w, 2, h, att, "a second effect")
	}
	a.effects[req.number] = effect{h.number, h.incarnation}
}
