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

// open returns an open dispatcher with the settings of fakes.
func open(t *testing.T) *Dispatcher {
	t.Helper()
	d := newDispatcher(t, fakes.Settings, nil)
	d.Open(false, 0)
	return d
}

// newDispatcher returns a dispatcher that is not open yet. adjust may change its bounds; nil keeps the defaults.
func newDispatcher(t *testing.T, settingsText string, adjust func(*limits.Bounds)) *Dispatcher {
	t.Helper()
	var settings config.Settings
	if err := json.Unmarshal([]byte(settingsText), &settings); err != nil {
		t.Fatal(err)
	}
	bounds := limits.For(1, 192, 1024)
	if adjust != nil {
		adjust(&bounds)
	}
	return New(&settings, 1, bounds)
}

// openKeyed returns an open dispatcher whose second operation uses idempotency keys with a repeat window of windowMS
// milliseconds. adjust may change its bounds; nil keeps the defaults.
func openKeyed(t *testing.T, windowMS string, adjust func(*limits.Bounds)) *Dispatcher {
	t.Helper()
	keyed := strings.NewReplacer(
		`"at_most_once"`, `"deduplicated","window_ms":`+windowMS,
		`"run_factor"`, `"key_kb":20,"run_factor"`,
	)
	d := newDispatcher(t, keyed.Replace(fakes.Settings), adjust)
	d.Open(false, 0)
	return d
}

// newInvocation returns an invocation of the first operation that arrives now.
func newInvocation(id string) Invocation {
	return Invocation{
		ID:            id,
		Rank:          0.5,
		MemoryKB:      20,
		ExpectedWork:  20 * monotime.Millisecond,
		ArrivedAt:     Now(),
		CallerTimeout: 4 * monotime.Second,
	}
}

// keyedInvocation returns an invocation of the second operation.
func keyedInvocation(id, idempotencyKey string) Invocation {
	inv := newInvocation(id)
	inv.Operation = 1
	inv.IdempotencyKey = idempotencyKey
	return inv
}

// requestsInFlight returns the number of requests in flight.
func requestsInFlight(d *Dispatcher) int {
	_, n := d.Counts()
	return n
}

// canceledCaller is the Canceled channel of an invocation that its caller has canceled.
var canceledCaller = func() <-chan struct{} {
	canceled := make(chan struct{})
	close(canceled)
	return canceled
}()

// A sample of the gauges has: share of the cores in use, tasks that run or wait for a core, share of the memory in use,
// number of connections.
var (
	idleGauges = []float64{0.1, 0, 0.1, 1}
	fullCores  = []float64{0.5, 3, 0.1, 1} // no core is free, and the queue is short
)

// tickUntilRead ticks with these gauges until the module has read them, which it does not do at every tick.
func tickUntilRead(t *testing.T, d *Dispatcher, gauges []float64) {
	t.Helper()
	start := Now()
	fakes.Until(t, "the module has read the gauges", func() bool {
		d.Tick(gauges)
		return Now() > start+50*monotime.Millisecond
	})
}

// disableModule replaces the module with one that returns no actions.
func disableModule(d *Dispatcher) { d.backend = &admission.Backend{} }

// admitAsync admits an invocation on another goroutine, waits until it is in flight or answered, and returns the
// channel of its response.
func admitAsync(t *testing.T, d *Dispatcher, inv Invocation) <-chan Response {
	t.Helper()
	response := make(chan Response, 1)
	before := requestsInFlight(d)
	go func() {
		resp, _ := d.Admit(inv)
		response <- resp
	}()
	fakes.Until(t, "the request is in flight or answered", func() bool {
		return requestsInFlight(d) == before+1 || len(response) > 0
	})
	return response
}

// policyOf returns the degradation policy of an S-expression.
func policyOf(t *testing.T, text string) *degradation.Policy {
	t.Helper()
	policy, _, err := degradation.ParsePolicy("l", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

// shedSecondOperation applies a policy that sheds all requests of the second operation.
func shedSecondOperation(t *testing.T, d *Dispatcher) {
	t.Helper()
	policy := policyOf(t, `(ladder l (level no-post (shed (operations post)) (enter (queue 900)) (exit (queue 800))))`)
	if err := d.SetDegradationPolicy(policy); err != nil {
		t.Fatal(err)
	}
	if err := d.OverrideLevel("no-post", time.Minute, "test", false); err != nil {
		t.Fatal(err)
	}
	d.Tick(idleGauges)
}

// withQuota gives the first tenant of a dispatcher four quota units. The clock of the leases is constant, so that the
// tenant gets no further units.
func withQuota(t *testing.T, d *Dispatcher) *Dispatcher {
	t.Helper()
	holder := quota.New("n", "1", []string{"b"})
	now := monotime.Micros(1)
	request := holder.NewRequest(now)
	err := holder.Apply(now, quota.LeaseResponse{
		Name:        "n",
		Incarnation: "1",
		Number:      request.Number,
		Grants:      []quota.Grant{{Budget: "b", Epoch: 1, Floor: 4, Lease: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	now += 2 * monotime.Second
	err = d.SetQuotas(QuotaConfig{
		Holder:         holder,
		BudgetByTenant: map[string]string{d.settings.Tenants[0]: "b"},
		Clock:          func() monotime.Micros { return now },
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// startTicks runs the ticks of a dispatcher and returns a function that ends them and waits for their end.
func startTicks(t *testing.T, d *Dispatcher, requestSample func() bool, sampled <-chan []float64) (stop func()) {
	t.Helper()
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		d.RunTicks(done, requestSample, sampled)
		close(ended)
	}()
	return func() {
		close(done)
		fakes.Take(t, "the end of the ticks", ended)
	}
}

// queueGaugeOfFirstSample runs the ticks until one has a sample, and returns the number of tasks in that sample.
func queueGaugeOfFirstSample(
	t *testing.T, d *Dispatcher, requestSample func() bool, sampled <-chan []float64,
) float64 {
	t.Helper()
	stop := startTicks(t, d, requestSample, sampled)
	fakes.Until(t, "a tick with a sample", func() bool {
		c, _ := d.Counts()
		return c.Ticks > c.Unsampled
	})
	stop()
	return d.gauges[1]
}

// traceResponse adds a line with the response to a request to a trace.
func traceResponse(tr *fakes.Trace, label string, resp Response, req *Request, d *Dispatcher) {
	tr.Say("%s: verdict %d, retry-after %t, don't retry %t, admitted %t, in flight %d",
		label, resp.Verdict, resp.RetryAfter > 0, resp.DontRetry, req != nil, requestsInFlight(d))
}

// responseText returns the text of all fields of a response.
func responseText(r Response) string {
	return fmt.Sprintf("{Verdict:%d RetryAfter:%d DontRetry:%t Result:%v}",
		r.Verdict, r.RetryAfter, r.DontRetry, r.Result)
}
