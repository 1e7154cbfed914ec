// Package checker judges a trial from the stamps that each process wrote itself: one machine, one clock. It works out what
// was in force at every instant and what was drawn, and says where that was more than the whole. It shares no code with
// what it judges and believes nothing but the stamps.
package checker

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Process is what one process stamped. Times are microseconds of the machine's clock.
type Process struct {
	Name  string // of the backend
	First int64  // stamp
	Last  int64  // stamp; it is taken to have acted on nothing after it
	PPM   int64  // its own clock of leases ran faster by so many millionths

	have map[string][]have
	drew map[string][]drew
}

type have struct {
	at, floor, extra, left int64
	epoch                  uint64
}

type drew struct{ from, to, units int64 }

// Read reads one process's stamps. A last line that was cut is left out: the process was killed while it wrote.
func Read(name string, from io.Reader) (*Process, error) {
	p := &Process{Name: name, have: map[string][]have{}, drew: map[string][]drew{}}
	in := bufio.NewReader(from)
	for n := 1; ; n++ {
		line, err := in.ReadString('\n')
		if err == io.EOF {
			return p, nil
		}
		if err != nil {
			return nil, err
		}
		if err := p.line(strings.Fields(line)); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", name, n, err)
		}
	}
}

func (p *Process) line(w []string) error {
	numbers := func(words []string) (all []int64, err error) {
		for _, s := range words {
			v, errOne := strconv.ParseInt(s, 10, 64)
			if errOne != nil {
				err = errOne
			}
			all = append(all, v)
		}
		return all, err
	}
	at := int64(0)
	switch {
	case len(w) == 3 && w[0] == "clock":
		n, err := numbers(w[1:])
		if err != nil {
			return err
		}
		p.First, p.PPM, at = n[0], n[1], n[0]
	case len(w) == 2 && w[0] == "here":
		n, err := numbers(w[1:])
		if err != nil {
			return err
		}
		at = n[0]
	case len(w) == 7 && w[0] == "have":
		n, err := numbers(append([]string{w[1]}, w[3:]...))
		if err != nil {
			return err
		}
		at = n[0]
		p.have[w[2]] = append(p.have[w[2]], have{at, n[2], n[3], n[4], uint64(n[1])})
	case len(w) == 5 && w[0] == "drew":
		n, err := numbers(append(w[1:3:3], w[4]))
		if err != nil {
			return err
		}
		at = n[1]
		p.drew[w[3]] = append(p.drew[w[3]], drew{n[0], n[1], n[2]})
	default:
		return fmt.Errorf("%q is no stamp", strings.Join(w, " "))
	}
	if at < p.Last {
		return fmt.Errorf("time goes back from %d to %d", p.Last, at)
	}
	p.Last = at
	return nil
}

// ReadAll reads a directory of stamps; a file is named NAME.PID.
func ReadAll(dir string) (all []*Process, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		f, err := os.Open(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		name, _, _ := strings.Cut(e.Name(), ".")
		p, err := Read(name, f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		if p.First > 0 {
			all = append(all, p)
		}
	}
	return all, nil
}

// Total is what a budget may add up to from a time on. A lower one is added with the time from which nobody can be left
// that was told by the higher.
type Total struct {
	From  int64
	Units int64
}

// Limits are the wholes of each budget, by time.
type Limits map[string][]Total

func (l Limits) at(budget string, at int64) (units int64) {
	for _, w := range l[budget] {
		if w.From <= at {
			units = w.Units
		}
	}
	return units
}

// Breach is one instant, or one span, in which something was more than it may be.
type Breach struct {
	Budget string  `json:"budget"`
	What   string  `json:"what"`
	At     int64   `json:"at_us"`
	For    int64   `json:"for_us"`
	Found  int64   `json:"found"`
	Most   int64   `json:"most"`
	Who    []Share `json:"who,omitempty"` // shares in force then
}

// Share is one process's.
type Share struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Floor int64  `json:"floor"`
	Extra int64  `json:"extra"`
}

