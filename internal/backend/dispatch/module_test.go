package dispatch

import (
	"errors"
	"runtime"
	"testing"

	"milletbarrow/admission"
)

// TestModulePanicIsReturnedAsError: a panic of the module is an error that has its value, and wraps it if that is an error itself.
func TestModulePanicIsReturnedAsError(t *testing.T) {
	d := open(t)
	err := d.decide(Now(), admission.Arrived{ID: "a", Operation: 99}) // the module indexes its operations with it
	var panicked *PanicError
	if cause := runtime.Error(nil); !errors.As(err, &panicked) || !errors.As(err, &cause) || cause.Error() != err.Error() {
		t.Errorf("%#v", err)
	}
	if err := error(&PanicError{Value: "text"}); err.Error() != "text" || errors.Unwrap(err) != nil {
		t.Errorf("%#v", err)
	}
	if d.counts.Panics != 1 {
		t.Errorf("%d panics counted", d.counts.Panics)
	}
}
