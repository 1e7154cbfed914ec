// Package quota is the lease holder's side of fleet-wide quotas, which it calls budgets: what part of each budget
// this process may use, until when, and whether a unit may be acquired now. It does no I/O and has no clock: times
// are passed in, from a machine clock that includes suspension.
package quota

import (
	"slices"

	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

const (
	// maxPending is the number of latest requests whose responses are accepted.
	maxPending = 8

	// MaxRate is the largest budget, floor or extra, in units per second: what it yields in a year still counts
	// exactly.
	MaxRate = 100_000_000
	// MaxBudgets is the largest number of budgets of one holder.
	MaxBudgets = 64
)

// pendingRequest is a request whose response is accepted.
type pendingRequest struct {
	number uint64
	sentAt monotime.Micros
}

// Holder holds one process's part of all its budgets. It is not safe for concurrent use; the dispatcher's lock guards
// it.
//
// Invariants:
//   - No more units are acquired than floor and lease yield, and a full bucket (TestAcquireWithinGrant).
//   - The epoch of a budget's grant only grows (TestRefusedResponses).
//   - A response is applied completely or not at all (TestResponseIsRefusedCompletely).
//   - Request numbers only grow (TestRequestNumbersGrow).
//   - Nothing is acquired before the first grant or after Release (TestAcquireWithinGrant, TestRelease).
type Holder struct {
	name        string
	incarnation string           // of the process
	buckets     []tokenBucket    // by budget index
	pending     []pendingRequest // oldest first
}

// New returns a holder of these budgets without a grant of any. Before the first grant there is no floor either, as
// another process of this name may still have it.
func New(name, incarnation string, budgets []string) *Holder {
	h := &Holder{name: name, incarnation: incarnation}
	for _, budget := range budgets {
		h.buckets = append(h.buckets, tokenBucket{Grant: Grant{Budget: budget}})
	}
	return h
}

// Index returns the index of a budget, for TryAcquire and Refund, or -1 if there is none of that name.
func (h *Holder) Index(budget string) int {
	return slices.IndexFunc(h.buckets, func(b tokenBucket) bool { return b.Budget == budget })
}

// TryAcquire acquires a unit of a budget, or returns false if its grant does not allow that now. A process that is
// suspended after this check uses that one unit too late, and no more.
func (h *Holder) TryAcquire(now monotime.Micros, index int) bool {
	return h.buckets[index].tryAcquire(now)
}

// Refund returns a unit of a budget that was acquired for a request that never ran. Status.Drawn only grows: units
// refunded are acquired again before new ones are counted.
func (h *Holder) Refund(now monotime.Micros, index int) { h.buckets[index].refund(now) }

// NewRequest returns a request for grants. The lease of its response counts from now on.
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

// Apply applies the grants of a response. An error is a *ResponseError and means that nothing was changed: the response
// is to another process or to a request that is not pending, or a grant is of an old epoch, of another budget or out of
// bounds.
func (h *Holder) Apply(now monotime.Micros, response LeaseResponse) error {
	if response.Name != h.name || response.Incarnation != h.incarnation {
		return refuse(ErrWrongHolder, "response for %s, incarnation %s: this is %s, incarnation %s",
			response.Name, response.Incarnation, h.name, h.incarnation)
	}
	requestedAt, pending := h.requestedAt(response.Number)
	switch {
	case failpoint.Enabled(failpoint.IgnoreEpoch):
		requestedAt = now // as if it had been requested just now
	case !pending:
		return refuse(ErrUnknownRequest, "response to request %d, which is not pending", response.Number)
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

// requestedAt returns when the pending request of that number was made; ok is false if there is none.
func (h *Holder) requestedAt(number uint64) (at monotime.Micros, ok bool) {
	i := slices.IndexFunc(h.pending, func(request pendingRequest) bool { return request.number == number })
	if i < 0 {
		return 0, false
	}
	return h.pending[i].sentAt, true
}

// checkGrant refuses a grant that may not replace the one in force. An error is a *ResponseError.
func (h *Holder) checkGrant(grant *Grant) error {
	i := h.Index(grant.Budget)
	if i < 0 {
		return refuse(ErrUnknownBudget, "unknown budget %q", grant.Budget)
	}
	if epoch := h.buckets[i].Epoch; grant.Epoch <= epoch && !failpoint.Enabled(failpoint.IgnoreEpoch) {
		return refuse(ErrStaleEpoch, "budget %s: epoch %d, wanted above %d", grant.Budget, grant.Epoch, epoch)
	}
	switch {
	case grant.Floor < 0 || grant.Floor > MaxRate:
		return refuse(ErrOutOfBounds, "budget %s: floor %d, wanted 0 to %d", grant.Budget, grant.Floor, MaxRate)
	case grant.Extra < 0 || grant.Extra > MaxRate:
		return refuse(ErrOutOfBounds, "budget %s: extra %d, wanted 0 to %d", grant.Budget, grant.Extra, MaxRate)
	case grant.Lease < 0:
		return refuse(ErrOutOfBounds, "budget %s: lease of %d us, wanted at least 0", grant.Budget, grant.Lease)
	}
	return nil
}

// Release gives up all grants, floors too: nothing is acquired any more. Notify the lease server after this, not
// before.
func (h *Holder) Release(now monotime.Micros) {
	for i := range h.buckets {
		h.buckets[i].release(now)
	}
}

// Status returns all budgets as they are now.
func (h *Holder) Status(now monotime.Micros) []Status {
	all := make([]Status, len(h.buckets))
	for i := range h.buckets {
		all[i] = h.buckets[i].status(now)
	}
	return all
}
