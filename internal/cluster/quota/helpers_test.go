package quota

import (
	"fmt"
	"testing"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

const (
	testRate    LimitName = "b"
	testPermits LimitName = "c"

	testLease  = monotime.Second
	testMargin = 50 * monotime.Millisecond
)

// rateConfig returns a configuration of one rate, with the given floor for each of the backends n0, n1, ...
func rateConfig(total int64, backends int, floor int64, division Division) Config {
	floors := map[InstanceName]int64{}
	for i := range backends {
		floors[backendName(i)] = floor
	}
	return Config{Version: 1, Limits: []Limit{{
		Name:        testRate,
		Kind:        Rate,
		Total:       total,
		Floors:      floors,
		Division:    division,
		Step:        1,
		Lease:       testLease,
		ClockMargin: testMargin,
		Tenant:      "t",
	}}}
}

func backendName(i int) InstanceName { return InstanceName(fmt.Sprint("n", i)) }

func newTestState(tb testing.TB, config Config) *State {
	tb.Helper()
	state := NewState()
	if result := state.Apply(Command{Config: &config}); result.Rejection != "" {
		tb.Fatal(result.Rejection)
	}
	return state
}

// renewOne applies one lease request and returns its response.
func renewOne(state *State, host string, request backendquota.LeaseRequest) backendquota.LeaseResponse {
	command := Command{Renew: &RenewCommand{Host: host, Requests: []backendquota.LeaseRequest{request}}}
	return state.Apply(command).Answers[0]
}

// testClient is one process that sends numbered lease requests, each of which confirms an epoch.
type testClient struct {
	backend, incarnation, host string
	number                     uint64
	epoch                      uint64 // of the grant that it acts on
}

func (c *testClient) key() ClientKey { return NewClientKey(InstanceName(c.backend), c.incarnation) }

// renew sends a lease request for testRate.
func (c *testClient) renew(state *State, freeze bool) backendquota.LeaseResponse {
	c.number++
	request := backendquota.LeaseRequest{
		Name:        c.backend,
		Incarnation: c.incarnation,
		Number:      c.number,
		Usage:       []backendquota.Usage{{Budget: string(testRate), Epoch: c.epoch}},
	}
	command := Command{
		FreezeGrowth: freeze,
		Renew:        &RenewCommand{Host: c.host, Requests: []backendquota.LeaseRequest{request}},
	}
	return state.Apply(command).Answers[0]
}

// granted sends a lease request and returns the grant of testRate.
func (c *testClient) granted(tb testing.TB, state *State, freeze bool) backendquota.Grant {
	tb.Helper()
	response := c.renew(state, freeze)
	if len(response.Grants) != 1 {
		tb.Fatalf("%s of %s: %+v, want one grant", c.incarnation, c.backend, response)
	}
	return response.Grants[0]
}

func (c *testClient) allocation(state *State) *Allocation {
	return state.Clients[c.key()].Allocations[testRate]
}

// newTestClients returns the first processes of the backends n0, n1, ... on one host.
func newTestClients(n int) []*testClient {
	clients := make([]*testClient, 0, n)
	for i := range n {
		clients = append(clients, &testClient{backend: string(backendName(i)), incarnation: "a", host: "h"})
	}
	return clients
}

// renewingFleet simulates a leader's state and tracker, and holders that all renew every 100 ms, without faults.
type renewingFleet struct {
	state   *State
	tracker LeaseTracker
	now     monotime.Micros
	holders map[InstanceName]*backendquota.Holder

	// draws returns the number of units that a holder tries to draw in 100 ms.
	draws func(name InstanceName) int
}

func newRenewingFleet(tb testing.TB, config Config) *renewingFleet {
	tb.Helper()
	f := &renewingFleet{
		state:   newTestState(tb, config),
		now:     monotime.Second,
		holders: map[InstanceName]*backendquota.Holder{},
	}
	f.tracker.BecomeLeader(f.now, f.state, false)
	return f
}

// join adds a holder for each of the given backends.
func (f *renewingFleet) join(names ...InstanceName) {
	for _, name := range names {
		f.holders[name] = backendquota.New(string(name), "1", []string{string(testRate)})
	}
}

// run simulates intervals of 100 ms. In each of them every holder draws and renews.
func (f *renewingFleet) run(intervals int) {
	for range intervals {
		f.now += 100 * monotime.Millisecond
		expired, rebalance := f.tracker.Tick(f.now, f.state)
		f.state.Apply(Command{Expire: expired, Rebalance: rebalance})
		for _, name := range sortedKeys(f.holders) {
			holder := f.holders[name]
			for range f.draws(name) {
				holder.TryAcquire(f.now, 0)
			}
			_ = holder.Apply(f.now, renewOne(f.state, "h", holder.NewRequest(f.now)))
		}
	}
}

// quotas returns the units per second that each holder may draw, and their sum.
func (f *renewingFleet) quotas() (sum int64, byName map[InstanceName]int64) {
	byName = map[InstanceName]int64{}
	for name, holder := range f.holders {
		status := holder.Status(f.now)[0]
		byName[name] = status.Floor + status.Extra
		sum += byName[name]
	}
	return sum, byName
}
