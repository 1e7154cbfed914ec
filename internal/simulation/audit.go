package simulation

import (
	"fmt"

	"milletbarrow/admission"
)

// Audit judges the four rules from what happened, never from what a policy says of itself.
type Audit struct {
	Counts  [5]int   // breaches by rule, 1 to 4
	First   []Breach // the earliest, mostBreaches at the most
	effects map[uint64]effect
}

// Breach is one broken rule.
type Breach struct {
	At          Micros `json:"at_us"`
	Rule        int    `json:"rule"`
	Host        int32  `json:"host"`
	Invocation  string `json:"invocation,omitempty"`
	Description string `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d at %.3f s, host %d, invocation %s: %s", b.Rule, float64(b.At)/1e6, b.Host, b.Invocation, b.Description)
}

const maxBreaches = 20

type effect struct {
	host        int32
	incarnation uint32
}

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

// checkAnswer: the first answer comes in time, and there is no second.
func (d *Audit) checkAnswer(w *world, h *host, att *attempt) {
	switch {
	case att.answers > 0:
		d.breach(w, 1, h, att, "a second final answer")
	case !att.callerGone && w.now > att.dueAt+w.scenario.Hosts.AnswerSlack:
		d.breach(w, 1, h, att, fmt.Sprintf("the answer came %d us late", w.now-att.dueAt))
	}
}

// checkLeave: an attempt goes out of its host's hand, answered or with its caller known gone.
func (d *Audit) checkLeave(w *world, h *host, att *attempt) {
	if att.answers == 0 && !att.callerGone {
		d.breach(w, 1, h, att, "it went out of hand without an answer")
	}
}

// checkOverdue looks at what is still in hand without an answer, past its time.
func (d *Audit) checkOverdue(w *world) {
	for i := range w.hosts {
		h := &w.hosts[i]
		for j := h.firstAttempt; h.up && j != none; j = w.attempts[j].next {
			if att := &w.attempts[j]; att.answers == 0 && !att.callerGone && att.phase != phaseUnread && w.now > att.dueAt+w.scenario.Hosts.AnswerSlack && att.dueAt > 0 {
				d.breach(w, 1, h, att, "its time is over and it has no answer")
				att.dueAt = 0 // told of once
			}
		}
	}
}

// checkStart: nothing runs that arrived after the grace.
func (d *Audit) checkStart(w *world, h *host, att *attempt) {
	if h.draining && att.reachedAt > h.noticedAt+w.scenario.Hosts.DrainGrace {
		d.breach(w, 3, h, att, fmt.Sprintf("it came %d us after the notice and is run", att.reachedAt-h.noticedAt))
	}
}

// checkEffect: an effect has happened. One that repeats on another host after a death is not the policy's: what it knew is gone.
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
