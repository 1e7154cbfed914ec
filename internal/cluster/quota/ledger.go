package quota

import (
	"fmt"
	"slices"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/failpoint"
)

// Bounds of a ledger, whatever it is told.
const (
	maxGrants      = 6      // unconfirmed, of one life; older ones are counted into the next
	maxReleasedIDs = 8      // ended turns of one name, so that a call that comes late does not take again
	maxClients     = 50_000 // lives of backends; a further one is granted nothing
	maxPermits     = 50_000 // names that hold a unit of a count
)

// Grant is one that its holder may still act on.
type Grant struct {
	Epoch       uint64 `json:"epoch"`
	Floor       int64  `json:"floor"`
	Extra       int64  `json:"extra"`
	Lease       Micros `json:"lease_us"` // of the terms by which it was granted
	ClockMargin Micros `json:"margin_us"`
}

// Held is what one life has of one rate.
type Allocation struct {
	Grants []Grant `json:"grants,omitempty"` // oldest first; the holder is known to have none older than the first
	Drawn  int64   `json:"drawn"`
	Denied int64   `json:"denied"`
	Demand int64   `json:"want"`            // above the floor, smoothed
	Target int64   `json:"target"`          // of the latest division
	Idle   bool    `json:"quiet,omitempty"` // it has not asked for a lease: no division counts on it
}

// floor and extra are the most that the holder may act on now.
func (h *Allocation) maxFloor() (most int64) {
	for _, g := range h.Grants {
		most = max(most, g.Floor)
	}
	return most
}

func (h *Allocation) maxExtra() (most int64) {
	for _, g := range h.Grants {
		most = max(most, g.Extra)
	}
	return most
}

// Life is one process that draws.
type Client struct {
	Name        string                 `json:"name"`
	Incarnation string                 `json:"life"`
	Host        string                 `json:"host"`
	LastRequest uint64                 `json:"number"` // of its latest ask
	Clock       Micros                 `json:"clock_us"`
	LastSerial  uint64                 `json:"asked"` // the ledger's serial at that ask
	Allocations map[string]*Allocation `json:"held"`  // by budget
}

// Out is a unit of a count that a name holds.
type Permit struct {
	Limit     string `json:"budget"`
	Name      string `json:"name"`
	Host      string `json:"host"`
	AcquireID string `json:"turn"` // what it was taken for
	Epoch     uint64 `json:"epoch"`
}

// Ledger is the one truth about the division. Its fields are for what writes it down; only Apply changes them.
type State struct {
	Serial      uint64                       `json:"serial"` // epochs are its values
	Config      Config                       `json:"terms"`
	Clients     map[string]*Client           `json:"lives"` // by name and life
	Permits     map[string]map[string]Permit `json:"counts"`
	ReleasedIDs map[string][]string          `json:"ended"`           // by budget and name, the latest turns
	ColdStarts  map[string]*coldstart.State  `json:"rises,omitempty"` // by count: who of a rise may hold a unit of it
	Regressions uint64                       `json:"forgot"`          // how often a holder knew of an epoch that this ledger does not

	totals map[string]*rateTotals     // by rate; made anew from the rest
	byName map[string][]string        // keys of lives, by name
	byHost map[string]map[string]bool // and by host
}

// sum is what of a rate may be in force.
type rateTotals struct {
	floorInForce   map[string]int64 // by backend: its floor as some process may act on it
	reservedFloors int64            // set aside: told or to be told
	inForce        int64            // told floors and extras
	extras         int64
	eligible       []string // that may draw, in order
}

// NewLedger is an empty one.
func NewState() *State {
	l := &State{Clients: map[string]*Client{}, Permits: map[string]map[string]Permit{}, ReleasedIDs: map[string][]string{}, ColdStarts: map[string]*coldstart.State{}}
	l.RebuildIndexes()
	return l
}

