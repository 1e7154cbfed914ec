package quota

import (
	"fmt"

	"milletbarrow/internal/cluster/coldstart"
)

// Rise begins a rise under a count, or says a word about the one that is there. Begun again by the same id it changes
// nothing.
type ColdStartCommand struct {
	Limit   string             `json:"budget"`
	ID      string             `json:"id"`
	Config  *coldstart.Config  `json:"terms,omitempty"`
	Members []coldstart.Member `json:"members,omitempty"`
	Action  string             `json:"verb,omitempty"` // "go-on" or "end"; empty: begin
	By      string             `json:"by"`
}

func (l *State) coldStart(c *ColdStartCommand, r *Result) {
	b, s := l.Config.Lookup(c.Limit), l.ColdStarts[c.Limit]
	note := func(event, cause string) {
		r.Events = append(r.Events, Event{Limit: c.Limit, Kind: event, Cause: cause})
	}
	switch {
	case b == nil || b.Kind != Concurrency:
		r.Rejection = fmt.Sprintf("budget: %q is no count of version %d", c.Limit, l.Config.Version)
	case c.Action == "" && s != nil && s.ID == c.ID:
	case c.Action == "" && s != nil && !s.Done():
		r.Rejection = fmt.Sprintf("rise %s is open: %d of %d are up; end it, or wait", s.ID, len(s.Ready), len(s.Members))
	case c.Action == "" && c.Config == nil:
		r.Rejection = "terms: missing"
	case c.Action == "":
		t := *c.Config
		t.MaxConcurrent = min(t.MaxConcurrent, b.Total-b.Reserved)
		t.InitialConcurrent = min(t.InitialConcurrent, t.MaxConcurrent)
		s, err := coldstart.New(c.ID, t, c.Members)
		if err != nil {
			r.Rejection = err.Error()
			return
		}
		for name := range l.Permits[c.Limit] { // under way already, for whatever reason
			s.AddStarting(name)
		}
		l.ColdStarts[c.Limit] = s
		note("rise begins", fmt.Sprintf("%s of %d, asked by %s", c.ID, len(c.Members), c.By))
	case s == nil || s.ID != c.ID:
		r.Rejection = fmt.Sprintf("id: %q is no rise that is known", c.ID)
	case c.Action == "go-on":
		s.Resume()
		note("rise goes on", "by "+c.By)
	case c.Action == "end": // units that are held are given back as ever
		delete(l.ColdStarts, c.Limit)
		note("rise ended", "by "+c.By)
	default:
		r.Rejection = fmt.Sprintf("verb: %q is none of go-on, end", c.Action)
	}
}

// mayRise asks the rise that a name is part of, if there is one.
func (l *State) mayStart(c *PermitCommand, r *Result) bool {
	s := l.ColdStarts[c.Limit]
	if s == nil || !s.Pending(c.Name) {
		return true
	}
	ok, why := s.RequestStart(c.Name)
	r.Rejection = why
	return ok
}

// roseOrNot tells the rise how a start came out.
func (l *State) reportStart(c *PermitCommand, r *Result) {
	s := l.ColdStarts[c.Limit]
	if s == nil || !s.Pending(c.Name) {
		return
	}
	if c.Outcome == nil {
		s.WriteOff(c.Name)
		return
	}
	halted := s.HaltReason
	if changed := s.Report(c.Name, *c.Outcome); changed != "" {
		r.Events = append(r.Events, Event{Limit: c.Limit, Name: c.Name, Kind: "pace", Cause: changed})
	}
	if s.HaltReason != halted {
		r.Events = append(r.Events, Event{Limit: c.Limit, Kind: "rise stopped", Cause: s.HaltReason})
	}
	if s.Done() {
		r.Events = append(r.Events, Event{Limit: c.Limit, Kind: "rise over", Cause: fmt.Sprintf("%d of %d are up", len(s.Ready), len(s.Members))})
	}
}

// Rising is how a rise stands.
type ColdStartStatus struct {
	Limit         string                  `json:"budget"`
	ID            string                  `json:"id"`
	Concurrency   int64                   `json:"pace"` // how many may be under way
	MaxConcurrent int64                   `json:"most"`
	Reason        string                  `json:"cause"`
	HaltReason    string                  `json:"halted,omitempty"`
	Done          bool                    `json:"over"`
	Starts        uint64                  `json:"starts"`
	Groups        []coldstart.GroupStatus `json:"groups"`
}

// Risings are all rises that are known, by budget.
func (l *State) ColdStartStatuses() (all []ColdStartStatus) {
	for _, b := range sortedKeys(l.ColdStarts) {
		s := l.ColdStarts[b]
		all = append(all, ColdStartStatus{b, s.ID, s.Limit(), s.Config.MaxConcurrent, s.Reason, s.HaltReason, s.Done(), s.Starts, s.Groups()})
	}
	return all
}

// Rested is a rest of a rise that is over.
type ElapsedPause struct {
	Limit  string `json:"budget"`
	ID     string `json:"id"`
	Number uint64 `json:"number"`
}

// Rested lists the rests that have lasted as long as they are to, by the leader's own clock: from when it first looked at
// them, so that a new leader counts anew.
func (c *LeaseTracker) ElapsedPauses(now Micros, l *State) (over []ElapsedPause) {
	for _, b := range sortedKeys(l.ColdStarts) {
		s := l.ColdStarts[b]
		if s.Pause == 0 {
			delete(c.pauses, b)
			continue
		}
		w := ElapsedPause{b, s.ID, s.PauseNumber}
		if seen, known := c.pauses[b]; !known || seen.ElapsedPause != w {
			if c.pauses == nil {
				c.pauses = map[string]runningPause{}
			}
			c.pauses[b] = runningPause{w, now}
		} else if now-seen.since >= s.Pause {
			over = append(over, w)
		}
	}
	return over
}

type runningPause struct {
	ElapsedPause
	since Micros
}
