package simulation

import (
	"fmt"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Audit checks the four rules of the balancer against what happened, never against what a policy reports.
type Audit struct {
	Counts  [5]int   // breaches by rule, indexed 1 to 4
	First   []Breach // the earliest, up to maxBreaches
	effects map[uint64]effect
}

// Breach is one violation of a rule.
type Breach struct {
	At          monotime.Micros `json:"at_us"`
	Rule        int             `json:"rule"`
	Host        int32           `json:"host"`
	Invocation  string          `json:"invocation,omitempty"`
	Description string          `json:"what"`
}

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

// maxBreaches is how many breaches a result describes; all are counted.
const maxBreaches = 20

// effect is where a request with an effect ran last.
type effect struct {
	host        int32
	incarnation uint32
}

// breach counts a violation and records the earliest ones. att may be nil.
func (d *Audit) breach(w *world, rule int, h *host, att *attempt, what string) {
	d.Counts[rule]++
	if len(d.First) < maxBreaches {
		b := Breach{At: w.now, Rule: rule, Host: h.number, Description: what}
		if att != nil {
			b.Invocation = fmt.Sprintf("%d (attempt %s)", w.requests[att.request].number, att.id)
		}
		d.First = append(d.First, b)
	}
}

// checkAnswer checks rule 1: the first answer is in time, and there is no second.
func (d *Audit) checkAnswer(w *world, h *host, att *attempt) {
	switch {
	case att.answers > 0:
		d.breach(w, 1, h, att, "a second final answer")
	case !att.callerGone && w.now > att.dueAt+w.scenario.Hosts.AnswerSlack:
		d.breach(w, 1, h, att, fmt.Sprintf("the answer came %d us late", w.now-att.dueAt))
	}
}

// checkLeave checks rule 1: an attempt leaves its host answered or with its caller known to be gone.
func (d *Audit) checkLeave(w *world, h *host, att *attempt) {
	if att.answers == 0 && !att.callerGone {
		d.breach(w, 1, h, att, "it went out of hand without an answer")
	}
}

// checkOverdue checks rule 1 for what is in flight: nothing is unanswered past its time.
func (d *Audit) checkOverdue(w *world) {
	for i := range w.hosts {
		h := &w.hosts[i]
		for j := h.firstAttempt; h.up && j != none; j = w.attempts[j].next {
			if att := &w.attempts[j]; att.answers == 0 && !att.callerGone && att.phase != phaseUnread &&
				w.now > att.dueAt+w.scenario.Hosts.AnswerSlack &&
				att.dueAt > 0 {
				d.breach(w, 1, h, att, "its time is over and it has no answer")
				att.dueAt = 0 // reported once
			}
		}
	}
}

// checkStart checks rule 3: nothing runs that arrived after the grace.
func (d *Audit) checkStart(w *world, h *host, att *attempt) {
	if h.draining && att.reachedAt > h.noticedAt+w.scenario.Hosts.DrainGrace {
		d.breach(w, 3, h, att, fmt.Sprintf("it came %d us after the notice and is run", att.reachedAt-h.noticedAt))
	}
}

// checkEffect checks rule 2 at the end of a run: no second effect. An effect that repeats on another host after a crash
// is not the policy's fault, as its knowledge is lost.
func (d *Audit) checkEffect(w *world, h *host, att *attempt) {
	req := &w.requests[att.request]
	op := &w.scenario.Operations[req.operation]
	if op.RetrySafety == admission.Idempotent {
		return
	}
	if d.effects == nil {
		d.effects = map[uint64]effect{}
	}
	was, had := d.effects[req.number]
	if had && (op.RetrySafety == admission.NonIdempotent || was.host == h.number && was.incarnation == h.incarnation) {
		d.breach(w, 2, h, att, "a second effect")
	}
	d.effects[req.number] = effect{h.number, h.incarnation}
}
