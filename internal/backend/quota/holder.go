// Package quota is the holder's side of fleet-wide budgets: what part of each whole this process may draw, until
// when, and whether one more unit may be drawn now. It knows of no agent and no ledger, does no I/O and holds no clock:
// times come in, on the machine's own clock with sleep counted. Not safe for use by several goroutines; the gate's lock
// guards it.
package quota

import (
	"fmt"
	"slices"
)

// Micros is a point on the holder's own clock, or a span, in whole microseconds.
type Micros int64

// Bounds of what is kept, and of what may be drawn ahead.
const (
	maxPending    = 8       // asks whose time is remembered; an answer to an older one is refused
	burstMicros   = 300_000 // microseconds of its rate that a share that rested may draw at once,
	minBurstUnits = 4       // and so many units at the least: callers come by chance, see docs/budget-design.md
	microUnits    = 1_000_000

	// MaxRate is the largest whole, floor or extra, in units a second: a year of it still counts exactly.
	MaxRate = 100_000_000
	// MaxBudgets is how many budgets one holder may draw from.
	MaxBudgets = 64
)

// Grant is what the ledger grants of one budget.
type Grant struct {
	Budget string `json:"budget"`
	Epoch  uint64 `json:"epoch"`    // fence: whatever is told by an older one is refused
	Floor  int64  `json:"floor"`    // units a second, for good
	Extra  int64  `json:"extra"`    // units a second above the floor, for the lease
	Lease  Micros `json:"lease_us"` // counted from when it was asked for
}

// Usage is what a holder says of one budget as it asks: what it was told last, and what was drawn since it started.
type Usage struct {
	Budget string `json:"budget"`
	Epoch  uint64 `json:"epoch"`
	Drawn  int64  `json:"drawn"` // without what was given back
	Denied int64  `json:"denied"`
}

// LeaseRequest is a holder's question. Its number grows with each; a later one makes all earlier ones old.
type LeaseRequest struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"life"` // of the process: another process is another holder
	Number      uint64  `json:"number"`
	Clock       Micros  `json:"clock_us"` // the holder's own, for rates; nobody else compares it with theirs
	Usage       []Usage `json:"known,omitempty"`
}

// LeaseResponse grants what an ask asked for.
type LeaseResponse struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"life"`
	Number      uint64  `json:"number"` // of the ask that it answers
	Grants      []Grant `json:"parts,omitempty"`
	Refusal     string  `json:"no,omitempty"` // why nothing is granted
}

// Status is one budget as its holder has it.
type Status struct {
	Budget string `json:"budget"`
	Epoch  uint64 `json:"epoch"`
	Floor  int64  `json:"floor"`
	Extra  int64  `json:"extra"`    // 0 once the lease has run out
	Until  Micros `json:"until_us"` // of the extra
	Drawn  int64  `json:"drawn"`
	Denied int64  `json:"denied"`
}

type allotment struct {
	Grant
	leaseEnd Micros
	tokens   int64  // micro-units
	filledAt Micros // when tokens were last counted up
	drawn    int64
	denied   int64
	refunded int64 // units given back that no later draw has used up yet
}

type pendingRequest struct {
	number uint64
	sentAt Micros
}

// Holder is one process's side of all budgets.
type Holder struct {
	name, incarnation string
	allotments        []allotment
	pending           []pendingRequest // the latest, oldest first
}

// New makes one that draws from these budgets and has no part of any yet: without a word from the ledger there is no
// floor either, because nobody can say that no other process of this name has it.
func New(name, life string, budgets []string) *Holder {
	h := &Holder{name: name, incarnation: life}
	for _, b := range budgets {
		h.allotments = append(h.allotments, allotment{Grant: Grant{Budget: b}})
	}
	return h
}

// Index of a budget, for Draw; -1 if there is none of that name.
func (h *Holder) Index(budget string) int {
	return slices.IndexFunc(h.allotments, func(b allotment) bool { return b.Budget == budget })
}

