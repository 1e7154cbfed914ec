package admission

import "math"

// Parameters of the permuted congruential generator PCG-XSH-RR 64/32 (O'Neill, 2014).
const (
	pcgMultiplier    uint64 = 6364136223846793005
	pcgIncrement     uint64 = 1442695040888963407
	pcgXorShift             = 18
	pcgOutputShift          = 27
	pcgRotationShift        = 59
	pcgRotationMask         = 31
)

// random returns the next pseudo-random number in [0, 1).
func (b *Backend) random() float64 {
	state := b.randomState*pcgMultiplier + pcgIncrement
	b.randomState = state
	output := uint32(((state >> pcgXorShift) ^ state) >> pcgOutputShift)
	rotation := uint32(state >> pcgRotationShift)
	rotated := output>>rotation | output<<(-rotation&pcgRotationMask)
	return float64(rotated) / (math.MaxUint32 + 1)
}
