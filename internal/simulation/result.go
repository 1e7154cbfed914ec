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

	Offered     float64 `json:"offered"` // value of all that was asked for, what is asked anew counted once
	Billed      float64 `json:"billed"`  // of it, succeeded, late ones in part
	Asks        int     `json:"asks"`
	Anew        int     `json:"anew"`
	Attempts    int     `json:"attempts"`
	Runs        int     `json:"runs"`
	Wasted      float64 `json:"wasted_us"`        // core time of runs that nobody waited for
	Shed        int     `json:"shed"`             // by a level
	Within      int     `json:"within,omitempty"` // read, and within its tenant's share where shares are told
	Beyond      int     `json:"beyond,omitempty"`
	Priced      float64 `json:"priced,omitempty"` // billed, where beyond a tenant's quota over all hosts it counts for less
	Deaths      int     `json:"deaths"`
	Lives       int     `json:"lives"`             // of all hosts
	Refused     int     `json:"refused,omitempty"` // releases that the fleet did not take
	LostNotices int     `json:"lost_notices"`
	Events      uint64  `json:"events"`
	Decisions   uint64  `json:"decisions"`
	Readings    uint64  `json:"readings"`

	Operations []Part   `json:"operations"`
	Tenants    []Part   `json:"tenants,omitempty"`
	Seconds    []Moment `json:"seconds"`
	Heat       [][]byte `json:"heat,omitempty"` // by second, by host: cores in use in percent; Down
	Levels     []Move   `json:"levels,omitempty"`
	Changes    int      `json:"level_changes"`
	Rules      [5]int   `json:"rules"` // breaches by rule, 1 to 4
	Breaches   []Breach `json:"breaches,omitempty"`
}

// Down stands in Heat for a host without a process.
const Down = 255

// Part is what became of an operation's requests, or a tenant's.
type Part struct {
	Name    string        `json:"name"`
	Offered float64       `json:"offered"`
	Billed  float64       `json:"billed"`
	Asks    int           `json:"asks"`
	InTime  int           `json:"in_time"`
	Ends    [outcomes]int `json:"ends"`              // by outcome, in the order of Outcomes
	Latency []byte        `json:"latency,omitempty"` // of the succeeded, an HdrHistogram V2, compressed; microseconds

	hist *hdrhistogram.Histogram
}

// Outcomes are the names of the ends, in the order of Part.Ends.
func Outcomes() []string { return outcomeNames[:] }

// Moment is one second of the day.
type Moment struct {
	Offered   float64 `json:"offered"`
	Billed    float64 `json:"billed"` // by the second in which it succeeded
	Asks      int     `json:"asks"`
	Throttled int     `json:"throttled"` // asks that ended so
	Lost      int     `json:"lost"`
	Attempts  int     `json:"attempts"`
	Use       float64 `json:"use"` // cores, 0 to 1
	Up        int     `json:"up"`
}

// Move is one change of a level on one host.
type Move struct {
	At       Micros `json:"at_us"`
	Host     int32  `json:"host"`
	From, To int
	Collapse bool   `json:"collapse"`
	Cause    string `json:"cause"`
}

const (
	mostMoves = 2000
	mostHeat  = 4 << 20 // bytes of the heat map; a larger fleet is drawn by its seconds alone
	leastUs   = 1
	mostUs    = 3_600_000_000
)

// NewResult begins the books of one day.
func NewResult(s *Scenario, policy string, seed uint64) *Result {
	r := &Result{Version: Version, Scenario: s.Name, Policy: policy, Seed: seed, Hosts: s.Hosts.Count, Nodes: s.Nodes.Count}
	for _, op := range s.Operations {
		r.Operations = append(r.Operations, Part{Name: op.Name, hist: hdrhistogram.New(leastUs, mostUs, 2)})
	}
	for _, t := range s.Tenants {
		r.Tenants = append(r.Tenants, Part{Name: t.Name, hist: hdrhistogram.New(leastUs, mostUs, 2)})
	}
	return r
}

