package dispatch

import (
	"errors"
	"runtime"
	"testing"

	"milletbarrow/admission"
)

// A panic in the module is returned as a *PanicError with the text of the panic's value. It wraps the value if that is
// an error.
func TestModulePanicIsReturnedAsError(t *testing.T) {
	d := open(t)
	err := d.decide(Now(), admission.Arrived{ID: "a", Operation: 99}) // out of range of the module's operations
	var panicError *PanicError
	var cause runtime.Error
	if !errors.As(err, &panicError) || !errors.As(err, &cause) || cause.Error() != err.Error() {
		t.Errorf("%#v, want a *PanicError that wraps a runtime.Error", err)
	}
	if err := error(&PanicError{Value: "text"}); err.Error() != "text" || errors.Unwrap(err) != nil {
		t.Errorf("%#v, want the text and nothing wrapped", err)
	}
	if d.counts.Panics != 1 {
		t.Errorf("%d panics counted, want 1", d.counts.Panics)
	}
}
