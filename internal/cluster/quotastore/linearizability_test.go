package quotastore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"milletbarrow/internal/cluster/quota"
)

// permitInput is the input of an operation: it acquires or releases a permit.
type permitInput struct {
	release         bool
	name, acquireID string
}

func (c permitInput) command() quota.Command {
	permit := &quota.PermitCommand{Limit: "out", Name: quota.InstanceName(c.name), Host: "h", AcquireID: c.acquireID}
	if c.release {
		return quota.Command{Release: permit}
	}
	return quota.Command{Acquire: permit}
}

// permitOutput is the output of an operation as observed by its client.
type permitOutput struct {
	held    bool
	unknown bool // no response was received
}

// mustCast converts a value of the model to the type that it must have.
func mustCast[T any](value any) T {
	typed, ok := value.(T)
	if !ok {
		panic(fmt.Sprintf("value of type %T in the model, expected %T", value, typed))
	}
	return typed
}

// permitModel is the sequential specification of a limit of two permits. Its state lists NAME/ID for each held permit.
var permitModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		call, result := mustCast[permitInput](input), mustCast[permitOutput](output)
		held := strings.Fields(mustCast[string](state))
		own := call.name + "/" + call.acquireID
		i := slices.Index(held, own)
		if call.release {
			if i >= 0 {
				held = slices.Delete(held, i, i+1)
			}
			return true, strings.Join(held, " ")
		}
		holdsOther := slices.ContainsFunc(held, func(permit string) bool {
			return strings.HasPrefix(permit, call.name+"/") && permit != own
		})
		granted := i >= 0 || !holdsOther && len(held) < 2
		if granted && i < 0 {
			held = append(held, own)
			slices.Sort(held)
		}
		return result.unknown || result.held == granted, strings.Join(held, " ")
	},
}

// history records the operations of all clients.
type history struct {
	began time.Time

	mu         sync.Mutex // guards operations
	operations []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.began)) }

func (h *history) add(operation porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, operation)
}

// permitClient repeatedly acquires and releases a permit, through random stores of a group.
type permitClient struct {
	id       int
	group    *testGroup
	history  *history
	duration time.Duration // how long it runs
	random   *rand.Rand
}

func (c *permitClient) run() {
	name := fmt.Sprint("n", c.id)
	for n := 0; ; n++ {
		acquireID := fmt.Sprint(n)
		if !c.retry(permitInput{name: name, acquireID: acquireID}) {
			return
		}
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
		if !c.retry(permitInput{release: true, name: name, acquireID: acquireID}) {
			return
		}
	}
}

// retry repeats a call with the same acquisition ID until it succeeds, and reports whether it did. Calls without a
// response are recorded as one operation with the later call that succeeded: the store can't distinguish them, and it
// is not observable which of them took effect.
func (c *permitClient) retry(call permitInput) bool {
	unanswered := int64(-1) // start of the first call without a response; -1: none
	for time.Since(c.history.began) < c.duration {
		node := c.group.node(c.group.names[c.random.IntN(len(c.group.names))])
		if node == nil {
			continue
		}
		operation := porcupine.Operation{ClientId: c.id, Input: call, Call: c.history.now()}
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		result, err := node.Do(ctx, call.command())
		cancel()
		operation.Output = permitOutput{held: result.Rejection == "" && !call.release}
		operation.Return = c.history.now()
		succeeded := err == nil && (call.release || result.Rejection == "")
		switch {
		case err != nil && unanswered < 0:
			unanswered = operation.Call
		case succeeded && unanswered >= 0:
			operation.Call = unanswered
		}
		if succeeded || err == nil && unanswered < 0 {
			c.history.add(operation)
		}
		if succeeded {
			return true
		}
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
	if unanswered >= 0 { // the call may take effect at any later time, or never
		c.history.add(porcupine.Operation{
			ClientId: c.id,
			Input:    call,
			Call:     unanswered,
			Output:   permitOutput{unknown: true},
			Return:   int64(time.Hour),
		})
	}
	return false
}

// injectFaults restarts stores, interrupts links and duplicates calls until a given time.
func (g *testGroup) injectFaults(until time.Time) {
	random := rand.New(rand.NewPCG(7, 7))
	randomName := func() string { return g.names[random.IntN(len(g.names))] }
	for i := 0; time.Now().Before(until); i++ {
		from, to := randomName(), randomName()
		duration := time.Duration(300+random.IntN(900)) * time.Millisecond
		switch link := g.Link(from, to); {
		case link == nil || i%4 == 3:
			g.stop(from)
			time.Sleep(duration / 2)
			g.start(from)
		case i%4 == 0:
			g.Direction(from, to).Hold(true)
			time.Sleep(duration)
			g.Direction(from, to).Hold(false)
		case i%4 == 1:
			link.Duplicate(duration)
			time.Sleep(duration)
			link.Duplicate(0)
		case i%4 == 2: // the leader can receive but not send
			leader := g.waitForStatus(10*time.Second, "a leader", hasLeader).Leader
			g.Isolate(leader, true, false, true)
			time.Sleep(2 * duration)
			g.Isolate(leader, true, false, false)
		}
	}
}

// TestHistoryIsLinearizable checks the history of clients that acquire and release permits through any store while
// links are interrupted, calls are duplicated and stores restart. The checker uses permitModel only, which is
// independent of the store.
func TestHistoryIsLinearizable(t *testing.T) {
	const clients, span = 6, 12 * time.Second
	g := newGroup(t, 5)
	g.startAll()
	recorded := &history{began: time.Now()}
	var tasks sync.WaitGroup
	for id := range clients {
		client := &permitClient{
			id:       id,
			group:    g,
			history:  recorded,
			duration: span,
			random:   rand.New(rand.NewPCG(uint64(id), 5)),
		}
		tasks.Go(client.run)
	}
	tasks.Go(func() { g.injectFaults(recorded.began.Add(span - 2*time.Second)) })
	tasks.Wait()
	held := 0
	for _, operation := range recorded.operations {
		if mustCast[permitOutput](operation.Output).held {
			held++
		}
	}
	result := porcupine.CheckOperationsTimeout(permitModel, recorded.operations, time.Minute)
	t.Logf("%d calls, %d permits acquired: %v", len(recorded.operations), held, result)
	if result != porcupine.Ok {
		t.Errorf("linearizability check of %d calls: %v, want Ok", len(recorded.operations), result)
	}
	if held < 20 {
		t.Errorf("%d permits were acquired, want at least 20", held)
	}
}