func (b Breach) String() string {
	return fmt.Sprintf("%s: %s: %d, at most %d may be, at %d for %d us, among %d", b.Budget, b.What, b.Found, b.Most, b.At, b.For, len(b.Who))
}

// Report is what an audit found of one budget.
type Report struct {
	Budget   string   `json:"budget"`
	Breaches []Breach `json:"breaches,omitempty"` // the first ones
	Count    int      `json:"count"`              // of all breaches
	Most     float64  `json:"most"`               // the highest sum of shares in force, as a part of the whole
	Drawn    int64    `json:"drawn"`
	Mean     float64  `json:"mean"` // shares in force over time, as a part of the whole
	Last     float64  `json:"last"` // at the end
	Over     int64    `json:"over"` // units drawn over the whole in the worst span, beyond what shares allow at once
	Grants   int      `json:"grants"`
}

// change is a change of what is in force.
type change struct {
	at          int64
	floor, more int64
	who         int
	h           have
	on          bool
}

// mostBreaches are kept in a report.
const mostBreaches = 10

// Shares judges one budget between two times: at no instant may what is in force be more than the whole.
func Shares(all []*Process, budget string, limits Limits, from, to int64) Report {
	r := Report{Budget: budget}
	edges := r.edges(all, budget, limits)
	sum, area, span := int64(0), 0.0, int64(0)
	inForce := map[int]*Share{}
	for i, e := range edges {
		sum += e.floor + e.more
		if e.who >= 0 {
			applyChange(inForce, all, e)
		}
		next := to
		if i+1 < len(edges) {
			next = edges[i+1].at
			if next == e.at {
				continue
			}
		}
		whole := limits.at(budget, e.at)
		if whole == 0 {
			continue
		}
		part := float64(sum) / float64(whole)
		if lasts := min(next, to) - max(e.at, from); lasts > 0 {
			area += part * float64(lasts)
			span += lasts
			r.Last = part
		}
		r.Most = max(r.Most, part)
		if sum > whole {
			r.breach(Breach{
				Budget: budget, What: "shares in force", At: e.at, For: next - e.at, Found: sum, Most: whole, Who: holders(inForce),
			})
		}
	}
	if span > 0 {
		r.Mean = area / float64(span)
	}
	return r
}

// edges are the instants at which what is in force changes, in order; at one instant what ends goes first.
func (r *Report) edges(all []*Process, budget string, limits Limits) []change {
	var edges []change
	for i, p := range all {
		hs := p.have[budget]
		r.Grants += len(hs)
		for j, h := range hs {
			end := p.Last
			if j+1 < len(hs) {
				end = hs[j+1].at
			}
			if end <= h.at {
				continue
			}
			edges = append(edges, change{h.at, h.floor, 0, i, h, true}, change{end, -h.floor, 0, i, h, false})
			// The lease runs on the holder's own clock, which was told to run faster or slower than the machine's.
			over := min(end, h.at+h.left*1_000_000/(1_000_000+p.PPM))
			if h.extra > 0 && over > h.at {
				edges = append(edges, change{h.at, 0, h.extra, i, h, true}, change{over, 0, -h.extra, i, h, false})
			}
		}
	}
	for _, w := range limits[budget] {
		edges = append(edges, change{at: w.From, who: -1})
	}
	slices.SortStableFunc(edges, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.floor+a.more, b.floor+b.more))
	})
	return edges
}

// applyChange takes one edge into what its process has in force.
func applyChange(inForce map[int]*Share, all []*Process, e change) {
	s := inForce[e.who]
	if s == nil {
		s = &Share{Name: all[e.who].Name}
		inForce[e.who] = s
	}
	s.Floor += e.floor
	s.Extra += e.more
	if e.on {
		s.Epoch = e.h.epoch
	}
}

// holders are those that have anything in force, by name.
func holders(inForce map[int]*Share) (who []Share) {
	for _, s := range inForce {
		if s.Floor+s.Extra > 0 {
			who = append(who, *s)
		}
	}
	slices.SortFunc(who, func(a, b Share) int { return cmp.Compare(a.Name, b.Name) })
	return who
}

