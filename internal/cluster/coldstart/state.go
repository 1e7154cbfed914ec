// Package coldstart decides which instance starts when, as many backends of many hosts come up together: first the least
// that each group needs to serve, then the rest, with a concurrency limit that is raised slowly and lowered at once by what
// is reported back.
//
// It does no I/O and holds no clock. A cold start is part of the replicated state, so that it outlives any agent, and all
// that decides comes in as a fact: the same facts in the same order make the same state everywhere.
package coldstart

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"milletbarrow/internal/backoff"

	"milletbarrow/internal/backend/quota"
)

// Micros is a span in whole microseconds.
type Micros = quota.Micros

// Config sets the bounds of a cold start.
type Config struct {
	MaxConcurrent     int64   `json:"most"`     // starting or warming at once, over all hosts
	InitialConcurrent int64   `json:"first"`    // at its beginning
	MinServing        float64 `json:"least"`    // part of each group that comes first
	MaxFailures       int64   `json:"failures"` // falls in a row, without a start between them that came up; then it stops
	SlowFactor        float64 `json:"slow"`     // a start that takes so many times as long as the quickest of its group says that it is crowded
	MaxRejected       float64 `json:"refused"`  // and so does a share of calls below, or to the register, that is refused
}

// Validate tells of a configuration that can't be kept; field is the word of the fleet's file that is at fault.
func (t *Config) Validate() (field string, err error) {
	switch {
	case t.MaxConcurrent < 1 || t.MaxConcurrent > 100_000:
		return "most", fmt.Errorf("%d is not from 1 to 100000", t.MaxConcurrent)
	case t.InitialConcurrent < 1 || t.InitialConcurrent > t.MaxConcurrent:
		return "first", fmt.Errorf("%d is not from 1 to %d, which is what may be under way at once", t.InitialConcurrent, t.MaxConcurrent)
	case !(t.MinServing >= 0 && t.MinServing <= 1):
		return "least", fmt.Errorf("%g is not from 0 to 1", t.MinServing)
	case t.MaxFailures < 1 || t.MaxFailures > 100_000:
		return "failures", fmt.Errorf("%d is not from 1 to 100000", t.MaxFailures)
	case !(t.SlowFactor > 1 && t.SlowFactor <= 1000):
		return "slow", fmt.Errorf("%g is not above 1, up to 1000", t.SlowFactor)
	case !(t.MaxRejected > 0 && t.MaxRejected <= 1):
		return "refused", fmt.Errorf("%g is not above 0, up to 1", t.MaxRejected)
	}
	return "", nil
}

// Member is one that is to come up.
type Member struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	Host  string `json:"host"`
}

// Bounds of a cold start, whatever it is told.
const (
	MaxMembers    = 20_000
	requestWindow = 64 // numbers between an ask and now, after which whoever asked is not waited for: its agent may be dead
	limitScale    = 1000

	pauseAfterFailures = 2 // falls in a row
	maxPause           = time.Minute
	minPause           = 2 * time.Second
	maxPauseSteps      = 1000 // beyond them the pause has long been the longest
)

// Outcome is how a start came out, or what became of an instance that came up.
type Outcome struct {
	Ready    bool    `json:"warm"`
	Took     Micros  `json:"took_us,omitempty"`
	Rejected float64 `json:"refused,omitempty"` // share of the calls below and to the register that its host saw refused meanwhile
	Cause    string  `json:"cause,omitempty"`
}

// RunningStart is a start that has begun and not been reported on.
type RunningStart struct {
	Number uint64 `json:"number"` // of starts, in their order
}

