// Package coldstart decides who starts when, as many backends of many hosts come up together: first the least of each group
// that serves, then in growing steps, at the pace that what comes back allows. It does no I/O and holds no clock: a rise is
// part of the ledger's state, so that it outlives any agent, and everything that decides comes in as a fact. The same facts
// in the same order make the same rise everywhere.
package coldstart

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"milletbarrow/internal/backend/quota"
)

// Micros is a span in whole microseconds.
type Micros = quota.Micros

// Terms of a rise.
type Terms struct {
	Most     int64   `json:"most"`     // starting or warming at once, over all hosts
	First    int64   `json:"first"`    // at its beginning
	Least    float64 `json:"least"`    // part of each group that comes first
	Failures int64   `json:"failures"` // falls in a row, without a start between them that came up; then it stops
	Slow     float64 `json:"slow"`     // a start that takes so many times as long as the quickest of its group says that it is crowded
	Refused  float64 `json:"refused"`  // and so does a share of calls below, or to the register, that is refused
}

// Check tells of terms that can't be kept; field names the word of the fleet's file.
func (t *Terms) Check() (field string, err error) {
	switch {
	case t.Most < 1 || t.Most > 100_000:
		return "most", fmt.Errorf("%d is not from 1 to 100000", t.Most)
	case t.First < 1 || t.First > t.Most:
		return "first", fmt.Errorf("%d is not from 1 to %d, which is what may be under way at once", t.First, t.Most)
	case !(t.Least >= 0 && t.Least <= 1):
		return "least", fmt.Errorf("%g is not from 0 to 1", t.Least)
	case t.Failures < 1 || t.Failures > 100_000:
		return "failures", fmt.Errorf("%d is not from 1 to 100000", t.Failures)
	case !(t.Slow > 1 && t.Slow <= 1000):
		return "slow", fmt.Errorf("%g is not above 1, up to 1000", t.Slow)
	case !(t.Refused > 0 && t.Refused <= 1):
		return "refused", fmt.Errorf("%g is not above 0, up to 1", t.Refused)
	}
	return "", nil
}

// Member is one that is to come up.
type Member struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	Host  string `json:"host"`
}

// Bounds of a rise, whatever it is told.
const (
	MostMembers = 20_000
	asksKept    = 64 // numbers between an ask and now, after which whoever asked is not waited for: its agent may be dead
	pacePart    = 1000

	restFrom = 2 // falls in a row
	restMost = time.Minute
)

// End is how a start came out, or what became of one that came up.
type End struct {
	Warm    bool    `json:"warm"`
	Took    Micros  `json:"took_us,omitempty"`
	Refused float64 `json:"refused,omitempty"` // share of the calls below and to the register that its host saw refused meanwhile
	Cause   string  `json:"cause,omitempty"`
}

// Start is one that is under way.
type Start struct {
	Number uint64 `json:"number"` // of starts, in their order
}

// State is a rise. Its fields are for what writes it down; only its methods change them.
type State struct {
	ID     string            `json:"id"`
	Terms  Terms             `json:"terms"`
	Order  []Member          `json:"order"` // who comes first stands first
	First  int               `json:"first"` // so many of them are the least of their groups
	Under  map[string]Start  `json:"under"`
	Warm   map[string]bool   `json:"warm"`
	Failed map[string]string `json:"failed"` // its cause; asked for again it may come up yet
	Asked  map[string]uint64 `json:"asked"`  // by who waits: the count of asks at its latest
	Asks   uint64            `json:"asks"`
	Starts uint64            `json:"starts"`
	Pace   int64             `json:"pace"` // how many may be under way now, in thousandths
	Cut    uint64            `json:"cut"`  // what was started before says no more about the pace of now
	Grown  bool              `json:"grown"`
	Row    int64             `json:"row"`               // falls since the last that came up
	Rest   Micros            `json:"rest_us,omitempty"` // nothing starts until the ledger's leader has counted as long
	RestNo uint64            `json:"rest_no,omitempty"`
	Best   map[string]Micros `json:"best"`
	Halted string            `json:"halted,omitempty"` // why nothing more is started
	Cause  string            `json:"cause"`            // of the pace

	place map[string]int
}

