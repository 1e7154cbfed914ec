// Package schedule says which faults happen when in a trial: read from a file, drawn from a seed, written, and made
// smaller. It does no I/O and holds no clock.
package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletbarrow/internal/sexpr"
)

// Kind of a fault.
type Kind string

// The kinds. Those about links name two hosts, the others a host or a backend, or nobody.
const (
	Cut      Kind = "cut"       // all bytes from one host to the other, for a while; what was open is broken after it
	CutBoth  Kind = "cut-both"  // in both directions
	Delay    Kind = "delay"     // from one to the other, by a span
	Stall    Kind = "stall"     // held for a while, then delivered
	Slow     Kind = "slow"      // so many bytes a second
	Reset    Kind = "reset"     // every connection between them, now
	Twice    Kind = "twice"     // calls from one to the other come again later
	Kill     Kind = "kill"      // SIGKILL an agent, started again after a while
	Stop     Kind = "stop"      // SIGSTOP an agent for a while
	Leader   Kind = "leader"    // SIGKILL whichever agent leads, started again after a while
	Blackout Kind = "blackout"  // SIGKILL all agents, started again after a while
	Full     Kind = "full"      // an agent's disk takes nothing for a while
	Old      Kind = "old"       // an agent is killed and comes back on a copy of its quota store from before
	Freeze   Kind = "freeze"    // SIGSTOP a backend for a while
	Death    Kind = "death"     // SIGKILL a backend
	Orphan   Kind = "orphan"    // SIGKILL a backend's supervisor
	BadStart Kind = "bad-start" // SIGKILL a backend whose configuration can't be read for a while
	Whole    Kind = "whole"     // the whole of a budget becomes another, in the file of every host
	Point    Kind = "point"     // an agent dies at a point of its program, where it was built for that
	Minority Kind = "minority"  // a host and the next are cut off from all others
)

// Kinds are all, in the order in which a drawn schedule has them at least once.
func Kinds() []Kind {
	return []Kind{Cut, CutBoth, Delay, Stall, Slow, Reset, Twice, Kill, Stop, Leader, Blackout, Full, Old, Freeze, Death, Orphan,
		BadStart, Whole, Minority}
}

// Fault is one of them.
type Fault struct {
	At, For time.Duration
	Kind    Kind
	A, B    string        // hosts or a backend, as the kind has it
	By      time.Duration // Delay, Twice
	Number  int           // Slow: bytes a second; Whole: the new one
	Word    string        // Whole: the budget; Point: its name
}

// Over is when its effect ends; what came of it may take longer.
func (f Fault) Over() time.Duration { return f.At + f.For + f.By }

func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "(%s (at %v)", f.Kind, f.At)
	for _, w := range []string{f.A, f.B, f.Word} {
		if w != "" {
			fmt.Fprintf(&b, " (on %s)", w)
		}
	}
	if f.For > 0 {
		fmt.Fprintf(&b, " (for %v)", f.For)
	}
	if f.By > 0 {
		fmt.Fprintf(&b, " (by %v)", f.By)
	}
	if f.Number > 0 {
		fmt.Fprintf(&b, " (to %d)", f.Number)
	}
	return b.String() + ")"
}

// Schedule is a trial's course.
type Schedule struct {
	Name     string
	Seed     uint64 // of the load
	Hosts    int
	Backends int
	Span     time.Duration // of faults; a trial goes on until all that comes of them is over
	Load     float64       // of the backends' capacity
	Skew     int           // clocks of leases run apart by up to so many millionths, host by host
	Wave     time.Duration // a wave over all hosts begins then; 0: none
	Faults   []Fault
	Cold     *ColdStart // all backends are started at its beginning, beside a register that may be ill; nil: they serve by then
}

func (t *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "(trial %s (seed %d) (hosts %d) (backends %d) (span %v) (load %v) (skew %d)", t.Name, t.Seed, t.Hosts, t.Backends, t.Span, t.Load, t.Skew)
	if t.Wave > 0 {
		fmt.Fprintf(&b, " (wave %v)", t.Wave)
	}
	if t.Cold != nil {
		t.Cold.write(&b)
	}
	for _, f := range t.Faults {
		fmt.Fprintf(&b, "\n  %v", f)
	}
	return b.String() + ")\n"
}

// Bounds of a table.
const (
	MostHosts    = 15
	MostBackends = 400
	longest      = time.Hour
)

// Read reads a table's file. The error joins all that is wrong, each with its place.
func Read(file string, src []byte) (*Schedule, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	errs := &sexpr.Errors{File: file}
	forms := sexpr.Forms(nodes, errs)
	if len(forms) != 1 || forms[0].Name != "trial" {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "", "wanted one list that begins with trial")
		return nil, errs.Err()
	}
	f := forms[0]
	t := &Schedule{
		Name: f.Arg(), Seed: uint64(f.Int("seed", 0, 1<<62, 1)), Hosts: f.Int("hosts", 1, MostHosts, 5), Backends: f.Int("backends", 1, MostBackends, 20),
		Span: f.Span("span", time.Second, longest, time.Minute), Load: f.Share("load", 0, 4, 0.3), Skew: f.Int("skew", 0, 45_000, 0),
		Wave: f.Span("wave", 0, longest, 0),
	}
	for _, k := range append(Kinds(), Point) {
		for _, sub := range f.All(string(k)) {
			x := Fault{Kind: k, At: sub.Span("at", 0, longest, 0), For: sub.Span("for", 0, longest, 0), By: sub.Span("by", 0, longest, 0), Number: sub.Int("to", 0, 1<<30, 0)}
			var on []string
			for _, o := range sub.All("on") {
				on = append(on, o.Arg())
				o.Done()
			}
			if err := x.name(t, on); err != nil {
				sub.Fail("on", "%v", err)
			}
			sub.Done()
			t.Faults = append(t.Faults, x)
		}
	}
	if sub := f.Field("cold"); sub != nil {
		t.Cold = readCold(sub)
	}
	f.Done()
	slices.SortStableFunc(t.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return t, errs.Err()
}

