// Package quota is the lease holder's side of fleet-wide budgets: what part of each budget this process may draw, until
// when, and whether a unit may be acquired now. It does no I/O and has no clock: times are passed in, from a machine clock
// that includes suspension. Not safe for concurrent use; the dispatcher's lock guards it.
package quota

import (
	"slices"

	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

const (
	// maxPending is how many requests are remembered; a response to an older one is refused.
	maxPending = 8

	// MaxRate is the largest budget, floor or extra, in units a second: a year of it still counts exactly.
	MaxRate = 100_000_000
	// MaxBudgets is the largest number of budgets of one holder.
	MaxBudgets = 64
)

type pendingRequest struct {
	number uint64
	sentAt monotime.Micros
}

// Holder is one process's part of all its budgets.
type Holder struct {
	name, incarnation string
	allotments        []allotment
	pending           []pendingRequest // oldest first
}

// New returns a holder of these budgets without a grant of any. Before the first grant there is no floor either, as
// another process of this name may still have it.
func New(name, incarnation string, budgets []string) *Holder {
	h := &Holder{name: name, incarnation: incarnation}
	for _, b := range budgets {
		h.allotments = append(h.allotments, allotment{Grant: Grant{Budget: b}})
	}
	return h
}

// Index returns the index of a budget, for TryAcquire and Refund, or -1 if there is none of that name.
func (h *Holder) Index(budget string) int {
	return slices.IndexFunc(h.allotments, func(b allotment) bool { return b.Budget == budget })
}

// TryAcquire acquires a unit of budget i, or returns false if the grant does not allow it now. A process that is suspended
// after this check uses that one unit too late, and no more.
func (h *Holder) TryAcquire(now monotime.Micros, i int) bool {
	b := &h.allotments[i]
	b.refill(now)
	if b.tokens < microUnits {
		b.denied++
		return false
	}
	b.tokens -= microUnits
	if b.refunded > 0 {
		b.refunded--
	} else {
		b.drawn++
	}
	return true
}

// Refund returns a unit of budget i that was acquired for a request that never ran. Drawn only grows: units refunded are
// acquired again before new ones are counted.
func (h *Holder) Refund(now monotime.Micros, i int) {
	b := &h.allotments[i]
	b.refill(now)
	if b.refunded < b.drawn {
		b.refunded++
		b.tokens = min(b.tokens+microUnits, bucketSize(b.Floor+b.Extra))
	}
}

// NewRequest returns a request for grants. The lease of its response counts from now on.
func (h *Holder) NewRequest(now monotime.Micros) LeaseRequest {
	number := uint64(1)
	if len(h.pending) > 0 {
		number = h.pending[len(h.pending)-1].number + 1
	}
	h.pending = append(h.pending, pendingRequest{number, now})
	if len(h.pending) > maxPending {
		h.pending = slices.Delete(h.pending, 0, 1)
	}
	request := LeaseRequest{Name: h.name, Incarnation: h.incarnation, Number: number, Clock: now}
	for i := range h.allotments {
		b := &h.allotments[i]
		request.Usage = append(request.Usage, Usage{Budget: b.Budget, Epoch: b.Epoch, Drawn: b.drawn, Denied: b.denied})
	}
	return request
}

// Apply takes in the grants of a response. An error is a *ResponseError and means that nothing was changed: the response is
// to another process or to a request that is not pending, or a grant is of an old epoch, of another budget or out of bounds.
func (h *Holder) Apply(now monotime.Micros, response LeaseResponse) error {
	if response.Name != h.name || response.Incarnation != h.incarnation {
		return refuse(ErrWrongHolder, "life: the answer is for %s %s, this is %s %s",
			response.Name, response.Incarnation, h.name, h.incarnation)
	}
	requestedAt, pending := h.requestedAt(response.Number)
	switch {
	case failpoint.Enabled(failpoint.IgnoreEpoch): // as if it had been requested just now
		requestedAt = now
	case !pending:
		return refuse(ErrUnknownRequest, "number: %d is none of the latest asks", response.Number)
	}
	for i := range response.Grants {
		if err := h.checkGrant(&response.Grants[i]); err != nil {
			return err
		}
	}
	for _, grant := range response.Grants {
		h.allotments[h.Index(grant.Budget)].applyGrant(now, grant, requestedAt+grant.Lease)
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

// checkGrant refuses a grant that may not replace the one in force.
func (h *Holder) checkGrant(grant *Grant) error {
	i := h.Index(grant.Budget)
	switch {
	case i < 0:
		return refuse(ErrUnknownBudget, "budget: %q is not drawn from here", grant.Budget)
	case !failpoint.Enabled(failpoint.IgnoreEpoch) && grant.Epoch <= h.allotments[i].Epoch:
		return refuse(ErrStaleEpoch, "epoch: %d of %s is not newer than %d", grant.Epoch, grant.Budget, h.allotments[i].Epoch)
	case grant.Floor < 0 || grant.Floor > MaxRate || grant.Extra < 0 || grant.Extra > MaxRate || grant.Lease < 0:
		return refuse(ErrOutOfBounds, "budget %s: floor %d, extra %d or lease %d is out of bounds",
			grant.Budget, grant.Floor, grant.Extra, grant.Lease)
	}
	return nil
}

// Release gives up all grants, floors too: nothing is acquired any more. Notify the lease server after this, not before.
func (h *Holder) Release(now monotime.Micros) {
	for i := range h.allotments {
		b := &h.allotments[i]
		b.Floor, b.Extra, b.tokens, b.leaseEnd = 0, 0, 0, now
	}
}

// Status returns all budgets as they are now.
func (h *Holder) Status(now monotime.Micros) []Status {
	all := make([]Status, len(h.allotments))
	for i := range h.allotments {
		b := &h.allotments[i]
		b.refill(now)
		all[i] = Status{
			Budget: b.Budget, Epoch: b.Epoch, Floor: b.Floor, Extra: b.Extra, Until: b.leaseEnd,
			Drawn: b.drawn, Denied: b.denied,
		}
	}
	return all
}