// Restored has a ledger that was read back count its sums.
func (l *State) RebuildIndexes() {
	l.totals, l.byName, l.byHost = map[string]*rateTotals{}, map[string][]string{}, map[string]map[string]bool{}
	for _, s := range l.ColdStarts {
		s.RebuildIndex()
	}
	for _, key := range sortedKeys(l.Clients) {
		life := l.Clients[key]
		l.byName[life.Name] = append(l.byName[life.Name], key)
		l.setHost(key, life, life.Host)
	}
	budgets := map[string]bool{}
	for i := range l.Config.Limits {
		budgets[l.Config.Limits[i].Name] = l.Config.Limits[i].Kind == Rate
	}
	for _, life := range l.Clients {
		for b := range life.Allocations {
			budgets[b] = true
		}
	}
	for b, rate := range budgets {
		if rate {
			l.recount(b)
		}
	}
}

// count makes the sum of one rate.
func (l *State) recount(budget string) {
	s := &rateTotals{floorInForce: map[string]int64{}}
	for _, life := range l.Clients {
		if h := life.Allocations[budget]; h != nil {
			s.floorInForce[life.Name] = max(s.floorInForce[life.Name], h.maxFloor())
			s.extras += h.maxExtra()
		}
	}
	s.inForce = s.extras
	for _, f := range s.floorInForce {
		s.inForce += f
		s.reservedFloors += f
	}
	if b := l.Config.Lookup(budget); b != nil {
		s.eligible = sortedKeys(b.Floors)
		for name, f := range b.Floors {
			s.reservedFloors += max(f, s.floorInForce[name]) - s.floorInForce[name]
		}
	}
	l.totals[budget] = s
}

// move has a life stand at a host.
func (l *State) setHost(key string, life *Client, host string) {
	delete(l.byHost[life.Host], key)
	if l.byHost[host] == nil {
		l.byHost[host] = map[string]bool{}
	}
	l.byHost[host][key] = true
	life.Host = host
}

// change replaces a life's grants of a budget and keeps the sums.
func (l *State) setGrants(budget string, life *Client, h *Allocation, grants []Grant) {
	s := l.totals[budget]
	extra, want := h.maxExtra(), int64(0)
	if b := l.Config.Lookup(budget); b != nil {
		want = b.Floors[life.Name]
	}
	before := s.floorInForce[life.Name]
	h.Grants = grants
	after := int64(0)
	for _, key := range l.byName[life.Name] {
		if other := l.Clients[key].Allocations[budget]; other != nil {
			after = max(after, other.maxFloor())
		}
	}
	if after == 0 {
		delete(s.floorInForce, life.Name)
	} else {
		s.floorInForce[life.Name] = after
	}
	s.reservedFloors += max(want, after) - max(want, before)
	s.extras += h.maxExtra() - extra
	s.inForce += h.maxExtra() - extra + after - before
}

// Command is one entry of what is replicated.
type Command struct {
	Config        *Config           `json:"terms,omitempty"`
	Renew         *RenewCommand     `json:"renew,omitempty"`
	Expire        []Expiry          `json:"lapse,omitempty"`
	Exited        *ExitCommand      `json:"gone,omitempty"`
	Acquire       *PermitCommand    `json:"take,omitempty"`
	Release       *PermitCommand    `json:"give,omitempty"`
	WriteOff      *WriteOffCommand  `json:"write_off,omitempty"`
	ColdStart     *ColdStartCommand `json:"rise,omitempty"`
	ElapsedPauses []ElapsedPause    `json:"rested,omitempty"` // rests of rises that the leader has counted
	Rebalance     bool              `json:"divide,omitempty"` // it is time to divide anew; the leader's clock says so
	FreezeGrowth  bool              `json:"hold,omitempty"`   // nothing may grow now: grants that this ledger never knew may be in force
}

// Renew brings the asks of one host's backends.
type RenewCommand struct {
	Host     string               `json:"host"`
	Requests []quota.LeaseRequest `json:"asks"`
}

// Lapse ends grants of a life whose lease is surely over, up to an epoch.
type Expiry struct {
	Limit     string `json:"budget"`
	ClientKey string `json:"key"`
	Epoch     uint64 `json:"epoch"`
}

// Gone tells that processes have ended: whoever says so has seen it, on their own host.
type ExitCommand struct {
	Host       string   `json:"host"`
	ClientKeys []string `json:"lives"` // keys
}

