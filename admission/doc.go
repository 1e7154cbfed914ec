// Package admission is the decision module of one backend: admission control, scheduling, load shedding and
// graceful shutdown. Backend.Decide takes an event and appends the actions that follow from it. The package
// knows of no wire, no other instance and no clock of its own, and does no I/O: the same events give the same
// actions.
//
// This file is the interface and holds no decision; the files beside it decide. Beside the threshold for
// arrivals and the four rules (see Backend), five mechanisms stand: work that misses its latency objective is
// given up at once (deadlines.go); waiting work runs by response ratio and value (schedule.go); work beyond a
// tenant's quota loses priority (tenants.go); callers hear how loaded the backend is by Retry-After, by the
// advertised value, health and idle timeout (feedback.go); the slower calls to the dependency are, the fewer
// are in flight (calls.go).
package admission
