package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// Degradation levels over sockets, outside CI:
//
//	LEVELS=slow go test ./cmd/milletbarrow -run TestLevelsSlowQuarter -v -timeout 10m
//	LEVELS=swing LEVELS_FOR=10m go test ./cmd/milletbarrow -run TestLevelsSwing -v -timeout 20m

const billOperations = `"classes":[
 {"name":"reprint","aim_ms":1000,"deadline_ms":3000,"repeat":"idempotent","late_value":0.1},
 {"name":"lookup","aim_ms":1000,"deadline_ms":3000,"repeat":"idempotent","late_value":0.1},
 {"name":"pay-post","aim_ms":1000,"deadline_ms":3000,"repeat":"at_most_once"}],`

var defaultOperations = fakes.Settings[strings.Index(fakes.Settings, `"classes"`):strings.Index(fakes.Settings, `"projects"`)]

var operationValues = map[string]float64{"reprint": 1, "lookup": 3, "pay-post": 10}

const steadyPolicy = `(degradation bills (change-interval 30s) (recovery-ramp 3s) (smoothing (rejected 500ms) (late 1s))
 (level no-reprints (shed (operations reprint)) (enter (any (rejected 0.15 1s) (late 0.15 1s))) (exit (all (rejected 0.05 3s) (late 0.08 3s))) (min-duration 20s))
 (level few-lookups (shed (operations lookup) (share 0.6)) (enter (rejected 0.3 1s)) (exit (rejected 0.08 3s)) (min-duration 20s))
 (level payments (shed (operations lookup)) (enter (rejected 0.5 1s)) (exit (rejected 0.1 3s)) (min-duration 20s)))`

// swingPolicy changes levels by the queue signal, which TestLevelsSwing varies.
const swingPolicy = `(degradation bills (change-interval 60s) (recovery-ramp 10s) (smoothing (queue 500ms) (late 1s))
 (level no-reprints (shed (operations reprint)) (enter (any (queue 1.6 1s) (late 0.1 1s))) (exit (all (queue 1.1 5s) (late 0.05 5s))) (min-duration 20s))
 (level few-lookups (shed (operations lookup) (share 0.6)) (enter (any (queue 2 1s) (late 0.25 1s))) (exit (all (queue 1.2 5s) (late 0.05 5s))) (min-duration 20s))
 (level payments (shed (operations lookup)) (enter (any (queue 2.6 1s) (late 0.5 1s))) (exit (all (queue 1.3 5s) (late 0.05 5s))) (min-duration 20s)))`

// nervousPolicy has the levels of steadyPolicy with the least hysteresis that the parser accepts and short minimum
// durations.
const nervousPolicy = `(degradation bills (change-interval 1s) (recovery-ramp 0s) (smoothing (rejected 100ms) (late 1s))
 (level no-reprints (shed (operations reprint)) (enter (rejected 0.15)) (exit (rejected 0.135)) (min-duration 1s))
 (level few-lookups (shed (operations lookup) (share 0.6)) (enter (rejected 0.3)) (exit (rejected 0.27)) (min-duration 1s))
 (level payments (shed (operations lookup)) (enter (rejected 0.5)) (exit (rejected 0.45)) (min-duration 1s)))`

// servingMode is a degradation policy and a choice of priorities for the same load.
type servingMode struct {
	name, policy string
	ranked       bool // priorities follow the operations' values; otherwise all are equal
}

func (m servingMode) mix() []fakes.OperationShare {
	mix := []fakes.OperationShare{{Operation: "reprint", Share: 0.35, Priority: 0.1}, {Operation: "lookup", Share: 0.4, Priority: 0.4}, {Operation: "pay-post", Share: 0.25, Priority: 0.9}}
	if !m.ranked {
		for i := range mix {
			mix[i].Priority = 0.5
		}
	}
	return mix
}

