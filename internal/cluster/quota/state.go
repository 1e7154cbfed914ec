package quota

import (
	"cmp"
	"maps"
	"slices"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/monotime"
)

// Bounds of a State.
const (
	maxGrants      = 6      // kept per client and limit; beyond that, the oldest are merged
	maxReleasedIDs = 8      // kept per instance and limit, so that late duplicates of acquisitions are rejected
	maxClients     = 50_000 // requests of further clients are refused
	maxPermits     = 50_000 // of one limit
)

// State is the replicated state of all limits. Its exported fields exist for encoding; only Apply changes them. It is
// not safe for concurrent use.
//
// Invariants:
//   - The sum of a rate's grants in force never exceeds its total while clocks drift by no more than the margin, even
//     if messages are lost, late or duplicated; once faults end, the whole total is granted
//     (TestGrantsInForceNeverExceedTheTotal).
//   - A grant that its holder may act on counts as in force (TestConfirmedGrantStaysInForce,
//     TestExpiryKeepsLaterGrants, TestMergedGrantCoversAllThatMayBeInForce).
//   - A raised floor takes effect only as other clients confirm lower grants (TestRaisedFloorWaitsForOthers).
//   - At most one process of an instance has a floor in force; a duplicate of a command has no effect
//     (TestDuplicateCommandsChangeNothing).
//   - No permit is granted while the total less the reserved ones are held, and only their own host releases them
//     (TestPermitsAreBoundedAndReleasedOnlyByTheirHost).
//   - The number of clients is bounded (TestClientsAreBounded).
type State struct {
	// Serial is incremented by each command, and raised past the epochs that regressions reveal. It is the epoch of the
	// grants that a command makes.
	Serial  uint64                                `json:"serial"`
	Config  Config                                `json:"terms"`
	Clients map[ClientKey]*Client                 `json:"lives"`
	Permits map[LimitName]map[InstanceName]Permit `json:"counts"`

	// ReleasedIDs holds the AcquireIDs of the latest permits that an instance released, oldest first.
	ReleasedIDs map[PermitKey][]string `json:"ended"`

	// ColdStarts holds the cold start under each concurrency limit. One that is done stays until a command ends it or
	// begins another.
	ColdStarts map[LimitName]*coldstart.State `json:"rises,omitempty"`

	// Regressions counts the reports of epochs that this state had lost.
	Regressions uint64 `json:"forgot"`

	// The following fields are derived from the others by RebuildIndexes.
	totals map[LimitName]*rateTotals
	byName map[InstanceName][]ClientKey
	byHost map[string]map[ClientKey]bool // by host name
}

// Client is one process that draws from rates.
type Client struct {
	Name        InstanceName              `json:"name"`
	Incarnation string                    `json:"life"`
	Host        string                    `json:"host"`
	LastRequest uint64                    `json:"number"`   // number of its latest lease request; 0: none yet
	Clock       monotime.Micros           `json:"clock_us"` // of the client, at that request
	LastSerial  uint64                    `json:"asked"`    // State.Serial at that request
	Allocations map[LimitName]*Allocation `json:"held"`
}

// recordRequest records a client's latest lease request.
func (c *Client) recordRequest(request *backendquota.LeaseRequest, serial uint64) {
	c.LastRequest = request.Number
	c.Clock = request.Clock
	c.LastSerial = serial
}

// hasFloor reports whether a floor of any limit is in force at this client.
func (c *Client) hasFloor() bool {
	for _, allocation := range c.Allocations {
		if allocation.maxFloor() > 0 {
			return true
		}
	}
	return false
}

// Allocation is one client's share of one rate.
type Allocation struct {
	Grants []Grant `json:"grants,omitempty"` // oldest first; the client no longer acts on earlier ones
	Drawn  int64   `json:"drawn"`            // units since the client's start, as it reported
	Denied int64   `json:"denied"`           // units since the client's start, as it reported
	Demand int64   `json:"want"`             // smoothed, in units per second above the floor
	Target int64   `json:"target"`           // of the latest division, in units per second above the floor
	Idle   bool    `json:"quiet,omitempty"`  // its lease has expired; it is left out of divisions
}