// Begin plans a rise. Members that are up already are not among them.
func Begin(id string, t Terms, members []Member) (*State, error) {
	if field, err := t.Check(); err != nil {
		return nil, fmt.Errorf("rise: %s: %w", field, err)
	}
	if len(members) == 0 || len(members) > MostMembers {
		return nil, fmt.Errorf("rise: %d members, there can be 1 to %d", len(members), MostMembers)
	}
	s := &State{
		ID: id, Terms: t, Under: map[string]Start{}, Warm: map[string]bool{}, Failed: map[string]string{}, Asked: map[string]uint64{},
		Best: map[string]Micros{}, Pace: t.First * pacePart, Cause: "the beginning",
	}
	s.Order, s.First = plan(t.Least, members)
	s.Restored()
	if len(s.place) < len(members) {
		return nil, fmt.Errorf("rise: a name stands twice")
	}
	return s, nil
}

// Restored has a state that was read back find its members.
func (s *State) Restored() {
	s.place = make(map[string]int, len(s.Order))
	for i, m := range s.Order {
		s.place[m.Name] = i
	}
}

// plan orders members: the least of every group first, then the others, each part turn by turn over groups, and within a
// group over hosts, so that no host and no group is far ahead.
func plan(least float64, members []Member) (order []Member, first int) {
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

// Concerns tells whether a name is part of it and not up yet.
func (s *State) Concerns(name string) bool {
	_, in := s.place[name]
	return in && !s.Warm[name]
}

// Over tells whether nothing is to come: each is up or given up, and nothing is under way.
func (s *State) Over() bool { return len(s.Under) == 0 && len(s.Warm)+len(s.Failed) >= len(s.Order) }

// Ask says whether one may start now, and counts it as under way if so. Of those that asked of late the first in order go
// first; one that never asks holds nobody up.
func (s *State) Ask(name string) (ok bool, why string) {
	at, in := s.place[name]
	switch {
	case !in:
		return false, "it is no part of rise " + s.ID
	case s.Warm[name]:
		return true, "" // it ended since, and comes up again by itself
	case s.Halted != "":
		return false, "the rise has stopped: " + s.Halted
	}
	if _, under := s.Under[name]; under {
		return true, ""
	}
	s.Asks++
	s.Asked[name] = s.Asks
	delete(s.Failed, name)
	if s.Rest > 0 {
		return false, fmt.Sprintf("nothing starts for %d ms, so that what failed can get well: %s", s.Rest/1000, s.Cause)
	}
	room := s.Pace/pacePart - int64(len(s.Under))
	if room < 1 {
		return false, fmt.Sprintf("%d are under way, %d may be: %s", len(s.Under), s.Pace/pacePart, s.Cause)
	}
	ahead, of := int64(0), ""
	for other, asked := range s.Asked {
		if s.Asks-asked > asksKept {
			delete(s.Asked, other)
			continue
		}
		if p := s.place[other]; p < at {
			if ahead++; of == "" || p < s.place[of] {
				of = other
			}
		}
	}
	if ahead >= room {
		return false, fmt.Sprintf("%s comes first, of %s", of, s.Order[s.place[of]].Group)
	}
	delete(s.Asked, name)
	s.Starts++
	s.Under[name] = Start{Number: s.Starts}
	return true, ""
}

// Now is how many may be under way.
func (s *State) Now() int64 { return s.Pace / pacePart }

// Found counts one that was under way as the rise began.
func (s *State) Found(name string) {
	if _, in := s.place[name]; in {
		s.Under[name] = Start{}
	}
}

// Ended takes in how a start came out. Down at once, and once for all that was started before; up by one for each that came
// up well while nothing has gone wrong yet, and by one for a whole round of them after that.
func (s *State) Ended(name string, e End) (changed string) {
	start, under := s.Under[name]
	if !under {
		if s.Concerns(name) && e.Warm { // it came up without having asked: its host could not reach the ledger
			s.up(name)
		}
		return ""
	}
	delete(s.Under, name)
	before := s.Pace / pacePart
	m := s.Order[s.place[name]]
	best := s.Best[m.Group]
	switch {
	case !e.Warm:
		s.Failed[name] = e.Cause
		if !s.down(start, fmt.Sprintf("%s did not come up: %s", name, e.Cause)) {
			break // it fell with others
		}
		switch s.Row++; {
		case s.Row >= s.Terms.Failures && s.Halted == "":
			s.Halted = fmt.Sprintf("starts came to nothing %d times in a row, the last: %s: %s", s.Row, name, e.Cause)
		case s.Row >= restFrom:
			s.Rest, s.RestNo = rest(s.Row-restFrom), s.RestNo+1
		}
	case e.Refused > s.Terms.Refused:
		s.up(name)
		s.down(start, fmt.Sprintf("%.0f%% of the calls below were refused as %s came up", 100*e.Refused, name))
	case best > 0 && float64(e.Took) > s.Terms.Slow*float64(best):
		s.up(name)
		s.down(start, fmt.Sprintf("%s took %d ms, the quickest of %s %d ms", name, e.Took/1000, m.Group, best/1000))
	default:
		s.up(name)
		if s.Pace >= s.Terms.Most*pacePart {
			break
		}
		more := int64(pacePart)
		if s.Grown { // something has gone wrong before
			more = max(1, pacePart*pacePart/s.Pace)
		}
		s.Pace = min(s.Terms.Most*pacePart, s.Pace+more)
		s.Cause = "starts come up well"
	}
	if e.Warm && e.Took > 0 && (best == 0 || e.Took < best) {
		s.Best[m.Group] = e.Took
	}
	if now := s.Pace / pacePart; now != before {
		return fmt.Sprintf("%d may be under way, from %d: %s", now, before, s.Cause)
	}
	return ""
}

func (s *State) up(name string) {
	s.Warm[name] = true
	delete(s.Failed, name)
	s.Row, s.Rest = 0, 0
}

// down halves the pace, unless the sign comes from before the last time.
func (s *State) down(start Start, cause string) bool {
	if start.Number <= s.Cut {
		return false
	}
	s.Cut, s.Grown = s.Starts, true
	s.Pace = max(pacePart, s.Pace/2)
	s.Cause = cause
	return true
}

// rest is how long nothing starts after so many falls more: what is below may only get well if it is left alone, and one
// start at a time would keep it ill for ever.
func rest(n int64) Micros {
	b := &backoff.ExponentialBackOff{InitialInterval: 2 * time.Second, Multiplier: 2, MaxInterval: restMost}
	d := b.NextBackOff()
	for ; n > 0 && d < restMost; n-- {
		d = b.NextBackOff()
	}
	return Micros(d.Microseconds())
}

// Rested ends a rest, once the ledger's leader has counted it by its own clock.
func (s *State) Rested(no uint64) {
	if no == s.RestNo {
		s.Rest = 0
	}
}

// GoOn takes a halt back, at an operator's word.
func (s *State) GoOn() {
	s.Halted, s.Row, s.Rest = "", 0, 0
	s.Pace, s.Cut, s.Cause = s.Terms.First*pacePart, s.Starts, "an operator had it go on"
}

// Lost has a start count no more whose end nobody will tell: an operator wrote it off.
func (s *State) Lost(name string) {
	if _, under := s.Under[name]; under {
		delete(s.Under, name)
		s.Failed[name] = "written off"
	}
}

// Tally is how a rise stands, by group.
type Tally struct {
	Group   string `json:"group"`
	Warm    int    `json:"warm"`
	Under   int    `json:"under_way"`
	Failed  int    `json:"failed"`
	Waiting int    `json:"waiting"`
}

// Tallies are all groups, by name.
func (s *State) Tallies() []Tally {
	all := map[string]*Tally{}
	for _, m := range s.Order {
		t := all[m.Group]
		if t == nil {
			t = &Tally{Group: m.Group}
			all[m.Group] = t
		}
		_, under := s.Under[m.Name]
		_, failed := s.Failed[m.Name]
		switch {
		case s.Warm[m.Name]:
			t.Warm++
		case under:
			t.Under++
		case failed:
			t.Failed++
		default:
			t.Waiting++
		}
	}
	var out []Tally
	for _, t := range all {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b Tally) int { return cmp.Compare(a.Group, b.Group) })
	return out
}