// Take asks for a unit of a count; asked again for the same turn it changes nothing.
type PermitCommand struct {
	Limit     string `json:"budget"`
	Name      string `json:"name"`
	Host      string `json:"host"`
	AcquireID string `json:"turn"`

	Outcome *coldstart.Outcome `json:"end,omitempty"` // of a unit given back: how a start came out
}

// Off is an operator's word that what a name has is in force no more: its host is lost for good.
type WriteOffCommand struct {
	Name string `json:"name"`
	By   string `json:"by"`
}

// Note is a line for the history.
type Event struct {
	Limit string `json:"budget"`
	Name  string `json:"name,omitempty"`
	Kind  string `json:"event"`
	Cause string `json:"cause,omitempty"`
}

// Result is what came of a command.
type Result struct {
	Serial     uint64                `json:"serial"`
	Answers    []quota.LeaseResponse `json:"answers,omitempty"`
	Rejection  string                `json:"no,omitempty"` // why it was not taken
	Events     []Event               `json:"notes,omitempty"`
	ClientKeys []string              `json:"lives,omitempty"` // of a renewal: the keys of all that this host has
	Permits    []Permit              `json:"out,omitempty"`   // and the units that it holds, with their budgets
}

// Key names a life.
func ClientKey(name, life string) string { return name + " " + life }

// Apply takes a command in. It is the same on every copy of a ledger: nothing but the command and the ledger decides.
func (l *State) Apply(c Command) (r Result) {
	l.Serial++
	r.Serial = l.Serial
	if c.Config != nil {
		l.applyConfig(c.Config, &r)
	}
	for _, p := range c.Expire {
		l.expire(p, &r)
	}
	if c.Rebalance { // what is over can be given at once
		l.rebalance(&r)
	}
	if c.Exited != nil {
		l.removeExited(c.Exited, &r)
	}
	if c.Renew != nil {
		l.renew(c.Renew, c.FreezeGrowth, &r)
	}
	if c.Acquire != nil {
		l.acquire(c.Acquire, &r)
	}
	if c.Release != nil {
		l.release(c.Release, &r)
	}
	if c.WriteOff != nil {
		l.writeOff(c.WriteOff, &r)
	}
	if c.ColdStart != nil {
		l.coldStart(c.ColdStart, &r)
	}
	for _, w := range c.ElapsedPauses {
		if s := l.ColdStarts[w.Limit]; s != nil && s.ID == w.ID {
			s.EndPause(w.Number)
		}
	}
	return r
}

func (l *State) applyConfig(t *Config, r *Result) {
	switch {
	case t.Version < l.Config.Version:
		r.Rejection = fmt.Sprintf("version: %d is older than %d, which is in force", t.Version, l.Config.Version)
		return
	case t.Version == l.Config.Version && !t.Equal(&l.Config):
		r.Rejection = fmt.Sprintf("version: %d is in force with other content; give the new one a higher number", t.Version)
		return
	case t.Version == l.Config.Version:
		return
	}
	for i := range t.Limits {
		b := &t.Limits[i]
		if field, err := b.Validate(); err != nil {
			r.Rejection = fmt.Sprintf("budget %s: %s: %v", b.Name, field, err)
			return
		}
	}
	for i := range t.Limits {
		b, was := &t.Limits[i], l.Config.Lookup(t.Limits[i].Name)
		switch {
		case was == nil:
			r.Events = append(r.Events, Event{Limit: b.Name, Kind: "budget", Cause: fmt.Sprintf("new, %s of %d", b.Kind, b.Total)})
		case was.Total != b.Total:
			r.Events = append(r.Events, Event{Limit: b.Name, Kind: "budget", Cause: fmt.Sprintf("whole from %d to %d", was.Total, b.Total)})
		}
	}
	l.Config = *t
	l.RebuildIndexes()
	l.rebalance(r)
}