// Grant is a lease that its holder may still act on.
type Grant struct {
	Epoch       uint64          `json:"epoch"` // fencing token
	Floor       int64           `json:"floor"` // units per second, without a lease
	Extra       int64           `json:"extra"` // units per second above the floor, for the duration of the lease
	Lease       monotime.Micros `json:"lease_us"`
	ClockMargin monotime.Micros `json:"margin_us"`
}

// maxFloor returns the highest floor that the client may act on now.
func (a *Allocation) maxFloor() int64 {
	highest := int64(0)
	for _, grant := range a.Grants {
		highest = max(highest, grant.Floor)
	}
	return highest
}

// maxExtra returns the highest extra that the client may act on now.
func (a *Allocation) maxExtra() int64 {
	highest := int64(0)
	for _, grant := range a.Grants {
		highest = max(highest, grant.Extra)
	}
	return highest
}

// inForce returns the most units per second that the client may draw now.
func (a *Allocation) inForce() int64 { return a.maxFloor() + a.maxExtra() }

// recordUsage records what the client reports to have drawn.
func (a *Allocation) recordUsage(usage *backendquota.Usage) {
	a.Drawn = usage.Drawn
	a.Denied = usage.Denied
	a.Idle = false
}

// becomeIdle excludes the allocation from divisions until the client's next request.
func (a *Allocation) becomeIdle() {
	a.Demand = 0
	a.Target = 0
	a.Idle = true
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{
		Clients:     map[ClientKey]*Client{},
		Permits:     map[LimitName]map[InstanceName]Permit{},
		ReleasedIDs: map[PermitKey][]string{},
		ColdStarts:  map[LimitName]*coldstart.State{},
	}
	s.RebuildIndexes()
	return s
}

// RebuildIndexes rebuilds what is not encoded. It must be called on a decoded state before any other method.
func (s *State) RebuildIndexes() {
	s.totals = map[LimitName]*rateTotals{}
	s.byName = map[InstanceName][]ClientKey{}
	s.byHost = map[string]map[ClientKey]bool{}
	for _, coldStart := range s.ColdStarts {
		coldStart.RebuildIndex()
	}
	for _, key := range sortedKeys(s.Clients) {
		client := s.Clients[key]
		s.byName[client.Name] = append(s.byName[client.Name], key)
		s.setHost(key, client, client.Host)
	}
	for limit := range s.rates() {
		s.recount(limit)
	}
}

// rates returns the rates that are configured or of which a client still has an allocation.
func (s *State) rates() map[LimitName]bool {
	rates := map[LimitName]bool{}
	for i := range s.Config.Limits {
		if limit := &s.Config.Limits[i]; limit.Kind == Rate {
			rates[limit.Name] = true
		}
	}
	for _, client := range s.Clients {
		for limit := range client.Allocations {
			rates[limit] = true
		}
	}
	return rates
}

// setHost records on which host a client runs.
func (s *State) setHost(key ClientKey, client *Client, host string) {
	delete(s.byHost[client.Host], key)
	if s.byHost[host] == nil {
		s.byHost[host] = map[ClientKey]bool{}
	}
	s.byHost[host][key] = true
	client.Host = host
}

// latestClient returns the process of an instance that sent the latest request. Only it takes part in
// divisions; the targets of other processes become 0.
func (s *State) latestClient(name InstanceName) ClientKey {
	keys := s.byName[name]
	if len(keys) == 1 {
		return keys[0]
	}
	latest := ClientKey("")
	latestSerial := uint64(0)
	for _, key := range keys {
		if client := s.Clients[key]; client.LastSerial >= latestSerial {
			latest = key
			latestSerial = client.LastSerial
		}
	}
	return latest
}

// remove deletes a client that has no grant in force.
func (s *State) remove(key ClientKey) {
	client := s.Clients[key]
	delete(s.byHost[client.Host], key)
	delete(s.Clients, key)
	rest := slices.DeleteFunc(s.byName[client.Name], func(other ClientKey) bool { return other == key })
	if len(rest) == 0 {
		delete(s.byName, client.Name)
		return
	}
	s.byName[client.Name] = rest
}

// sortedKeys returns a map's keys in ascending order, so that all replicas process them in the same order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
