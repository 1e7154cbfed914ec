package quota

import "milletbarrow/monotime"

// Grant is what the lease server grants of one budget.
type Grant struct {
	Budget string          `json:"budget"`
	Epoch  uint64          `json:"epoch"`    // fencing token: a grant of an older epoch is refused
	Floor  int64           `json:"floor"`    // units a second, without an end
	Extra  int64           `json:"extra"`    // units a second above the floor, for the lease
	Lease  monotime.Micros `json:"lease_us"` // counted from the time of the request
}

// Usage is what a holder reports of one budget with a request.
type Usage struct {
	Budget string `json:"budget"`
	Epoch  uint64 `json:"epoch"`  // of the latest grant
	Drawn  int64  `json:"drawn"`  // units acquired since the start, without those refunded
	Denied int64  `json:"denied"` // units
}

// LeaseRequest is a holder's request for grants of its budgets.
type LeaseRequest struct {
	Name        string          `json:"name"`
	Incarnation string          `json:"life"`     // of the process: another process is another holder
	Number      uint64          `json:"number"`   // grows with each request; a later one replaces all earlier ones
	Clock       monotime.Micros `json:"clock_us"` // the holder's own, to compute rates; never compared with another clock
	Usage       []Usage         `json:"known,omitempty"`
}

// LeaseResponse answers a LeaseRequest.
type LeaseResponse struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"life"`
	Number      uint64  `json:"number"` // of the request
	Grants      []Grant `json:"parts,omitempty"`
	Refusal     string  `json:"no,omitempty"` // why nothing is granted
}

// Status is one budget as its holder has it.
type Status struct {
	Budget string          `json:"budget"`
	Epoch  uint64          `json:"epoch"`
	Floor  int64           `json:"floor"`    // units a second
	Extra  int64           `json:"extra"`    // units a second; 0 once the lease has expired
	Until  monotime.Micros `json:"until_us"` // end of the lease, on the holder's clock
	Drawn  int64           `json:"drawn"`    // units, as in Usage
	Denied int64           `json:"denied"`   // units, as in Usage
}