// TryAcquire takes one unit of a budget, or says that the share does not have it now. One check of the lease and one of the
// tokens: a process that is stopped between the two and its act draws that one unit too late, and no more.
func (h *Holder) TryAcquire(now Micros, i int) bool {
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

// Refund gives one unit back that was drawn for work that never ran. What is drawn and kept stays within what the shares
// allow, and Drawn only grows: units given back are drawn again before new ones are counted.
func (h *Holder) Refund(now Micros, i int) {
	b := &h.allotments[i]
	b.refill(now)
	if b.refunded < b.drawn {
		b.refunded++
		b.tokens = min(b.tokens+microUnits, bucketSize(b.Floor+b.Extra))
	}
}

// refill counts tokens up to now: at floor and extra while the lease lasts, at the floor alone after it. What the extra
// left unused is gone with it.
func (b *allotment) refill(now Micros) {
	if now <= b.filledAt {
		return
	}
	if b.Extra > 0 && now >= b.leaseEnd {
		if b.leaseEnd > b.filledAt {
			b.refillAt(b.leaseEnd, b.Floor+b.Extra)
		}
		b.Extra = 0
		b.tokens = min(b.tokens, bucketSize(b.Floor))
	}
	b.refillAt(now, b.Floor+b.Extra)
}

// refillAt lets tokens grow at a rate until a time; more than a full bucket never counts, so nothing overflows.
func (b *allotment) refillAt(to Micros, rate int64) {
	full := bucketSize(rate)
	if span := int64(to - b.filledAt); rate == 0 || span > full/rate {
		b.tokens = full
	} else {
		b.tokens = min(full, b.tokens+span*rate)
	}
	b.filledAt = to
}

// bucketSize is what a bucket holds: a share of nothing holds nothing.
func bucketSize(rate int64) int64 {
	if rate == 0 {
		return 0
	}
	return max(minBurstUnits*microUnits, rate*burstMicros)
}

// BurstUnits is how many units a share of this rate may draw over what its rate allows in any span: a full bucket.
func BurstUnits(rate int64) int64 { return (bucketSize(rate) + microUnits - 1) / microUnits }

// NewRequest makes a question. The lease of its answer counts from now on.
func (h *Holder) NewRequest(now Micros) LeaseRequest {
	n := uint64(1)
	if len(h.pending) > 0 {
		n = h.pending[len(h.pending)-1].number + 1
	}
	if h.pending = append(h.pending, pendingRequest{n, now}); len(h.pending) > maxPending {
		h.pending = slices.Delete(h.pending, 0, 1)
	}
	a := LeaseRequest{Name: h.name, Incarnation: h.incarnation, Number: n, Clock: now}
	for i := range h.allotments {
		b := &h.allotments[i]
		a.Usage = append(a.Usage, Usage{b.Budget, b.Epoch, b.drawn, b.denied})
	}
	return a
}

// Apply takes in what was granted. An error means that nothing was changed: an answer to another process, to an ask
// that is forgotten, or by an epoch that is no newer than what is known.
func (h *Holder) Apply(now Micros, a LeaseResponse) error {
	if a.Name != h.name || a.Incarnation != h.incarnation {
		return fmt.Errorf("life: the answer is for %s %s, this is %s %s", a.Name, a.Incarnation, h.name, h.incarnation)
	}
	began := now
	at := slices.IndexFunc(h.pending, func(q pendingRequest) bool { return q.number == a.Number })
	switch {
	case plants.epoch: // taken as if it had been asked for just now
	case at < 0:
		return fmt.Errorf("number: %d is none of the latest asks", a.Number)
	default:
		began = h.pending[at].sentAt
	}
	for _, p := range a.Grants {
		i := h.Index(p.Budget)
		switch {
		case i < 0:
			return fmt.Errorf("budget: %q is not drawn from here", p.Budget)
		case !plants.epoch && p.Epoch <= h.allotments[i].Epoch:
			return fmt.Errorf("epoch: %d of %s is not newer than %d", p.Epoch, p.Budget, h.allotments[i].Epoch)
		case p.Floor < 0 || p.Floor > MaxRate || p.Extra < 0 || p.Extra > MaxRate || p.Lease < 0:
			return fmt.Errorf("budget %s: floor %d, extra %d or lease %d is out of bounds", p.Budget, p.Floor, p.Extra, p.Lease)
		}
	}
	for _, p := range a.Grants {
		b := &h.allotments[h.Index(p.Budget)]
		b.refill(now)
		if b.leaseEnd = began + p.Lease; b.leaseEnd <= now {
			p.Extra = 0 // it came after its end
		}
		b.Grant = p
		b.filledAt = now
		b.tokens = min(b.tokens, bucketSize(p.Floor+p.Extra))
	}
	return nil
}

// Release gives everything back, floors too: nothing is drawn any more. It is told to the ledger after this, not before.
func (h *Holder) Release(now Micros) {
	for i := range h.allotments {
		b := &h.allotments[i]
		b.refill(now)
		b.Floor, b.Extra, b.tokens, b.leaseEnd = 0, 0, 0, now
	}
}

// Status are all budgets as they are now.
func (h *Holder) Status(now Micros) []Status {
	all := make([]Status, len(h.allotments))
	for i := range h.allotments {
		b := &h.allotments[i]
		b.refill(now)
		all[i] = Status{b.Budget, b.Epoch, b.Floor, b.Extra, b.leaseEnd, b.drawn, b.denied}
	}
	return all
}
