package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// backendSite is one backend that the platform starts and stops by the deploy file's command.
type backendSite struct {
	*setup
	config  configuration
	path    string
	machine *machine
	edges   []*edge
	process *child
	life    int
	pauses  [][2]time.Time
}

var runCommand = fmt.Sprintf("ulimit -n %d; exec bin/milletbarrow", envInt("SOCKETS", 1024))

func newBackendSite(s *setup, operations []operation, stopMs, cores, edges int) (b *backendSite, err error) {
	b = &backendSite{setup: s, path: filepath.Join(s.Dir, "config.json")}
	registry, err := startRegistry()
	if err != nil {
		return nil, err
	}
	if b.machine, err = startMachine(cores); err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	b.config = configuration{
		Name: "n3", Listen: listen, Agent: b.machine.address(), Roster: registry, StopMs: stopMs, Sockets: envInt("SOCKETS", 0),
		Settings: settingsOf(operations, cores),
	}
	for i := range edges {
		b.edges = append(b.edges, &edge{Number: i + 1, Address: listen, Machine: b.machine})
	}
	return b, b.config.write(b.path)
}

// begin starts the backend and waits until it takes requests.
func (b *backendSite) begin() (err error) {
	b.machine.reset()
	b.life++
	links := b.machine.Links
	b.process, err = startChild(b.Root, runCommand, filepath.Join(b.Dir, "backend.log"),
		"GW_NAME="+b.config.Name, "GW_LISTEN="+b.config.Listen, "GW_CONFIG="+b.path)
	if err != nil {
		return err
	}
	for range 200 {
		time.Sleep(25 * time.Millisecond)
		b.machine.mu.Lock()
		up := b.machine.Links > links
		b.machine.mu.Unlock()
		if up {
			time.Sleep(200 * time.Millisecond)
			return nil
		}
		if b.process.gone() {
			return fmt.Errorf("the backend ended: %v", b.process.state)
		}
	}
	return fmt.Errorf("the backend opened no link")
}

// leave sends SIGTERM, and SIGKILL after stop_ms. It returns the time of the notice.
func (b *backendSite) leave() time.Time {
	notice := time.Now()
	b.process.signal(syscall.SIGTERM)
	select {
	case <-b.process.exited:
	case <-time.After(time.Duration(b.config.StopMs) * time.Millisecond):
	}
	b.process.end()
	return notice
}

// move gives the render farm agent a new address and sends SIGHUP. Links to the old one are closed after 1.5 s.
func (b *backendSite) move() error {
	b.machine.mu.Lock()
	old := b.machine.link
	b.machine.mu.Unlock()
	if err := b.machine.listen(); err != nil {
		return err
	}
	b.config.Agent = b.machine.address()
	if err := b.config.write(b.path); err != nil {
		return err
	}
	b.process.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, func() {
		if old != nil {
			_ = old.Close()
		}
	})
	return nil
}

func (b *backendSite) end() {
	if b.process != nil {
		b.process.end()
	}
	for _, e := range b.edges {
		e.closeAll()
	}
	b.machine.close()
}

