package quota

import (
	"testing"

	"milletbarrow/monotime"
)

const second = monotime.Second

// start is when the holders of most tests are granted their first lease.
const start = second

// Identity of the holder and its only budget in these tests.
const (
	testName        = "n"
	testIncarnation = "1"
	testBudget      = "b"
)

// newHolder returns a holder of testBudget without a grant.
func newHolder() *Holder { return New(testName, testIncarnation, []string{testBudget}) }

// responseTo returns the response with grants to a request.
func responseTo(request LeaseRequest, grants ...Grant) LeaseResponse {
	return LeaseResponse{
		Name:        request.Name,
		Incarnation: request.Incarnation,
		Number:      request.Number,
		Grants:      grants,
	}
}

// grantNow has a holder request and apply a grant of testBudget at one time.
func grantNow(tb testing.TB, h *Holder, now monotime.Micros, grant Grant) {
	tb.Helper()
	grant.Budget = testBudget
	if err := h.Apply(now, responseTo(h.NewRequest(now), grant)); err != nil {
		tb.Fatal(err)
	}
}

// newGrantedHolder returns a holder with a grant of testBudget from start on.
func newGrantedHolder(tb testing.TB, floor, extra int64, lease monotime.Micros) *Holder {
	tb.Helper()
	h := newHolder()
	grantNow(tb, h, start, Grant{Epoch: 1, Floor: floor, Extra: extra, Lease: lease})
	return h
}

// acquireAll acquires units at one time until one is denied.
func acquireAll(h *Holder, now monotime.Micros) (units int64) {
	for h.TryAcquire(now, 0) {
		units++
	}
	return units
}
