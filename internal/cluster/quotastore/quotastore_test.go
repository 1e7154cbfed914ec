package quotastore

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/faultinjection/proxy"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// testGroup is some stores in this process, with links between them that a test can cut.
type testGroup struct {
	t     testing.TB
	dir   string
	names []string
	at    map[string]string
	*proxy.Mesh
	config  *quota.Config
	members []string // of the group as the fleet file names them

	mu    sync.Mutex
	nodes map[string]*Store
	ends  map[string]func()
}

func newGroup(t testing.TB, n int) *testGroup {
	g := &testGroup{t: t, dir: t.TempDir(), at: map[string]string{}, nodes: map[string]*Store{}, ends: map[string]func(){}}
	g.config = &quota.Config{Version: 1, Limits: []quota.Limit{{Name: "out", Kind: quota.Concurrency, Total: 2}}}
	at := make([]string, 0, n)
	for i := range n {
		name := fmt.Sprint("h", i+1)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.27.%d:0", i+1)) // where no call begins, so that it stays free
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		g.names, g.at[name], at = append(g.names, name), l.Addr().String(), append(at, l.Addr().String())
	}
	var err error
	if g.Mesh, err = proxy.NewMesh(g.names, at); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	g.members = g.names
	return g
}

func (g *testGroup) start(name string) {
	var n *transport.Transport
	var err error
	for range 50 { // its address may take a moment to be free again
		if n, err = transport.Listen(name, g.at[name], g.Addresses(name), limits.ForControl()); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		g.t.Error(err)
		return
	}
	node, err := Open(Config{
		Host: name, Members: g.members, Dir: filepath.Join(g.dir, name), Transport: n, Bounds: limits.ForControl(),
		Clock: process.Now,
	})
	if err != nil {
		g.t.Error(err)
		return
	}
	node.SetConfig(g.config, g.members)
	ctx, cancel := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	node.RegisterHandlers(mux)
	server := &http.Server{Handler: mux}
	var all sync.WaitGroup
	all.Go(func() { _ = n.Run(ctx) })
	all.Go(func() { _ = server.Serve(n.Listener(transport.KindCall)) })
	all.Go(func() { _ = node.Run(ctx) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes[name] = node
	g.ends[name] = func() {
		cancel()
		server.Close()
		all.Wait()
	}
}

func (g *testGroup) stop(name string) {
	g.mu.Lock()
	end := g.ends[name]
	delete(g.ends, name)
	delete(g.nodes, name)
	g.mu.Unlock()
	if end != nil {
		end()
	}
}

func (g *testGroup) stopAll() {
	for _, n := range slices.Sorted(maps.Keys(g.at)) {
		g.stop(n)
	}
}

func (g *testGroup) node(name string) *Store {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nodes[name]
}

func (g *testGroup) view(within time.Duration, ok func(quota.Status) bool) (v quota.Status) {
	g.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, name := range g.names {
			if n := g.node(name); n != nil {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				seen, err := n.Status(ctx)
				cancel()
				if err == nil && ok(seen) {
					return seen
				}
			}
		}
	}
	g.t.Fatalf("not within %v", within)
	return v
}

func anyLeader(v quota.Status) bool { return v.Leader != "" && v.Version > 0 }

// call is a command of one client: an acquisition, or a release.
type call struct {
	release         bool
	name, acquireID string
}

// answer is what the client saw of it; unknown where no answer came.
type answer struct{ held, unknown bool }

// permitModel is a concurrency limit of two as clients see it: its state lists who holds a permit for which
// acquisition.
var permitModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(call), output.(answer)
		held := strings.Fields(state.(string))
		me := in.name + "/" + in.acquireID
		i := slices.Index(held, me)
		if in.release {
			if i >= 0 {
				held = slices.Delete(held, i, i+1)
			}
			return true, strings.Join(held, " ")
		}
		other := slices.ContainsFunc(held, func(h string) bool { return strings.HasPrefix(h, in.name+"/") && h != me })
		gets := i >= 0 || !other && len(held) < 2
		if gets && i < 0 {
			held = append(held, me)
			slices.Sort(held)
		}
		return out.unknown || out.held == gets, strings.Join(held, " ")
	},
}

