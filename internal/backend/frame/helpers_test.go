package frame

import (
	"fmt"

	"milletbarrow/internal/fakes"
)

const (
	maxBody   = 2048
	maxLength = 262_144
)

// formatInvocation formats the results of ReadInvocation.
func formatInvocation(inv Invocation, err error) string {
	if err != nil {
		return "error: " + err.Error()
	}
	return fmt.Sprintf("%s %s %s arrived at %d timeout %d retry %t key %t work %d memory %g priority %g body %.20q",
		inv.Operation, inv.ID, inv.Tenant, inv.ArrivedAt, inv.CallerTimeout, inv.Retry, inv.HasKey, inv.ExpectedWork,
		inv.MemoryKB, inv.Priority, inv.Body)
}

// invocationFields encodes the fields of a valid invocation with the given edits; see fakes.DefaultFields.
func invocationFields(edits ...string) string {
	return fakes.EncodeFields(defaultFields(edits...)...)
}

// defaultFields returns the fields of a valid invocation with the given edits; see fakes.DefaultFields.
func defaultFields(edits ...string) []string {
	return fakes.DefaultFields(0xa1, append([]string{"at=1764576000123"}, edits...)...)
}
