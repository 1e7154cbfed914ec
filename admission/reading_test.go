package admission

import "testing"

// The expiry of a Wake of an earlier incarnation is ignored: it would be a second reading in one interval.
func TestReadingBeforeItsTimeIsIgnored(t *testing.T) {
	tr := newTrace(t, nil)
	next, read := tr.b.nextReadingAt, tr.b.load.readAt
	tr.now = next - 1
	if out := tr.b.Decide(tr.now, Reading{Token: readingToken, CoreUse: 1, OnCores: 9}, nil); len(out) != 0 {
		t.Errorf("%+v", out)
	}
	if tr.b.nextReadingAt != next || tr.b.load.readAt != read || tr.b.load.onCores != 0 {
		t.Errorf("next %d, want %d; gauges %+v", tr.b.nextReadingAt, next, tr.b.load)
	}
	tr.now = next
	if out := tr.b.Decide(tr.now, Reading{Token: readingToken, CoreUse: 1, OnCores: 9}, nil); len(out) != 1 {
		t.Errorf("%+v", out)
	}
}