func (r *Result) moment(now Micros) *Moment {
	i := int(now / Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Moment{})
	}
	return &r.Seconds[i]
}

// Offer counts what a caller asks for, at a time of the day.
func (r *Result) Offer(s *Scenario, now Micros, operation, tenant int) {
	v := s.Operations[operation].Value
	r.Asks++
	r.Offered += v
	sec := r.moment(now)
	sec.Asks++
	sec.Offered += v
	r.Operations[operation].Asks++
	r.Operations[operation].Offered += v
	if len(r.Tenants) > 0 {
		r.Tenants[tenant].Asks++
		r.Tenants[tenant].Offered += v
	}
}

// End counts how an ask ended, how long after it began, and what of its value was billed; one that is asked anew ends again.
func (r *Result) End(s *Scenario, now Micros, operation, tenant int, out Outcome, took Micros, value float64) {
	sec := r.moment(now)
	r.Billed += value
	sec.Billed += value
	switch out {
	case Throttled, Local:
		sec.Throttled++
	case Lost:
		sec.Lost++
	}
	count := func(p *Part) {
		p.Billed += value
		p.Ends[out]++
		if out == Succeeded {
			_ = p.hist.RecordValue(int64(max(took, leastUs)))
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
	for _, parts := range [][]Part{r.Operations, r.Tenants} {
		for i := range parts {
			if parts[i].hist.TotalCount() > 0 {
				parts[i].Latency, _ = parts[i].hist.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			}
		}
	}
}

// second writes down the state of the fleet.
func (r *Result) second(w *world) {
	w.audit.due(w)
	i := int(w.now/Second) - 1
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Moment{})
	}
	sec := &r.Seconds[i]
	heat := len(w.hosts)*int(w.s.For/Second+1) <= mostHeat
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
		w.before(h)
		use := (h.busy - h.busySec) / float64(Second) / float64(w.s.Hosts.Cores)
		h.busySec = h.busy
		sec.Up++
		sec.Use += use
		if heat {
			row[k] = byte(min(100, use*100+0.5))
		}
	}
	if sec.Up > 0 {
		sec.Use /= float64(sec.Up)
	}
	sec.Attempts = r.Attempts
	if heat {
		r.Heat = append(r.Heat, row)
	}
}

func (r *Result) changed(w *world, h *host, c degradation.Change) {
	r.Changes++
	if len(r.Levels) < mostMoves {
		r.Levels = append(r.Levels, Move{At: w.now, Host: h.number, From: c.From, To: c.To, Collapse: c.Collapse, Cause: c.Cause})
	}
}

// close writes down what is known at the end alone.
func (r *Result) close(w *world) {
	w.audit.due(w)
	for i := len(r.Seconds) - 1; i > 0; i-- { // from a running sum to each second's own
		r.Seconds[i].Attempts = max(0, r.Seconds[i].Attempts-r.Seconds[i-1].Attempts)
	}
	r.Close()
	r.Rules, r.Breaches = w.audit.Counts, w.audit.First
}

// Value is the part of what was offered that was billed.
func (r *Result) Value() float64 {
	if r.Offered == 0 {
		return 0
	}
	return r.Billed / r.Offered
}

// Broken counts all breaches.
func (r *Result) Broken() (n int) {
	for _, c := range r.Rules {
		n += c
	}
	return n
}

// Histogram is a part's latencies; nil without any.
func (p *Part) Histogram() (*hdrhistogram.Histogram, error) {
	if len(p.Latency) == 0 {
		return nil, nil
	}
	h, err := hdrhistogram.Decode(p.Latency)
	if err != nil {
		return nil, fmt.Errorf("latencies of %s: %w", p.Name, err)
	}
	return h, nil
}

// Share is the part of a part's asks that ended so.
func (p *Part) Share(n int) float64 {
	total := 0
	for _, c := range p.Ends {
		total += c
	}
	if total == 0 {
		return 0
	}
	return float64(p.Ends[n]) / float64(total)
}