// State is a cold start. Its exported fields are there to be encoded; only its methods change them. It is not safe for
// concurrent use.
type State struct {
	ID                  string                  `json:"id"`
	Config              Config                  `json:"terms"`
	Members             []Member                `json:"order"` // who comes first stands first
	Essential           int                     `json:"first"` // so many of them are the least of their groups
	Starting            map[string]RunningStart `json:"under"`
	Ready               map[string]bool         `json:"warm"`
	Failed              map[string]string       `json:"failed"` // its cause; asked for again it may come up yet
	LastRequest         map[string]uint64       `json:"asked"`  // by who waits: the count of asks at its latest
	Requests            uint64                  `json:"asks"`
	Starts              uint64                  `json:"starts"`
	ScaledLimit         int64                   `json:"pace"` // how many may be under way now, in thousandths
	DecreasedAt         uint64                  `json:"cut"`  // what was started before says no more about the pace of now
	SlowIncrease        bool                    `json:"grown"`
	ConsecutiveFailures int64                   `json:"row"`               // falls since the last that came up
	Pause               Micros                  `json:"rest_us,omitempty"` // nothing starts until the ledger's leader has counted as long
	PauseNumber         uint64                  `json:"rest_no,omitempty"`
	Fastest             map[string]Micros       `json:"best"`
	HaltReason          string                  `json:"halted,omitempty"` // why nothing more is started
	Reason              string                  `json:"cause"`            // of the pace

	position map[string]int
}

// New plans a cold start of members, none of which is up. It fails for an invalid configuration, for no members or more than MaxMembers, and
// for a name that stands twice.
func New(id string, t Config, members []Member) (*State, error) {
	if field, err := t.Validate(); err != nil {
		return nil, fmt.Errorf("rise: %s: %w", field, err)
	}
	if len(members) == 0 || len(members) > MaxMembers {
		return nil, fmt.Errorf("rise: %d members, there can be 1 to %d", len(members), MaxMembers)
	}
	s := &State{
		ID: id, Config: t, Starting: map[string]RunningStart{}, Ready: map[string]bool{}, Failed: map[string]string{}, LastRequest: map[string]uint64{},
		Fastest: map[string]Micros{}, ScaledLimit: t.InitialConcurrent * limitScale, Reason: "the beginning",
	}
	s.Members, s.Essential = orderMembers(t.MinServing, members)
	s.RebuildIndex()
	if len(s.position) < len(members) {
		return nil, fmt.Errorf("rise: a name stands twice")
	}
	return s, nil
}

// RebuildIndex has to be called on a state that was decoded, before anything else.
func (s *State) RebuildIndex() {
	s.position = make(map[string]int, len(s.Members))
	for i, m := range s.Members {
		s.position[m.Name] = i
	}
}

// orderMembers orders members: the least of every group first, then the others, each part turn by turn over groups, and within a
// group over hosts, so that no host and no group is far ahead.
func orderMembers(least float64, members []Member) (order []Member, first int) {
	type turn struct {
		Member
		n, of, inHost int
	}
	groups, hosts := map[string]int{}, map[[2]string]int{}
	all := slices.Clone(members)
	slices.SortStableFunc(all, func(a, b Member) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name)) })
	turns := make([]turn, len(all))
	for i, m := range all {
		at := [2]string{m.Group, m.Host}
		turns[i] = turn{Member: m, inHost: hosts[at]}
		hosts[at]++
		groups[m.Group]++
	}
	slices.SortStableFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.inHost, b.inHost), cmp.Compare(a.Host, b.Host))
	})
	seen := map[string]int{}
	for i := range turns {
		turns[i].n, turns[i].of = seen[turns[i].Group], groups[turns[i].Group]
		seen[turns[i].Group]++
	}
	tier := func(t turn) int {
		if float64(t.n) < math.Ceil(least*float64(t.of)) {
			first++
			return 0
		}
		return 1
	}
	tiers := make(map[string]int, len(turns))
	for _, t := range turns {
		tiers[t.Name] = tier(t)
	}
	slices.SortStableFunc(turns, func(a, b turn) int { // by how far its group would be with it
		return cmp.Or(cmp.Compare(tiers[a.Name], tiers[b.Name]), cmp.Compare((a.n+1)*b.of, (b.n+1)*a.of), cmp.Compare(a.Group, b.Group))
	})
	for _, t := range turns {
		order = append(order, t.Member)
	}
	return order, first
}