func (r *Report) breach(b Breach) {
	if r.Count++; len(r.Breaches) < mostBreaches {
		r.Breaches = append(r.Breaches, b)
	}
}

// Draws judges what was drawn: in no span of these lengths more than the whole allows and so many units ahead. What was
// drawn between two stamps counts for a span that holds both.
func (r *Report) Draws(all []*Process, limits Limits, ahead int64, lengths ...int64) {
	var drawn []drew
	for _, p := range all {
		for _, d := range p.drew[r.Budget] {
			drawn = append(drawn, d)
			r.Drawn += d.units
		}
	}
	slices.SortFunc(drawn, func(a, b drew) int { return cmp.Compare(a.from, b.from) })
	for _, length := range lengths {
		for i := 0; i < len(drawn); i++ {
			if i > 0 && drawn[i].from-drawn[i-1].from < length/50 && i%8 != 0 {
				continue // neighbours begin nearly the same span
			}
			begin := drawn[i].from
			units, whole := int64(0), int64(0)
			for _, d := range drawn[i:] {
				if d.from >= begin+length {
					break
				}
				if d.to <= begin+length {
					units += d.units
				}
			}
			for _, w := range r.between(limits, begin, begin+length) {
				whole = max(whole, w)
			}
			most := (whole*length+999_999)/1_000_000 + ahead
			r.Over = max(r.Over, units-(most-ahead))
			if units > most {
				r.breach(Breach{Budget: r.Budget, What: "units drawn", At: begin, For: length, Found: units, Most: most})
			}
		}
	}
}

// between lists the wholes in force in a span.
func (r *Report) between(limits Limits, from, to int64) (all []int64) {
	all = append(all, limits.at(r.Budget, from))
	for _, w := range limits[r.Budget] {
		if w.From > from && w.From < to {
			all = append(all, w.Units)
		}
	}
	return all
}

// MaxUnavailable tells how many backends had no process at once, at the most, between two times: from a process's last stamp to the
// next one's first share.
func MaxUnavailable(all []*Process, from, to int64) (most int) {
	byName := map[string][]*Process{}
	for _, p := range all {
		byName[p.Name] = append(byName[p.Name], p)
	}
	type step struct {
		at int64
		by int
	}
	var steps []step
	for _, lives := range byName {
		slices.SortFunc(lives, func(a, b *Process) int { return cmp.Compare(a.First, b.First) })
		for i := 1; i < len(lives); i++ {
			gone, back := lives[i-1].Last, lives[i].First
			if back > gone && gone >= from && gone <= to {
				steps = append(steps, step{gone, 1}, step{back, -1})
			}
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
	now := 0
	for _, s := range steps {
		now += s.by
		most = max(most, now)
	}
	return most
}

// UnitsDrawn is how many units were drawn between two times, of what was drawn between two stamps the part that lies there.
func UnitsDrawn(all []*Process, budget string, from, to int64) (units float64) {
	for _, p := range all {
		for _, d := range p.drew[budget] {
			if in := min(to, d.to) - max(from, d.from); in > 0 {
				units += float64(d.units) * float64(in) / float64(d.to-d.from)
			}
		}
	}
	return units
}

// HeldSince tells from when on the shares in force, but for those of some names, add up to a number of units; ok is false if
// they do not before the end.
func HeldSince(all []*Process, budget string, without map[string]bool, units int64, from, to int64) (at int64, ok bool) {
	for at = from; at < to; at += 5_000 {
		sum := int64(0)
		for _, p := range all {
			if without[p.Name] {
				continue
			}
			hs := p.have[budget]
			i, _ := slices.BinarySearchFunc(hs, at, func(h have, t int64) int {
				if h.at <= t {
					return -1
				}
				return 1
			})
			if i == 0 || at > p.Last {
				continue
			}
			h := hs[i-1]
			if sum += h.floor; at < h.at+h.left {
				sum += h.extra
			}
		}
		if sum >= units {
			return at, true
		}
	}
	return 0, false
}
