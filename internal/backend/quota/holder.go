// Package quota is the lease holder's side of fleet-wide quotas, which it calls budgets. It tracks which part of each
// budget this process may use and until when, and decides whether a unit may be acquired now. It does no I/O and reads
// no clock: times are passed in, from a machine clock that keeps running while the machine is suspended.
package quota

import (
	"slices"

	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

const (
	// maxPending is the number of most recent requests whose responses are accepted.
	maxPending = 8

	// MaxRate is the largest budget, floor or extra, in units per second. The micro-units that it yields in a year are
	// still counted without overflow.
	MaxRate = 100_000_000
	// MaxBudgets is the largest number of budgets that one holder may have.
	MaxBudgets = 64
)

// pendingRequest is a request whose response is still accepted.
type pendingRequest struct {
	number uint64
	sentAt monotime.Micros
}

// Holder manages the part of each budget that one process may use. It is not safe for concurrent use; the dispatcher
// guards it with its lock.
//
// Invariants:
//   - The units acquired never exceed the yield of floor and lease plus a full bucket (TestAcquireWithinGrant).
//   - The epoch of a budget's grant only increases (TestInvalidResponseIsRefused).
//   - A response is applied completely or not at all (TestResponseIsRefusedCompletely).
//   - Request numbers only increase (TestRequestNumbersGrow).
//   - Nothing is acquired before the first grant or after Release (TestAcquireWithinGrant,
//     TestReleaseEndsGrantAtOnce).
type Holder struct {
	name        string
	incarnation string           // identifies this run of the process
	buckets     []tokenBucket    // by budget index
	pending     []pendingRequest // oldest first
}

// New returns a holder of budgets without any grant. Before the first grant it does not use the floor either, as an
// earlier process of the same name may still be using it.
func New(name, incarnation string, budgets []string) *Holder {
	h := &Holder{name: name, incarnation: incarnation}
	for _, budget := range budgets {
		h.buckets = append(h.buckets, tokenBucket{Grant: Grant{Budget: budget}})
	}
	return h
}

// Index returns the index of a budget, for TryAcquire and Refund, or -1 if there is no budget of that name.
func (h *Holder) Index(budget string) int {
	return slices.IndexFunc(h.buckets, func(b tokenBucket) bool { return b.Budget == budget })
}

// TryAcquire acquires a unit of a budget, or returns false if the grant does not allow it now. If the process is
// suspended after this check, at most this one unit is used after the lease has ended.
func (h *Holder) TryAcquire(now monotime.Micros, index int) bool {
	return h.buckets[index].tryAcquire(now)
}

// Refund returns a unit of a budget that was acquired for a request that never ran. Status.Drawn never decreases: the
// next acquisitions use up the refunded units before they increase it.
func (h *Holder) Refund(now monotime.Micros, index int) { h.buckets[index].refund(now) }

// NewRequest returns a request for grants. The leases in its response run from now.
func (h *Holder) NewRequest(now monotime.Micros) LeaseRequest {
	number := uint64(1)
	if len(h.pending) > 0 {
		number = h.pending[len(h.pending)-1].number + 1
	}
	h.pending = append(h.pending, pendingRequest{number: number, sentAt: now})
	if len(h.pending) > maxPending {
		h.pending = slices.Delete(h.pending, 0, 1)
	}
	request := LeaseRequest{Name: h.name, Incarnation: h.incarnation, Number: number, Clock: now}
	for i := range h.buckets {
		b := &h.buckets[i]
		request.Usage = append(request.Usage, Usage{Budget: b.Budget, Epoch: b.Epoch, Drawn: b.drawn, Denied: b.denied})
	}
	return request
}

// Apply applies the grants of a response. It returns a *ResponseError and changes nothing if the response is for
// another process or to a request that is not pending, or if any grant is of a stale epoch, of an unknown budget or out
// of bounds.
func (h *Holder) Apply(now monotime.Micros, response LeaseResponse) error {
	if response.Name != h.name || response.Incarnation != h.incarnation {
		return responseError(ErrWrongHolder, "response for %s, incarnation %s: this is %s, incarnation %s",
			response.Name, response.Incarnation, h.name, h.incarnation)
	}
	requestedAt, pending := h.requestedAt(response.Number)
	switch {
	case failpoint.Enabled(failpoint.IgnoreEpoch):
		requestedAt = now // injected fault: the lease runs from the response
	case !pending:
		return responseError(ErrUnknownRequest, "response to request %d, which is not pending", response.Number)
	}
	for i := range response.Grants {
		if err := h.checkGrant(&response.Grants[i]); err != nil {
			return err
		}
	}
	for _, grant := range response.Grants {
		h.buckets[h.Index(grant.Budget)].applyGrant(now, grant, requestedAt+grant.Lease)
	}
	return nil
}

// requestedAt returns the time of the pending request with that number; ok is false if there is none.
func (h *Holder) requestedAt(number uint64) (at monotime.Micros, ok bool) {
	i := slices.IndexFunc(h.pending, func(request pendingRequest) bool { return request.number == number })
	if i < 0 {
		return 0, false
	}
	return h.pending[i].sentAt, true
}

// checkGrant reports why a grant may not replace the one in force. An error is a *ResponseError.
func (h *Holder) checkGrant(grant *Grant) error {
	i := h.Index(grant.Budget)
	if i < 0 {
		return responseError(ErrUnknownBudget, "unknown budget %q", grant.Budget)
	}
	if epoch := h.buckets[i].Epoch; grant.Epoch <= epoch && !failpoint.Enabled(failpoint.IgnoreEpoch) {
		return responseError(ErrStaleEpoch, "budget %s: epoch %d, wanted above %d", grant.Budget, grant.Epoch, epoch)
	}
	switch {
	case grant.Floor < 0 || grant.Floor > MaxRate:
		return responseError(ErrOutOfBounds, "budget %s: floor %d, wanted 0 to %d", grant.Budget, grant.Floor, MaxRate)
	case grant.Extra < 0 || grant.Extra > MaxRate:
		return responseError(ErrOutOfBounds, "budget %s: extra %d, wanted 0 to %d", grant.Budget, grant.Extra, MaxRate)
	case grant.Lease < 0:
		return responseError(ErrOutOfBounds, "budget %s: lease of %d us, wanted at least 0", grant.Budget, grant.Lease)
	}
	return nil
}

// Release ends all grants, including the floors, so that nothing can be acquired. The lease server may be notified
// only after this call, as it may then grant the released part to other holders.
func (h *Holder) Release(now monotime.Micros) {
	for i := range h.buckets {
		h.buckets[i].release(now)
	}
}

// Status returns the state of all budgets at now.
func (h *Holder) Status(now monotime.Micros) []Status {
	statuses := make([]Status, len(h.buckets))
	for i := range h.buckets {
		statuses[i] = h.buckets[i].status(now)
	}
	return statuses
}
