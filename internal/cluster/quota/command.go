package quota

import (
	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/coldstart"
)

// Command is one entry of the replicated log. State.Apply applies the fields that are set, in a fixed order.
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
	Rebalance     bool              `json:"divide,omitempty"` // set by the leader when a rebalance is due

	// FreezeGrowth prevents grants from growing, because grants that this state has lost may still be in force.
	FreezeGrowth bool `json:"hold,omitempty"`
}

// RenewCommand contains the lease requests of one host's backends.
type RenewCommand struct {
	Host     string                      `json:"host"`
	Requests []backendquota.LeaseRequest `json:"asks"`
}

// Expiry ends the extras of a client's grants up to an epoch, as their leases have expired.
type Expiry struct {
	Limit     LimitName `json:"budget"`
	ClientKey ClientKey `json:"key"`
	Epoch     uint64    `json:"epoch"`
}

// ExitCommand reports the processes on one host that have exited. Clients on other hosts are ignored.
type ExitCommand struct {
	Host       string      `json:"host"`
	ClientKeys []ClientKey `json:"lives"`
}

// PermitCommand acquires or releases one permit of a concurrency limit. It is idempotent by its AcquireID.
type PermitCommand struct {
	Limit     LimitName    `json:"budget"`
	Name      InstanceName `json:"name"`
	Host      string       `json:"host"`
	AcquireID string       `json:"turn"`

	// Outcome is the outcome of the start that a released permit was for; nil: unknown, or not a start.
	Outcome *coldstart.Outcome `json:"end,omitempty"`
}

// WriteOffCommand revokes a backend's grants and permits. An operator issues it to confirm that they are no longer in
// use because the backend's host is permanently lost.
type WriteOffCommand struct {
	Name InstanceName `json:"name"`
	By   string       `json:"by"`
}

// ColdStartCommand begins a cold start under a concurrency limit, or resumes or ends the present one. It is idempotent
// by its ID.
type ColdStartCommand struct {
	Limit   LimitName          `json:"budget"`
	ID      string             `json:"id"`
	Config  *coldstart.Config  `json:"terms,omitempty"`   // required to begin
	Members []coldstart.Member `json:"members,omitempty"` // required to begin
	Action  string             `json:"verb,omitempty"`    // "go-on" resumes, "end" ends; empty: begin
	By      string             `json:"by"`
}

// Values of ColdStartCommand.Action.
const (
	actionBegin  = ""
	actionResume = "go-on"
	actionEnd    = "end"
)

// ElapsedPause is a pause of a cold start whose duration has passed.
type ElapsedPause struct {
	Limit  LimitName `json:"budget"`
	ID     string    `json:"id"` // of the cold start
	Number uint64    `json:"number"`
}
