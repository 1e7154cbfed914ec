package admission

import "testing"

// A reading for a Wake of an earlier incarnation is ignored: it would be a second reading within one interval.
func TestEarlyReadingIsIgnored(t *testing.T) {
	tr := newTrace(t, nil)
	next, read := tr.backend.nextReadingAt, tr.backend.load.readAt
	tr.now = next - 1
	if out := tr.backend.Decide(tr.now, Reading{Token: readingToken, CoreUse: 1, OnCores: 9}, nil); len(out) != 0 {
		t.Errorf("early reading: actions %+v, want none", out)
	}
	if tr.backend.nextReadingAt != next || tr.backend.load.readAt != read || tr.backend.load.measuredRunnable != 0 {
		t.Errorf("next reading at %d, want %d; load %+v", tr.backend.nextReadingAt, next, tr.backend.load)
	}
	tr.now = next
	if out := tr.backend.Decide(tr.now, Reading{Token: readingToken, CoreUse: 1, OnCores: 9}, nil); len(out) != 1 {
		t.Errorf("reading: actions %+v, want only the next Wake", out)
	}
}
