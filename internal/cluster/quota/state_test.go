package quota

import (
	"fmt"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

func rate(total int64, names int, floor int64, divide Division) Config {
	b := Limit{Name: "b", Kind: Rate, Total: total, Floors: map[InstanceName]int64{}, Division: divide, Step: 1, Lease: 1_000_000, ClockMargin: 50_000, Tenant: "t"}
	for i := range names {
		b.Floors[InstanceName(fmt.Sprint("n", i))] = floor
	}
	return Config{Version: 1, Limits: []Limit{b}}
}

// fleet simulates holders with clocks of their own, a state with a leader's lease tracker, and messages in flight.
type fleet struct {
	t                *rapid.T
	now              int64 // true time in microseconds
	state            *State
	tracker          *LeaseTracker
	clock            int64 // the leader's runs faster by so many in a thousand
	holders          []*holder
	requests         []inFlight[quota.LeaseRequest]
	responses        []inFlight[quota.LeaseResponse]
	configuredTotals []int64 // in the order of their versions
	totalSince       []int64
}

type holder struct {
	*quota.Holder
	name, host  string
	incarnation int
	ppm         int64
	exited      bool
}

type inFlight[T any] struct {
	host string
	msg  T
}

func (h *holder) clock(now int64) monotime.Micros { return monotime.Micros(now + now/1000*h.ppm/1000) }

func (f *fleet) leader() monotime.Micros { return monotime.Micros(f.now + f.now/1000*f.clock) }

func (f *fleet) apply(c Command) Result {
	c.FreezeGrowth = f.tracker.GrowthFrozen(f.leader())
	r := f.state.Apply(c)
	return r
}

// check compares what the holders may act on, by their own account, with the total.
func (f *fleet) check() {
	sum := int64(0)
	floors := map[string]int64{}
	for _, h := range f.holders {
		if h.exited {
			continue
		}
		for _, v := range h.Status(h.clock(f.now)) {
			sum += v.Extra
			floors[h.name] += v.Floor
		}
	}
	for _, fl := range floors {
		sum += fl
	}
	limit := f.configuredTotals[len(f.configuredTotals)-1]
	for i := len(f.configuredTotals) - 2; i >= 0 && f.now-f.totalSince[i+1] < 4_000_000; i-- {
		limit = max(limit, f.configuredTotals[i]) // a lower total is reached once the leases from before are over
	}
	if sum > limit {
		f.t.Fatalf("at %d grants in force add up to %d, the total is %d", f.now, sum, limit)
	}
	// The state's totals must be those of its grants.
	was := *f.state.totals["b"]
	f.state.recount("b")
	if now := *f.state.totals["b"]; now.inForce != was.inForce || now.reservedFloors != was.reservedFloors || now.extras != was.extras {
		f.t.Fatalf("sums went astray: %+v, counted anew %+v", was, now)
	}
}

// TestNeverMoreThanTheTotal: whatever is lost, late or doubled, and however clocks differ, the grants in force add up to no more than the
// total; once faults end all of it is granted again.
func TestNeverMoreThanTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.IntRange(1, 6).Draw(t, "names")
		floor := int64(rapid.IntRange(0, 4).Draw(t, "floor"))
		total := max(1, floor*int64(names)) + int64(rapid.IntRange(0, 60).Draw(t, "pool"))
		divide := rapid.SampledFrom([]Division{DivideEvenly, DivideByCapacity, DivideByDemand}).Draw(t, "divide")
		config := rate(total, names, floor, divide)
		f := &fleet{t: t, now: 1_000_000_000, state: NewState(), tracker: &LeaseTracker{}, clock: int64(rapid.IntRange(0, 4).Draw(t, "leader clock")), configuredTotals: []int64{total}, totalSince: []int64{0}}
		f.state.Apply(Command{Config: &config})
		f.tracker.BecomeLeader(f.leader(), f.state, false)
		start := func(i int) *holder {
			h := &holder{name: fmt.Sprint("n", i), host: fmt.Sprint("h", i%3), incarnation: len(f.holders), ppm: int64(rapid.IntRange(-4000, 4000).Draw(t, "ppm"))}
			h.Holder = quota.New(h.name, fmt.Sprint(h.incarnation), []string{"b"})
			f.holders = append(f.holders, h)
			return h
		}
		for i := range names {
			start(i)
		}
		one := func() *holder { return f.holders[rapid.IntRange(0, len(f.holders)-1).Draw(t, "holder")] }
		// A request that is delivered twice is answered twice.
		deliver := func(i int, twice bool) {
			q := f.requests[i]
			if !twice {
				f.requests = slices.Delete(f.requests, i, i+1)
			}
			r := f.apply(Command{Renew: &RenewCommand{Host: q.host, Requests: []quota.LeaseRequest{q.msg}}})
			for _, a := range r.Answers {
				f.responses = append(f.responses, inFlight[quota.LeaseResponse]{msg: a})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				if h := one(); !h.exited && len(f.requests) < 8 {
					f.requests = append(f.requests, inFlight[quota.LeaseRequest]{host: h.host, msg: h.NewRequest(h.clock(f.now))})
				}
			},
			"round": func(*rapid.T) { // all renew and are answered at once
				for _, h := range f.holders {
					if !h.exited {
						f.requests = append(f.requests, inFlight[quota.LeaseRequest]{host: h.host, msg: h.NewRequest(h.clock(f.now))})
						deliver(len(f.requests)-1, false)
						_ = h.Apply(h.clock(f.now), f.responses[len(f.responses)-1].msg)
					}
				}
			},
			"deliver": func(t *rapid.T) {
				if n := len(f.requests); n > 0 {
					deliver(rapid.IntRange(0, n-1).Draw(t, "request"), rapid.Bool().Draw(t, "delivered again"))
				}
			},
			"response": func(t *rapid.T) {
				if n := len(f.responses); n > 0 {
					a := f.responses[rapid.IntRange(max(0, n-12), n-1).Draw(t, "response")].msg
					for _, h := range f.holders {
						if !h.exited {
							_ = h.Apply(h.clock(f.now), a)
						}
					}
				}
			},
			"requests are lost": func(*rapid.T) { f.requests = f.requests[:0] },
			"draw": func(t *rapid.T) {
				if h := one(); !h.exited {
					for range rapid.IntRange(1, 50).Draw(t, "draws") {
						h.TryAcquire(h.clock(f.now), 0)
					}
				}
			},
			"time":           func(t *rapid.T) { f.now += int64(rapid.IntRange(1, 400_000).Draw(t, "us")) },
			"a lease passes": func(*rapid.T) { f.now += 1_000_000 },
			"elected":        func(*rapid.T) { f.tracker.BecomeLeader(f.leader(), f.state, false) },
			"tick": func(*rapid.T) {
				over, divide := f.tracker.Tick(f.leader(), f.state)
				f.apply(Command{Expire: over, Rebalance: divide})
			},
			"exits": func(t *rapid.T) {
				if h := one(); !h.exited && len(f.holders) < 20 {
					h.exited = true
					if rapid.Bool().Draw(t, "reported") {
						f.apply(Command{Exited: &ExitCommand{Host: h.host, ClientKeys: []ClientKey{NewClientKey(InstanceName(h.name), fmt.Sprint(h.incarnation))}}})
					}
					n := 0
					if _, err := fmt.Sscanf(h.name, "n%d", &n); err != nil {
						t.Fatal(err)
					}
					start(n)
				}
			},
			"exit reported by another host": func(*rapid.T) {
				h := one()
				f.apply(Command{Exited: &ExitCommand{Host: h.host + "x", ClientKeys: []ClientKey{NewClientKey(InstanceName(h.name), fmt.Sprint(h.incarnation))}}})
			},
			"another total": func(t *rapid.T) {
				if len(f.configuredTotals) > 3 {
					return
				}
				next := config
				next.Version = uint64(len(f.configuredTotals) + 1)
				next.Limits = slices.Clone(config.Limits)
				next.Limits[0].Total = max(1, floor*int64(names)) + int64(rapid.IntRange(0, 60).Draw(t, "pool"))
				f.state.Apply(Command{Config: &next})
				f.configuredTotals, f.totalSince = append(f.configuredTotals, next.Limits[0].Total), append(f.totalSince, f.now)
				// Leases granted under the former total expire only while the tracker ticks.
				for range 40 {
					f.now += 100_000
					over, divide := f.tracker.Tick(f.leader(), f.state)
					f.apply(Command{Expire: over, Rebalance: divide})
				}
			},
			"": func(*rapid.T) { f.check() },
		})
		// Faults end: all of the total is granted again.
		for range 60 {
			f.now += 100_000
			over, divide := f.tracker.Tick(f.leader(), f.state)
			f.apply(Command{Expire: over, Rebalance: divide})
			for _, h := range f.holders {
				if h.exited {
					f.apply(Command{Exited: &ExitCommand{Host: h.host, ClientKeys: []ClientKey{NewClientKey(InstanceName(h.name), fmt.Sprint(h.incarnation))}}})
					continue
				}
				r := f.apply(Command{Renew: &RenewCommand{Host: h.host, Requests: []quota.LeaseRequest{h.NewRequest(h.clock(f.now))}}})
				if err := h.Apply(h.clock(f.now), r.Answers[0]); err != nil {
					t.Fatalf("%s: %v: %s", h.name, err, r.Answers[0].Refusal)
				}
			}
			f.check()
		}
		sum := int64(0)
		for _, h := range f.holders {
			if !h.exited {
				v := h.Status(h.clock(f.now))[0]
				sum += v.Floor + v.Extra
			}
		}
		if total := f.configuredTotals[len(f.configuredTotals)-1]; sum != total {
			t.Fatalf("after the faults %d of %d are granted", sum, total)
		}
	})
}