// current is the life of a name that asked last; older ones are given nothing more.
func (l *State) latestClient(name string) (key string) {
	if of := l.byName[name]; len(of) == 1 {
		return of[0]
	}
	asked := uint64(0)
	for _, k := range l.byName[name] {
		if life := l.Clients[k]; life.LastSerial >= asked {
			key, asked = k, life.LastSerial
		}
	}
	return key
}

// divide sets targets anew. Grants follow as holders ask.
func (l *State) rebalance(r *Result) {
	for i := range l.Config.Limits {
		b := &l.Config.Limits[i]
		if b.Kind != Rate {
			continue
		}
		var held []*Allocation
		var claims []Claim
		var names []string
		for _, name := range l.totals[b.Name].eligible {
			latest := l.latestClient(name)
			for _, key := range l.byName[name] {
				h := l.Clients[key].Allocations[b.Name]
				if h == nil {
					continue
				}
				if key != latest || h.Idle {
					h.Target = 0
					continue
				}
				c := Claim{Demand: -1, Weight: 1, Current: h.Target}
				if b.Division == DivideByDemand {
					c.Demand = h.Demand + (h.Demand+7)/8 // some room, but nothing for who asks for nothing
				}
				if w := b.Weights[name]; w > 0 && b.Division == DivideByCapacity {
					c.Weight = w
				}
				held, claims, names = append(held, h), append(claims, c), append(names, name)
			}
		}
		pool := b.Total - l.totals[b.Name].reservedFloors
		if failpoint.Enabled(failpoint.FloorsCountedTwice) {
			pool = b.Total
		}
		parts := MaxMinFair(pool, b.Step, claims)
		if b.Division == DivideByDemand {
			parts = Stabilize(pool, b.Step, claims, parts)
		}
		moved, most, who := int64(0), int64(0), ""
		for i, h := range held {
			by := max(parts[i]-h.Target, h.Target-parts[i])
			if moved += by; by > most {
				most, who = by, names[i]
			}
			h.Target = parts[i]
		}
		if moved > 0 {
			r.Events = append(r.Events, Event{Limit: b.Name, Kind: "division", Cause: fmt.Sprintf("%d units moved among %d, most at %s (%d)", moved, len(held), who, most)})
		}
	}
}

func (l *State) renew(c *RenewCommand, hold bool, r *Result) {
	for i := range c.Requests {
		r.Answers = append(r.Answers, l.renewClient(c.Host, &c.Requests[i], hold, r))
	}
	r.ClientKeys = sortedKeys(l.byHost[c.Host])
	for _, b := range sortedKeys(l.Permits) {
		for _, name := range sortedKeys(l.Permits[b]) {
			if o := l.Permits[b][name]; o.Host == c.Host {
				r.Permits = append(r.Permits, o)
			}
		}
	}
}

