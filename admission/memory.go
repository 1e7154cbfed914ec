package admission

import "milletbarrow/monotime"

// rememberedKey is an entry of the table of idempotency keys.
type rememberedKey struct {
	until monotime.Micros
	ran   bool
}

// memory is what waiting, running and remembered invocations take, in KB.
func (b *Backend) memory() float64 {
	return float64(len(b.remembered))*b.config.IdempotencyKeyKB + b.inFlight.memoryKB
}
