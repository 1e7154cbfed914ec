// Package proxy provides TCP proxies between the processes of a fault-injection trial. A link can hold, delay or slow
// the bytes of each direction, reset its connections, and repeat calls. The package owns the connections that it
// forwards and does not interpret their content, except to recognize the start of a call.
//
// Invariants:
//   - A held direction delivers no byte, and all bytes once it is released (TestHeldBytesArriveAfterRelease,
//     TestHeldDialReachesTargetAfterRelease).
//   - A call is repeated at most once (TestDuplicateRepeatsEachCallOnce).
//   - Close ends all connections, even held ones (TestCloseEndsHeldConnection).
package proxy

import (
	"sync"
	"time"
)

// Direction holds the faults of one direction between two hosts. All links between the hosts share it. Its methods are
// safe for concurrent use.
type Direction struct {
	mu      sync.Mutex // guards the fields below
	faults  faults
	changed chan struct{} // closed and replaced at each change of the faults
}

// faults holds the faults of one direction.
type faults struct {
	held  bool          // whether bytes wait until the direction is released
	delay time.Duration // 0: none
	rate  int           // bytes per second of each connection; 0: unlimited
}

// NewDirection returns a direction without faults.
func NewDirection() *Direction { return &Direction{changed: make(chan struct{})} }

// Hold starts or stops holding all bytes, including those in flight. They are delivered after the release, as by a
// network that retransmits lost packets.
func (d *Direction) Hold(on bool) { d.change(func(f *faults) { f.held = on }) }

// Delay delays each byte; 0 ends the fault.
func (d *Direction) Delay(delay time.Duration) { d.change(func(f *faults) { f.delay = delay }) }

// Slow limits the rate of each connection, in bytes per second; 0 ends the fault.
func (d *Direction) Slow(rate int) { d.change(func(f *faults) { f.rate = rate }) }

// change changes the faults and notifies the waiting connections.
func (d *Direction) change(set func(*faults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	set(&d.faults)
	close(d.changed)
	d.changed = make(chan struct{})
}

// current returns the faults and a channel that is closed when they change.
func (d *Direction) current() (faults, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults, d.changed
}
