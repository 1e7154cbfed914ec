package quota

import (
	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/coldstart"
)

// Command is one entry of the replicated log. The parts that are set are applied in the order of Apply.
type Command struct {
	Config        *Config           `json:"terms,omitempty"`
	Renew         *RenewCommand     `json:"renew,omitempty"`
	Expire        []Expiry          `json:"lapse,omitempty"`
	Exited        *ExitCommand      `json:"gone,omitempty"`
	Acquire       *PermitCommand    `json:"take,omitempty"`
	Release       *PermitCommand    `json:"give,omitempty"`
	WriteOff      *WriteOffCommand  `json:"write_off,omitempty"`
	ColdStart     *ColdStartCommand `json:"rise,omitempty"`
	ElapsedPauses []ElapsedPause    `json:"rested,omitempty"` // of cold starts, timed by the leader
	Rebalance     bool              `json:"divide,omitempty"` // set by the leader when it is time to
	FreezeGrowth  bool              `json:"hold,omitempty"`   // grants that this state has lost may be in force: none may grow
}

// RenewCommand brings the lease requests of one host's backends.
type RenewCommand struct {
	Host     string               `json:"host"`
	Requests []quota.LeaseRequest `json:"asks"`
}

// Expiry ends the extras of a client's grants up to an epoch, whose leases are surely over.
type Expiry struct {
	Limit     LimitName `json:"budget"`
	ClientKey ClientKey `json:"key"`
	Epoch     uint64    `json:"epoch"`
}

// ExitCommand reports that processes have ended. It counts only from the host that they ran on.
type ExitCommand struct {
	Host       string      `json:"host"`
	ClientKeys []ClientKey `json:"lives"`
}

// PermitCommand acquires a unit of a concurrency limit, or releases it. Repeated with the same AcquireID it changes
// nothing.
type PermitCommand struct {
	Limit     LimitName    `json:"budget"`
	Name      InstanceName `json:"name"`
	Host      string       `json:"host"`
	AcquireID string       `json:"turn"`

	Outcome *coldstart.Outcome `json:"end,omitempty"` // of a release: how the start came out that the permit was for
}

// WriteOffCommand is an operator's statement that what a backend holds is no longer in force: its host is lost for good.
type WriteOffCommand struct {
	Name InstanceName `json:"name"`
	By   string       `json:"by"`
}

// Event is an entry for the agents' history.
type Event struct {
	Limit LimitName `json:"budget"`
	Name  string    `json:"name,omitempty"` // of an instance, or of a host of the store's group
	Kind  string    `json:"event"`
	Cause string    `json:"cause,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Serial     uint64                `json:"serial"`
	Answers    []quota.LeaseResponse `json:"answers,omitempty"` // of a renewal, in the order of its requests
	Rejection  string                `json:"no,omitempty"`      // why the command changed nothing; empty: it was applied
	Events     []Event               `json:"notes,omitempty"`
	ClientKeys []ClientKey           `json:"lives,omitempty"` // of a renewal: all clients of its host
	Permits    []Permit              `json:"out,omitempty"`   // of a renewal: all permits of its host
}
