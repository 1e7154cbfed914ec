package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// TestShadowConfigurationLeavesAnswersUnchanged follows the steps of docs/migration.md and back. A shadow configuration
// does not change what callers and the executor see, differing decisions are counted, and an invalid configuration
// changes nothing.
func TestShadowConfigurationLeavesAnswersUnchanged(t *testing.T) {
	tr := fakes.NewTrace(t)
	old := fakes.Settings
	other := strings.NewReplacer(`"over_share_worth"`, `"clients":{"marks_retry":false},"worth_by":"request","over_share_worth"`,
		`"name":"look"`, `"name":"look","worth":1`, `"name":"post"`, `"name":"post","worth":10`).Replace(old)
	tiny := strings.Replace(other, `"mem_limit_kb":90000`, `"mem_limit_kb":20`, 1) // less than one invocation
	b := prepare(t)
	raw, err := os.ReadFile(b.config)
	if err != nil {
		t.Fatal(err)
	}
	writeConfig := func(settings, shadow string) {
		text := strings.Replace(string(raw), old, settings, 1)
		if shadow != "" {
			text = strings.Replace(text, `"more":{}`, `"watch":`+shadow, 1)
		}
		if err := os.WriteFile(b.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hangup := func(until string) {
		b.mu.Lock()
		b.log.Reset()
		b.mu.Unlock()
		b.cmd.Process.Signal(syscall.SIGHUP)
		fakes.Until(t, until, b.logged(until))
	}
	socket, number := filepath.Join(t.TempDir(), "s"), 0
	b.args = []string{"serve", "--inspect", socket}
	sendRequests := func(step string) {
		n, answers := fakes.Dial(t, b.address), ""
		defer n.Close()
		for i, class := range []string{"look", "post", "look"} {
			number++
			n.Send(fakes.Invocation(uint32(i+1), number, "class="+class))
			l := fakes.Take(t, "a launch", b.executor.Launches)
			if i == 2 {
				n.Send(fakes.EncodeFrame(12, 3, "")) // its caller cancels it while it runs
				b.executor.End(l.ID, "cancelled", "")
				break
			}
			b.executor.End(l.ID, "complete", "done")
			answers += " " + n.Expect().String()
		}
		client := admin.NewClient(socket, limits.ForControl())
		defer client.Close()
		s, err := client.State(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		tr.Say("%s:%s, otherwise %v", step, answers, s.ShadowCounts)
	}
	b.start().ready()
	sendRequests("before")
	for _, w := range [][2]string{{"the same", old}, {"the other settings", other}, {"too little memory", tiny}} {
		writeConfig(old, w[1])
		hangup("event=shadow on=true")
		sendRequests("2. watching " + w[0])
	}
	writeConfig(old, strings.Replace(other, `"request"`, `"day"`, 1))
	hangup("event=reload used=false")
	sendRequests("2. a bad file, what was watched goes on")
	writeConfig(old, "")
	hangup("event=shadow on=false")
	sendRequests("2. back")
	for _, to := range [][2]string{{"5. switched, the old settings watched", other}, {"5. back", old}} {
		writeConfig(to[1], map[string]string{other: old}[to[1]])
		b.exit(tr, b.term())
		tr.Say("counts logged: %t", b.logged("event=shadow_differences counts=")())
		b.start().ready()
		sendRequests(to[0])
	}
}

// TestCheckRejectsInvalidShadowSettings: check rejects invalid or contradictory settings by field, both as the shadow
// configuration and as the settings; some are valid only as a shadow configuration.
func TestCheckRejectsInvalidShadowSettings(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, edit := range []string{
		`"n_cores":2=>"n_cores":2`, `"repeat":"at_most_once"=>"repeat":"deduplicated"`,
		`"repeat":"at_most_once"=>"repeat":"deduplicated","window_ms":5000`, `"repeat":"at_most_once"=>"repeat":"twice"`,
		`"preemption":"off"=>"preemption":"freeze"`, `"preemption":"off"=>"preemption":"sometimes"`,
		`"below":"off"=>"below":"one_for_all"`, `"below":"off"=>"class_calls":[true],"below":"off"`,
		`"say":"off"=>"say":"loud"`, `"n_cores":2=>"n_cores":4`, `"name":"look"=>"name":"glance"`,
		`"name":"acme"=>"name":"nadir"`, `"late_value":0.1=>"late_value":1.1`, `"aim_ms":2000=>"worth":-1,"aim_ms":2000`,
		`"over_share_worth"=>"clients":{"marks_retry":"no"},"over_share_worth"`,
	} {
		from, to, _ := strings.Cut(edit, "=>")
		edited := strings.Replace(fakes.Settings, from, to, 1)
		for _, file := range []string{
			configFile(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", `"more":{}`, `"watch":`+edited),
			configFile(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", fakes.Settings, edited),
		} {
			out, err := exec.CommandContext(t.Context(), program, "check", "--config", file).CombinedOutput()
			tr.Say("%s: %v, %s", to, err, strings.TrimSpace(string(out)))
		}
	}
}