// answer grants one ask what the division leaves it, as far as that is free.
func (l *State) renewClient(host string, q *quota.LeaseRequest, hold bool, r *Result) quota.LeaseResponse {
	a := quota.LeaseResponse{Name: q.Name, Incarnation: q.Incarnation, Number: q.Number}
	key := ClientKey(q.Name, q.Incarnation)
	life := l.Clients[key]
	if life != nil && q.Number <= life.LastRequest {
		a.Refusal = fmt.Sprintf("ask %d is old: %d was heard", q.Number, life.LastRequest)
		return a
	}
	for _, k := range l.byName[q.Name] { // a floor is one process's; of extras too each is counted until it is over
		if other := l.Clients[k]; k != key && l.hasFloor(other) {
			a.Refusal = fmt.Sprintf("%s has its floor as %s at %s: that one has to end there, or be written off", q.Name, other.Incarnation, other.Host)
			return a
		}
	}
	for _, k := range q.Usage {
		if k.Epoch > l.Serial { // this ledger granted it and does not know: it was set back
			r.Events = append(r.Events, Event{Limit: k.Budget, Name: q.Name, Kind: "ledger is older than its grants",
				Cause: fmt.Sprintf("epoch %d is held, %d is the latest here", k.Epoch, l.Serial)})
			l.Serial = k.Epoch + 1
			l.Regressions++
			a.Refusal = "the ledger was set back and waits until all is over that it may have granted"
			return a
		}
	}
	if life == nil {
		if len(l.Clients) >= maxClients {
			a.Refusal = fmt.Sprintf("%d lives are known already", maxClients)
			return a
		}
		life = &Client{Name: q.Name, Incarnation: q.Incarnation, Host: host, Allocations: map[string]*Allocation{}}
		l.Clients[key] = life
		l.byName[q.Name] = append(l.byName[q.Name], key)
	}
	span := q.Clock - life.Clock
	first := life.LastRequest == 0
	l.setHost(key, life, host)
	life.LastRequest, life.Clock, life.LastSerial = q.Number, q.Clock, l.Serial
	for _, k := range q.Usage {
		b := l.Config.Lookup(k.Budget)
		if b == nil || b.Kind != Rate {
			continue
		}
		if _, named := b.Floors[q.Name]; !named {
			continue
		}
		h := life.Allocations[b.Name]
		if h == nil {
			h = &Allocation{Drawn: k.Drawn, Denied: k.Denied}
			life.Allocations[b.Name] = h
		}
		confirmed := slices.DeleteFunc(slices.Clone(h.Grants), func(g Grant) bool { return g.Epoch < k.Epoch })
		l.setGrants(b.Name, life, h, confirmed)
		if !first {
			want := estimateDemand(h.Demand+b.Floors[q.Name], h.maxFloor()+h.maxExtra(), b.Total, k.Drawn-h.Drawn, k.Denied-h.Denied, span)
			h.Demand = max(0, want-b.Floors[q.Name])
		}
		h.Drawn, h.Denied, h.Idle = k.Drawn, k.Denied, false
		if first { // until the next division
			h.Target = max(h.Target, min(b.Step, l.available(b, h)))
		}
		a.Grants = append(a.Grants, l.grant(b, life, h, hold))
	}
	return a
}

func (l *State) hasFloor(life *Client) bool {
	for _, b := range life.Allocations {
		if b.maxFloor() > 0 {
			return true
		}
	}
	return false
}

// free is what a life may have above its floor while all others keep what they may act on.
func (l *State) available(b *Limit, h *Allocation) int64 {
	s := l.totals[b.Name]
	floors := s.reservedFloors
	if failpoint.Enabled(failpoint.FloorsCountedTwice) {
		floors = 0
	}
	return max(0, b.Total-floors-(s.extras-h.maxExtra()))
}

// grant gives a life its part. What is in force never grows past the whole: a lower whole, or a floor that was raised,
// is reached as others confirm that they have less.
func (l *State) grant(b *Limit, life *Client, h *Allocation, hold bool) quota.Grant {
	s := l.totals[b.Name]
	now := h.maxExtra()
	extra := min(h.Target, max(now, l.available(b, h)))
	if hold {
		extra = min(extra, now)
	}
	floor := b.Floors[life.Name]
	if told := s.floorInForce[life.Name]; floor > told {
		rest := s.inForce - told + max(0, extra-now)
		floor = max(told, min(floor, b.Total-rest))
		if hold {
			floor = told
		}
	}
	g := Grant{Epoch: l.Serial, Floor: floor, Extra: extra, Lease: b.Lease, ClockMargin: b.ClockMargin}
	grants := append(slices.Clone(h.Grants), g)
	for len(grants) > maxGrants { // counted into the next: never less than may be in force
		g, next := &grants[0], &grants[1]
		next.Floor, next.Extra, next.Lease = max(g.Floor, next.Floor), max(g.Extra, next.Extra), max(g.Lease, next.Lease)
		next.ClockMargin = max(g.ClockMargin, next.ClockMargin)
		grants = grants[1:]
	}
	l.setGrants(b.Name, life, h, grants)
	return quota.Grant{Budget: b.Name, Epoch: g.Epoch, Floor: g.Floor, Extra: g.Extra, Lease: b.Lease}
}