// TestMaxMinFair: the parts are steps that add up to the pool, and no claim lacks while another has more than its part.
func TestMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, step := int64(rapid.IntRange(0, 10_000).Draw(t, "pool")), int64(rapid.IntRange(1, 9).Draw(t, "step"))
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
			return Claim{Demand: int64(rapid.IntRange(-1, 3000).Draw(t, "want")), Weight: int64(rapid.IntRange(1, 5).Draw(t, "weight"))}
		}), 1, 12).Draw(t, "claims")
		parts := MaxMinFair(pool, step, claims)
		sum, wanted := int64(0), int64(0)
		for i, p := range parts {
			if sum += p; p < 0 || p%step != 0 {
				t.Fatalf("part %d of step %d", p, step)
			}
			w := claims[i].Demand
			if w < 0 {
				w = pool
			}
			wanted += (w + step - 1) / step * step
		}
		if total := pool / step * step; sum != total {
			t.Fatalf("parts add up to %d of %d", sum, total)
		}
		// Max-min: a claim that lacks has no less, by weight, than any other, but for a step.
		if wanted > pool {
			for i, a := range claims {
				for j, b := range claims {
					lacks := a.Demand < 0 || parts[i] < a.Demand
					if lacks && (parts[i]+step)*b.Weight < (parts[j]-step)*a.Weight {
						t.Fatalf("%+v has %d and lacks, %+v has %d", a, parts[i], b, parts[j])
					}
				}
			}
		}
	})
}

