package simulation

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletbarrow/internal/backend/degradation"
)

// Version of a result's form; a reader refuses a newer one.
const Version = 1

// Result is what one run brought. Values are billed values; times are microseconds.
type Result struct {
	Version  int    `json:"version"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Hosts    int    `json:"hosts"`
	Nodes    int    `json:"nodes"`

	Offered          float64 `json:"offered"` // value of all that was asked for, what is asked anew counted once
	Billed           float64 `json:"billed"`  // of it, succeeded, late ones in part
	Requests         int     `json:"asks"`
	ClientRetries    int     `json:"anew"`
	Attempts         int     `json:"attempts"`
	Runs             int     `json:"runs"`
	WastedMicros     float64 `json:"wasted_us"`        // core time of runs that nobody waited for
	Shed             int     `json:"shed"`             // by a level
	WithinQuota      int     `json:"within,omitempty"` // read, and within its tenant's share where shares are told
	OverQuota        int     `json:"beyond,omitempty"`
	QuotaPriced      float64 `json:"priced,omitempty"` // billed, where beyond a tenant's quota over all hosts it counts for less
	Deaths           int     `json:"deaths"`
	Incarnations     int     `json:"lives"`             // of all hosts
	RejectedReleases int     `json:"refused,omitempty"` // releases that the fleet did not take
	LostNotices      int     `json:"lost_notices"`
	Events           uint64  `json:"events"`
	Decisions        uint64  `json:"decisions"`
	Readings         uint64  `json:"readings"`

	Operations       []Breakdown   `json:"operations"`
	Tenants          []Breakdown   `json:"tenants,omitempty"`
	Seconds          []SecondStats `json:"seconds"`
	Heat             [][]byte      `json:"heat,omitempty"` // by second, by host: cores in use in percent; Down
	LevelChanges     []LevelChange `json:"levels,omitempty"`
	LevelChangeCount int           `json:"level_changes"`
	BreachesByRule   [5]int        `json:"rules"` // breaches by rule, 1 to 4
	Breaches         []Breach      `json:"breaches,omitempty"`
}

// Down stands in Heat for a host without a process.
const Down = 255

// Breakdown is what became of an operation's requests, or a tenant's.
type Breakdown struct {
	Name     string        `json:"name"`
	Offered  float64       `json:"offered"`
	Billed   float64       `json:"billed"`
	Requests int           `json:"asks"`
	InTime   int           `json:"in_time"`
	Outcomes [outcomes]int `json:"ends"`              // by outcome, in the order of Outcomes
	Latency  []byte        `json:"latency,omitempty"` // of the succeeded, an HdrHistogram V2, compressed; microseconds

	histogram *hdrhistogram.Histogram
}

// Outcomes are the names of the ends, in the order of Part.Ends.
func Outcomes() []string { return outcomeNames[:] }

// SecondStats is one second of the day.
type SecondStats struct {
	Offered   float64 `json:"offered"`
	Billed    float64 `json:"billed"` // by the second in which it succeeded
	Requests  int     `json:"asks"`
	Throttled int     `json:"throttled"` // asks that ended so
	Lost      int     `json:"lost"`
	Attempts  int     `json:"attempts"`
	CoreUse   float64 `json:"use"` // cores, 0 to 1
	HostsUp   int     `json:"up"`
}

// LevelChange is one change of a level on one host.
type LevelChange struct {
	At       Micros `json:"at_us"`
	Host     int32  `json:"host"`
	From, To int
	Collapse bool   `json:"collapse"`
	Cause    string `json:"cause"`
}

const (
	maxLevelChanges = 2000
	maxHeatBytes    = 4 << 20 // bytes of the heat map; a larger fleet is drawn by its seconds alone
	minLatency      = 1
	maxLatency      = 3_600_000_000
)

// NewResult begins the books of one day.
func NewResult(s *Scenario, policy string, seed uint64) *Result {
	r := &Result{Version: Version, Scenario: s.Name, Policy: policy, Seed: seed, Hosts: s.Hosts.Count, Nodes: s.Nodes.Count}
	for _, op := range s.Operations {
		r.Operations = append(r.Operations, Breakdown{Name: op.Name, histogram: hdrhistogram.New(minLatency, maxLatency, 2)})
	}
	for _, t := range s.Tenants {
		r.Tenants = append(r.Tenants, Breakdown{Name: t.Name, histogram: hdrhistogram.New(minLatency, maxLatency, 2)})
	}
	return r
}

func (r *Result) secondAt(now Micros) *SecondStats {
	i := int(now / Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, SecondStats{})
	}
	return &r.Seconds[i]
}

// RecordRequest counts what a caller asks for, at a time of the day.
func (r *Result) RecordRequest(s *Scenario, now Micros, operation, tenant int) {
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

// RecordOutcome counts how an ask ended, how long after it began, and what of its value was billed; one that is asked anew ends again.
func (r *Result) RecordOutcome(s *Scenario, now Micros, operation, tenant int, out Outcome, took Micros, value float64) {
	sec := r.secondAt(now)
	r.Billed += value
	sec.Billed += value
	switch out {
	case Throttled, Local:
		sec.Throttled++
	case Lost:
		sec.Lost++
	}
	count := func(p *Breakdown) {
		p.Billed += value
		p.Outcomes[out]++
		if out == Succeeded {
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

// Close writes down the latencies; call it once, last.
func (r *Result) Close() {
	for _, parts := range [][]Breakdown{r.Operations, r.Tenants} {
		for i := range parts {
			if parts[i].histogram.TotalCount() > 0 {
				parts[i].Latency, _ = parts[i].histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			}
		}
	}
}

// recordSecond writes down the state of the fleet.
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

func (r *Result) recordLevelChange(w *world, h *host, c degradation.Change) {
	r.LevelChangeCount++
	if len(r.LevelChanges) < maxLevelChanges {
		r.LevelChanges = append(r.LevelChanges, LevelChange{At: w.now, Host: h.number, From: c.From, To: c.To, Collapse: c.Collapse, Cause: c.Cause})
	}
}

// finishRun writes down what is known at the end alone.
func (r *Result) finish(w *world) {
	w.audit.checkOverdue(w)
	for i := len(r.Seconds) - 1; i > 0; i-- { // from a running sum to each second's own
		r.Seconds[i].Attempts = max(0, r.Seconds[i].Attempts-r.Seconds[i-1].Attempts)
	}
	r.Close()
	r.BreachesByRule, r.Breaches = w.audit.Counts, w.audit.First
}

// Value is the part of what was offered that was billed.
func (r *Result) Value() float64 {
	if r.Offered == 0 {
		return 0
	}
	return r.Billed / r.Offered
}

// BreachCount counts all breaches.
func (r *Result) BreachCount() (n int) {
	for _, c := range r.BreachesByRule {
		n += c
	}
	return n
}

// Histogram is a part's latencies; nil without any.
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

// OutcomeShare is the part of a part's asks that ended so.
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