// playStress plays many disruptions at random and checks all rules that can be seen from outside.
//
// Settings in the environment: SECONDS (40), RATE of requests a second of each edge node (60), WINDOW of repeats in ms
// (6000), EDGES (4), SOCKETS (1024), SILENT clients that connect and say nothing (0).
func playStress(s *setup) (broken bool, err error) {
	operations := []operation{
		{Name: "look", Aim: 1000, Timeout: 3000, Repeat: "idempotent"},
		{Name: "post", Aim: 1000, Timeout: 3000, Repeat: "deduplicated", Window: envInt("WINDOW", 6000)},
		{Name: "once", Aim: 1000, Timeout: 3000, Repeat: "at_most_once"},
	}
	b, err := newBackendSite(s, operations, 3200, 4, envInt("EDGES", 4))
	if err != nil {
		return false, err
	}
	s.cleanup = sync.OnceFunc(b.end)
	chance := func(p float64) func() bool {
		var mu sync.Mutex
		return func() bool { mu.Lock(); defer mu.Unlock(); return s.Random.Float64() < p }
	}
	var rnd sync.Mutex
	draw := func(n int) int { rnd.Lock(); defer rnd.Unlock(); return s.Random.IntN(n) }
	if s.Trouble {
		b.machine.duplicate, b.machine.remark, b.machine.pieces = chance(0.05), chance(0.1), chance(0.1)
	}
	notices := map[int]time.Time{}
	length := time.Duration(envInt("SECONDS", 40)) * time.Second
	if err := b.begin(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	rate := envInt("RATE", 60)
	for _, e := range b.edges {
		load.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(rate))
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				class := operations[draw(3)].Name
				r := &request{
					ID: newID(), Class: class, Body: fmt.Appendf(nil, "work=%d id=%d", 5+draw(60), draw(1e9)), Cost: 35,
					Wait: time.Duration(400+draw(2600)) * time.Millisecond, Life: b.life,
				}
				if class == "post" {
					r.Key = fmt.Sprintf("%016x", uint64(draw(1e9)))
				}
				load.Go(func() { follow(s, b, e, r, draw) })
			}
		})
	}
	for range envInt("SILENT", 0) {
		go func() {
			for {
				conn, err := net.DialTimeout("tcp", b.config.Listen, time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}
		}()
	}
	begun := time.Now()
	for time.Since(begun) < length {
		time.Sleep(time.Duration(200+draw(1500)) * time.Millisecond)
		if !s.Trouble {
			continue
		}
		switch draw(12) {
		case 0, 1:
			b.machine.breakLink()
		case 2:
			b.machine.mu.Lock()
			b.machine.breakNext = true
			b.machine.mu.Unlock()
		case 3:
			for range 1 + draw(3) {
				if err := b.move(); err != nil {
					return false, err
				}
				time.Sleep(time.Duration(draw(60)) * time.Millisecond)
				if draw(3) == 0 {
					b.machine.breakLink()
				}
			}
		case 4:
			b.edges[draw(len(b.edges))].reset(draw(100))
		case 5:
			if draw(2) == 0 {
				notices[b.life] = b.leave()
				if b.process.state.ExitCode() != 0 {
					s.Record.say("exit: %v", b.process.state)
				}
				if err := b.begin(); err != nil {
					return false, err
				}
			}
		case 6, 7:
			b.pause(time.Duration(50+draw(550)) * time.Millisecond)
		case 8:
			s.Record.say("hang")
			b.machine.mu.Lock()
			b.machine.hung = true
			b.machine.mu.Unlock()
			time.AfterFunc(5*time.Second, func() { b.machine.mu.Lock(); b.machine.hung = false; b.machine.mu.Unlock() })
		case 9, 10:
			go badClient(b.config.Listen, draw)
		default:
		}
		if b.process.gone() {
			s.Record.say("the backend crashed: %v", b.process.state)
			return true, nil
		}
	}
	close(stop)
	load.Wait()
	time.Sleep(500 * time.Millisecond)
	return b.judge(notices), nil
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// follow sends a request, gives some up, and sends tries again as a sound edge node does.
func follow(s *setup, b *backendSite, e *edge, r *request, draw func(int) int) {
	for try := 0; try < 4; try++ {
		if !e.send(r) {
			return
		}
		cancelAt := time.Duration(-1)
		if s.Trouble && draw(20) == 0 {
			cancelAt = time.Duration(draw(200)) * time.Millisecond
		}
		outcome := ""
		for outcome == "" {
			time.Sleep(4 * time.Millisecond)
			b.machine.mu.Lock()
			switch {
			case len(r.Answers) > 0:
				outcome = fmt.Sprint(r.Answers[0].Code)
			case r.Ended != "":
				outcome = "ended"
			case time.Now().After(r.due().Add(time.Second)):
				outcome = "late"
			}
			b.machine.mu.Unlock()
			if cancelAt >= 0 && time.Since(r.At) > cancelAt {
				e.giveUp(r)
				cancelAt = -1
			}
		}
		again := false
		switch r.Class {
		case "look", "post":
			again = outcome != "1" && (r.Class == "look" || time.Since(r.At) < 2*time.Second)
		case "once":
			again = outcome == "2"
		}
		if r.Class == "post" && outcome == "1" && draw(4) == 0 { // the answer was lost on the way to the client
			again = true
		}
		if !again {
			return
		}
		time.Sleep(time.Duration(draw(120)) * time.Millisecond)
		r = &request{
			ID: newID(), Class: r.Class, Body: r.Body, Cost: r.Cost, Key: r.Key, Retry: true, Life: b.life,
			Wait: time.Duration(400+draw(2600)) * time.Millisecond,
		}
	}
}

// pause stops the whole machine: the process, the cores and what is written to it.
func (b *backendSite) pause(span time.Duration) {
	for _, e := range b.edges {
		e.mu.Lock()
	}
	b.machine.mu.Lock()
	from := time.Now()
	b.process.signal(syscall.SIGSTOP)
	time.Sleep(span)
	b.process.signal(syscall.SIGCONT)
	b.machine.last = time.Now()
	b.pauses = append(b.pauses, [2]time.Time{from, time.Now()})
	b.machine.mu.Unlock()
	for _, e := range b.edges {
		e.mu.Unlock()
	}
}

// badClient sends requests of which some can't be read, and reads what is sent to it.
func badClient(address string, draw func(int) int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for range 1 + draw(50) {
		class := []string{"look", "post", "none"}[draw(3)]
		sent := frameOf(uint32(1+draw(5)), &request{
			ID: newID(), Class: class, Body: []byte("work=5"), At: time.Now(), Wait: time.Second, Key: "k",
		}, 99)
		switch draw(5) {
		case 0:
			for range 10 {
				sent[draw(len(sent))] = byte(draw(256))
			}
		case 1:
			sent = sent[:draw(len(sent))]
		case 2:
			sent[0] = 0xff
		}
		if _, err := conn.Write(sent); err != nil {
			return
		}
		time.Sleep(time.Duration(draw(5)) * time.Millisecond)
	}
	time.Sleep(time.Duration(draw(3000)) * time.Millisecond)
}

// inTime is answeredInTime without the pauses between the arrival and the answer.
func (b *backendSite) inTime(r *request) bool {
	if len(r.Answers) == 0 {
		return false
	}
	allowed := r.due().Add(slack)
	for _, p := range b.pauses {
		if p[1].After(r.At) && p[0].Before(r.Answers[0].At) {
			allowed = allowed.Add(p[1].Sub(p[0]) + 20*time.Millisecond)
		}
	}
	return !r.Answers[0].At.After(allowed)
}

// judge checks the rules and says what it found.
func (b *backendSite) judge(notices map[int]time.Time) (broken bool) {
	m := b.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	all := sorted(m)
	fault := func(kind string, r *request) {
		broken = true
		b.Record.say("FAULT %s: %s key %s life %d", kind, r.ID, r.Key, r.Life)
		b.Record.request("n3", r)
	}
	byKey := map[string][]*request{}
	results := map[string]bool{}
	for _, r := range all {
		for _, run := range r.Runs {
			results[run.Result] = true
		}
		if r.Key != "" {
			k := fmt.Sprint(r.Life, r.Key)
			byKey[k] = append(byKey[k], r)
		}
	}
	for _, r := range all {
		if r.Written.IsZero() {
			continue
		}
		if len(r.Answers) > 1 {
			fault("answered twice", r)
		}
		if len(r.Runs) > 1 {
			fault("run twice", r)
		}
		if len(r.Answers) == 0 && r.Ended == "" || len(r.Answers) > 0 && !b.inTime(r) {
			fault("no answer in time", r)
		}
		if len(r.Answers) == 0 && len(r.Ended) > 10 && r.Ended[:10] == "connection" {
			fault("lost with the connection", r)
		}
		if len(r.Answers) > 0 {
			a := r.Answers[0]
			if a.Code == 2 && len(r.Runs) > 0 {
				fault("refused after a run", r)
			}
			own := len(r.Runs) > 0 && a.Body == r.Runs[0].Result
			if a.Code == 1 && !own {
				found := false
				for _, o := range byKey[fmt.Sprint(r.Life, r.Key)] {
					found = found || len(o.Runs) > 0 && o.Runs[0].Result == a.Body
				}
				if !found {
					fault("served with a foreign result", r)
				}
			}
		}
		if n, drained := notices[r.Life]; drained && len(r.Runs) > 0 && r.At.After(n.Add(2050*time.Millisecond)) {
			fault("run after the grace", r)
		}
	}
	window := time.Duration(envInt("WINDOW", 6000)) * time.Millisecond
	for _, tries := range byKey {
		var ran *request
		for _, r := range tries {
			if len(r.Runs) > 0 {
				if ran != nil && r.At.Sub(ran.At) < window {
					fault("key run twice", ran)
					fault("key run twice", r)
				}
				ran = r
			}
			if len(r.Answers) > 0 && r.Answers[0].Code == 2 && ran != nil && ran != r && r.At.Sub(ran.At) < window &&
				ran.Runs[0].Began.Before(r.At) {
				fault("turned away though it has run", r)
			}
		}
	}
	b.Record.say("%s", counts(all))
	fmt.Println(counts(all))
	return broken
}
