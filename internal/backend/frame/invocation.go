package frame

import (
	"errors"
	"fmt"
	"math"

	"milletbarrow/monotime"
)

const (
	maxMemoryKB = 2000 // exclusive
	maxPriority = 1    // exclusive
	idSize      = 16   // hex digits
)

// Invocation is the decoded payload of an invocation's frame. Its slices refer to the payload.
type Invocation struct {
	Operation        []byte
	ID               []byte          // unique per attempt
	Tenant           []byte          // empty: not given
	IdempotencyKey   []byte          // the same for all attempts of a request; empty: not given
	ArrivedAt        monotime.Micros // when it arrived at the host, Unix time
	CallerTimeout    monotime.Micros // how long the caller waits for the answer, from ArrivedAt
	HasCallerTimeout bool            // CallerTimeout is given
	Retry            bool            // the caller has marked it as a retry
	HasKey           bool            // the field "key" is given; the backend ignores its value
	ExpectedWork     monotime.Micros // CPU time on one core; 0: not given
	MemoryKB         float64
	Priority         float64 // 0 to below 1
	Body             []byte
}

// fieldSet is a bit set of fields, to detect duplicate and missing ones.
type fieldSet uint16

const (
	hasOperation fieldSet = 1 << iota
	hasID
	hasArrivedAt
	hasEdgeNode
	hasTenant
	hasCallerTimeout
	hasRetry
	hasExpectedWork
	hasMemory
	hasPriority
	hasKey
	hasIdempotencyKey
)

// requiredFields are the fields without which an invocation is rejected. The deployment's settings may require others.
var requiredFields = [...]struct {
	bit  fieldSet
	name string
}{
	{hasOperation, fieldOperation},
	{hasID, fieldID},
	{hasArrivedAt, fieldArrivedAt},
	{hasMemory, fieldMemory},
	{hasPriority, fieldPriority},
}

// ReadInvocation decodes the payload p of an invocation's frame; the slices of the result refer to p. Unknown fields
// are ignored. Any error is ErrTruncated, a *FieldError or a *BodySizeError.
func ReadInvocation(p []byte, maxBody int) (Invocation, error) {
	var inv Invocation
	var seen fieldSet
	body, err := forEachField(p, func(name, value []byte) error {
		bit, err := inv.setField(name, value)
		if err == nil && seen&bit != 0 {
			err = ErrDuplicateField
		}
		seen |= bit
		return err
	})
	if err != nil {
		return inv, err
	}
	for _, field := range requiredFields {
		if seen&field.bit == 0 {
			return inv, &FieldError{Field: field.name, Err: ErrMissingField}
		}
	}
	if len(body) > maxBody {
		return inv, &BodySizeError{Size: len(body), Limit: maxBody}
	}
	inv.Body = body
	return inv, nil
}

// setField decodes one field and returns its bit in a fieldSet; 0 for an unknown field.
func (inv *Invocation) setField(name, value []byte) (bit fieldSet, err error) {
	switch string(name) {
	case fieldOperation:
		bit = hasOperation
		inv.Operation = value
	case fieldID:
		bit = hasID
		inv.ID = value
		if !isInvocationID(value) {
			err = ErrInvalidID
		}
	case fieldArrivedAt:
		bit = hasArrivedAt
		inv.ArrivedAt, err = parseMillis(value)
	case fieldEdgeNode:
		bit = hasEdgeNode
		_, err = parseNumber(value, math.MaxUint32)
	case fieldTenant:
		bit = hasTenant
		inv.Tenant = value
	case fieldCallerTimeout:
		bit = hasCallerTimeout
		inv.HasCallerTimeout = true
		inv.CallerTimeout, err = parseMillis(value)
	case fieldRetry:
		bit = hasRetry
		inv.Retry = string(value) == trueValue
	case fieldExpectedWork:
		bit = hasExpectedWork
		inv.ExpectedWork, err = parseMillis(value)
	case fieldMemory:
		bit = hasMemory
		inv.MemoryKB, err = parseMemoryKB(value)
	case fieldPriority:
		bit = hasPriority
		inv.Priority, err = parsePriority(value)
	case fieldKey:
		bit, inv.HasKey = hasKey, true
	case fieldIdempotencyKey:
		bit = hasIdempotencyKey
		inv.IdempotencyKey = value
	}
	return bit, err
}

// parseMemoryKB parses a number of kilobytes between 0 and maxMemoryKB, both exclusive.
func parseMemoryKB(value []byte) (float64, error) {
	kb, err := parseNumber(value, maxMemoryKB)
	if errors.Is(err, ErrOutOfRange) || err == nil && (kb == 0 || kb == maxMemoryKB) {
		err = fmt.Errorf("%w: expected above 0 and below %d", ErrOutOfRange, maxMemoryKB)
	}
	return kb, err
}

// parsePriority parses a priority from 0 to below maxPriority.
func parsePriority(value []byte) (float64, error) {
	x, err := parseNumber(value, maxPriority)
	if errors.Is(err, ErrOutOfRange) || err == nil && x == maxPriority {
		err = fmt.Errorf("%w: expected at least 0 and below %d", ErrOutOfRange, maxPriority)
	}
	return x, err
}

// isInvocationID reports whether id consists of 16 hex digits, so that a line of the executor's protocol can carry it.
func isInvocationID(id []byte) bool {
	for _, char := range id {
		if (char < '0' || char > '9') && (char < 'a' || char > 'f') && (char < 'A' || char > 'F') {
			return false
		}
	}
	return len(id) == idSize
}
