package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

func open(t *testing.T) *Dispatcher {
	var settings config.Settings
	if err := json.Unmarshal([]byte(fakes.Settings), &settings); err != nil {
		t.Fatal(err)
	}
	d := New(&settings, 1, limits.For(1, 192, 1024))
	d.Open(false, 0)
	return d
}

// openKeyed opens a dispatcher whose second operation has idempotency keys, remembered for window milliseconds.
func openKeyed(t *testing.T, window string, bounds func(*limits.Bounds)) *Dispatcher {
	var settings config.Settings
	text := strings.NewReplacer(`"at_most_once"`, `"deduplicated","window_ms":`+window, `"run_factor"`, `"key_kb":20,"run_factor"`).Replace(fakes.Settings)
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		t.Fatal(err)
	}
	b := limits.For(1, 192, 1024)
	if bounds != nil {
		bounds(&b)
	}
	d := New(&settings, 1, b)
	d.Open(false, 0)
	return d
}

func newInvocation(id string) Invocation {
	return Invocation{ID: id, Rank: 0.5, MemoryKB: 20, ExpectedWork: 20_000, ArrivedAt: Now(), CallerTimeout: 4_000_000}
}

func keyedInvocation(id, token string) Invocation {
	inv := newInvocation(id)
	inv.Operation, inv.IdempotencyKey = 1, token
	return inv
}

func requestsInFlight(d *Dispatcher) int {
	_, n := d.Counts()
	return n
}

var leftCaller = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

// fullCores are gauges with no core free and a short queue.
var fullCores = []float64{0.5, 3, 0.1, 1}

// silenceModule replaces the module by one that answers nothing and sets no timer.
func silenceModule(d *Dispatcher) { d.backend = &admission.Backend{} }

// repeat admits a repeat, waits until it waits for its original, and returns where its response will come.
func repeat(t *testing.T, d *Dispatcher, inv Invocation) <-chan Response {
	response, n := make(chan Response, 1), requestsInFlight(d)
	go func() { resp, _ := d.Admit(inv); response <- resp }()
	fakes.Until(t, "it waits", func() bool { return requestsInFlight(d) == n+1 || len(response) > 0 })
	return response
}

func policyOf(t *testing.T, text string) *degradation.Policy {
	l, err := degradation.ParsePolicy("l", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// shedSecondOperation puts a policy in force that sheds every request of the second operation.
func shedSecondOperation(t *testing.T, d *Dispatcher) {
	t.Helper()
	policy := policyOf(t, `(ladder l (level no-post (shed (operations post)) (enter (queue 900)) (exit (queue 800))))`)
	if err := d.SetDegradationPolicy(policy); err != nil {
		t.Fatal(err)
	}
	if err := d.OverrideLevel("no-post", time.Minute, "test", false); err != nil {
		t.Fatal(err)
	}
	d.Tick([]float64{0.1, 0, 0.1, 1})
}

// withQuota gives the first tenant of a dispatcher four units, and no more: its clock stands.
func withQuota(t *testing.T, d *Dispatcher) *Dispatcher {
	h := quota.New("n", "1", []string{"b"})
	now := monotime.Micros(1)
	a := h.NewRequest(now)
	if err := h.Apply(now, quota.LeaseResponse{Name: "n", Incarnation: "1", Number: a.Number, Grants: []quota.Grant{{Budget: "b", Epoch: 1, Floor: 4, Lease: 1}}}); err != nil {
		t.Fatal(err)
	}
	now += 2_000_000
	if err := d.SetQuotas(QuotaConfig{Holder: h, Tenants: map[string]string{d.settings.Tenants[0]: "b"}, Clock: func() monotime.Micros { return now }}); err != nil {
		t.Fatal(err)
	}
	return d
}

// runUntilSampled runs the ticks until the first sampled one is over, and returns its gauges.
func runUntilSampled(t *testing.T, d *Dispatcher, requestSample func() bool, sampled chan []float64) float64 {
	done, over := make(chan struct{}), make(chan struct{})
	go func() { d.RunTicks(done, requestSample, sampled); close(over) }()
	fakes.Until(t, "a sampled tick", func() bool {
		c, _ := d.Counts()
		return c.Ticks > c.Unsampled
	})
	close(done)
	fakes.Take(t, "the end of the ticks", over)
	return d.gauges[1]
}

func say(tr *fakes.Trace, what string, resp Response, req *Request, d *Dispatcher) {
	tr.Say("%s: verdict %d away %t don't retry %t ticket %t, in hand %d", what, resp.Verdict, resp.RetryAfter > 0, resp.DontRetry,
		req != nil, requestsInFlight(d))
}

// responseText prints every field of a response in the form of the recorded traces.
func responseText(r Response) string {
	return fmt.Sprintf("{Verdict:%d Away:%d DontRetry:%t Result:%v}", r.Verdict, r.RetryAfter, r.DontRetry, r.Result)
}