// lapse ends the extras of grants up to an epoch. Floors have no lease.
func (l *State) expire(p Expiry, r *Result) {
	life := l.Clients[p.ClientKey]
	if life == nil || life.Allocations[p.Limit] == nil {
		return
	}
	defer l.dropIfEmpty(p.ClientKey)
	h := life.Allocations[p.Limit]
	grants := slices.Clone(h.Grants)
	lost := int64(0)
	for i := range grants {
		if grants[i].Epoch <= p.Epoch {
			lost = max(lost, grants[i].Extra)
			grants[i].Extra = 0
		}
	}
	l.setGrants(p.Limit, life, h, grants)
	if n := len(grants); n > 0 && grants[n-1].Epoch <= p.Epoch {
		h.Demand, h.Target, h.Idle = 0, 0, true
		if lost == 0 {
			return
		}
		r.Events = append(r.Events, Event{Limit: p.Limit, Name: life.Name, Kind: "share over", Cause: fmt.Sprintf("%d units a second: the lease of epoch %d has run out", lost, p.Epoch)})
	}
}

// forget lets go of a life that has nothing and is not its name's latest.
func (l *State) dropIfEmpty(key string) {
	life := l.Clients[key]
	if life == nil || l.latestClient(life.Name) == key {
		return
	}
	for _, h := range life.Allocations {
		if h.maxFloor()+h.maxExtra() > 0 {
			return
		}
	}
	l.remove(key)
}

func (l *State) remove(key string) {
	name := l.Clients[key].Name
	delete(l.byHost[l.Clients[key].Host], key)
	delete(l.Clients, key)
	if l.byName[name] = slices.DeleteFunc(l.byName[name], func(k string) bool { return k == key }); len(l.byName[name]) == 0 {
		delete(l.byName, name)
	}
}

// end takes all from a life.
func (l *State) revokeAll(key, cause string, r *Result) {
	life := l.Clients[key]
	for _, b := range sortedKeys(life.Allocations) {
		if h := life.Allocations[b]; h.maxFloor()+h.maxExtra() > 0 {
			r.Events = append(r.Events, Event{Limit: b, Name: life.Name, Kind: "share over", Cause: fmt.Sprintf("%d units a second: %s", h.maxExtra(), cause)})
			l.setGrants(b, life, h, nil)
		}
	}
	l.remove(key)
}

func (l *State) removeExited(c *ExitCommand, r *Result) {
	for _, key := range c.ClientKeys {
		if life := l.Clients[key]; life != nil && life.Host == c.Host {
			l.revokeAll(key, "its process has ended", r)
		}
	}
}

func (l *State) acquire(c *PermitCommand, r *Result) {
	b := l.Config.Lookup(c.Limit)
	if b == nil || b.Kind != Concurrency {
		r.Rejection = fmt.Sprintf("budget: %q is no count of version %d", c.Limit, l.Config.Version)
		return
	}
	out := l.Permits[c.Limit]
	if out == nil {
		out = map[string]Permit{}
		l.Permits[c.Limit] = out
	}
	o, has := out[c.Name]
	switch {
	case has && o.AcquireID == c.AcquireID && o.Host == c.Host:
	case has:
		r.Rejection = fmt.Sprintf("%s holds one already, for %s at %s", c.Name, o.AcquireID, o.Host)
	case slices.Contains(l.ReleasedIDs[c.Limit+" "+c.Name], c.AcquireID):
		r.Rejection = fmt.Sprintf("turn: %q of %s has ended", c.AcquireID, c.Name)
	case int64(len(out)) >= b.Total-b.Reserved || len(out) >= maxPermits || len(l.ReleasedIDs) >= maxPermits:
		r.Rejection = fmt.Sprintf("all %d are held", b.Total-b.Reserved)
	case !l.mayStart(c, r):
	default:
		out[c.Name] = Permit{c.Limit, c.Name, c.Host, c.AcquireID, l.Serial}
	}
}

func (l *State) release(c *PermitCommand, r *Result) {
	if o, has := l.Permits[c.Limit][c.Name]; has && o.AcquireID == c.AcquireID && o.Host == c.Host {
		delete(l.Permits[c.Limit], c.Name)
		l.recordReleased(c.Limit, c.Name, c.AcquireID)
	}
	l.reportStart(c, r)
}