// TestLateCalls: a command that comes a second time, much later, changes nothing.
func TestLateCalls(t *testing.T) {
	l := NewState()
	config := rate(10, 2, 1, DivideEvenly)
	config.Limits = append(config.Limits, Limit{Name: "out", Kind: Concurrency, Total: 1})
	l.Apply(Command{Config: &config})
	take := Command{Acquire: &PermitCommand{Limit: "out", Name: "n0", Host: "h", AcquireID: "w1"}}
	if r := l.Apply(take); r.Rejection != "" {
		t.Fatal(r.Rejection)
	}
	if r := l.Apply(Command{Acquire: &PermitCommand{Limit: "out", Name: "n1", Host: "h", AcquireID: "w1"}}); r.Rejection == "" {
		t.Fatal("two hold one unit")
	}
	l.Apply(Command{Release: &PermitCommand{Limit: "out", Name: "n0", Host: "h", AcquireID: "w1"}})
	if r := l.Apply(take); r.Rejection == "" {
		t.Fatal("a duplicate of an acquisition holds what was released")
	}
	l.Apply(Command{Acquire: &PermitCommand{Limit: "out", Name: "n0", Host: "h", AcquireID: "w2"}})
	l.Apply(Command{Release: &PermitCommand{Limit: "out", Name: "n0", Host: "h", AcquireID: "w1"}})
	if n := len(l.Permits["out"]); n != 1 {
		t.Fatalf("a release of an earlier acquisition ended a later one: %d held", n)
	}
	request := quota.LeaseRequest{Name: "n0", Incarnation: "a", Number: 2, Clock: 5, Usage: []quota.Usage{{Budget: "b"}}}
	l.Apply(Command{Renew: &RenewCommand{Host: "h", Requests: []quota.LeaseRequest{request}}})
	if a := l.Apply(Command{Renew: &RenewCommand{Host: "h", Requests: []quota.LeaseRequest{request}}}).Answers[0]; a.Refusal == "" || a.Grants != nil {
		t.Fatalf("the same request was granted twice: %+v", a)
	}
	other := quota.LeaseRequest{Name: "n0", Incarnation: "b", Number: 1, Usage: []quota.Usage{{Budget: "b"}}}
	if a := l.Apply(Command{Renew: &RenewCommand{Host: "h2", Requests: []quota.LeaseRequest{other}}}).Answers[0]; a.Refusal == "" {
		t.Fatalf("two processes have the floor of one backend: %+v", a)
	}
	l.Apply(Command{WriteOff: &WriteOffCommand{Name: "n0", By: "test"}})
	if a := l.Apply(Command{Renew: &RenewCommand{Host: "h2", Requests: []quota.LeaseRequest{other}}}).Answers[0]; a.Refusal != "" {
		t.Fatalf("written off and still not granted: %s", a.Refusal)
	}
}

