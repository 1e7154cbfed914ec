package admission

// random is a permuted congruential generator (PCG-XSH-RR); it returns a value in [0, 1).
func (b *Backend) random() float64 {
	b.rng = b.rng*6364136223846793005 + 1442695040888963407
	x := uint32(((b.rng >> 18) ^ b.rng) >> 27)
	rot := uint32(b.rng >> 59)
	return float64(x>>rot|x<<(-rot&31)) / (1 << 32)
}
