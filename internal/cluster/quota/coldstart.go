package quota

import (
	"fmt"

	"milletbarrow/internal/cluster/coldstart"
)

// Actions on a cold start, as they stand in commands.
const (
	actionBegin  = ""
	actionResume = "go-on"
	actionEnd    = "end"
)

// ColdStartCommand begins a cold start under a concurrency limit, or resumes or ends the one that is there. Begun again by
// the same ID it changes nothing.
type ColdStartCommand struct {
	Limit   LimitName          `json:"budget"`
	ID      string             `json:"id"`
	Config  *coldstart.Config  `json:"terms,omitempty"`
	Members []coldstart.Member `json:"members,omitempty"`
	Action  string             `json:"verb,omitempty"` // "go-on" or "end"; empty: begin
	By      string             `json:"by"`
}

// coldStart applies a command about the cold start of one limit.
func (s *State) coldStart(c *ColdStartCommand, r *Result) {
	l, current := s.Config.Lookup(c.Limit), s.ColdStarts[c.Limit]
	switch {
	case l == nil || l.Kind != Concurrency:
		r.Rejection = fmt.Sprintf("budget: %q is no count of version %d", c.Limit, s.Config.Version)
	case c.Action == actionBegin:
		s.beginColdStart(c, l, current, r)
	case current == nil || current.ID != c.ID:
		r.Rejection = fmt.Sprintf("id: %q is no rise that is known", c.ID)
	case c.Action == actionResume:
		current.Resume()
		r.Events = append(r.Events, Event{Limit: c.Limit, Kind: "rise goes on", Cause: "by " + c.By})
	case c.Action == actionEnd: // permits that are held are released as usual
		delete(s.ColdStarts, c.Limit)
		r.Events = append(r.Events, Event{Limit: c.Limit, Kind: "rise ended", Cause: "by " + c.By})
	default:
		r.Rejection = fmt.Sprintf("verb: %q is none of go-on, end", c.Action)
	}
}

func (s *State) beginColdStart(c *ColdStartCommand, l *Limit, current *coldstart.State, r *Result) {
	switch {
	case current != nil && current.ID == c.ID:
		return
	case current != nil && !current.Done():
		r.Rejection = fmt.Sprintf("rise %s is open: %d of %d are up; end it, or wait", current.ID, len(current.Ready), len(current.Members))
		return
	case c.Config == nil:
		r.Rejection = "terms: missing"
		return
	}
	config := *c.Config
	config.MaxConcurrent = min(config.MaxConcurrent, l.Total-l.Reserved)
	config.InitialConcurrent = min(config.InitialConcurrent, config.MaxConcurrent)
	start, err := coldstart.New(c.ID, config, c.Members)
	if err != nil {
		r.Rejection = err.Error()
		return
	}
	for name := range s.Permits[c.Limit] { // starting already, for whatever reason
		start.AddStarting(string(name))
	}
	s.ColdStarts[c.Limit] = start
	r.Events = append(r.Events, Event{Limit: c.Limit, Kind: "rise begins", Cause: fmt.Sprintf("%s of %d, asked by %s", c.ID, len(c.Members), c.By)})
}

// mayStart reports whether the cold start that a name is part of, if there is one, lets it start.
func (s *State) mayStart(c *PermitCommand, r *Result) bool {
	start := s.ColdStarts[c.Limit]
	if start == nil || !start.Pending(string(c.Name)) {
		return true
	}
	ok, reason := start.RequestStart(string(c.Name))
	r.Rejection = reason
	return ok
}

// reportStart reports to the cold start how the start ended that a released permit was for.
func (s *State) reportStart(c *PermitCommand, r *Result) {
	start := s.ColdStarts[c.Limit]
	if start == nil || !start.Pending(string(c.Name)) {
		return
	}
	if c.Outcome == nil {
		start.WriteOff(string(c.Name))
		return
	}
	haltedBefore := start.HaltReason
	if changed := start.Report(string(c.Name), *c.Outcome); changed != "" {
		r.Events = append(r.Events, Event{Limit: c.Limit, Name: string(c.Name), Kind: "pace", Cause: changed})
	}
	if start.HaltReason != haltedBefore {
		r.Events = append(r.Events, Event{Limit: c.Limit, Kind: "rise stopped", Cause: start.HaltReason})
	}
	if start.Done() {
		r.Events = append(r.Events, Event{Limit: c.Limit, Kind: "rise over", Cause: fmt.Sprintf("%d of %d are up", len(start.Ready), len(start.Members))})
	}
}

// ColdStartStatus is how a cold start stands.
type ColdStartStatus struct {
	Limit         LimitName               `json:"budget"`
	ID            string                  `json:"id"`
	Concurrency   int64                   `json:"pace"` // how many may be starting at once now
	MaxConcurrent int64                   `json:"most"`
	Reason        string                  `json:"cause"` // of the present concurrency
	HaltReason    string                  `json:"halted,omitempty"`
	Done          bool                    `json:"over"`
	Starts        uint64                  `json:"starts"`
	Groups        []coldstart.GroupStatus `json:"groups"`
}

// ColdStartStatuses lists all cold starts that are known, by limit.
func (s *State) ColdStartStatuses() (all []ColdStartStatus) {
	for _, limit := range sortedKeys(s.ColdStarts) {
		start := s.ColdStarts[limit]
		all = append(all, ColdStartStatus{
			Limit: limit, ID: start.ID, Concurrency: start.Limit(), MaxConcurrent: start.Config.MaxConcurrent, Reason: start.Reason,
			HaltReason: start.HaltReason, Done: start.Done(), Starts: start.Starts, Groups: start.Groups(),
		})
	}
	return all
}
