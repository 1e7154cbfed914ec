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
	"milletbarrow/monotime"
)

const (
	day          = 24 * time.Hour
	zeroDuration = time.Duration(0)
)

// toDuration converts a simulated duration.
func toDuration(m monotime.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// indexOf returns the index of a name, or -1.
func indexOf(names []string, s string) int { return slices.Index(names, s) }

// ReadScenario reads the form (scenario NAME (hosts ...) (nodes ...) ...). Omitted fields are as in Default. Errors are
// added to the form's errors.
func ReadScenario(f *sexpr.Form) Scenario {
	s := Default()
	s.Name = f.Arg()
	s.Duration = monotime.FromDuration(f.Span("for", time.Millisecond, day, toDuration(s.Duration)))
	if h := f.Field("hosts"); h != nil {
		readHosts(h, &s.Hosts)
	}
	if n := f.Field("nodes"); n != nil {
		readNodes(n, &s.Nodes)
	}
	if r := f.Field("register"); r != nil {
		s.Registry.Lag = monotime.FromDuration(r.Span("lag", zeroDuration, time.Hour, toDuration(s.Registry.Lag)))
		r.Done()
	}
	if b := f.Field("below"); b != nil {
		s.Dependency.Slots = b.Int("slots", 1, 1_000_000, s.Dependency.Slots)
		s.Dependency.Work = monotime.FromDuration(
			b.Span("work", zeroDuration, time.Minute, toDuration(s.Dependency.Work)),
		)
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
			Name:       t.Arg(),
			Share:      t.Share("share", 0, 1, 1),
			Quota:      t.Share("quota", 0, 1e9, 0),
			HintFactor: t.Share("lies", 0, 1000, 1),
		})
		t.Done()
	}
	if l := f.Field("load"); l != nil {
		s.Load.Level = l.Share("at", 0, 100, s.Load.Level)
		s.Load.PeakLevel = l.Share("to", 0, 100, s.Load.PeakLevel)
		s.Load.Shape = Shape(indexOf(shapeNames, l.OneOf("shape", shapeNames[:Replay]...)))
		s.Load.Period = monotime.FromDuration(l.Span("period", time.Millisecond, day, toDuration(s.Load.Period)))
		s.Load.Swing = l.Share("swing", 0, 1, s.Load.Swing)
		l.Done()
	}
	for _, t := range f.All("fault") {
		s.Faults = append(s.Faults, readFault(t, &s))
	}
	f.Done()
	if err := s.Check(); err != nil {
		f.Fail("", "%v", err)
	}
	return s
}

// readHosts reads (hosts ...).
func readHosts(f *sexpr.Form, h *HostConfig) {
	const mb = 1024
	h.Count = f.Int("count", 1, MaxHosts, h.Count)
	h.ReportedFleetSize = f.Int("reported-fleet-size", 0, MaxHosts, h.ReportedFleetSize)
	h.Cores = f.Int("cores", 1, 1024, h.Cores)
	h.SpeedSpread = f.Share("spread", 0, 0.9, h.SpeedSpread)
	h.CollapseMultiple = f.Share("crowd", 1, 1000, h.CollapseMultiple)
	h.CollapseAfter = monotime.FromDuration(f.Span("fall-over", time.Millisecond, day, toDuration(h.CollapseAfter)))
	h.ReadWork = monotime.FromDuration(f.Span("read", zeroDuration, time.Second, toDuration(h.ReadWork)))
	h.HandshakeWork = monotime.FromDuration(f.Span("handshake", zeroDuration, time.Second, toDuration(h.HandshakeWork)))
	h.MemoryKB = mb * f.Share("memory", 1, 1<<20, h.MemoryKB/mb)
	h.RequestKB = f.Share("held", 0, 1<<20, h.RequestKB)
	h.RunFactor = f.Share("run-factor", 1, 1000, h.RunFactor)
	h.ColdSpeed = f.Share("cold-share", 0.01, 1, h.ColdSpeed)
	h.WarmUp = monotime.FromDuration(f.Span("cold-for", zeroDuration, time.Hour, toDuration(h.WarmUp)))
	h.Connections = f.Int("connections", 1, 1_000_000, h.Connections)
	h.IdleTimeout = monotime.FromDuration(f.Span("idle-for", time.Millisecond, day, toDuration(h.IdleTimeout)))
	h.DrainGrace = monotime.FromDuration(f.Span("grace", zeroDuration, time.Hour, toDuration(h.DrainGrace)))
	h.ExitTimeout = monotime.FromDuration(f.Span("stop", time.Millisecond, time.Hour, toDuration(h.ExitTimeout)))
	h.AnswerSlack = monotime.FromDuration(f.Span("slack", time.Millisecond, time.Minute, toDuration(h.AnswerSlack)))
	h.MaxRetryAfter = monotime.FromDuration(f.Span("retry-after", zeroDuration, time.Hour, toDuration(h.MaxRetryAfter)))
	h.Preemptible = f.OneOf("stoppable", "no", "yes") == "yes"
	f.Done()
}