// TestSetBack: a client that knows a later epoch than the state shows that the state was set back; growth is frozen then.
func TestSetBack(t *testing.T) {
	l, c := NewState(), &LeaseTracker{}
	config := rate(10, 2, 0, DivideEvenly)
	l.Apply(Command{Config: &config})
	c.BecomeLeader(1, l, false)
	c.Tick(2, l)
	r := l.Apply(Command{Renew: &RenewCommand{Host: "h", Requests: []quota.LeaseRequest{{Name: "n0", Incarnation: "a", Number: 9, Usage: []quota.Usage{{Budget: "b", Epoch: 900}}}}}})
	if r.Answers[0].Refusal == "" || l.Serial <= 900 {
		t.Fatalf("%+v, serial %d", r.Answers[0], l.Serial)
	}
	c.Tick(3, l)
	if !c.GrowthFrozen(4) || !c.GrowthFrozen(1_000_000) || c.GrowthFrozen(1_050_004) {
		t.Fatal("a state that was set back must wait for the leases to end that it may have granted")
	}
}

func BenchmarkDivide(b *testing.B) {
	for _, n := range []int{60, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := NewState()
			config := rate(int64(n)*10, n, 1, DivideByDemand)
			l.Apply(Command{Config: &config})
			for i := range n {
				l.Apply(Command{Renew: &RenewCommand{Host: "h", Requests: []quota.LeaseRequest{{Name: fmt.Sprint("n", i), Incarnation: "a", Number: 1, Usage: []quota.Usage{{Budget: "b", Drawn: int64(i)}}}}}})
			}
			for b.Loop() {
				l.Apply(Command{Rebalance: true})
			}
		})
	}
}

// small is a state with a leader's tracker and holders that renew at once, for cases without chance.
type small struct {
	l       *State
	c       LeaseTracker
	now     monotime.Micros
	holders map[string]*quota.Holder
	draws   func(name string) int // units in a tenth of a second
}

func newSmall(config Config) *small {
	s := &small{l: NewState(), now: 1_000_000, holders: map[string]*quota.Holder{}}
	s.l.Apply(Command{Config: &config})
	s.c.BecomeLeader(s.now, s.l, false)
	return s
}

func (s *small) join(names ...string) {
	for _, n := range names {
		s.holders[n] = quota.New(n, "1", []string{"b"})
	}
}

// pass lets tenths of a second pass, with a renewal of all in each.
func (s *small) pass(tenths int) {
	for range tenths {
		s.now += 100_000
		over, divide := s.c.Tick(s.now, s.l)
		s.l.Apply(Command{Expire: over, Rebalance: divide})
		for _, n := range sortedKeys(s.holders) {
			h := s.holders[n]
			for range s.draws(n) {
				h.TryAcquire(s.now, 0)
			}
			r := s.l.Apply(Command{Renew: &RenewCommand{Host: "h", Requests: []quota.LeaseRequest{h.NewRequest(s.now)}}})
			_ = h.Apply(s.now, r.Answers[0])
		}
	}
}

