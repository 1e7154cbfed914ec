package quota

import "milletbarrow/monotime"

// Grant is a lease on part of one budget, granted by the lease server.
type Grant struct {
	Budget string          `json:"budget"`
	Epoch  uint64          `json:"epoch"`    // fencing token: a grant of an older epoch is refused
	Floor  int64           `json:"floor"`    // units per second; does not expire
	Extra  int64           `json:"extra"`    // units per second above the floor; expires with the lease
	Lease  monotime.Micros `json:"lease_us"` // duration from the time of the request
}

// Usage is what a holder reports of one budget with a request.
type Usage struct {
	Budget string `json:"budget"`
	Epoch  uint64 `json:"epoch"`  // of the latest grant; 0: none yet
	Drawn  int64  `json:"drawn"`  // units acquired since the start, without those refunded
	Denied int64  `json:"denied"` // units denied since the start
}

// LeaseRequest is a holder's request for grants of its budgets.
type LeaseRequest struct {
	Name        string          `json:"name"`     // of the holder
	Incarnation string          `json:"life"`     // of the process: another process is another holder
	Number      uint64          `json:"number"`   // grows with each request; a later one replaces all earlier ones
	Clock       monotime.Micros `json:"clock_us"` // of the holder, to compute rates; not compared with others
	Usage       []Usage         `json:"known,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Name        string  `json:"name"`   // of the holder
	Incarnation string  `json:"life"`   // of the process
	Number      uint64  `json:"number"` // of the request
	Grants      []Grant `json:"parts,omitempty"`
	Refusal     string  `json:"no,omitempty"` // why nothing is granted; empty: not refused
}

// Status is one budget as its holder has it.
type Status struct {
	Budget string          `json:"budget"`
	Epoch  uint64          `json:"epoch"`    // of the latest grant; 0: none yet
	Floor  int64           `json:"floor"`    // units per second
	Extra  int64           `json:"extra"`    // units per second; 0 once the lease has expired
	Until  monotime.Micros `json:"until_us"` // end of the lease, on the holder's clock
	Drawn  int64           `json:"drawn"`    // units, as in Usage
	Denied int64           `json:"denied"`   // units, as in Usage
}