// TestHistory has clients acquire and release permits through any store while links are cut, calls are doubled and
// stores restart, and has the history that they saw checked for linearizability by a program that knows nothing of
// the store.
func TestHistory(t *testing.T) {
	const nodes, clients, span = 5, 6, 12 * time.Second
	g := newGroup(t, nodes)
	for _, n := range g.names {
		g.start(n)
	}
	defer g.stopAll()
	g.view(20*time.Second, anyLeader)
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			draw := rand.New(rand.NewPCG(uint64(c), 5))
			name := fmt.Sprint("n", c)
			// until retries with the same acquisition ID until the outcome is known. Calls without an answer are one
			// operation with the call that brought it: they are the same to the store, and which of them took effect
			// is not seen.
			until := func(in call) bool {
				first := int64(-1)
				for time.Since(began) < span {
					n := g.node(g.names[draw.IntN(nodes)])
					if n == nil {
						continue
					}
					op := porcupine.Operation{ClientId: c, Input: in, Call: int64(time.Since(began))}
					ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
					permit := &quota.PermitCommand{Limit: "out", Name: quota.InstanceName(in.name), Host: "h", AcquireID: in.acquireID}
					cmd := quota.Command{Acquire: permit}
					if in.release {
						cmd = quota.Command{Release: permit}
					}
					res, err := n.Do(ctx, cmd)
					cancel()
					op.Output, op.Return = answer{held: res.Rejection == "" && !in.release}, int64(time.Since(began))
					done := err == nil && (in.release || res.Rejection == "")
					switch {
					case err != nil && first < 0:
						first = op.Call
					case done && first >= 0:
						op.Call = first
					}
					if done || err == nil && first < 0 {
						mu.Lock()
						history = append(history, op)
						mu.Unlock()
					}
					if done {
						return true
					}
					time.Sleep(time.Duration(draw.IntN(60)) * time.Millisecond)
				}
				if first >= 0 { // it may take effect at any later time, or never
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: c, Input: in, Call: first, Output: answer{unknown: true}, Return: int64(time.Hour)})
					mu.Unlock()
				}
				return false
			}
			for id := 0; until(call{name: name, acquireID: fmt.Sprint(id)}); id++ {
				time.Sleep(time.Duration(draw.IntN(20)) * time.Millisecond)
				if !until(call{true, name, fmt.Sprint(id)}) {
					return
				}
			}
		})
	}
	all.Go(func() {
		draw := rand.New(rand.NewPCG(7, 7))
		for i := 0; time.Since(began) < span-2*time.Second; i++ {
			a, b := g.names[draw.IntN(nodes)], g.names[draw.IntN(nodes)]
			pause := time.Duration(300+draw.IntN(900)) * time.Millisecond
			switch k := g.Link(a, b); {
			case k == nil || i%4 == 3: // a store restarts
				g.stop(a)
				time.Sleep(pause / 2)
				g.start(a)
			case i%4 == 0:
				g.Direction(a, b).Hold(true)
				time.Sleep(pause)
				g.Direction(a, b).Hold(false)
			case i%4 == 1:
				k.Duplicate(pause)
				time.Sleep(pause)
				k.Duplicate(0)
			case i%4 == 2: // what the leader sends is lost, what others send it arrives
				v := g.view(10*time.Second, anyLeader)
				g.Isolate(v.Leader, true, false, true)
				time.Sleep(2 * pause)
				g.Isolate(v.Leader, true, false, false)
			}
		}
	})
	all.Wait()
	held := 0
	for _, op := range history {
		if op.Output.(answer).held {
			held++
		}
	}
	result := porcupine.CheckOperationsTimeout(permitModel, history, time.Minute)
	t.Logf("%d calls, %d permits acquired: %v", len(history), held, result)
	if result != porcupine.Ok || held < 20 {
		t.Errorf("the history of %d calls with %d permits acquired is %v", len(history), held, result)
	}
}

