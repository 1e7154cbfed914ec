package agentstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"

	"milletbarrow/internal/fleet"
)

// testHistoryLimit is the history limit of the stores in tests.
const testHistoryLimit = 50

// openStore opens the store in dir and closes it at the end of the test.
func openStore(t *testing.T, dir string) Store {
	t.Helper()
	s, err := Open(dir, testHistoryLimit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// save saves a change and returns the state after it.
func save(t *testing.T, s Store, c Change) State {
	t.Helper()
	if err := s.Save(c); err != nil {
		t.Fatal(err)
	}
	return load(t, s)
}

func load(t *testing.T, s Store) State {
	t.Helper()
	state, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// fillStore saves a number of changes to the store in dir, closes it, and returns the state saved.
func fillStore(t *testing.T, dir string, changes int) State {
	t.Helper()
	s, err := Open(dir, testHistoryLimit)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for n := range changes {
		if err := s.Save(numberedChange(n)); err != nil {
			t.Fatal(err)
		}
	}
	return load(t, s)
}

// numberedChange returns the n-th change of fillStore. Each change writes one of 20 instances and one of 30 commands
// and appends a history entry; every second one completes an intent and every seventh one deletes a command.
func numberedChange(n int) Change {
	event := fleet.HistoryEvent{Event: "taken", Cause: strings.Repeat("x", 100)}
	c := Change{
		Snapshot: fleet.Snapshot{
			Instances: []fleet.Instance{{
				Name:        fmt.Sprint("n", n%20),
				DesiredUp:   true,
				Incarnation: fmt.Sprint("r", n),
			}},
			Commands: []*fleet.Command{{
				ID:      fmt.Sprint("c", n%30),
				Results: map[string]fleet.Result{"a": {Outcome: fleet.OutcomeSucceeded}},
			}},
		},
		Intent:  &fleet.Command{ID: "i"},
		BootID:  "b1",
		History: []Entry{{Serial: uint64(n + 1), HistoryEvent: event}},
	}
	if n%2 == 0 {
		c.CompletedIntents = []string{"i"}
	}
	if n%7 == 0 {
		c.DeletedCommands = []string{"c3"}
	}
	return c
}

// diffStates returns a diff of two states, empty if they are equal.
func diffStates(t *testing.T, want, got State) string {
	t.Helper()
	lines := func(s State) []string {
		raw, err := json.MarshalIndent(s, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		return strings.Split(string(raw), "\n")
	}
	return cmp.Diff(lines(want), lines(got))
}

// editFile modifies the file of a closed store in a bbolt transaction.
func editFile(t *testing.T, dir string, change func(*bbolt.Tx) error) {
	t.Helper()
	db, err := bbolt.Open(Path(dir), fileMode, nil)
	if err == nil {
		err = errors.Join(db.Update(change), db.Close())
	}
	if err != nil {
		t.Fatal(err)
	}
}

// truncateFile truncates the file of the store in dir.
func truncateFile(t *testing.T, dir string, size int) {
	t.Helper()
	if err := os.Truncate(Path(dir), int64(size)); err != nil {
		t.Fatal(err)
	}
}

// callWithTimeout returns the error of a call, and fails the test if the call does not return in time.
func callWithTimeout(t *testing.T, name string, call func() error) error {
	t.Helper()
	result := make(chan error, 1)
	go func() { result <- call() }()
	select {
	case err := <-result:
		return err
	case <-time.After(4 * closeTimeout):
		t.Fatalf("%s did not return in time", name)
		return nil
	}
}