// readNodes reads (nodes ...).
func readNodes(f *sexpr.Form, n *NodeConfig) {
	n.Count = f.Int("count", 1, MaxNodes, n.Count)
	n.Subset = f.Int("subset", 0, MaxHosts, n.Subset)
	n.Balance = Balance(indexOf(balanceNames, f.OneOf("balance", balanceNames[:Oracle]...)))
	n.MaxAttempts = f.Int("attempts", 0, 1000, n.MaxAttempts)
	n.Backoff = monotime.FromDuration(f.Span("pause", zeroDuration, time.Minute, toDuration(n.Backoff)))
	n.UnresponsiveShare = f.Share("deaf", 0, 1, n.UnresponsiveShare)
	n.HedgeDelay = monotime.FromDuration(f.Span("hedge", zeroDuration, time.Minute, toDuration(n.HedgeDelay)))
	n.CancelDelay = monotime.FromDuration(f.Span("word", zeroDuration, time.Minute, toDuration(n.CancelDelay)))
	n.NetworkDelay = monotime.FromDuration(f.Span("net", zeroDuration, time.Minute, toDuration(n.NetworkDelay)))
	n.ClientRetryShare = f.Share("behind", 0, 1, n.ClientRetryShare)
	n.ClientRetryDelay = monotime.FromDuration(
		f.Span("behind-in", time.Millisecond, time.Hour, toDuration(n.ClientRetryDelay)),
	)
	n.RefreshInterval = monotime.FromDuration(
		f.Span("refresh", time.Millisecond, time.Hour, toDuration(n.RefreshInterval)),
	)
	n.Throttles = f.OneOf("throttles", "no", "yes") == "yes"
	f.Done()
}

// readOperation reads (operation NAME ...).
func readOperation(f *sexpr.Form) Operation {
	operation := Operation{
		Name:             f.Arg(),
		Value:            f.Share("value", 0, 1e9, 1),
		Priority:         f.Share("rank", 0, 1, 0.5),
		Share:            f.Share("share", 0, 1, 1),
		Work:             monotime.FromDuration(f.Span("work", time.Microsecond, time.Minute, 20*time.Millisecond)),
		WorkSigma:        f.Share("tail", 0, 3, 0.5),
		Objective:        monotime.FromDuration(f.Span("objective", time.Millisecond, time.Hour, time.Second)),
		Timeout:          monotime.FromDuration(f.Span("timeout", time.Millisecond, time.Hour, 3*time.Second)),
		LateValue:        f.Share("late-value", 0, 1, 0),
		HintFactor:       f.Share("hint", 0, 1000, 0),
		HintSigma:        f.Share("hint-spread", 0, 3, 0),
		ValueWithoutCall: f.Share("skipped-value", 0, 1, 0),
		MakesCalls:       f.OneOf("calls", "no", "yes") == "yes",
	}
	operation.RetrySafety = admission.RetrySafety(
		indexOf(
			[]string{"idempotent", "tokened", "non-idempotent"},
			f.OneOf("repeat", "idempotent", "tokened", "non-idempotent"),
		),
	)
	f.Done()
	return operation
}

// readFault reads (fault KIND ...).
func readFault(f *sexpr.Form, s *Scenario) Fault {
	fault := Fault{
		At:          monotime.FromDuration(f.Span("at", zeroDuration, day, zeroDuration)),
		Duration:    monotime.FromDuration(f.Span("for", zeroDuration, day, 10*time.Second)),
		Share:       f.Share("share", 0, 1, 0.25),
		Factor:      f.Share("factor", 0, 1e6, 2),
		BatchShare:  f.Share("batch-share", 0, 1, 0.1),
		LostNotices: f.Share("lost", 0, 1, 0),
		ByFleet:     f.OneOf("by", "waves", "fleet") == "fleet",
	}
	name := f.Arg()
	k := indexOf(faultNames, name)
	if k < 0 {
		f.Fail("", "found %q, wanted one of %s", name, strings.Join(faultNames, ", "))
		k = 0
	}
	fault.Kind = FaultKind(k)
	if tenant := f.Text("tenant", ""); tenant != "" {
		if fault.Tenant = indexOf(s.tenantNames(), tenant); fault.Tenant < 0 {
			f.Fail("tenant", "the scenario has no tenant %q", tenant)
			fault.Tenant = 0
		}
	}
	f.Done()
	return fault
}

// MaxRecorded is the maximum number of lines of a recorded load.
const MaxRecorded = 20_000_000

// ReadRecorded reads a recorded load. Each line is one request, in order of time, in the form "MICROSECONDS OPERATION
// TENANT WORK", with "-" for no tenant and the work in microseconds. Operations and tenants must be the scenario's. An
// error is a *RecordedError or an error of the reader.
func ReadRecorded(file string, in io.Reader, s *Scenario) (all []Recorded, err error) {
	ops, tenants := s.operationNames(), s.tenantNames()
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		fail := func(column int, format string, args ...any) error {
			return &RecordedError{File: file, Line: n, Column: column, Reason: fmt.Sprintf(format, args...)}
		}
		if len(words) != 4 {
			return nil, fail(1, "found %d words, wanted 4: microseconds, operation, tenant, work", len(words))
		}
		at := strings.Index(lines.Text(), words[0]) + 1
		r := Recorded{Operation: indexOf(ops, words[1])}
		us, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil || us < 0 || len(all) > 0 && monotime.Micros(us) < all[len(all)-1].At {
			return nil, fail(at, "found %q, wanted microseconds, not less than in the line above", words[0])
		}
		work, err := strconv.ParseInt(words[3], 10, 64)
		if err != nil || work <= 0 || work > 60e6 {
			return nil, fail(at, "found %q, wanted 1 to 60,000,000 microseconds of work", words[3])
		}
		if r.Operation < 0 {
			return nil, fail(at, "the scenario has no operation %q", words[1])
		}
		if words[2] != "-" {
			if r.Tenant = indexOf(tenants, words[2]); r.Tenant < 0 {
				return nil, fail(at, "the scenario has no tenant %q", words[2])
			}
		}
		if len(all) >= MaxRecorded {
			return nil, fail(at, "more than %d lines", MaxRecorded)
		}
		r.At, r.Work = monotime.Micros(us), monotime.Micros(work)
		all = append(all, r)
	}
	return all, lines.Err()
}
