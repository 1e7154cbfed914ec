package simulation

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/sexpr"
)

const (
	day    = 24 * time.Hour
	noTime = time.Duration(0)
)

func micros(d time.Duration) Micros      { return Micros(d.Microseconds()) }
func span(m Micros) time.Duration        { return time.Duration(m) * time.Microsecond }
func index(names []string, s string) int { return slices.Index(names, s) }

// ReadScenario reads the form (scenario NAME (hosts ...) (nodes ...) ...). What it leaves out stands as in Default; what is
// wrong goes to the form's errors.
func ReadScenario(f *sexpr.Form) Scenario {
	s := Default()
	s.Name = f.Arg()
	s.For = micros(f.Span("for", time.Millisecond, day, span(s.For)))
	if h := f.Field("hosts"); h != nil {
		readHosts(h, &s.Hosts)
	}
	if n := f.Field("nodes"); n != nil {
		readNodes(n, &s.Nodes)
	}
	if r := f.Field("register"); r != nil {
		s.Register.Lag = micros(r.Span("lag", noTime, time.Hour, span(s.Register.Lag)))
		r.Done()
	}
	if b := f.Field("below"); b != nil {
		s.Below.Slots = b.Int("slots", 1, 1_000_000, s.Below.Slots)
		s.Below.Work = micros(b.Span("work", noTime, time.Minute, span(s.Below.Work)))
		b.Done()
	}
	if all := f.All("operation"); len(all) > 0 {
		s.Operations = nil
		for _, o := range all {
			s.Operations = append(s.Operations, readOperation(o))
		}
	}
	for _, t := range f.All("tenant") {
		s.Tenants = append(s.Tenants, Tenant{
			Name: t.Arg(), Share: t.Share("share", 0, 1, 1), Quota: t.Share("quota", 0, 1e9, 0), Lies: t.Share("lies", 0, 1000, 1),
		})
		t.Done()
	}
	if l := f.Field("load"); l != nil {
		s.Load.At = l.Share("at", 0, 100, s.Load.At)
		s.Load.To = l.Share("to", 0, 100, s.Load.To)
		s.Load.Shape = Shape(index(shapeNames, l.OneOf("shape", shapeNames[:Replay]...)))
		s.Load.Period = micros(l.Span("period", time.Millisecond, day, span(s.Load.Period)))
		s.Load.Swing = l.Share("swing", 0, 1, s.Load.Swing)
		l.Done()
	}
	for _, t := range f.All("trouble") {
		s.Troubles = append(s.Troubles, readTrouble(t, &s))
	}
	f.Done()
	if err := s.Check(); err != nil {
		f.Fail("", "%v", err)
	}
	return s
}

func readHosts(f *sexpr.Form, h *HostTerms) {
	const mb = 1024
	h.Count = f.Int("count", 1, MostHosts, h.Count)
	h.Told = f.Int("told", 0, MostHosts, h.Told)
	h.Cores = f.Int("cores", 1, 1024, h.Cores)
	h.Spread = f.Share("spread", 0, 0.9, h.Spread)
	h.Crowd = f.Share("crowd", 1, 1000, h.Crowd)
	h.FallOver = micros(f.Span("fall-over", time.Millisecond, day, span(h.FallOver)))
	h.Read = micros(f.Span("read", noTime, time.Second, span(h.Read)))
	h.Handshake = micros(f.Span("handshake", noTime, time.Second, span(h.Handshake)))
	h.MemoryKB = mb * f.Share("memory", 1, 1<<20, h.MemoryKB/mb)
	h.HeldKB = f.Share("held", 0, 1<<20, h.HeldKB)
	h.RunFactor = f.Share("run-factor", 1, 1000, h.RunFactor)
	h.ColdShare = f.Share("cold-share", 0.01, 1, h.ColdShare)
	h.ColdFor = micros(f.Span("cold-for", noTime, time.Hour, span(h.ColdFor)))
	h.Connections = f.Int("connections", 1, 1_000_000, h.Connections)
	h.IdleFor = micros(f.Span("idle-for", time.Millisecond, day, span(h.IdleFor)))
	h.Grace = micros(f.Span("grace", noTime, time.Hour, span(h.Grace)))
	h.Stop = micros(f.Span("stop", time.Millisecond, time.Hour, span(h.Stop)))
	h.Slack = micros(f.Span("slack", time.Millisecond, time.Minute, span(h.Slack)))
	h.RetryAfter = micros(f.Span("retry-after", noTime, time.Hour, span(h.RetryAfter)))
	h.Stoppable = f.OneOf("stoppable", "no", "yes") == "yes"
	f.Done()
}

