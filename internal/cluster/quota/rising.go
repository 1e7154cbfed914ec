package quota

import (
	"fmt"

	"milletbarrow/internal/cluster/coldstart"
)

// Rise begins a rise under a count, or says a word about the one that is there. Begun again by the same id it changes
// nothing.
type Rise struct {
	Budget  string             `json:"budget"`
	ID      string             `json:"id"`
	Terms   *coldstart.Terms   `json:"terms,omitempty"`
	Members []coldstart.Member `json:"members,omitempty"`
	Verb    string             `json:"verb,omitempty"` // "go-on" or "end"; empty: begin
	By      string             `json:"by"`
}

func (l *Ledger) rise(c *Rise, r *Result) {
	b, s := l.Terms.Find(c.Budget), l.Rises[c.Budget]
	note := func(event, cause string) {
		r.Notes = append(r.Notes, Note{Budget: c.Budget, Event: event, Cause: cause})
	}
	switch {
	case b == nil || b.Kind != Count:
		r.No = fmt.Sprintf("budget: %q is no count of version %d", c.Budget, l.Terms.Version)
	case c.Verb == "" && s != nil && s.ID == c.ID:
	case c.Verb == "" && s != nil && !s.Over():
		r.No = fmt.Sprintf("rise %s is open: %d of %d are up; end it, or wait", s.ID, len(s.Warm), len(s.Order))
	case c.Verb == "" && c.Terms == nil:
		r.No = "terms: missing"
	case c.Verb == "":
		t := *c.Terms
		t.Most = min(t.Most, b.Whole-b.Aside)
		t.First = min(t.First, t.Most)
		s, err := coldstart.Begin(c.ID, t, c.Members)
		if err != nil {
			r.No = err.Error()
			return
		}
		for name := range l.Counts[c.Budget] { // under way already, for whatever reason
			s.Found(name)
		}
		l.Rises[c.Budget] = s
		note("rise begins", fmt.Sprintf("%s of %d, asked by %s", c.ID, len(c.Members), c.By))
	case s == nil || s.ID != c.ID:
		r.No = fmt.Sprintf("id: %q is no rise that is known", c.ID)
	case c.Verb == "go-on":
		s.GoOn()
		note("rise goes on", "by "+c.By)
	case c.Verb == "end": // units that are held are given back as ever
		delete(l.Rises, c.Budget)
		note("rise ended", "by "+c.By)
	default:
		r.No = fmt.Sprintf("verb: %q is none of go-on, end", c.Verb)
	}
}

// mayRise asks the rise that a name is part of, if there is one.
func (l *Ledger) mayRise(c *Take, r *Result) bool {
	s := l.Rises[c.Budget]
	if s == nil || !s.Concerns(c.Name) {
		return true
	}
	ok, why := s.Ask(c.Name)
	r.No = why
	return ok
}

// roseOrNot tells the rise how a start came out.
func (l *Ledger) roseOrNot(c *Give, r *Result) {
	s := l.Rises[c.Budget]
	if s == nil || !s.Concerns(c.Name) {
		return
	}
	if c.End == nil {
		s.Lost(c.Name)
		return
	}
	halted := s.Halted
	if changed := s.Ended(c.Name, *c.End); changed != "" {
		r.Notes = append(r.Notes, Note{Budget: c.Budget, Name: c.Name, Event: "pace", Cause: changed})
	}
	if s.Halted != halted {
		r.Notes = append(r.Notes, Note{Budget: c.Budget, Event: "rise stopped", Cause: s.Halted})
	}
	if s.Over() {
		r.Notes = append(r.Notes, Note{Budget: c.Budget, Event: "rise over", Cause: fmt.Sprintf("%d of %d are up", len(s.Warm), len(s.Order))})
	}
}

// Rising is how a rise stands.
type Rising struct {
	Budget string            `json:"budget"`
	ID     string            `json:"id"`
	Pace   int64             `json:"pace"` // how many may be under way
	Most   int64             `json:"most"`
	Cause  string            `json:"cause"`
	Halted string            `json:"halted,omitempty"`
	Over   bool              `json:"over"`
	Starts uint64            `json:"starts"`
	Groups []coldstart.Tally `json:"groups"`
}

// Risings are all rises that are known, by budget.
func (l *Ledger) Risings() (all []Rising) {
	for _, b := range sortedKeys(l.Rises) {
		s := l.Rises[b]
		all = append(all, Rising{b, s.ID, s.Now(), s.Terms.Most, s.Cause, s.Halted, s.Over(), s.Starts, s.Tallies()})
	}
	return all
}

// Rested is a rest of a rise that is over.
type Rested struct {
	Budget string `json:"budget"`
	ID     string `json:"id"`
	Number uint64 `json:"number"`
}

// Rested lists the rests that have lasted as long as they are to, by the leader's own clock: from when it first looked at
// them, so that a new leader counts anew.
func (c *Clerk) Rested(now Micros, l *Ledger) (over []Rested) {
	for _, b := range sortedKeys(l.Rises) {
		s := l.Rises[b]
		if s.Rest == 0 {
			delete(c.rests, b)
			continue
		}
		w := Rested{b, s.ID, s.RestNo}
		if seen, known := c.rests[b]; !known || seen.Rested != w {
			if c.rests == nil {
				c.rests = map[string]resting{}
			}
			c.rests[b] = resting{w, now}
		} else if now-seen.since >= s.Rest {
			over = append(over, w)
		}
	}
	return over
}

type resting struct {
	Rested
	since Micros
}