func (s *small) held() (sum int64, by map[string]int64) {
	by = map[string]int64{}
	for n, h := range s.holders {
		v := h.Status(s.now)[0]
		by[n] = v.Floor + v.Extra
		sum += by[n]
	}
	return sum, by
}

// TestOverstatedDemand: a holder that claims all that there is takes nothing that the others need.
func TestOverstatedDemand(t *testing.T) {
	s := newSmall(rate(100, 5, 1, DivideByDemand))
	s.join("n0", "n1", "n2", "n3", "n4")
	s.draws = func(name string) int {
		if name == "n0" {
			return 5000
		}
		return 2 // 20 a second: all five have an even part of 20 then
	}
	s.pass(50)
	sum, by := s.held()
	for _, n := range []string{"n1", "n2", "n3", "n4"} {
		if by[n] < 19 {
			t.Errorf("%s has %d beside one that claims all, wanted 19 at least: %v", n, by[n], by)
		}
	}
	if sum > 100 {
		t.Errorf("%d of 100 are held", sum)
	}
}

// TestDemandMoves: what one no longer needs is granted to another soon, and with steady demand the targets settle.
func TestDemandMoves(t *testing.T) {
	s := newSmall(rate(200, 2, 1, DivideByDemand))
	s.join("n0", "n1")
	busy := "n0"
	s.draws = func(name string) int {
		if name == busy {
			return 40
		}
		return 0
	}
	s.pass(60)
	if _, by := s.held(); by["n0"] < 180 {
		t.Errorf("n0 wants all and has %v", by)
	}
	busy = "n1"
	s.pass(30)
	if _, by := s.held(); by["n1"] < 198 {
		t.Errorf("three leases after demand moved n1 has %v: one without demand needs its floor alone", by)
	}
	_, before := s.held()
	moved := int64(0)
	for range 30 {
		s.pass(1)
		_, by := s.held()
		moved += max(by["n1"]-before["n1"], before["n1"]-by["n1"])
		before = by
	}
	if moved > 20 {
		t.Errorf("%d units moved in three leases of steady demand", moved)
	}
}

// TestManyJoin: the total is divided among 200 that join, and again after half of them are lost at once.
func TestManyJoin(t *testing.T) {
	s := newSmall(rate(1000, 220, 1, DivideByDemand))
	s.draws = func(string) int { return 1 }
	s.join("n0", "n1", "n2")
	s.pass(20)
	for i := 3; i < 203; i++ {
		s.join(fmt.Sprint("n", i))
		if i%3 == 0 {
			s.pass(1)
		}
	}
	s.pass(20)
	if sum, _ := s.held(); sum != 1000-17 { // 17 never came, their floors are reserved
		t.Errorf("%d of 983 are held by 203", sum)
	}
	for i := 3; i < 203; i += 2 {
		delete(s.holders, fmt.Sprint("n", i))
	}
	s.pass(40)
	if sum, _ := s.held(); sum != 1000-17-100 { // nobody reported their end: their floors stay reserved
		t.Errorf("%d of 883 are held after half were lost", sum)
	}
	// A total below the number of backends: some have a unit, the others none.
	few := newSmall(rate(5, 20, 0, DivideEvenly))
	few.draws = func(string) int { return 1 }
	for i := range 20 {
		few.join(fmt.Sprint("n", i))
	}
	few.pass(30)
	if sum, _ := few.held(); sum != 5 {
		t.Errorf("%d of 5 are held by 20", sum)
	}
}

// TestNoClock: packages that decide import no clock and do no I/O, so that setting the wall clock changes nothing.
func TestNoClock(t *testing.T) {
	for _, dir := range []string{".", "../quorum", "../../backend/quota"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal(dir, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			if err != nil {
				t.Fatal(err)
			}
			for _, i := range f.Imports {
				if p := i.Path.Value; p == `"time"` || p == `"net"` || p == `"os"` {
					t.Errorf("%s imports %s", file, p)
				}
			}
		}
	}
}