func readNodes(f *sexpr.Form, n *NodeTerms) {
	n.Count = f.Int("count", 1, MostNodes, n.Count)
	n.Subset = f.Int("subset", 0, MostHosts, n.Subset)
	n.Balance = Balance(index(balanceNames, f.OneOf("balance", balanceNames[:Oracle]...)))
	n.Tries = f.Int("tries", 0, 1000, n.Tries)
	n.Pause = micros(f.Span("pause", noTime, time.Minute, span(n.Pause)))
	n.Deaf = f.Share("deaf", 0, 1, n.Deaf)
	n.Hedge = micros(f.Span("hedge", noTime, time.Minute, span(n.Hedge)))
	n.Word = micros(f.Span("word", noTime, time.Minute, span(n.Word)))
	n.Net = micros(f.Span("net", noTime, time.Minute, span(n.Net)))
	n.Behind = f.Share("behind", 0, 1, n.Behind)
	n.BehindIn = micros(f.Span("behind-in", time.Millisecond, time.Hour, span(n.BehindIn)))
	n.Refresh = micros(f.Span("refresh", time.Millisecond, time.Hour, span(n.Refresh)))
	n.Throttles = f.OneOf("throttles", "no", "yes") == "yes"
	f.Done()
}

func readOperation(f *sexpr.Form) Operation {
	o := Operation{
		Name: f.Arg(), Value: f.Share("value", 0, 1e9, 1), Rank: f.Share("rank", 0, 1, 0.5), Share: f.Share("share", 0, 1, 1),
		Work: micros(f.Span("work", time.Microsecond, time.Minute, 20*time.Millisecond)), Tail: f.Share("tail", 0, 3, 0.5),
		Objective: micros(f.Span("objective", time.Millisecond, time.Hour, time.Second)),
		Timeout:   micros(f.Span("timeout", time.Millisecond, time.Hour, 3*time.Second)), LateValue: f.Share("late-value", 0, 1, 0),
		Hint: f.Share("hint", 0, 1000, 0), HintSpread: f.Share("hint-spread", 0, 3, 0), SkippedValue: f.Share("skipped-value", 0, 1, 0),
		Calls: f.OneOf("calls", "no", "yes") == "yes",
	}
	o.Repeat = admission.RetrySafety(index([]string{"idempotent", "tokened", "non-idempotent"}, f.OneOf("repeat", "idempotent", "tokened", "non-idempotent")))
	f.Done()
	return o
}

func readTrouble(f *sexpr.Form, s *Scenario) Trouble {
	t := Trouble{
		At: micros(f.Span("at", noTime, day, noTime)), For: micros(f.Span("for", noTime, day, 10*time.Second)), Share: f.Share("share", 0, 1, 0.25),
		Factor: f.Share("factor", 0, 1e6, 2), Width: f.Share("width", 0, 1, 0.1), Lost: f.Share("lost", 0, 1, 0),
		Fleet: f.OneOf("by", "waves", "fleet") == "fleet",
	}
	name := f.Arg()
	k := index(kindNames, name)
	if k < 0 {
		f.Fail("", "found %q, wanted one of %s", name, strings.Join(kindNames, ", "))
		k = 0
	}
	t.Kind = Kind(k)
	if tenant := f.Text("tenant", ""); tenant != "" {
		if t.Tenant = index(s.tenantNames(), tenant); t.Tenant < 0 {
			f.Fail("tenant", "%q is none of the scenario's", tenant)
			t.Tenant = 0
		}
	}
	f.Done()
	return t
}

// MostRecorded lines of a recorded load are taken.
const MostRecorded = 20_000_000

// ReadRecorded reads a recorded load: a line a request, in order of time, as "MICROSECONDS OPERATION TENANT WORK", the
// tenant "-" where there is none and the work in microseconds. The names must be the scenario's.
func ReadRecorded(file string, in io.Reader, s *Scenario) (all []Recorded, err error) {
	ops, tenants := s.operationNames(), s.tenantNames()
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		fail := func(column int, format string, args ...any) error {
			return fmt.Errorf("%s:%d:%d: %s", file, n, column, fmt.Sprintf(format, args...))
		}
		if len(words) != 4 {
			return nil, fail(1, "found %d words, wanted 4: microseconds, operation, tenant, work", len(words))
		}
		at := strings.Index(lines.Text(), words[0]) + 1
		r := Recorded{Operation: index(ops, words[1])}
		us, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil || us < 0 || len(all) > 0 && Micros(us) < all[len(all)-1].At {
			return nil, fail(at, "found %q, wanted microseconds, not before the line above", words[0])
		}
		work, err := strconv.ParseInt(words[3], 10, 64)
		if err != nil || work <= 0 || work > 60e6 {
			return nil, fail(at, "found %q, wanted a work of 1 to 60,000,000 microseconds", words[3])
		}
		if r.Operation < 0 {
			return nil, fail(at, "operation %q is none of the scenario's", words[1])
		}
		if words[2] != "-" {
			if r.Tenant = index(tenants, words[2]); r.Tenant < 0 {
				return nil, fail(at, "tenant %q is none of the scenario's", words[2])
			}
		}
		if len(all) >= MostRecorded {
			return nil, fail(at, "more than %d lines", MostRecorded)
		}
		r.At, r.Work = Micros(us), Micros(work)
		all = append(all, r)
	}
	return all, lines.Err()
}
