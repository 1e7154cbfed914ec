package supervisor

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milletbarrow/internal/process"
)

// TestReadStateRejectsNewerAndCorruptedFiles checks that a newer version and a corrupted file are errors, that a
// missing file is ErrNoState, and that after a reboot the incarnation has ended and has no processes.
func TestReadStateRejectsNewerAndCorruptedFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.json")
	write := func(s State) {
		t.Helper()
		raw, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	thisBoot := State{
		Version: stateVersion, Name: "n1", Incarnation: "r1", Boot: process.Boot(),
		Instance: self(t), Supervisor: self(t),
	}

	if _, err := ReadState(path); !errors.Is(err, ErrNoState) {
		t.Errorf("no file: %v, want ErrNoState", err)
	}

	write(State{Version: stateVersion + 1, Name: "n1", Boot: process.Boot()})
	_, err := ReadState(path)
	newer, ok := errors.AsType[*VersionError](err)
	if !ok || newer.Version != stateVersion+1 || newer.Known != stateVersion ||
		err.Error() != "supervisor state file "+path+": format version 2, expected at most 1" {
		t.Errorf("newer version: %v", err)
	}

	write(thisBoot)
	if s, err := ReadState(path); err != nil || s != thisBoot {
		t.Errorf("this boot: %+v, %v", s, err)
	}

	otherBoot := thisBoot
	otherBoot.Boot = "another boot"
	write(otherBoot)
	s, err := ReadState(path)
	if err != nil || !s.Ended || !s.End.Unobserved || !s.Instance.Zero() || !s.Supervisor.Zero() {
		t.Errorf("another boot: %+v, %v", s, err)
	}

	if err := os.WriteFile(path, []byte(`{"version":1,`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = ReadState(path)
	corrupted, ok := errors.AsType[*StateFileError](err)
	if !ok || corrupted.Path != path || errors.Is(err, ErrNoState) ||
		err.Error() != "supervisor state file "+path+": unexpected end of JSON input" {
		t.Errorf("corrupted file: %v", err)
	}
}

// TestSocketPathLengthIsBounded checks that a directory is rejected if its socket paths are too long, and accepted if
// they are one byte shorter.
func TestSocketPathLengthIsBounded(t *testing.T) {
	dir := "/" + strings.Repeat("d", maxSocketPath-len("//keepers/n1.inspect"))
	if err := PathsOf(dir, "n1").Check(); err != nil {
		t.Errorf("longest path: %v", err)
	}
	tooLong, ok := errors.AsType[*SocketPathError](PathsOf(dir, "n10").Check())
	text := "socket path " + dir + "/keepers/n10.inspect has 108 bytes, at most 107 are allowed: " +
		"choose a shorter agent directory"
	if !ok || tooLong.Path != PathsOf(dir, "n10").Admin || tooLong.Error() != text {
		t.Errorf("a byte longer: %v, want %s", tooLong, text)
	}
}

// TestWaitAndExecWithoutCommandFails checks that a launcher without a command fails and does not wait to be
// released.
func TestWaitAndExecWithoutCommandFails(t *testing.T) {
	if err := WaitAndExec(nil); !errors.Is(err, ErrNoCommand) || err.Error() != "no command to execute" {
		t.Errorf("%v, want ErrNoCommand", err)
	}
}
