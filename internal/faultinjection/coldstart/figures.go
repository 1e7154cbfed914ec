package coldstart

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Call is one load report that reached the endpoint registry.
type Call struct {
	Name        string        // of the backend
	At          time.Duration // since the registry's phases began
	Accepted    bool          // whether the registry accepted the report
	Deregisters bool          // whether the backend deregistered with it
}

// Figures holds the measurements of a cold start. Times in seconds begin at the end of the outage; -1 stands for never.
type Figures struct {
	Backends      int     `json:"backends"`
	OrdinaryRate  float64 `json:"ordinary_per_s"`   // calls per second if every backend reports at its usual interval
	RefusingRate  float64 `json:"refusing_per_s"`   // mean calls per second from the first call to the outage's end
	RefusingPeak  float64 `json:"refusing_worst"`   // calls in the busiest second of the outage
	FirstPeak     float64 `json:"peak_first"`       // busiest tenth of the first second, over OrdinaryRate
	Peak          float64 `json:"peak"`             // busiest tenth of a second after 95% were listed, over the mean
	HalfListed    float64 `json:"half_listed_s"`    // seconds until 50% of the backends were listed
	MostListed    float64 `json:"most_listed_s"`    // seconds until 95% of the backends were listed
	Connections   int     `json:"connections"`      // highest number of open connections
	Collapses     int     `json:"falls"`            // collapses of the registry
	Expired       int     `json:"lapsed"`           // expirations of entries whose backend reported again later
	Listed        int     `json:"listed"`           // entries that had not expired at the end
	LongestExpiry float64 `json:"lapsed_longest_s"` // most seconds from an expiration to the next accepted report
	Starting      int     `json:"starting"`         // highest number of processes that were starting at the same time
}

// EntryTTL is the time after the last accepted report at which an entry expires.
const EntryTTL time.Duration = 3 * time.Second

const (
	tenth           time.Duration = time.Second / 10
	tenthsPerSecond float64       = 10
	// windowStep is the distance of the overlapping tenths of a second that are examined in the first second.
	windowStep time.Duration = tenth / 4
)

// Fractions of the backends that Figures.HalfListed and Figures.MostListed refer to.
const (
	halfListed float64 = 0.5
	mostListed float64 = 0.95
)

// Measure computes the figures from all calls, which it sorts. reportInterval is the mean interval of one backend's
// reports; end is the end of the trial.
func Measure(calls []Call, behavior *RegistryBehavior, backends int, reportInterval, end time.Duration) (f Figures) {
	f.Backends = backends
	f.OrdinaryRate = float64(backends) / reportInterval.Seconds()
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	outageEnd, ok := behavior.OutageEnd()
	if !ok {
		outageEnd = end
	}
	f.measureRefusing(calls, outageEnd)
	f.measureListed(calls, outageEnd)
	f.measureBursts(calls, outageEnd, end)
	f.measureExpiries(calls, outageEnd, end)
	return f
}

// measureRefusing measures the calls during the outage. It begins with the first call, as backends that have not
// started send none.
func (f *Figures) measureRefusing(calls []Call, outageEnd time.Duration) {
	if len(calls) == 0 || calls[0].At >= outageEnd {
		return
	}
	from := calls[0].At
	f.RefusingRate = float64(count(calls, from, outageEnd)) / (outageEnd - from).Seconds()
	for at := from; at+time.Second <= outageEnd; at += tenth {
		f.RefusingPeak = max(f.RefusingPeak, float64(count(calls, at, at+time.Second)))
	}
}

// measureListed measures when the registry accepted the first report of each backend after the outage.
func (f *Figures) measureListed(calls []Call, outageEnd time.Duration) {
	listed := map[string]bool{}
	var listedAfter []time.Duration // since the end of the outage, sorted
	for _, c := range calls {
		if c.Accepted && !c.Deregisters && c.At >= outageEnd && !listed[c.Name] {
			listed[c.Name] = true
			listedAfter = append(listedAfter, c.At-outageEnd)
		}
	}
	f.HalfListed = timeListed(listedAfter, f.Backends, halfListed)
	f.MostListed = timeListed(listedAfter, f.Backends, mostListed)
}

// measureBursts measures the busiest tenths of a second after the outage.
func (f *Figures) measureBursts(calls []Call, outageEnd, end time.Duration) {
	for at := outageEnd; at < outageEnd+time.Second; at += windowStep {
		f.FirstPeak = max(f.FirstPeak, float64(count(calls, at, at+tenth))/(f.OrdinaryRate/tenthsPerSecond))
	}
	if f.MostListed < 0 {
		return
	}
	// These windows do not overlap, so that a random burst counts once.
	from := outageEnd + time.Duration(f.MostListed*float64(time.Second)) + EntryTTL
	mean := float64(count(calls, from, end)) / ((end - from).Seconds() * tenthsPerSecond)
	for at := from; at+tenth <= end; at += tenth {
		f.Peak = max(f.Peak, float64(count(calls, at, at+tenth))/mean)
	}
}

// measureExpiries measures the intervals between accepted reports that are longer than EntryTTL, and counts the entries
// at the end.
func (f *Figures) measureExpiries(calls []Call, outageEnd, end time.Duration) {
	last := map[string]time.Duration{}
	for _, c := range calls {
		if !c.Accepted || c.At < outageEnd {
			continue
		}
		if previous, ok := last[c.Name]; ok && c.At-previous > EntryTTL {
			f.Expired++
			f.LongestExpiry = max(f.LongestExpiry, (c.At - previous - EntryTTL).Seconds())
		}
		last[c.Name] = c.At
	}
	for _, at := range last {
		if end-at <= EntryTTL {
			f.Listed++
		}
	}
}

// timeListed returns the seconds until a fraction of all backends was listed, or -1 if that never happened. The times
// are sorted.
func timeListed(listedAfter []time.Duration, backends int, fraction float64) float64 {
	needed := int(math.Ceil(fraction * float64(backends)))
	if needed > len(listedAfter) || needed < 1 {
		return -1
	}
	return listedAfter[needed-1].Seconds()
}

// count returns the number of calls in a span, its end excluded. The calls are sorted by time.
func count(calls []Call, from, to time.Duration) int {
	before := func(end time.Duration) int {
		index, _ := slices.BinarySearchFunc(calls, end, func(c Call, at time.Duration) int {
			return cmp.Compare(c.At, at)
		})
		return index
	}
	return before(to) - before(from)
}