// Pending tells whether a name is part of the cold start and not up yet.
func (s *State) Pending(name string) bool {
	_, in := s.position[name]
	return in && !s.Ready[name]
}

// Done tells whether nothing is to come: each member is up or has failed, and none is starting.
func (s *State) Done() bool {
	return len(s.Starting) == 0 && len(s.Ready)+len(s.Failed) >= len(s.Members)
}

// RequestStart says whether a member may start now, and counts it as starting if so; why tells what it waits for. Of those that asked
// of late the first in order go first; a member that stopped asking holds up nobody for long.
func (s *State) RequestStart(name string) (ok bool, why string) {
	at, in := s.position[name]
	switch {
	case !in:
		return false, "it is no part of rise " + s.ID
	case s.Ready[name]:
		return true, "" // it ended since, and comes up again by itself
	case s.HaltReason != "":
		return false, "the rise has stopped: " + s.HaltReason
	}
	if _, under := s.Starting[name]; under {
		return true, ""
	}
	s.Requests++
	s.LastRequest[name] = s.Requests
	delete(s.Failed, name)
	if s.Pause > 0 {
		return false, fmt.Sprintf("nothing starts for %d ms, so that what failed can get well: %s", s.Pause/1000, s.Reason)
	}
	room := s.ScaledLimit/limitScale - int64(len(s.Starting))
	if room < 1 {
		return false, fmt.Sprintf("%d are under way, %d may be: %s", len(s.Starting), s.ScaledLimit/limitScale, s.Reason)
	}
	ahead, of := int64(0), ""
	for other, asked := range s.LastRequest {
		if s.Requests-asked > requestWindow {
			delete(s.LastRequest, other)
			continue
		}
		if p := s.position[other]; p < at {
			if ahead++; of == "" || p < s.position[of] {
				of = other
			}
		}
	}
	if ahead >= room {
		return false, fmt.Sprintf("%s comes first, of %s", of, s.Members[s.position[of]].Group)
	}
	delete(s.LastRequest, name)
	s.Starts++
	s.Starting[name] = RunningStart{Number: s.Starts}
	return true, ""
}

// Limit is how many may be starting at once now.
func (s *State) Limit() int64 { return s.ScaledLimit / limitScale }

// AddStarting counts a member that was starting already as the cold start began.
func (s *State) AddStarting(name string) {
	if _, in := s.position[name]; in {
		s.Starting[name] = RunningStart{}
	}
}

// Report takes in how a start came out. The limit is halved at once, and once for all that was started before; it is raised by one for
// each start that came up well while nothing has gone wrong yet, and by one for a whole round of them after that. changed
// says how the limit changed, or is empty.
func (s *State) Report(name string, e Outcome) (changed string) {
	start, under := s.Starting[name]
	if !under {
		if s.Pending(name) && e.Ready { // it came up without having asked: its host could not reach the ledger
			s.markReady(name)
		}
		return ""
	}
	delete(s.Starting, name)
	before := s.ScaledLimit / limitScale
	m := s.Members[s.position[name]]
	best := s.Fastest[m.Group]
	switch {
	case !e.Ready:
		s.Failed[name] = e.Cause
		if !s.decrease(start, fmt.Sprintf("%s did not come up: %s", name, e.Cause)) {
			break // it fell with others
		}
		switch s.ConsecutiveFailures++; {
		case s.ConsecutiveFailures >= s.Config.MaxFailures && s.HaltReason == "":
			s.HaltReason = fmt.Sprintf("starts came to nothing %d times in a row, the last: %s: %s", s.ConsecutiveFailures, name, e.Cause)
		case s.ConsecutiveFailures >= pauseAfterFailures:
			s.Pause, s.PauseNumber = pauseDuration(s.ConsecutiveFailures-pauseAfterFailures), s.PauseNumber+1
		}
	case e.Rejected > s.Config.MaxRejected:
		s.markReady(name)
		s.decrease(start, fmt.Sprintf("%.0f%% of the calls below were refused as %s came up", 100*e.Rejected, name))
	case best > 0 && float64(e.Took) > s.Config.SlowFactor*float64(best):
		s.markReady(name)
		s.decrease(start, fmt.Sprintf("%s took %d ms, the quickest of %s %d ms", name, e.Took/1000, m.Group, best/1000))
	default:
		s.markReady(name)
		if s.ScaledLimit >= s.Config.MaxConcurrent*limitScale {
			break
		}
		more := int64(limitScale)
		if s.SlowIncrease { // something has gone wrong before
			more = max(1, limitScale*limitScale/s.ScaledLimit)
		}
		s.ScaledLimit = min(s.Config.MaxConcurrent*limitScale, s.ScaledLimit+more)
		s.Reason = "starts come up well"
	}
	if e.Ready && e.Took > 0 && (best == 0 || e.Took < best) {
		s.Fastest[m.Group] = e.Took
	}
	if now := s.ScaledLimit / limitScale; now != before {
		return fmt.Sprintf("%d may be under way, from %d: %s", now, before, s.Reason)
	}
	return ""
}

