package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"milletbarrow/inspect"
	"milletbarrow/limit"
	"milletbarrow/standin"
)

// watching is the configuration's entry for settings that are watched.
func watching(edit ...string) string {
	return `"watch":` + strings.NewReplacer(edit...).Replace(standin.Settings)
}

// TestWatch: callers and the farm see the same whatever is watched; differences are counted by kind, none where the
// settings are those in force; a file that cannot be used leaves what is watched, one without the entry ends it.
func TestWatch(t *testing.T) {
	tr := standin.NewTrace(t)
	var plain string
	for _, c := range []struct{ name, entry string }{
		{"nothing watched", `"more":{}`},
		{"the same settings", watching()},
		{"too little memory for anything", watching(`"mem_limit_kb":90000`, `"mem_limit_kb":20`)},
	} {
		b := prepare(t, `"more":{}`, c.entry)
		socket := filepath.Join(t.TempDir(), "s")
		b.args = []string{"serve", "--inspect", socket}
		b.start().ready()
		peer := inspect.NewPeer(socket, limit.ForControl())
		defer peer.Close()
		watched := func() map[string]int {
			s, err := peer.State(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return s.Watched
		}
		var seen strings.Builder
		n := standin.Dial(t, b.address)
		for i, class := range []string{"look", "post", "look"} {
			n.Send(standin.Invocation(uint32(i+1), i+1, "class="+class))
			l := standin.Take(t, "a launch", b.farm.Launches)
			b.farm.End(l.ID, "complete", "done")
			seen.WriteString(l.ID + " " + n.Expect().String() + "\n")
		}
		n.Send(standin.Invocation(4, 4))
		l := standin.Take(t, "a launch", b.farm.Launches)
		n.Send(standin.Raw(12, 4, "")) // its caller leaves while it runs
		b.farm.End(l.ID, "cancelled", "")
		if plain == "" {
			plain = seen.String()
		}
		tr.Say("%s: as without %t, otherwise %v", c.name, seen.String() == plain, watched())
		if c.entry == `"more":{}` {
			continue
		}
		reload := func(old, with, until string) {
			raw, err := os.ReadFile(b.config)
			if err == nil {
				err = os.WriteFile(b.config, []byte(strings.Replace(string(raw), old, with, 1)), 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
			b.cmd.Process.Signal(syscall.SIGHUP)
			standin.Until(t, until, b.said(until))
		}
		reload(`"watch":{"classes":[`, `"watch":{"worth_by":"day","classes":[`, "event=reload used=false")
		tr.Say("a bad file: otherwise %v", watched())
		reload(`"watch":{"worth_by":"day",`, `"more":{`, "event=watch on=false")
		tr.Say("without the entry: otherwise %v", watched())
	}
}

// TestWatchChecked: what could not be watched is refused before anything starts, and the field is named.
func TestWatchChecked(t *testing.T) {
	tr := standin.NewTrace(t)
	for _, edit := range [][2]string{
		{`"n_cores":2`, `"n_cores":2`},
		{`"repeat":"at_most_once"`, `"repeat":"deduplicated"`},
		{`"repeat":"at_most_once"`, `"repeat":"deduplicated","window_ms":5000`},
		{`"repeat":"at_most_once"`, `"repeat":"twice"`},
		{`"preemption":"off"`, `"preemption":"freeze"`},
		{`"preemption":"off"`, `"preemption":"sometimes"`},
		{`"below":"off"`, `"below":"one_for_all"`},
		{`"below":"off"`, `"class_calls":[true],"below":"off"`},
		{`"say":"off"`, `"say":"loud"`},
		{`"n_cores":2`, `"n_cores":4`},
		{`"name":"look"`, `"name":"glance"`},
		{`"name":"acme"`, `"name":"nadir"`},
		{`"late_value":0.1`, `"late_value":1.1`},
		{`"aim_ms":2000`, `"worth":-1,"aim_ms":2000`},
		{`"over_share_worth"`, `"clients":{"marks_retry":"no"},"over_share_worth"`},
	} {
		file := config(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", `"more":{}`, watching(edit[0], edit[1]))
		out, err := exec.Command(program, "check", "--config", file).CombinedOutput()
		tr.Say("%s: %v, %s", edit[1], err, strings.TrimSpace(string(out)))
	}
}

// TestMigration walks the steps of docs/migration.md and back, as an operator would.
func TestMigration(t *testing.T) {
	tr := standin.NewTrace(t)
	shape := []string{
		`"over_share_worth"`, `"clients":{"marks_retry":false},"worth_by":"request","over_share_worth"`,
		`"name":"look","aim_ms":2000`, `"name":"look","worth":1,"aim_ms":1000`, `"name":"post"`, `"name":"post","worth":10`,
	}
	old := standin.Settings
	other := strings.NewReplacer(shape...).Replace(old)
	b := prepare(t)
	base, err := os.ReadFile(b.config)
	if err != nil {
		t.Fatal(err)
	}
	file := func(settings, watch string) string {
		text := strings.Replace(string(base), old, settings, 1)
		if watch != "" {
			text = strings.Replace(text, `"more":{}`, `"watch":`+watch, 1)
		}
		return text
	}
	put := func(text string) {
		if err := os.WriteFile(b.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	check := func(what, text string) {
		name := filepath.Join(t.TempDir(), "copy.json")
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command(program, "check", "--config", name).CombinedOutput()
		tr.Say("%s: %v, %s", what, err, strings.TrimSpace(string(out)))
	}
	socket := filepath.Join(t.TempDir(), "s")
	b.args = []string{"serve", "--inspect", socket}
	number := 0
	serve := func(what string) {
		number++
		n := standin.Dial(t, b.address)
		defer n.Close()
		n.Send(standin.Invocation(1, number))
		l := standin.Take(t, "a launch", b.farm.Launches)
		b.farm.End(l.ID, "complete", "done")
		answer := n.Expect()
		peer := inspect.NewPeer(socket, limit.ForControl())
		defer peer.Close()
		s, err := peer.State(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		tr.Say("%s: code %d, otherwise %v", what, answer.Code, s.Watched)
	}
	hangup := func(until string) {
		b.cmd.Process.Signal(syscall.SIGHUP)
		standin.Until(t, until, b.said(until))
	}
	restart := func(text string) {
		put(text)
		b.exit(tr, b.term())
		b.mu.Lock()
		b.log.Reset()
		b.mu.Unlock()
		b.start().ready()
	}
	b.start().ready()
	serve("before")
	check("1. the other settings, watched", file(old, other))
	put(file(old, other))
	hangup("event=watch on=true")
	serve("2. watching")
	put(file(old, ""))
	hangup("event=watch on=false")
	serve("2. back")
	check("4. the other settings, with pausing", file(strings.Replace(other, `"preemption":"off"`, `"preemption":"freeze"`, 1), old))
	check("4. the other settings", file(other, old))
	restart(file(other, old))
	serve("5. switched, the old settings watched")
	restart(file(old, ""))
	serve("5. back")
	restart(file(other, old))
	put(file(other, ""))
	hangup("event=watch on=false")
	serve("7. done")
}
