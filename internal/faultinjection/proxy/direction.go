// Package proxy is what lies between two processes in a trial: links whose bytes can be held in one direction or
// both, delayed, slowed, cut off in the middle of a message, and made to bring a call twice. It owns the connections
// it carries and knows nothing of what they say, but for where a call begins.
package proxy

import (
	"sync"
	"time"
)

// Direction is one direction between two hosts. All links between them share it. Its methods may be called by several
// goroutines.
type Direction struct {
	mu      sync.Mutex
	faults  faults
	changed chan struct{} // closed at each change of the faults
}

// faults are those of one direction.
type faults struct {
	held  bool
	delay time.Duration
	rate  int // bytes a second; 0: without bound
}

// NewDirection is one without faults.
func NewDirection() *Direction { return &Direction{changed: make(chan struct{})} }

// Hold stops all bytes until it is taken back; what is on its way then waits, as in a network that lost it and sends
// it again.
func (d *Direction) Hold(on bool) { d.change(func(f *faults) { f.held = on }) }

// Delay lets each byte arrive later by a span; 0 takes it back.
func (d *Direction) Delay(by time.Duration) { d.change(func(f *faults) { f.delay = by }) }

// Slow bounds bytes a second; 0 takes it back.
func (d *Direction) Slow(rate int) { d.change(func(f *faults) { f.rate = rate }) }

func (d *Direction) change(set func(*faults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	set(&d.faults)
	close(d.changed)
	d.changed = make(chan struct{})
}

// current are the faults now, and a channel that is closed once they change.
func (d *Direction) current() (faults, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults, d.changed
}
