// Package coldstart judges a cold start by the calls that reached a register: how many came while it took nothing, how they
// stood together once it did, and how long it took until the backends were listed. It does no I/O and holds no clock, and
// knows nothing of how backends decide.
package coldstart

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Mode is how a register behaves for a while.
type Mode string

// The modes.
const (
	Takes   Mode = "takes"   // each report counts, after a while
	Refuses Mode = "refuses" // 503, after a while
	Half    Mode = "half"    // every second one by chance is refused
	Silent  Mode = "silent"  // it accepts, and never answers
	Down    Mode = "down"    // nobody listens
)

// Modes lists them.
func Modes() []string {
	return []string{string(Takes), string(Refuses), string(Half), string(Silent), string(Down)}
}

// Phase is a mode that begins at a time.
type Phase struct {
	From   time.Duration
	Mode   Mode
	Takes  time.Duration // each answer
	Advice time.Duration // Retry-After with a refusal; 0: none
}

// Register is how a fake for one behaves.
type Register struct {
	Phases []Phase // by From; before the first it takes all at once
	Crowd  int     // calls open at once beyond which it falls over; 0: it never does
	Needs  time.Duration
}

// At is the phase of a time.
func (r *Register) At(t time.Duration) Phase {
	p := Phase{Mode: Takes}
	for _, next := range r.Phases {
		if next.From <= t {
			p = next
		}
	}
	return p
}

// Until is when the phase ends that begins then; of the last, an hour after.
func (r *Register) Until(from time.Duration) time.Duration {
	for _, p := range r.Phases {
		if p.From > from {
			return p.From
		}
	}
	return from + time.Hour
}

// Returned is when it takes reports for good: the last phase's beginning if that one takes them.
func (r *Register) Returned() (at time.Duration, ever bool) {
	if len(r.Phases) == 0 {
		return 0, true
	}
	last := r.Phases[len(r.Phases)-1]
	return last.From, last.Mode == Takes
}

// Call is one that reached the endpoint registry.
type Call struct {
	Name    string
	At      time.Duration // since its phases began
	Counted bool
	Off     bool
}

// Figures are what a cold start came to.
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

// Of works the figures out. usual is between two reports of one backend in the mean; end is when the trial ended.
func Of(calls []Call, r *Register, backends int, usual, end time.Duration) (f Figures) {
	f.Backends, f.Ordinary = backends, float64(backends)/usual.Seconds()
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	back, ever := r.Returned()
	if !ever {
		back = end
	}
	// While it took nothing, from when the first was there on: what is not started calls nobody.
	if len(calls) > 0 && calls[0].At < back {
		from := calls[0].At
		f.Refusing = float64(count(calls, from, back)) / (back - from).Seconds()
		for at := from; at+time.Second <= back; at += tenth {
			f.Worst = max(f.Worst, float64(count(calls, at, at+time.Second)))
		}
	}
	counted := map[string]time.Duration{}
	var listed []time.Duration
	for _, c := range calls {
		if _, known := counted[c.Name]; c.Counted && !c.Off && c.At >= back && !known {
			counted[c.Name] = c.At
			listed = append(listed, c.At-back)
		}
	}
	f.Half, f.Most = nth(listed, backends, 0.5), nth(listed, backends, 0.95)
	for at := back; at < back+time.Second; at += tenth / 4 {
		f.First = max(f.First, float64(count(calls, at, at+tenth))/(f.Ordinary/10))
	}
	if f.Most >= 0 { // once nearly all are listed; tenths that do not overlap, as chance is counted by them
		from := back + time.Duration(f.Most*float64(time.Second)) + Lapse
		mean := float64(count(calls, from, end)) / ((end - from).Seconds() * 10)
		for at := from; at+tenth <= end; at += tenth {
			f.Peak = max(f.Peak, float64(count(calls, at, at+tenth))/mean)
		}
	}
	f.lapses(calls, back, end)
	return f
}

// lapses counts gaps between reports that counted that were longer than an entry stands.
func (f *Figures) lapses(calls []Call, back, end time.Duration) {
	last := map[string]time.Duration{}
	for _, c := range calls {
		if !c.Counted || c.At < back {
			continue
		}
		if was, ok := last[c.Name]; ok && c.At-was > Lapse {
			f.Lapsed++
			f.LapsedFor = max(f.LapsedFor, (c.At - was - Lapse).Seconds())
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

// Bounds are what a cold start must keep to.
type Bounds struct {
	Refusing, First, Peak float64 // of the ordinary mean; 0: not judged
	Conns                 int     // for each backend
	Most                  float64 // seconds until 95 in a hundred are listed
}

// Breaks lists what was not kept to.
func (f *Figures) Breaks(b Bounds) (why []string) {
	say := func(format string, args ...any) { why = append(why, fmt.Sprintf(format, args...)) }
	if b.Refusing > 0 && f.Refusing > b.Refusing*f.Ordinary {
		say("%.0f calls a second while it took nothing, %.0f may come", f.Refusing, b.Refusing*f.Ordinary)
	}
	if b.First > 0 && f.First > b.First {
		say("a tenth of the first second had %.2f times the mean, %.2f may come", f.First, b.First)
	}
	if b.Peak > 0 && f.Peak > b.Peak {
		say("a tenth of a second had %.2f times the mean once all were listed, %.2f may come", f.Peak, b.Peak)
	}
	if b.Conns > 0 && f.Conns > b.Conns*f.Backends {
		say("%d connections were open, %d may be", f.Conns, b.Conns*f.Backends)
	}
	if b.Most > 0 && (f.Most < 0 || f.Most > b.Most) {
		say("95 in a hundred were listed after %.1f s, within %.1f s it has to be", f.Most, b.Most)
	}
	if f.Falls > 0 {
		say("it fell over %d times", f.Falls)
	}
	if f.Lapsed > 0 {
		say("%d entries lapsed, for up to %.1f s", f.Lapsed, f.LapsedFor)
	}
	if f.Listed < f.Backends {
		say("%d of %d are listed at the end", f.Listed, f.Backends)
	}
	return why
}
