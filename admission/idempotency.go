package admission

import "milletbarrow/monotime"

// rememberedKey is an entry of the table of idempotency keys.
type rememberedKey struct {
	until monotime.Micros
	ran   bool // its request has been started, so no repeat of it may run
}

// remember enters an admitted request into the table of idempotency keys.
func (b *Backend) remember(now monotime.Micros, req *request, out []Action) []Action {
	b.remembered[req.id] = &rememberedKey{until: now + req.op.RepeatWindow}
	return append(out, Remember{ID: req.id, For: req.op.RepeatWindow})
}

// expireKeys drops the keys whose time is over.
func (b *Backend) expireKeys(now monotime.Micros) {
	for id, key := range b.remembered {
		if key.until <= now {
			delete(b.remembered, id)
		}
	}
}

// memory returns what requests in flight and remembered keys take, in KB.
func (b *Backend) memory() float64 {
	return float64(len(b.remembered))*b.config.IdempotencyKeyKB + b.inFlight.memoryKB
}