// TestSetBack starts a member on an older copy of its directory: it may not help to undo what it has lost.
func TestSetBack(t *testing.T) {
	g := newGroup(t, 3)
	for _, n := range g.names {
		g.start(n)
	}
	defer g.stopAll()
	g.view(20*time.Second, anyLeader)
	acquire := func(n *Store, id string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		for {
			if res, err := n.Do(ctx, quota.Command{Acquire: &quota.PermitCommand{Limit: "out", Name: quota.InstanceName("n" + id), Host: "h", AcquireID: id}}); err == nil {
				if res.Rejection != "" {
					t.Fatal(res.Rejection)
				}
				return
			}
			if ctx.Err() != nil {
				t.Fatal(ctx.Err())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	g.stop("h3")
	copied := filepath.Join(g.dir, "copy")
	if err := os.CopyFS(copied, os.DirFS(filepath.Join(g.dir, "h3"))); err != nil {
		t.Fatal(err)
	}
	// h3 comes back and h2 is stopped: what is acquired now is agreed on by h1 and h3.
	g.start("h3")
	g.view(15*time.Second, func(v quota.Status) bool { return anyLeader(v) && g.node("h3").Stage() != "starting" })
	time.Sleep(2 * time.Second)
	g.stop("h2")
	g.view(15*time.Second, anyLeader)
	acquire(g.node("h1"), "1")
	g.stop("h3")
	if err := os.RemoveAll(filepath.Join(g.dir, "h3")); err == nil {
		err = os.CopyFS(filepath.Join(g.dir, "h3"), os.DirFS(copied))
		if err != nil {
			t.Fatal(err)
		}
	}
	g.stop("h1")
	// h2 never had the permit, h3 has lost it: together they are a majority, and must not go on alone.
	g.start("h2")
	g.start("h3")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range []string{"h2", "h3"} {
			l := g.node(n).leadership()
			if !l.leads() {
				continue
			}
			if v, err := g.node(n).statusAsLeader(l); err == nil && len(v.Limits) > 0 && v.Limits[0].InForce == 0 {
				t.Fatalf("%s leads a store that has lost a permit", n)
			}
		}
	}
	g.start("h1") // the member that has it comes back, and all go on by themselves
	if v := g.view(20*time.Second, anyLeader); v.Limits[0].InForce != 1 {
		t.Fatalf("the permit is lost: %+v", v)
	}
}

// TestGroupChanges: a group grows from three members to five while one is cut off, and changes to three others.
func TestGroupChanges(t *testing.T) {
	g := newGroup(t, 5)
	g.members = g.names[:3]
	for _, n := range g.names {
		g.start(n)
	}
	defer g.stopAll()
	first := g.view(20*time.Second, func(v quota.Status) bool { return anyLeader(v) && len(v.Members) == 3 })
	to := func(version uint64, members ...string) {
		config := *g.config
		config.Version = version
		g.config, g.members = &config, members
		for _, n := range g.names {
			node := g.node(n)
			node.SetConfig(g.config, members)
			if slices.Contains(members, n) && node.log == nil { // it was no member, and the agent of a new member has to be restarted
				g.stop(n)
				g.start(n)
			}
		}
	}
	other := g.names[slices.IndexFunc(g.names[:3], func(n string) bool { return n != first.Leader })]
	g.Isolate(other, true, true, true)
	to(2, g.names...)
	time.Sleep(3 * time.Second)
	g.Isolate(other, true, true, false)
	g.view(30*time.Second, func(v quota.Status) bool { return v.Version == 2 && len(v.Members) == 5 })
	to(3, "h3", "h4", "h5")
	v := g.view(30*time.Second, func(v quota.Status) bool { return v.Version == 3 && len(v.Members) == 3 })
	if slices.Sort(v.Members); !slices.Equal(v.Members, []string{"h3", "h4", "h5"}) {
		t.Fatalf("members %v", v.Members)
	}
}
