package supervisor

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// newTestSupervisor returns one for incarnation "r2" of "n1", whose state file holds previous, unless that is nil.
func newTestSupervisor(t *testing.T, previous *State, adopt bool) *supervisor {
	t.Helper()
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "keepers"), 0o700); err != nil {
		t.Fatal(err)
	}
	s := newSupervisor(Options{Dir: dir, Name: "n1", Incarnation: "r2", Adopt: adopt, Window: usual, Bounds: limits.ForControl()})
	if previous != nil {
		if err := previous.write(s.paths.State); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func self(t *testing.T) process.Identity {
	t.Helper()
	id, err := process.Of(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// TestClaim: no incarnation is started over one that goes on, none is adopted that is not there, and one that has
// ended is not started again.
func TestClaim(t *testing.T) {
	alive := self(t)
	gone := process.Identity{PID: alive.PID, Start: alive.Start + 1}
	for _, c := range []struct {
		what     string
		previous *State
		adopt    bool
		conflict bool
		ended    bool
		instance process.Identity
	}{
		{what: "nothing before"},
		{what: "nothing to adopt", adopt: true, conflict: true},
		{what: "another incarnation to adopt", previous: &State{Name: "n1", Incarnation: "r1", Instance: alive}, adopt: true, conflict: true},
		{what: "another incarnation goes on", previous: &State{Name: "n1", Incarnation: "r1", Instance: alive}, conflict: true},
		{what: "another incarnation is gone", previous: &State{Name: "n1", Incarnation: "r1", Instance: gone}},
		{what: "another incarnation has ended", previous: &State{Name: "n1", Incarnation: "r1", Instance: alive, Ended: true}},
		{what: "it goes on without a supervisor", previous: &State{Name: "n1", Incarnation: "r2", Instance: alive}, conflict: true},
		{what: "it goes on and is adopted", previous: &State{Name: "n1", Incarnation: "r2", Instance: alive}, adopt: true, instance: alive},
		{what: "it has ended", previous: &State{Name: "n1", Incarnation: "r2", Instance: alive, Ended: true}, ended: true, instance: alive},
		{what: "it was never started", previous: &State{Name: "n1", Incarnation: "r2"}},
	} {
		t.Run(c.what, func(t *testing.T) {
			s := newTestSupervisor(t, c.previous, c.adopt)
			err := s.claim()
			conflict, found := errors.AsType[*StateConflictError](err)
			if found != c.conflict || err != nil && !c.conflict {
				t.Fatalf("claim: %v", err)
			}
			if c.conflict {
				if conflict.Name != "n1" || conflict.Incarnation != "r2" {
					t.Errorf("conflict of %+v", conflict)
				}
				return
			}
			if s.record.Incarnation != "r2" || s.record.Ended != c.ended || s.record.Instance != c.instance {
				t.Errorf("record %+v", s.record)
			}
			written, err := ReadState(s.paths.State)
			if err != nil || !c.ended && written.Supervisor != self(t) {
				t.Errorf("written: %+v, %v", written, err)
			}
		})
	}
}

// TestClaimKeepsTheNotice: a supervisor that takes over counts from the notice that the one before took.
func TestClaimKeepsTheNotice(t *testing.T) {
	s := newTestSupervisor(t, &State{Name: "n1", Incarnation: "r2", Instance: self(t), NoticeID: "s1", NotifiedAt: 5 * second}, true)
	if err := s.claim(); err != nil {
		t.Fatal(err)
	}
	if s.monitor.NoticeID != "s1" || s.monitor.NotifiedAt != 5*second {
		t.Errorf("notified by %q at %d", s.monitor.NoticeID, s.monitor.NotifiedAt)
	}
	if s.monitor.RecordNotice(6*second, "s2") {
		t.Error("a second notice counts as news")
	}
}

// TestReadState: a newer version and a damaged file are errors, no file is ErrNoState, and a file from before a reboot
// counts as ended, its processes unknown.
func TestReadState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.json")
	if _, err := ReadState(path); !errors.Is(err, ErrNoState) {
		t.Errorf("no file: %v", err)
	}
	put := func(s State) {
		t.Helper()
		raw, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put(State{Version: stateVersion + 1, Name: "n1", Boot: process.Boot()})
	_, err := ReadState(path)
	newer, ok := errors.AsType[*VersionError](err)
	if !ok || newer.Version != stateVersion+1 || newer.Known != stateVersion || err.Error() != path+": version 2, and this build knows 1" {
		t.Errorf("newer version: %v", err)
	}
	here := State{Version: stateVersion, Name: "n1", Incarnation: "r1", Boot: process.Boot(), Instance: self(t), Supervisor: self(t)}
	put(here)
	if s, err := ReadState(path); err != nil || s != here {
		t.Errorf("this boot: %+v, %v", s, err)
	}
	other := here
	other.Boot = "another boot"
	put(other)
	s, err := ReadState(path)
	if err != nil || !s.Ended || !s.End.Unobserved || !s.Instance.Zero() || !s.Supervisor.Zero() {
		t.Errorf("another boot: %+v, %v", s, err)
	}
	if err := os.WriteFile(path, []byte(`{"version":1,`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = ReadState(path)
	damaged, ok := errors.AsType[*StateFileError](err)
	if !ok || damaged.Path != path || errors.Is(err, ErrNoState) || err.Error() != path+": unexpected end of JSON input" {
		t.Errorf("damaged: %v", err)
	}
}

// TestLongDirectory: a directory under which sockets can't be opened is refused with the path, and one byte less is not.
func TestLongDirectory(t *testing.T) {
	dir := "/" + strings.Repeat("d", maxSocketPath-len("//keepers/n1.inspect"))
	if err := PathsOf(dir, "n1").Check(); err != nil {
		t.Errorf("%v", err)
	}
	long, ok := errors.AsType[*SocketPathError](PathsOf(dir, "n10").Check())
	text := dir + "/keepers/n10.inspect: 108 bytes, and a socket's path can have 107: take a shorter directory"
	if !ok || long.Path != PathsOf(dir, "n10").Admin || long.Error() != text {
		t.Errorf("%v", long)
	}
}

// TestNothingToBegin: a launcher without a command does not wait for its byte.
func TestNothingToBegin(t *testing.T) {
	if err := WaitAndExec(nil); !errors.Is(err, ErrNoCommand) || err.Error() != "nothing to begin" {
		t.Errorf("%v", err)
	}
}

// TestLock: one supervisor at a time is in charge, and the next one once that has let go.
func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.lock")
	first, err := lock(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := lock(path); !errors.Is(err, ErrLocked) {
		t.Errorf("second lock: %v, want ErrLocked", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := lock(path)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}

// TestSteps: a step is taken for this incarnation alone; the notice is written down, the first one counts, and what is
// neither a notice nor a kill changes nothing.
func TestSteps(t *testing.T) {
	s := newTestSupervisor(t, nil, false)
	if err := s.claim(); err != nil {
		t.Fatal(err)
	}
	send := func(body string) int {
		w := httptest.NewRecorder()
		s.handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/order", strings.NewReader(body)))
		return w.Code
	}
	for _, c := range []struct {
		body string
		want int
		step string // noted after it
	}{
		{`{"step":"s0","run":"r1","what":"` + string(fleet.ActionNotify) + `"}`, http.StatusConflict, ""},
		{`{"step":"s0","run":"r1","what":"` + string(fleet.ActionKill) + `"}`, http.StatusConflict, ""},
		{`{"step":"s0","run":"r2","what":"dance"}`, http.StatusBadRequest, ""},
		{`{"step":`, http.StatusBadRequest, ""},
		{`{"step":"s1","run":"r2","what":"` + string(fleet.ActionNotify) + `"}`, http.StatusAccepted, "s1"},
		{`{"step":"s2","run":"r2","what":"` + string(fleet.ActionNotify) + `"}`, http.StatusAccepted, "s1"},
	} {
		if got := send(c.body); got != c.want {
			t.Errorf("%s: status %d, want %d", c.body, got, c.want)
		}
		written, err := ReadState(s.paths.State)
		if err != nil || written.NoticeID != c.step || s.monitor.KillCause != "" {
			t.Errorf("%s: written %+v, killed %q, %v", c.body, written, s.monitor.KillCause, err)
		}
	}
}

// TestReportWaitsForNews: a request for a report newer than the latest waits for a change, and gets that.
func TestReportWaitsForNews(t *testing.T) {
	s := newTestSupervisor(t, nil, false)
	if err := s.claim(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s.handler())
	defer server.Close()
	get := func(ctx context.Context, after string) (Report, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/v1/report?after="+after, nil)
		if err != nil {
			return Report{}, err
		}
		response, err := server.Client().Do(request)
		if err != nil {
			return Report{}, err
		}
		defer response.Body.Close()
		var r Report
		return r, json.NewDecoder(response.Body).Decode(&r)
	}
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if r, err := get(short, "0"); err == nil {
		t.Fatalf("a report without news: %+v", r)
	}
	if r, err := get(context.Background(), "-1"); err != nil || r.Serial != 0 || r.Record.Incarnation != "r2" {
		t.Fatalf("the latest report: %+v, %v", r, err)
	}
	time.AfterFunc(20*time.Millisecond, func() { s.recordExit(fleet.Exit{Code: 7}) })
	r, err := get(context.Background(), "0")
	if err != nil || r.Serial != 1 || r.Observation.Phase != fleet.PhaseExited || r.Observation.Exit.Code != 7 {
		t.Errorf("after the exit: %+v, %v", r, err)
	}
	fakes.Until(t, "the exit counts as fetched", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.exitFetched
	})
}

// TestExitOfAKilledOne: what was killed has no exit code of its own, and the file says why.
func TestExitOfAKilledOne(t *testing.T) {
	s := newTestSupervisor(t, nil, false)
	if err := s.claim(); err != nil {
		t.Fatal(err)
	}
	s.kill("asked for")
	s.recordExit(fleet.Exit{Unobserved: true})
	written, err := ReadState(s.paths.State)
	if err != nil || !written.Ended || written.End.KillReason != "asked for" || written.End.Code != -1 || written.End.Unobserved {
		t.Errorf("written %+v, %v", written, err)
	}
}

// TestRotateLog: a log file that is too long is copied aside and begun anew, one that is not stays.
func TestRotateLog(t *testing.T) {
	s := newTestSupervisor(t, nil, false)
	s.options.Bounds.LogFileSize = 10
	for _, c := range []struct{ text, aside string }{{"short", ""}, {"0123456789", "0123456789"}} {
		if err := os.WriteFile(s.paths.Log, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.rotateLog()
		left, _ := os.ReadFile(s.paths.Log)
		aside, _ := os.ReadFile(s.paths.Log + ".1")
		if string(left)+string(aside) != c.text || string(aside) != c.aside {
			t.Errorf("%q: left %q, aside %q", c.text, left, aside)
		}
	}
}
