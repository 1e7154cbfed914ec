package admission

import (
	"fmt"
	"testing"
)

// A request beyond its tenant's quota gets a lower priority than any request within a quota.
func TestTenantOverQuotaGetsLowerPriority(t *testing.T) {
	tr := newTrace(t, func(config *Config) {
		config.QuotaPerSecond = []float64{8, 8}
		config.OverQuotaValue = 0.05
	})
	for n := range 9 {
		id := fmt.Sprint("first", n)
		tr.arrive(id, idempotentOperation, 0.5)
		tr.finish(id, OK)
	}
	tr.advance(400, 1, 2.4)
	tr.note("the first tenant is over its quota: its highest priority ranks below the lowest of the other tenant")
	tr.arrive("highest of the first", idempotentOperation, 0.99)
	tr.arrive("lowest of the second", idempotentOperation, 0.01, func(arrived *Arrived) { arrived.Tenant = 1 })
	tr.compare()
}