// name takes whom a fault is about.
func (f *Fault) name(t *Schedule, on []string) error {
	wanted := f.wants()
	if len(on) != len(wanted) {
		return fmt.Errorf("found %d of them, wanted %d: %s", len(on), len(wanted), strings.Join(wanted, ", "))
	}
	for i, w := range wanted {
		n, err := strconv.Atoi(strings.TrimLeft(on[i], "hn"))
		switch {
		case w == "host" && (err != nil || on[i][0] != 'h' || n < 1 || n > t.Hosts):
			return fmt.Errorf("%q is no host from h1 to h%d", on[i], t.Hosts)
		case w == "backend" && (err != nil || on[i][0] != 'n' || n < 1 || n > t.Backends):
			return fmt.Errorf("%q is no backend from n1 to n%d", on[i], t.Backends)
		}
	}
	to := []*string{&f.A, &f.B}
	if len(wanted) > 0 && wanted[len(wanted)-1] == "word" {
		f.Word, on = on[len(on)-1], on[:len(on)-1]
	}
	for i := range on {
		*to[i] = on[i]
	}
	return nil
}

func (f *Fault) wants() []string {
	switch f.Kind {
	case Cut, CutBoth, Delay, Stall, Slow, Reset, Twice:
		return []string{"host", "host"}
	case Kill, Stop, Full, Old, Minority:
		return []string{"host"}
	case Freeze, Death, Orphan, BadStart:
		return []string{"backend"}
	case Whole:
		return []string{"word"}
	case Point:
		return []string{"host", "word"}
	}
	return nil
}

// Random makes a table from a seed: each kind at least once, then more of any, until there are so many.
func Random(seed uint64, hosts, backends, faults int, span time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, 27))
	t := &Schedule{
		Name: fmt.Sprint("drawn-", seed), Seed: seed, Hosts: hosts, Backends: backends, Span: span, Load: 0.3, Skew: 30_000,
	}
	kinds := Kinds()
	for len(kinds) < faults {
		kinds = append(kinds, Kinds()[r.IntN(len(Kinds()))])
	}
	blackouts := 0
	for i, k := range kinds {
		at := randomSpan(r, 2000, max(2001, int(span.Milliseconds())-4000))
		if k == Blackout || k == Old {
			if blackouts++; blackouts > 3 && i >= len(Kinds()) {
				k = Freeze
			}
		}
		t.Faults = append(t.Faults, randomFault(r, k, at, hosts, backends))
	}
	slices.SortStableFunc(t.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return t
}

// randomSpan draws a span of whole milliseconds, both ends included.
func randomSpan(r *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+r.IntN(to-from+1)) * time.Millisecond
}

// randomFault draws where one fault happens and how long it lasts.
func randomFault(r *rand.Rand, k Kind, at time.Duration, hosts, backends int) Fault {
	f := Fault{Kind: k, At: at}
	ms := func(from, to int) time.Duration { return randomSpan(r, from, to) }
	first := r.IntN(hosts)
	second := (first + 1 + r.IntN(max(1, hosts-1))) % hosts
	a, b := fmt.Sprint("h", first+1), fmt.Sprint("h", second+1)
	backend := fmt.Sprint("n", r.IntN(backends)+1)
	switch k {
	case Cut, CutBoth, Stall:
		f.A, f.B, f.For = a, b, ms(500, 6000)
	case Delay:
		f.A, f.B, f.For, f.By = a, b, ms(1000, 5000), ms(20, 900)
	case Slow:
		f.A, f.B, f.For, f.Number = a, b, ms(1000, 5000), 500+r.IntN(5000)
	case Reset:
		f.A, f.B = a, b
	case Twice:
		f.A, f.B, f.For, f.By = a, b, ms(1000, 4000), ms(2000, 10_000)
	case Kill, Old:
		f.A, f.For = a, ms(100, 4000)
	case Stop:
		f.A, f.For = a, ms(300, 6000)
	case Full:
		f.A, f.For = a, ms(1000, 4000)
	case Minority:
		f.A, f.For = a, ms(2000, 7000)
	case Leader, Blackout:
		f.For = ms(100, 3000)
	case Freeze:
		f.A, f.For = backend, ms(200, 5000)
	case Death, Orphan:
		f.A = backend
	case BadStart:
		f.A, f.For = backend, ms(500, 2500)
	case Whole:
		f.Word, f.Number = "acme", 60+r.IntN(200)
	}
	return f
}

// Smaller lists tables with less in them, largest cuts first: halves, quarters, and each fault alone taken out.
func (t *Schedule) Smaller() (all []*Schedule) {
	n := len(t.Faults)
	for part := max(1, n/2); ; part /= 2 {
		for from := 0; from < n; from += part {
			less := *t
			less.Faults = slices.Concat(t.Faults[:from], t.Faults[min(n, from+part):])
			all = append(all, &less)
		}
		if part <= 1 {
			return all
		}
	}
}
