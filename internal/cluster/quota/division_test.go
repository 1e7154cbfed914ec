package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	backendquota "milletbarrow/internal/backend/quota"
)

// drawClaim draws a claim with a limited or unlimited demand.
func drawClaim(t *rapid.T) Claim {
	return Claim{
		Demand: int64(rapid.IntRange(-1, 3000).Draw(t, "demand")),
		Weight: int64(rapid.IntRange(1, 5).Draw(t, "weight")),
	}
}

// TestMaxMinFairSharesMeetDemandByWeight checks that the shares are multiples of the step that add up to the pool, and
// that no claim gets less than its demand while another has more by weight.
func TestMaxMinFairSharesMeetDemandByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := int64(rapid.IntRange(0, 10_000).Draw(t, "pool"))
		step := int64(rapid.IntRange(1, 9).Draw(t, "step"))
		claims := rapid.SliceOfN(rapid.Custom(drawClaim), 1, 12).Draw(t, "claims")
		shares := MaxMinFair(pool, step, claims)
		sum, demanded := int64(0), int64(0)
		for i, share := range shares {
			sum += share
			if share < 0 || share%step != 0 {
				t.Fatalf("share %d is not a multiple of step %d", share, step)
			}
			demand := claims[i].Demand
			if demand < 0 {
				demand = pool
			}
			demanded += (demand + step - 1) / step * step
		}
		if total := pool / step * step; sum != total {
			t.Fatalf("shares add up to %d, want %d", sum, total)
		}
		if demanded <= pool {
			return
		}
		for i, a := range claims {
			unmet := a.Demand < 0 || shares[i] < a.Demand
			for j, b := range claims {
				if unmet && (shares[i]+step)*b.Weight < (shares[j]-step)*a.Weight {
					t.Fatalf("unmet %+v has only %d, %+v has %d", a, shares[i], b, shares[j])
				}
			}
		}
	})
}

func BenchmarkRebalance(b *testing.B) {
	for _, n := range []int{60, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			state := newTestState(b, rateConfig(int64(n)*10, n, 1, DivideByDemand))
			for i := range n {
				renewOne(state, "h", backendquota.LeaseRequest{
					Name:        string(backendName(i)),
					Incarnation: "a",
					Number:      1,
					Usage:       []backendquota.Usage{{Budget: string(testRate), Drawn: int64(i)}},
				})
			}
			for b.Loop() {
				state.Apply(Command{Rebalance: true})
			}
		})
	}
}
