package quota

import (
	"testing"

	"milletbarrow/monotime"
)

const second = monotime.Second

// start is the time of the first grant in most tests.
const start = second

// Identity and only budget of the holder in most tests.
const (
	testName        = "n"
	testIncarnation = "1"
	testBudget      = "b"
)

// newHolder returns a holder of testBudget that has no grant.
func newHolder() *Holder { return New(testName, testIncarnation, []string{testBudget}) }

// responseTo returns a response to a request, with the given grants.
func responseTo(request LeaseRequest, grants ...Grant) LeaseResponse {
	return LeaseResponse{
		Name:        request.Name,
		Incarnation: request.Incarnation,
		Number:      request.Number,
		Grants:      grants,
	}
}

// grantNow lets a holder request a grant of testBudget and apply it without delay.
func grantNow(tb testing.TB, h *Holder, now monotime.Micros, grant Grant) {
	tb.Helper()
	grant.Budget = testBudget
	if err := h.Apply(now, responseTo(h.NewRequest(now), grant)); err != nil {
		tb.Fatal(err)
	}
}

// newGrantedHolder returns a holder with a grant of testBudget that was requested and applied at start.
func newGrantedHolder(tb testing.TB, floor, extra int64, lease monotime.Micros) *Holder {
	tb.Helper()
	h := newHolder()
	grantNow(tb, h, start, Grant{Epoch: 1, Floor: floor, Extra: extra, Lease: lease})
	return h
}

// acquireAll acquires units at one time until one is denied, and returns their number.
func acquireAll(h *Holder, now monotime.Micros) (units int64) {
	for h.TryAcquire(now, 0) {
		units++
	}
	return units
}
