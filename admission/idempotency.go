package admission

import "milletbarrow/monotime"

// idempotencyKey is an entry of the idempotency key table.
type idempotencyKey struct {
	expiresAt monotime.Micros
	started   bool // the request has been started, so no repeat may run
}

// rememberKey adds an admitted request to the idempotency key table.
func (b *Backend) rememberKey(now monotime.Micros, req *request, out []Action) []Action {
	b.idempotencyKeys[req.id] = &idempotencyKey{expiresAt: now + req.op.RepeatWindow}
	return append(out, Remember{ID: req.id, For: req.op.RepeatWindow})
}

// expireKeys deletes expired keys.
func (b *Backend) expireKeys(now monotime.Micros) {
	for id, key := range b.idempotencyKeys {
		if key.expiresAt <= now {
			delete(b.idempotencyKeys, id)
		}
	}
}

// memoryKB returns the memory of requests in flight and stored keys, in KB.
func (b *Backend) memoryKB() float64 {
	return float64(len(b.idempotencyKeys))*b.config.IdempotencyKeyKB + b.inFlight.memoryKB
}
