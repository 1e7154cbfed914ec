package quota

import (
	"cmp"
	"maps"
	"slices"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/monotime"
)

// Bounds of a State.
const (
	maxGrants      = 6      // unconfirmed, of one client and limit; older ones are merged into the next
	maxReleasedIDs = 8      // remembered for one name, so that a late duplicate does not acquire again
	maxClients     = 50_000 // a further one is granted nothing
	maxPermits     = 50_000 // of one limit
)

// Grant is a lease that its holder may still act on.
type Grant struct {
	Epoch       uint64          `json:"epoch"` // fencing token
	Floor       int64           `json:"floor"` // units a second, without a lease
	Extra       int64           `json:"extra"` // units a second above the floor, for the lease
	Lease       monotime.Micros `json:"lease_us"`
	ClockMargin monotime.Micros `json:"margin_us"`
}

// Allocation is what one client has of one rate.
type Allocation struct {
	Grants []Grant `json:"grants,omitempty"` // oldest first; the holder acts on none older than the first
	Drawn  int64   `json:"drawn"`            // units since the client's start, as it reported
	Denied int64   `json:"denied"`           // units since the client's start, as it reported
	Demand int64   `json:"want"`             // units a second above the floor, smoothed
	Target int64   `json:"target"`           // units a second above the floor, of the latest division
	Idle   bool    `json:"quiet,omitempty"`  // its lease has expired: it takes part in no division
}

// maxFloor is the highest floor that the holder may act on now.
func (a *Allocation) maxFloor() (most int64) {
	for _, g := range a.Grants {
		most = max(most, g.Floor)
	}
	return most
}

// maxExtra is the most above its floor that the holder may act on now.
func (a *Allocation) maxExtra() (most int64) {
	for _, g := range a.Grants {
		most = max(most, g.Extra)
	}
	return most
}

// Client is one process that draws.
type Client struct {
	Name        InstanceName              `json:"name"` // of the backend
	Incarnation string                    `json:"life"` // of its process
	Host        string                    `json:"host"`
	LastRequest uint64                    `json:"number"`   // number of its latest lease request
	Clock       monotime.Micros           `json:"clock_us"` // its own, at that request
	LastSerial  uint64                    `json:"asked"`    // the state's serial at that request
	Allocations map[LimitName]*Allocation `json:"held"`     // by limit
}

// Permit is one unit of a concurrency limit, held by a name.
type Permit struct {
	Limit     LimitName    `json:"budget"`
	Name      InstanceName `json:"name"`
	Host      string       `json:"host"`
	AcquireID string       `json:"turn"` // idempotency key of the acquisition
	Epoch     uint64       `json:"epoch"`
}

// State is the replicated state of all limits. Its exported fields are there to be encoded; only Apply changes them. It
// is not safe for concurrent use.
type State struct {
	Serial      uint64                                `json:"serial"` // number of commands applied; epochs are its values
	Config      Config                                `json:"terms"`
	Clients     map[ClientKey]*Client                 `json:"lives"`           // by ClientKey
	Permits     map[LimitName]map[InstanceName]Permit `json:"counts"`          // by limit and name
	ReleasedIDs map[PermitKey][]string                `json:"ended"`           // by limit and name, the latest acquisitions that have ended
	ColdStarts  map[LimitName]*coldstart.State        `json:"rises,omitempty"` // by concurrency limit
	Regressions uint64                                `json:"forgot"`          // how often a client held an epoch that this state does not have

	// Indexes over the rest, built by RebuildIndexes.
	totals map[LimitName]*rateTotals     // by rate
	byName map[InstanceName][]ClientKey  // keys of clients
	byHost map[string]map[ClientKey]bool // keys of clients
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{
		Clients: map[ClientKey]*Client{}, Permits: map[LimitName]map[InstanceName]Permit{}, ReleasedIDs: map[PermitKey][]string{},
		ColdStarts: map[LimitName]*coldstart.State{},
	}
	s.RebuildIndexes()
	return s
}

// RebuildIndexes has to be called on a state that was decoded, before anything else.
func (s *State) RebuildIndexes() {
	s.totals, s.byName, s.byHost = map[LimitName]*rateTotals{}, map[InstanceName][]ClientKey{}, map[string]map[ClientKey]bool{}
	for _, c := range s.ColdStarts {
		c.RebuildIndex()
	}
	for _, key := range sortedKeys(s.Clients) {
		client := s.Clients[key]
		s.byName[client.Name] = append(s.byName[client.Name], key)
		s.setHost(key, client, client.Host)
	}
	isRate := map[LimitName]bool{}
	for i := range s.Config.Limits {
		isRate[s.Config.Limits[i].Name] = s.Config.Limits[i].Kind == Rate
	}
	for _, client := range s.Clients {
		for limit := range client.Allocations { // also of a limit that is configured no longer
			isRate[limit] = true
		}
	}
	for limit, rate := range isRate {
		if rate {
			s.recount(limit)
		}
	}
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

// latestClient is the key of the process of a backend that sent the latest request; older ones are granted nothing more.
func (s *State) latestClient(name InstanceName) (key ClientKey) {
	if keys := s.byName[name]; len(keys) == 1 {
		return keys[0]
	}
	latest := uint64(0)
	for _, k := range s.byName[name] {
		if client := s.Clients[k]; client.LastSerial >= latest {
			key, latest = k, client.LastSerial
		}
	}
	return key
}

// remove deletes a client that has nothing in force.
func (s *State) remove(key ClientKey) {
	client := s.Clients[key]
	delete(s.byHost[client.Host], key)
	delete(s.Clients, key)
	rest := slices.DeleteFunc(s.byName[client.Name], func(k ClientKey) bool { return k == key })
	if len(rest) == 0 {
		delete(s.byName, client.Name)
		return
	}
	s.byName[client.Name] = rest
}

// sortedKeys lists a map's keys in order, so that every replica does the same in the same order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