func (l *State) recordReleased(budget, name, turn string) {
	key := budget + " " + name
	if l.ReleasedIDs[key] = append(l.ReleasedIDs[key], turn); len(l.ReleasedIDs[key]) > maxReleasedIDs {
		l.ReleasedIDs[key] = l.ReleasedIDs[key][1:]
	}
}

func (l *State) writeOff(c *WriteOffCommand, r *Result) {
	known := false
	for _, key := range slices.Clone(l.byName[c.Name]) {
		known = true
		l.revokeAll(key, "written off by "+c.By, r)
	}
	for _, b := range sortedKeys(l.Permits) {
		if o, has := l.Permits[b][c.Name]; has {
			known = true
			if s := l.ColdStarts[b]; s != nil {
				s.WriteOff(c.Name)
			}
			delete(l.Permits[b], c.Name)
			l.recordReleased(b, c.Name, o.AcquireID)
			r.Events = append(r.Events, Event{Limit: b, Name: c.Name, Kind: "unit over", Cause: "written off by " + c.By})
		}
	}
	if !known {
		r.Rejection = fmt.Sprintf("name: %q has nothing", c.Name)
	}
}

// Use is how one budget stands.
type Usage struct {
	Limit          string        `json:"budget"`
	Kind           Kind          `json:"kind"`
	Total          int64         `json:"whole"`
	ReservedFloors int64         `json:"floors"`   // set aside
	InForce        int64         `json:"in_force"` // that may be acted on now
	Holders        []HolderUsage `json:"holders,omitempty"`
}

// Holder is one line of it.
type HolderUsage struct {
	Name        string `json:"name"`
	Incarnation string `json:"life,omitempty"`
	Host        string `json:"host"`
	Epoch       uint64 `json:"epoch"`
	Floor       int64  `json:"floor"`
	Extra       int64  `json:"extra"`
	Target      int64  `json:"target"`
	Demand      int64  `json:"want"`
	Drawn       int64  `json:"drawn"`
	Denied      int64  `json:"denied"`
	AcquireID   string `json:"turn,omitempty"`
	Remaining   Micros `json:"left_us,omitempty"` // until the extra is surely over, if it is not renewed
}

// Uses tells how all budgets stand, by name.
func (l *State) Usages() (all []Usage) {
	for i := range l.Config.Limits {
		b := &l.Config.Limits[i]
		u := Usage{Limit: b.Name, Kind: b.Kind, Total: b.Total}
		if b.Kind == Concurrency {
			u.InForce = int64(len(l.Permits[b.Name]))
			for _, name := range sortedKeys(l.Permits[b.Name]) {
				o := l.Permits[b.Name][name]
				u.Holders = append(u.Holders, HolderUsage{Name: name, Host: o.Host, Epoch: o.Epoch, AcquireID: o.AcquireID})
			}
		} else if s := l.totals[b.Name]; s != nil {
			u.ReservedFloors, u.InForce = s.reservedFloors, s.inForce
			for _, key := range sortedKeys(l.Clients) {
				life := l.Clients[key]
				h := life.Allocations[b.Name]
				if h == nil {
					continue
				}
				one := HolderUsage{Name: life.Name, Incarnation: life.Incarnation, Host: life.Host, Floor: h.maxFloor(), Extra: h.maxExtra(), Target: h.Target, Demand: h.Demand, Drawn: h.Drawn, Denied: h.Denied}
				if n := len(h.Grants); n > 0 {
					one.Epoch = h.Grants[n-1].Epoch
				}
				u.Holders = append(u.Holders, one)
			}
		}
		all = append(all, u)
	}
	return all
}

// View is how all budgets stand, as the ledger's leader has it.
type Status struct {
	Leader       string            `json:"leader"`
	Term         uint64            `json:"term"`
	Version      uint64            `json:"version"`
	Members      []string          `json:"members"`
	GrowthFrozen bool              `json:"hold,omitempty"` // nothing grows now: grants may be in force that this ledger forgot
	Limits       []Usage           `json:"budgets"`
	ColdStarts   []ColdStartStatus `json:"rises,omitempty"`
}