// serve starts a backend with its executor.
func (m servingMode) serve(t *testing.T) (*backend, *fakes.AutoExecutor) {
	t.Helper()
	b := prepare(t, defaultOperations, billOperations)
	executor := fakes.NewAutoExecutor(t, 20*time.Millisecond, 2)
	raw, err := os.ReadFile(b.config)
	if err == nil {
		err = os.WriteFile(b.config, []byte(strings.Replace(string(raw), b.executor.Address, executor.Address, 1)), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if m.policy != "" {
		file := filepath.Join(t.TempDir(), "policy.sx")
		if err := os.WriteFile(file, []byte(m.policy), 0o600); err != nil {
			t.Fatal(err)
		}
		b.args = []string{"serve", "--levels", file}
	}
	return b.start().ready(), executor
}

var levelLine = regexp.MustCompile(`time=(\S+) event=degradation_level from=(\S+) to=(\S+) collapse=(\S+) cause=("[^"]*"|\S+)`)

// changes returns the level changes in the log, with their times.
func (b *backend) changes(t *testing.T) (all [][]string, at []time.Time) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range levelLine.FindAllStringSubmatch(b.log.String(), -1) {
		when, err := time.Parse(time.RFC3339Nano, m[1])
		if err != nil {
			t.Fatal(err)
		}
		all, at = append(all, m[2:]), append(at, when)
	}
	return all, at
}

// TestLevelsSlowQuarter logs, for each serving mode, the share of value that succeeds in time while two of eight
// backends are slowed down at full load, by factors of 8.8 and 2.6.
func TestLevelsSlowQuarter(t *testing.T) {
	if os.Getenv("LEVELS") != "slow" {
		t.Skip("takes two minutes; set LEVELS=slow to run it")
	}
	const normalTime, slowTime, recoveryTime = 15 * time.Second, 60 * time.Second, 55 * time.Second
	for _, m := range []servingMode{{"policy", steadyPolicy, true}, {"no hysteresis", nervousPolicy, true}, {"rank alone", "", true}, {"neither", "", false}} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			const count = 8
			backends, executors := make([]*backend, 0, count), make([]*fakes.AutoExecutor, 0, count)
			loads := make([]*fakes.Caller, 0, count)
			for range count {
				b, c := m.serve(t)
				backends, executors = append(backends, b), append(executors, c)
			}
			for i, b := range backends {
				loads = append(loads, fakes.NewMixedCaller(b.address, i+1, 10*time.Millisecond, 3*time.Second, m.mix()))
			}
			time.Sleep(normalTime)
			slowed := time.Now()
			executors[0].Slow(8.8)
			executors[1].Slow(2.6)
			time.Sleep(slowTime)
			executors[0].Slow(0)
			executors[1].Slow(0)
			recovered := time.Now()
			time.Sleep(recoveryTime)
			sent, good, slowSent, slowGood := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
			value, offered := 0.0, 0.0
			for i, l := range loads {
				for _, s := range l.Stop() {
					offered += operationValues[s.Operation]
					sent[s.Operation]++
					ok := s.Code == 1 && s.Answers == 1 && s.Answered.Sub(s.At) <= time.Second
					if ok {
						value += operationValues[s.Operation]
						good[s.Operation]++
					}
					if i < 2 && s.At.After(slowed) && s.At.Before(recovered) {
						slowSent[s.Operation]++
						if ok {
							slowGood[s.Operation]++
						}
					}
				}
			}
			line := fmt.Sprintf("%-14s value %.4f", m.name, value/offered)
			for _, c := range []string{"reprint", "lookup", "pay-post"} {
				line += fmt.Sprintf("; %s %.3f, on the slow ones %.3f", c, float64(good[c])/float64(sent[c]), float64(slowGood[c])/float64(slowSent[c]))
			}
			t.Log(line)
			for i, b := range backends[:2] {
				changes, at := b.changes(t)
				var first, last time.Duration
				for n := range changes {
					if first == 0 && at[n].After(slowed) {
						first = at[n].Sub(slowed)
					}
					last = at[n].Sub(recovered)
				}
				t.Logf("  backend %d: %d changes, the first %v after the slowdown, the last %v after its end: %v", i, len(changes), first.Round(time.Millisecond), last.Round(time.Millisecond), changes[:min(len(changes), 8)])
			}
		})
	}
}

// TestLevelsSwing varies the queue signal around each level's boundary for ten minutes, as a sine of 40 s with noise.
// Each level must change at most once per change interval of a minute, and each change must have a cause.
func TestLevelsSwing(t *testing.T) {
	if os.Getenv("LEVELS") != "swing" {
		t.Skip("takes ten minutes; set LEVELS=swing to run it")
	}
	span := 10 * time.Minute
	if d, err := time.ParseDuration(os.Getenv("LEVELS_FOR")); err == nil {
		span = d
	}
	for _, boundary := range []float64{1.1, 1.6, 2, 2.6} {
		t.Run(fmt.Sprint(boundary), func(t *testing.T) {
			t.Parallel()
			b, executor := servingMode{policy: swingPolicy}.serve(t)
			l := fakes.NewMixedCaller(b.address, int(boundary*10), 25*time.Millisecond, 3*time.Second, servingMode{ranked: true}.mix())
			// Only the executor's queue gauge varies; the load itself is light, so that nothing but the levels rejects work.
			r := rand.New(rand.NewPCG(uint64(boundary*10), 0))
			began := time.Now()
			for time.Since(began) < span {
				sec := time.Since(began).Seconds()
				executor.OverrideQueueGauge(2 * boundary * (1 + 0.25*math.Sin(2*math.Pi*sec/40) + 0.2*r.NormFloat64()))
				time.Sleep(20 * time.Millisecond)
			}
			sent := l.Stop()
			changes, at := b.changes(t)
			last := map[string]time.Time{}
			for n, c := range changes {
				level := c[0]
				if c[0] == "full" || c[1] == "few-lookups" && c[0] == "no-reprints" || c[1] == "payments" {
					level = c[1] // entered; else left
				}
				if previous, ok := last[level]; ok && at[n].Sub(previous) < time.Minute && c[2] != "true" {
					t.Errorf("%s changes again after %v: %v", level, at[n].Sub(previous), c)
				}
				last[level] = at[n]
				if c[3] == `""` {
					t.Errorf("no cause: %v", c)
				}
			}
			t.Logf("boundary %v: %d changes in %v, %d invocations: %v", boundary, len(changes), span, len(sent), changes)
		})
	}
}
