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
	At         Micros `json:"at_us"`
	Rule       int    `json:"rule"`
	Host       int32  `json:"host"`
	Invocation string `json:"invocation,omitempty"`
	What       string `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d at %.3f s, host %d, invocation %s: %s", b.Rule, float64(b.At)/1e6, b.Host, b.Invocation, b.What)
}

const mostBreaches = 20

type effect struct {
	host int32
	life uint32
}

func (d *Audit) broken(w *world, rule int, h *host, t *attempt, what string) {
	d.Counts[rule]++
	if len(d.First) < mostBreaches {
		b := Breach{At: w.now, Rule: rule, Host: h.number, What: what}
		if t != nil {
			b.Invocation = fmt.Sprintf("%d (attempt %s)", w.requests[t.request].number, t.id)
		}
		d.First = append(d.First, b)
	}
}

// answered: the first answer comes in time, and there is no second.
func (d *Audit) answered(w *world, h *host, t *attempt) {
	switch {
	case t.answers > 0:
		d.broken(w, 1, h, t, "a second final answer")
	case !t.gone && w.now > t.due+w.s.Hosts.Slack:
		d.broken(w, 1, h, t, fmt.Sprintf("the answer came %d us late", w.now-t.due))
	}
}

// leaves: an attempt goes out of its host's hand, answered or with its caller known gone.
func (d *Audit) leaves(w *world, h *host, t *attempt) {
	if t.answers == 0 && !t.gone {
		d.broken(w, 1, h, t, "it went out of hand without an answer")
	}
}

// due looks at what is still in hand without an answer, past its time.
func (d *Audit) due(w *world) {
	for i := range w.hosts {
		h := &w.hosts[i]
		for j := h.first; h.up && j != none; j = w.attempts[j].next {
			if t := &w.attempts[j]; t.answers == 0 && !t.gone && t.phase != unread && w.now > t.due+w.s.Hosts.Slack && t.due > 0 {
				d.broken(w, 1, h, t, "its time is over and it has no answer")
				t.due = 0 // told of once
			}
		}
	}
}

// started: nothing runs that arrived after the grace.
func (d *Audit) started(w *world, h *host, t *attempt) {
	if h.draining && t.reached > h.told+w.s.Hosts.Grace {
		d.broken(w, 3, h, t, fmt.Sprintf("it came %d us after the notice and is run", t.reached-h.told))
	}
}

// ran: an effect has happened. One that repeats on another host after a death is not the policy's: what it knew is gone.
func (d *Audit) ran(w *world, h *host, t *attempt) {
	a := &w.requests[t.request]
	op := &w.s.Operations[a.op]
	if op.Repeat == admission.Idempotent {
		return
	}
	if d.effects == nil {
		d.effects = map[uint64]effect{}
	}
	was, had := d.effects[a.number]
	if had && (op.Repeat == admission.NonIdempotent || was.host == h.number && was.life == h.incarnation) {
		d.broken(w, 2, h, t, "a second effect")
	}
	d.effects[a.number] = effect{h.number, h.incarnation}
}
