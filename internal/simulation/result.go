package simulation

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/monotime"
)

// Version is the version of the stored form of a Result. A reader rejects a newer one.
const Version = 1

// Result is the outcome of one run. Values are billed values, times are microseconds. A request that its caller sends
// again counts once in Requests and Offered.
type Result struct {
	Version  int    `json:"version"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Hosts    int    `json:"hosts"`
	Nodes    int    `json:"nodes"`

	Offered          float64 `json:"offered"` // value of all requests
	Billed           float64 `json:"billed"`  // value of those that succeeded, late ones in part
	Requests         int     `json:"asks"`
	ClientRetries    int     `json:"anew"`
	Attempts         int     `json:"attempts"`
	Runs             int     `json:"runs"`
	WastedMicros     float64 `json:"wasted_us"`        // core time of runs that nobody waited for, microseconds
	Shed             int     `json:"shed"`             // by graceful degradation
	WithinQuota      int     `json:"within,omitempty"` // requests read within their tenant's quota, where hosts draw from one
	OverQuota        int     `json:"beyond,omitempty"`
	QuotaPriced      float64 `json:"priced,omitempty"` // billed, reduced beyond a tenant's quota over all hosts
	Deaths           int     `json:"deaths"`
	Incarnations     int     `json:"lives"`             // processes started, over all hosts
	RejectedReleases int     `json:"refused,omitempty"` // releases that fleet.Machine rejected
	LostNotices      int     `json:"lost_notices"`
	Events           uint64  `json:"events"`
	Decisions        uint64  `json:"decisions"`
	Readings         uint64  `json:"readings"`

	Operations       []Breakdown   `json:"operations"`
	Tenants          []Breakdown   `json:"tenants,omitempty"`
	Seconds          []SecondStats `json:"seconds"`
	Heat             [][]byte      `json:"heat,omitempty"` // by second and host: cores in use in percent, or Down
	LevelChanges     []LevelChange `json:"levels,omitempty"`
	LevelChangeCount int           `json:"level_changes"`
	BreachesByRule   [5]int        `json:"rules"` // indexed by rule, 1 to 4
	Breaches         []Breach      `json:"breaches,omitempty"`
}

// Down marks a host without a process in Result.Heat.
const Down = 255

// Breakdown is the outcome of the requests of one operation or tenant.
type Breakdown struct {
	Name     string            `json:"name"`
	Offered  float64           `json:"offered"`
	Billed   float64           `json:"billed"`
	Requests int               `json:"asks"`
	InTime   int               `json:"in_time"`
	Outcomes [outcomeCount]int `json:"ends"`              // indexed as the names of Outcomes
	Latency  []byte            `json:"latency,omitempty"` // of successes, in microseconds: a compressed HdrHistogram V2

	histogram *hdrhistogram.Histogram
}

// Outcomes returns the names of outcomes, in the order of Breakdown.Outcomes.
func Outcomes() []string { return outcomeNames[:] }

// SecondStats is what happened in one second of the day.
type SecondStats struct {
	Offered   float64 `json:"offered"`
	Billed    float64 `json:"billed"` // by the second of the success
	Requests  int     `json:"asks"`
	Throttled int     `json:"throttled"` // requests that ended so
	Lost      int     `json:"lost"`
	Attempts  int     `json:"attempts"`
	CoreUse   float64 `json:"use"` // mean over the hosts, 0 to 1
	HostsUp   int     `json:"up"`
}

// LevelChange is one change of the degradation level on one host.
type LevelChange struct {
	At       monotime.Micros `json:"at_us"`
	Host     int32           `json:"host"`
	From, To int
	Collapse bool   `json:"collapse"`
	Cause    string `json:"cause"`
}

const (
	maxLevelChanges = 2000
	maxHeatBytes    = 4 << 20 // beyond it a result has no heat map
	minLatency      = 1       // microseconds
	maxLatency      = 3_600_000_000
)

// NewResult returns the empty result of a day.
func NewResult(s *Scenario, policy string, seed uint64) *Result {
	r := &Result{
		Version:  Version,
		Scenario: s.Name,
		Policy:   policy,
		Seed:     seed,
		Hosts:    s.Hosts.Count,
		Nodes:    s.Nodes.Count,
	}
	for _, op := range s.Operations {
		r.Operations = append(
			r.Operations,
			Breakdown{Name: op.Name, histogram: hdrhistogram.New(minLatency, maxLatency, 2)},
		)
	}
	for _, t := range s.Tenants {
		r.Tenants = append(r.Tenants, Breakdown{Name: t.Name, histogram: hdrhistogram.New(minLatency, maxLatency, 2)})
	}
	return r
}

// secondAt returns the entry of a time's second.
func (r *Result) secondAt(now monotime.Micros) *SecondStats {
	i := int(now / Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, SecondStats{})
	}
	return &r.Seconds[i]
}

// RecordRequest counts a request that a caller sends, at a time of the day. operation and tenant are indexes of the
// scenario's.
func (r *Result) RecordRequest(s *Scenario, now monotime.Micros, operation, tenant int) {
	v := s.Operations[operation].Value
	r.Requests++
	r.Offered += v
	sec := r.secondAt(now)
	sec.Requests++
	sec.Offered += v
	r.Operations[operation].Requests++
	r.Operations[operation].Offered += v
	if len(r.Tenants) > 0 {
		r.Tenants[tenant].Requests++
		r.Tenants[tenant].Offered += v
	}
}

// RecordOutcome counts how a request ended, how long after it began, and what of its value was billed. One that its
// caller sends again ends again.
func (r *Result) RecordOutcome(
	s *Scenario,
	now monotime.Micros,
	operation, tenant int,
	outcome Outcome,
	took monotime.Micros,
	value float64,
) {
	sec := r.secondAt(now)
	r.Billed += value
	sec.Billed += value
	switch outcome {
	case Throttled, ThrottledByNode:
		sec.Throttled++
	case TimedOut:
		sec.Lost++
	}
	count := func(p *Breakdown) {
		p.Billed += value
		p.Outcomes[outcome]++
		if outcome == Succeeded {
			_ = p.histogram.RecordValue(int64(max(took, minLatency)))
			if took <= s.Operations[operation].Objective {
				p.InTime++
			}
		}
	}
	count(&r.Operations[operation])
	if len(r.Tenants) > 0 {
		count(&r.Tenants[tenant])
	}
}

// Close encodes the latencies. Call it once, at the end.
func (r *Result) Close() {
	for _, parts := range [][]Breakdown{r.Operations, r.Tenants} {
		for i := range parts {
			if parts[i].histogram.TotalCount() > 0 {
				parts[i].Latency, _ = parts[i].histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			}
		}
	}
}

// recordSecond records the state of the fleet in the second that has ended.
func (r *Result) recordSecond(w *world) {
	w.audit.checkOverdue(w)
	i := int(w.now/Second) - 1
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, SecondStats{})
	}
	sec := &r.Seconds[i]
	heat := len(w.hosts)*int(w.scenario.Duration/Second+1) <= maxHeatBytes
	var row []byte
	if heat {
		row = make([]byte, len(w.hosts))
	}
	for k := range w.hosts {
		h := &w.hosts[k]
		if !h.up {
			if heat {
				row[k] = Down
			}
			continue
		}
		w.advanceCores(h)
		use := (h.busyMicros - h.busyAtSecond) / float64(Second) / float64(w.scenario.Hosts.Cores)
		h.busyAtSecond = h.busyMicros
		sec.HostsUp++
		sec.CoreUse += use
		if heat {
			row[k] = byte(min(100, use*100+0.5))
		}
	}
	if sec.HostsUp > 0 {
		sec.CoreUse /= float64(sec.HostsUp)
	}
	sec.Attempts = r.Attempts
	if heat {
		r.Heat = append(r.Heat, row)
	}
}

// recordLevelChange records a change of a host's degradation level.
func (r *Result) recordLevelChange(w *world, h *host, c degradation.Change) {
	r.LevelChangeCount++
	if len(r.LevelChanges) < maxLevelChanges {
		r.LevelChanges = append(
			r.LevelChanges,
			LevelChange{At: w.now, Host: h.number, From: c.From, To: c.To, Collapse: c.Collapse, Cause: c.Cause},
		)
	}
}

// finish completes a result at the end of a run.
func (r *Result) finish(w *world) {
	w.audit.checkOverdue(w)
	for i := len(r.Seconds) - 1; i > 0; i-- { // from a running sum to the count of each second
		r.Seconds[i].Attempts = max(0, r.Seconds[i].Attempts-r.Seconds[i-1].Attempts)
	}
	r.Close()
	r.BreachesByRule, r.Breaches = w.audit.Counts, w.audit.First
}

// Value returns the billed part of the offered value, 0 to 1.
func (r *Result) Value() float64 {
	if r.Offered == 0 {
		return 0
	}
	return r.Billed / r.Offered
}

// BreachCount returns the number of all breaches.
func (r *Result) BreachCount() (n int) {
	for _, c := range r.BreachesByRule {
		n += c
	}
	return n
}

// Histogram decodes the latencies of successes, in microseconds; nil where there are none.
func (p *Breakdown) Histogram() (*hdrhistogram.Histogram, error) {
	if len(p.Latency) == 0 {
		return nil, nil
	}
	h, err := hdrhistogram.Decode(p.Latency)
	if err != nil {
		return nil, fmt.Errorf("latencies of %s: %w", p.Name, err)
	}
	return h, nil
}

// OutcomeShare returns the share of requests that ended with outcome n.
func (p *Breakdown) OutcomeShare(n int) float64 {
	total := 0
	for _, c := range p.Outcomes {
		total += c
	}
	if total == 0 {
		return 0
	}
	return float64(p.Outcomes[n]) / float64(total)
}
