package coldstart

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Call is one load report that reached the endpoint registry.
type Call struct {
	Name    string        // of the backend
	At      time.Duration // since the registry's phases began
	Counted bool          // whether the registry accepted the report
	Off     bool          // whether the backend left the registry with it
}

// Figures holds the measurements of a cold start. The registry's return is the time from which on it accepts all
// reports.
type Figures struct {
	Backends  int     `json:"backends"`
	Ordinary  float64 `json:"ordinary_per_s"` // calls per second if every backend reports at its usual interval
	Refusing  float64 `json:"refusing_per_s"` // mean calls per second from the first call to the return
	Worst     float64 `json:"refusing_worst"` // calls in the busiest second before the return
	First     float64 `json:"peak_first"`     // busiest tenth of the first second after the return, over Ordinary
	Peak      float64 `json:"peak"`           // busiest tenth of a second after all were listed, over the mean of these
	Half      float64 `json:"half_listed_s"`  // seconds from the return until 50% of backends were listed; -1: never
	Most      float64 `json:"most_listed_s"`  // seconds from the return until 95% were listed; -1: never
	Conns     int     `json:"connections"`    // highest number of open connections
	Falls     int     `json:"falls"`          // collapses of the registry
	Lapsed    int     `json:"lapsed"`         // entries that expired after they were listed, although the backend ran
	Listed    int     `json:"listed"`         // entries at the end
	LapsedFor float64 `json:"lapsed_longest_s"`
	Starting  int     `json:"starting"` // highest number of processes that were starting at the same time
}

// Lapse is the time after the last report at which an entry expires.
const Lapse time.Duration = 3 * time.Second

const (
	tenth           time.Duration = time.Second / 10
	tenthsPerSecond float64       = 10
	// firstStep is the distance of the overlapping tenths that are examined in the first second.
	firstStep time.Duration = tenth / 4
)

// Fractions of the backends of Figures.Half and Figures.Most.
const (
	halfListed float64 = 0.5
	mostListed float64 = 0.95
)

// Measure computes the figures from all calls, which it sorts. reportInterval is the mean interval of one backend's
// reports; end is the end of the trial.
func Measure(calls []Call, behavior *RegistryBehavior, backends int, reportInterval, end time.Duration) (f Figures) {
	f.Backends = backends
	f.Ordinary = float64(backends) / reportInterval.Seconds()
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	returned, ok := behavior.Returned()
	if !ok {
		returned = end
	}
	f.measureRefusing(calls, returned)
	f.measureListed(calls, returned)
	f.measureBursts(calls, returned, end)
	f.measureLapses(calls, returned, end)
	return f
}

// measureRefusing measures the calls before the registry's return. It begins with the first call, as backends that have
// not started send none.
func (f *Figures) measureRefusing(calls []Call, returned time.Duration) {
	if len(calls) == 0 || calls[0].At >= returned {
		return
	}
	from := calls[0].At
	f.Refusing = float64(count(calls, from, returned)) / (returned - from).Seconds()
	for at := from; at+time.Second <= returned; at += tenth {
		f.Worst = max(f.Worst, float64(count(calls, at, at+time.Second)))
	}
}

// measureListed measures when the registry accepted the first report of each backend.
func (f *Figures) measureListed(calls []Call, returned time.Duration) {
	counted := map[string]bool{}
	var listed []time.Duration
	for _, c := range calls {
		if c.Counted && !c.Off && c.At >= returned && !counted[c.Name] {
			counted[c.Name] = true
			listed = append(listed, c.At-returned)
		}
	}
	f.Half = timeListed(listed, f.Backends, halfListed)
	f.Most = timeListed(listed, f.Backends, mostListed)
}

// measureBursts measures the busiest tenths of a second after the registry's return.
func (f *Figures) measureBursts(calls []Call, returned, end time.Duration) {
	for at := returned; at < returned+time.Second; at += firstStep {
		f.First = max(f.First, float64(count(calls, at, at+tenth))/(f.Ordinary/tenthsPerSecond))
	}
	if f.Most < 0 {
		return
	}
	// These tenths do not overlap, so that a burst by chance counts once.
	from := returned + time.Duration(f.Most*float64(time.Second)) + Lapse
	mean := float64(count(calls, from, end)) / ((end - from).Seconds() * tenthsPerSecond)
	for at := from; at+tenth <= end; at += tenth {
		f.Peak = max(f.Peak, float64(count(calls, at, at+tenth))/mean)
	}
}

// measureLapses measures intervals between accepted reports that are longer than Lapse.
func (f *Figures) measureLapses(calls []Call, returned, end time.Duration) {
	last := map[string]time.Duration{}
	for _, c := range calls {
		if !c.Counted || c.At < returned {
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

// timeListed returns the seconds until a fraction of all backends was listed, or -1 if that never happened.
func timeListed(listed []time.Duration, backends int, fraction float64) float64 {
	needed := int(math.Ceil(fraction * float64(backends)))
	if needed > len(listed) || needed < 1 {
		return -1
	}
	return listed[needed-1].Seconds()
}

// count returns the number of calls in a span, its end excluded. The calls are sorted by time.
func count(calls []Call, from, to time.Duration) int {
	before := func(end time.Duration) int {
		index, _ := slices.BinarySearchFunc(calls, end, func(c Call, at time.Duration) int {
			return cmp.Compare(
				c.At,
				at,
			)
		})
		return index
	}
	return before(to) - before(from)
}
