package simulation

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/monotime"
)

// Version is the version of the stored form of a Result. Readers reject newer versions.
const Version = 1

// Result is the result of one simulated day. Values are billed values and times are microseconds. A request that its
// caller sends again counts once in Requests and Offered.
type Result struct {
	Version  int    `json:"version"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Hosts    int    `json:"hosts"`
	Nodes    int    `json:"nodes"`

	Offered          float64 `json:"offered"` // value of all requests
	Billed           float64 `json:"billed"`  // value of requests that succeeded; late ones count in part
	Requests         int     `json:"asks"`
	ClientRetries    int     `json:"anew"`
	Attempts         int     `json:"attempts"`
	Runs             int     `json:"runs"`
	WastedMicros     float64 `json:"wasted_us"`        // core time of runs answered before their end, microseconds
	Shed             int     `json:"shed"`             // requests shed by graceful degradation
	WithinQuota      int     `json:"within,omitempty"` // requests within their tenant's quota, if hosts draw from one
	OverQuota        int     `json:"beyond,omitempty"`
	QuotaPriced      float64 `json:"priced,omitempty"` // Billed, reduced for successes beyond a tenant's quota
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
	Heat             [][]byte      `json:"heat,omitempty"` // by second and host: core use in percent, or Down
	LevelChanges     []LevelChange `json:"levels,omitempty"`
	LevelChangeCount int           `json:"level_changes"`
	BreachesByRule   [5]int        `json:"rules"` // indexed by rule, 1 to 4
	Breaches         []Breach      `json:"breaches,omitempty"`
}

// Down marks a host without a process in Result.Heat.
const Down = 255

// Breakdown is the result of the requests of one operation or tenant.
type Breakdown struct {
	Name     string            `json:"name"`
	Offered  float64           `json:"offered"`
	Billed   float64           `json:"billed"`
	Requests int               `json:"asks"`
	InTime   int               `json:"in_time"`
	Outcomes [outcomeCount]int `json:"ends"`              // in the order of Outcomes()
	Latency  []byte            `json:"latency,omitempty"` // of successes, in microseconds: a compressed HdrHistogram V2

	histogram *hdrhistogram.Histogram
}

// Outcomes returns the names of the outcomes, in the order of Breakdown.Outcomes.
func Outcomes() []string { return outcomeNames[:] }

// SecondStats is the result of one second of the day.
type SecondStats struct {
	Offered   float64 `json:"offered"`
	Billed    float64 `json:"billed"` // by the second of the success
	Requests  int     `json:"asks"`
	Throttled int     `json:"throttled"` // requests that ended throttled
	Lost      int     `json:"lost"`
	Attempts  int     `json:"attempts"`
	CoreUse   float64 `json:"use"` // mean over the hosts that are up, 0 to 1
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
	maxHeatBytes    = 4 << 20 // a larger heat map is omitted
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

// secondAt returns the entry of the second that contains a time.
func (r *Result) secondAt(now monotime.Micros) *SecondStats {
	i := int(now / Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, SecondStats{})
	}
	return &r.Seconds[i]
}

// RecordRequest counts a request that a caller sends. now is the time of the day; operation and tenant are indexes into
// the scenario's.
func (r *Result) RecordRequest(s *Scenario, now monotime.Micros, operation, tenant int) {
	v := s.Operations[operation].Value
	r.Requests++
	r.Offered += v
	second := r.secondAt(now)
	second.Requests++
	second.Offered += v
	r.Operations[operation].Requests++
	r.Operations[operation].Offered += v
	if len(r.Tenants) > 0 {
		r.Tenants[tenant].Requests++
		r.Tenants[tenant].Offered += v
	}
}

// RecordOutcome counts the end of a request, with its outcome, its duration and its billed value. A request that its
// caller sends again is counted at each end.
func (r *Result) RecordOutcome(
	s *Scenario,
	now monotime.Micros,
	operation, tenant int,
	outcome Outcome,
	duration monotime.Micros,
	value float64,
) {
	second := r.secondAt(now)
	r.Billed += value
	second.Billed += value
	switch outcome {
	case Throttled, ThrottledByNode:
		second.Throttled++
	case TimedOut:
		second.Lost++
	}
	count := func(b *Breakdown) {
		b.Billed += value
		b.Outcomes[outcome]++
		if outcome == Succeeded {
			_ = b.histogram.RecordValue(int64(max(duration, minLatency)))
			if duration <= s.Operations[operation].Objective {
				b.InTime++
			}
		}
	}
	count(&r.Operations[operation])
	if len(r.Tenants) > 0 {
		count(&r.Tenants[tenant])
	}
}

// Close encodes the latencies. It must be called once, at the end.
func (r *Result) Close() {
	for _, parts := range [][]Breakdown{r.Operations, r.Tenants} {
		for i := range parts {
			if parts[i].histogram.TotalCount() > 0 {
				parts[i].Latency, _ = parts[i].histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			}
		}
	}
}

// recordSecond records the state of the fleet at the end of a second.
func (r *Result) recordSecond(w *world) {
	w.audit.checkOverdue(w)
	i := int(w.now/Second) - 1
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, SecondStats{})
	}
	second := &r.Seconds[i]
	recordHeat := len(w.hosts)*int(w.scenario.Duration/Second+1) <= maxHeatBytes
	var row []byte
	if recordHeat {
		row = make([]byte, len(w.hosts))
	}
	for k := range w.hosts {
		h := &w.hosts[k]
		if !h.up {
			if recordHeat {
				row[k] = Down
			}
			continue
		}
		w.advanceCores(h)
		use := (h.busyMicros - h.busyAtSecond) / float64(Second) / float64(w.scenario.Hosts.Cores)
		h.busyAtSecond = h.busyMicros
		second.HostsUp++
		second.CoreUse += use
		if recordHeat {
			row[k] = byte(min(100, use*100+0.5))
		}
	}
	if second.HostsUp > 0 {
		second.CoreUse /= float64(second.HostsUp)
	}
	second.Attempts = r.Attempts
	if recordHeat {
		r.Heat = append(r.Heat, row)
	}
}

// recordLevelChange counts a change of a host's degradation level and records it if it is one of the first
// maxLevelChanges.
func (r *Result) recordLevelChange(w *world, h *host, change degradation.Change) {
	r.LevelChangeCount++
	if len(r.LevelChanges) < maxLevelChanges {
		r.LevelChanges = append(
			r.LevelChanges,
			LevelChange{
				At:       w.now,
				Host:     h.number,
				From:     change.From,
				To:       change.To,
				Collapse: change.Collapse,
				Cause:    change.Cause,
			},
		)
	}
}

// finish completes the result at the end of the day.
func (r *Result) finish(w *world) {
	w.audit.checkOverdue(w)
	for i := len(r.Seconds) - 1; i > 0; i-- { // turns the running sums into counts per second
		r.Seconds[i].Attempts = max(0, r.Seconds[i].Attempts-r.Seconds[i-1].Attempts)
	}
	r.Close()
	r.BreachesByRule, r.Breaches = w.audit.Counts, w.audit.First
}

// Value returns the billed fraction of the offered value, 0 to 1.
func (r *Result) Value() float64 {
	if r.Offered == 0 {
		return 0
	}
	return r.Billed / r.Offered
}

// BreachCount returns the number of breaches of all rules.
func (r *Result) BreachCount() (n int) {
	for _, c := range r.BreachesByRule {
		n += c
	}
	return n
}

// Histogram decodes the latencies of successes, in microseconds. It returns nil if there are none.
func (b *Breakdown) Histogram() (*hdrhistogram.Histogram, error) {
	if len(b.Latency) == 0 {
		return nil, nil
	}
	h, err := hdrhistogram.Decode(b.Latency)
	if err != nil {
		return nil, fmt.Errorf("latencies of %s: %w", b.Name, err)
	}
	return h, nil
}

// OutcomeShare returns the share of the outcomes that are outcome n.
func (b *Breakdown) OutcomeShare(n int) float64 {
	total := 0
	for _, c := range b.Outcomes {
		total += c
	}
	if total == 0 {
		return 0
	}
	return float64(b.Outcomes[n]) / float64(total)
}
