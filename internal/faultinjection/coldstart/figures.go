package coldstart

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Call is one report that reached the endpoint registry.
type Call struct {
	Name    string
	At      time.Duration // since its phases began
	Counted bool          // it was taken
	Off     bool          // by it the backend left
}

// Figures are what was measured of a cold start. "Its return" is when the registry takes reports for good.
type Figures struct {
	Backends  int     `json:"backends"`
	Ordinary  float64 `json:"ordinary_per_s"` // calls a second if each backend reports as it usually does
	Refusing  float64 `json:"refusing_per_s"` // while it took nothing, in the mean
	Worst     float64 `json:"refusing_worst"` // and in the fullest second of it
	First     float64 `json:"peak_first"`     // the fullest tenth of the first second after its return, over the ordinary mean
	Peak      float64 `json:"peak"`           // and of all tenths once all were listed, over their mean
	Half      float64 `json:"half_listed_s"`  // from its return, or from the start, whichever was later
	Most      float64 `json:"most_listed_s"`  // 95 in a hundred
	Conns     int     `json:"connections"`    // open at once, at the most
	Falls     int     `json:"falls"`          // times that it fell over
	Lapsed    int     `json:"lapsed"`         // entries that went though their backends were there, once listed
	Listed    int     `json:"listed"`         // at the end
	LapsedFor float64 `json:"lapsed_longest_s"`
	Starting  int     `json:"starting"` // processes at once that had begun and could not be warm yet
}

// Lapse is how long an entry stands after its last report.
const Lapse = 3 * time.Second

const tenth = 100 * time.Millisecond

// nearlyAll is the share of backends whose listing is waited for.
const nearlyAll = 0.95

// Measure works the figures out of all calls, which it sorts. reportInterval is the mean time between two reports of
// one backend; end is when the trial ended.
func Measure(calls []Call, behavior *RegistryBehavior, backends int, reportInterval, end time.Duration) (f Figures) {
	f.Backends, f.Ordinary = backends, float64(backends)/reportInterval.Seconds()
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	back, ever := behavior.Returned()
	if !ever {
		back = end
	}
	f.measureRefusing(calls, back)
	f.measureListed(calls, back)
	f.measureBunching(calls, back, end)
	f.measureLapses(calls, back, end)
	return f
}

// measureRefusing counts calls while it took nothing, from when the first was there on: what is not started calls
// nobody.
func (f *Figures) measureRefusing(calls []Call, back time.Duration) {
	if len(calls) == 0 || calls[0].At >= back {
		return
	}
	from := calls[0].At
	f.Refusing = float64(count(calls, from, back)) / (back - from).Seconds()
	for at := from; at+time.Second <= back; at += tenth {
		f.Worst = max(f.Worst, float64(count(calls, at, at+time.Second)))
	}
}

// measureListed finds when backends had their first report taken.
func (f *Figures) measureListed(calls []Call, back time.Duration) {
	counted := map[string]bool{}
	var listed []time.Duration
	for _, c := range calls {
		if c.Counted && !c.Off && c.At >= back && !counted[c.Name] {
			counted[c.Name] = true
			listed = append(listed, c.At-back)
		}
	}
	f.Half, f.Most = nth(listed, f.Backends, 0.5), nth(listed, f.Backends, nearlyAll)
}

// measureBunching finds the fullest tenths of a second after its return.
func (f *Figures) measureBunching(calls []Call, back, end time.Duration) {
	for at := back; at < back+time.Second; at += tenth / 4 {
		f.First = max(f.First, float64(count(calls, at, at+tenth))/(f.Ordinary/10))
	}
	if f.Most < 0 {
		return
	}
	// Once nearly all are listed; tenths that do not overlap, as chance is counted by them.
	from := back + time.Duration(f.Most*float64(time.Second)) + Lapse
	mean := float64(count(calls, from, end)) / ((end - from).Seconds() * 10)
	for at := from; at+tenth <= end; at += tenth {
		f.Peak = max(f.Peak, float64(count(calls, at, at+tenth))/mean)
	}
}

// measureLapses counts gaps between reports that were taken that were longer than an entry stands.
func (f *Figures) measureLapses(calls []Call, back, end time.Duration) {
	last := map[string]time.Duration{}
	for _, c := range calls {
		if !c.Counted || c.At < back {
			continue
		}
		if previous, ok := last[c.Name]; ok && c.At-previous > Lapse {
			f.Lapsed++
			f.LapsedFor = max(f.LapsedFor, (c.At - previous - Lapse).Seconds())
		}
		last[c.Name] = c.At
	}
	for _, at := range last {
		if end-at <= Lapse {
			f.Listed++
		}
	}
}

// nth is when a share of all backends had come, -1 if they never did.
func nth(sorted []time.Duration, backends int, share float64) float64 {
	n := int(math.Ceil(share * float64(backends)))
	if n > len(sorted) || n < 1 {
		return -1
	}
	return sorted[n-1].Seconds()
}

// count is how many calls fell into a span; they are sorted.
func count(calls []Call, from, to time.Duration) int {
	at := func(t time.Duration) int {
		n, _ := slices.BinarySearchFunc(calls, t, func(c Call, t time.Duration) int { return cmp.Compare(c.At, t) })
		return n
	}
	return at(to) - at(from)
}