func (s *State) markReady(name string) {
	s.Ready[name] = true
	delete(s.Failed, name)
	s.ConsecutiveFailures, s.Pause = 0, 0
}

// decrease halves the limit, unless the report is of a start from before the last decrease.
func (s *State) decrease(start RunningStart, cause string) bool {
	if start.Number <= s.DecreasedAt {
		return false
	}
	s.DecreasedAt, s.SlowIncrease = s.Starts, true
	s.ScaledLimit = max(limitScale, s.ScaledLimit/2)
	s.Reason = cause
	return true
}

// pauseDuration is how long nothing starts after so many falls more: what is below may only get well if it is left alone, and one
// start at a time would keep it ill for ever.
func pauseDuration(n int64) Micros {
	growth := backoff.Exponential{Initial: minPause, Max: maxPause, Multiplier: 2}
	return Micros(growth.Interval(int(min(n, maxPauseSteps)) + 1).Microseconds())
}

// EndPause ends the pause of that number, once the leader has timed it by its own clock.
func (s *State) EndPause(no uint64) {
	if no == s.PauseNumber {
		s.Pause = 0
	}
}

// Resume takes a halt back, on an operator's word.
func (s *State) Resume() {
	s.HaltReason, s.ConsecutiveFailures, s.Pause = "", 0, 0
	s.ScaledLimit, s.DecreasedAt, s.Reason = s.Config.InitialConcurrent*limitScale, s.Starts, "an operator had it go on"
}

// WriteOff stops counting a start whose outcome nobody will report.
func (s *State) WriteOff(name string) {
	if _, under := s.Starting[name]; under {
		delete(s.Starting, name)
		s.Failed[name] = "written off"
	}
}

// GroupStatus is how many members of one group stand where.
type GroupStatus struct {
	Group    string `json:"group"`
	Ready    int    `json:"warm"`
	Starting int    `json:"under_way"`
	Failed   int    `json:"failed"`
	Waiting  int    `json:"waiting"`
}

// Groups lists how all groups stand, by name.
func (s *State) Groups() []GroupStatus {
	all := map[string]*GroupStatus{}
	for _, m := range s.Members {
		t := all[m.Group]
		if t == nil {
			t = &GroupStatus{Group: m.Group}
			all[m.Group] = t
		}
		_, under := s.Starting[m.Name]
		_, failed := s.Failed[m.Name]
		switch {
		case s.Ready[m.Name]:
			t.Ready++
		case under:
			t.Starting++
		case failed:
			t.Failed++
		default:
			t.Waiting++
		}
	}
	out := make([]GroupStatus, 0, len(all))
	for _, t := range all {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b GroupStatus) int { return cmp.Compare(a.Group, b.Group) })
	return out
}
