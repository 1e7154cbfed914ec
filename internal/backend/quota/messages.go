package quota

import "milletbarrow/monotime"

// Grant is a part of one budget that the lease server grants to a holder.
type Grant struct {
	Budget string          `json:"budget"`
	Epoch  uint64          `json:"epoch"`    // fencing token: a grant must have a higher one than the grant it replaces
	Floor  int64           `json:"floor"`    // units per second; does not expire with the lease
	Extra  int64           `json:"extra"`    // units per second in addition to the floor; expires with the lease
	Lease  monotime.Micros `json:"lease_us"` // duration, counted from the time of the request
}

// Usage is a holder's report on one budget, sent with each request.
type Usage struct {
	Budget string `json:"budget"`
	Epoch  uint64 `json:"epoch"`  // of the latest grant; 0: none yet
	Drawn  int64  `json:"drawn"`  // units acquired since the process started, without those refunded
	Denied int64  `json:"denied"` // units denied since the process started
}

// LeaseRequest is a holder's request for grants of all its budgets.
type LeaseRequest struct {
	Name        string          `json:"name"`     // of the holder
	Incarnation string          `json:"life"`     // of the process; a restarted process is a different holder
	Number      uint64          `json:"number"`   // increases with each request; the latest one replaces all others
	Clock       monotime.Micros `json:"clock_us"` // the holder's, to compute rates; not comparable across holders
	Usage       []Usage         `json:"known,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Name        string  `json:"name"`   // of the holder
	Incarnation string  `json:"life"`   // of the process
	Number      uint64  `json:"number"` // of the request
	Grants      []Grant `json:"parts,omitempty"`
	Refusal     string  `json:"no,omitempty"` // why nothing is granted; empty: the request was not refused
}

// Status is the state of one budget at its holder.
type Status struct {
	Budget string          `json:"budget"`
	Epoch  uint64          `json:"epoch"`    // of the latest grant; 0: none yet
	Floor  int64           `json:"floor"`    // units per second
	Extra  int64           `json:"extra"`    // units per second; 0 once the lease has expired
	Until  monotime.Micros `json:"until_us"` // end of the lease, on the holder's clock
	Drawn  int64           `json:"drawn"`    // units, as in Usage
	Denied int64           `json:"denied"`   // units, as in Usage
}
