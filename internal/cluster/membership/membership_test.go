package membership

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/faultinjection/proxy"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// hosts are the lists of some agents in this process, with links between them that a test can cut.
type hosts struct {
	*proxy.Mesh
	t         *testing.T
	addresses []string
	lists     map[string]*List
	ends      map[string]func()

	mu      sync.Mutex
	changes map[string]map[State]int // by host: how often another judged it to have come to a state
}

func newHosts(t *testing.T, n int) *hosts {
	h := &hosts{t: t, lists: map[string]*List{}, ends: map[string]func(){}, changes: map[string]map[State]int{}}
	names := make([]string, 0, n)
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.28.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		names, h.addresses = append(names, fmt.Sprint("h", i+1)), append(h.addresses, l.Addr().String())
		h.changes[names[i]] = map[State]int{}
	}
	var err error
	if h.Mesh, err = proxy.NewMesh(names, h.addresses); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func (h *hosts) start(i int, incarnation uint64) {
	h.t.Helper()
	name := h.Names[i]
	n, err := transport.Listen(name, h.addresses[i], h.Addresses(name), limits.ForControl())
	if err != nil {
		h.t.Fatal(err)
	}
	l := New(Config{
		Host: name, Incarnation: incarnation, Hosts: h.Names, Transport: n, Bounds: limits.ForControl(), Clock: process.Now,
		OnChange: func(s Member) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.changes[s.Host][s.State]++
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { _ = n.Run(ctx) })
	all.Go(func() {
		if err := l.Run(ctx); err != nil {
			h.t.Errorf("%s: %v", name, err)
		}
	})
	h.lists[name] = l
	h.ends[name] = func() {
		cancel()
		all.Wait()
	}
}

func (h *hosts) stopAll() {
	for _, end := range h.ends {
		end()
	}
}

// judged waits until every list but a host's own judges it to be in a state, and returns how long that took.
func (h *hosts) judged(name string, state State, within time.Duration) time.Duration {
	h.t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		n := 0
		for by, l := range h.lists {
			for _, s := range l.Members() {
				if by != name && s.Host == name && s.State == state {
					n++
				}
			}
		}
		if n == len(h.lists)-1 {
			return time.Since(began)
		}
		if time.Since(began) > within {
			h.t.Fatalf("%d of %d judge %s %s within %v", n, len(h.lists)-1, name, state, within)
		}
	}
}

// TestCuts: one bad link, in one direction or both, makes no agent dead; one that is cut off from all is, until it is back.
func TestCuts(t *testing.T) {
	h := newHosts(t, 5)
	for i := range h.Names {
		h.start(i, uint64(i+1))
	}
	defer h.stopAll()
	for _, name := range h.Names {
		h.judged(name, Alive, 20*time.Second)
	}
	deaths := func() (n int) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, states := range h.changes {
			n += states[Dead]
		}
		return n
	}
	h.Direction("h1", "h2").Hold(true)
	time.Sleep(4 * time.Second)
	if n := deaths(); n > 0 {
		t.Errorf("one direction between h1 and h2 was cut, and %d times an agent was judged dead", n)
	}
	h.Direction("h2", "h1").Hold(true)
	time.Sleep(4 * time.Second)
	if n := deaths(); n > 0 {
		t.Errorf("the link between h1 and h2 was cut, and %d times an agent was judged dead", n)
	}
	h.Direction("h1", "h2").Hold(false)
	h.Direction("h2", "h1").Hold(false)
	h.Isolate("h3", true, true, true)
	t.Logf("cut off from all: dead after %v", h.judged("h3", Dead, 30*time.Second).Round(10*time.Millisecond))
	h.Isolate("h3", true, true, false)
	t.Logf("connected again: alive after %v", h.judged("h3", Alive, 30*time.Second).Round(10*time.Millisecond))
	h.Isolate("h4", true, false, true)
	t.Logf("what it sends is lost: dead after %v", h.judged("h4", Dead, 30*time.Second).Round(10*time.Millisecond))
	h.Isolate("h4", true, false, false)
	h.judged("h4", Alive, 30*time.Second)

	// A host that restarts is another incarnation.
	h.ends["h5"]()
	delete(h.ends, "h5")
	delete(h.lists, "h5")
	time.Sleep(300 * time.Millisecond)
	h.start(4, 55)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		n := 0
		for by, l := range h.lists {
			for _, s := range l.Members() {
				if by != "h5" && s.Host == "h5" && s.Incarnation == 55 && s.State == Alive {
					n++
				}
			}
		}
		if n == 4 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of 4 know the new incarnation", n)
		}
	}
}

// TestRunEndsCompletely: when lists have ended, no goroutine of the library or of the traffic goes on.
func TestRunEndsCompletely(t *testing.T) {
	h := newHosts(t, 2)
	for i := range h.Names {
		h.start(i, uint64(i+1))
	}
	h.judged("h1", Alive, 20*time.Second)
	h.judged("h2", Alive, 20*time.Second)
	h.stopAll()
	var stacks string
	for began := time.Now(); time.Since(began) < patience; time.Sleep(10 * time.Millisecond) {
		all := make([]byte, 1<<20)
		stacks = string(all[:runtime.Stack(all, true)])
		if !strings.Contains(stacks, "memberlist.(*Memberlist)") && !strings.Contains(stacks, "membership.(*") {
			return
		}
	}
	t.Errorf("goroutines go on:\n%s", stacks)
}
