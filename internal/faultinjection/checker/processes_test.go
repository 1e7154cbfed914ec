package checker

import "testing"

func TestMaxUnavailable(t *testing.T) {
	all := make([]*Process, 0, 6)
	for i, s := range []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 1 0\nhere 250\n"} {
		all = append(all, process(t, "n"+itoa(i), s), process(t, "n"+itoa(i), "clock 300 0\nhere 900\n"))
	}
	if n := MaxUnavailable(all, 0, 1000); n != 3 {
		t.Errorf("%d are unavailable at once, wanted 3", n)
	}
}
