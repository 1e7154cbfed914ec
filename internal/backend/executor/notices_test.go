package executor

import (
	"strings"
	"testing"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/fakes"
)

// A line that cannot be parsed ends the connection and the run that it names, if it names one, but no other run. It is
// not read again on the next connection.
func TestUnreadableNoticeEndsItsRun(t *testing.T) {
	tr := fakes.NewTrace(t)
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	other := launch(t, client, executor, runID(0xb0))
	for n, test := range []struct {
		label    string
		text     string // ID stands for the run's ID
		numbered bool   // the text is a notice; %d stands for its number
	}{
		{"unknown first word", "unsupported\r\n", false},
		{"unknown end", "outcome %d ID unsupported 3 0\r\n\r\n", true},
		{"result without CR LF", "outcome %d ID complete 3 2\r\nabXX", true},
		{"line too long", strings.Repeat("x", 3000), false},
		{"gauge that is no number", "sampled t1 x\r\n", false},
		{"line without CR", "greeting hot 1\n", false},
	} {
		id := runID(0xb1 + n)
		run := launch(t, client, executor, id)
		if text := strings.Replace(test.text, "ID", id, 1); test.numbered {
			executor.Notice(text)
		} else {
			executor.Send(text)
		}
		tr.Say("%s: subscribe %d", test.label, fakes.Take(t, "the next connection", executor.Subscribes))
		fakes.Until(t, "the next connection is synced", client.Available)
		if !test.numbered {
			executor.End(id, "complete", "")
		}
		tr.Say("  end %d", fakes.Take(t, "the outcome", run.Done()).End)
	}
	executor.End(runID(0xb0), "complete", "its own")
	result := fakes.Take(t, "the outcome of the other run", other.Done()).Result
	tr.Say("the other run: %q, runs in flight %d", result, client.runsInFlight())
}

// A result without CR LF ends its run even if the buffered input is moved between reading the notice and its result,
// which happens after a large result in the same segment.
func TestUnreadableResultInFullBufferEndsItsRun(t *testing.T) {
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	first := launch(t, client, executor, runID(1))
	second := launch(t, client, executor, runID(2))
	executor.Send("outcome 1 " + runID(1) + " complete 3 2000\r\n" + strings.Repeat("r", 2000) + "\r\n" +
		"outcome 2 " + runID(2) + " complete 3 4096\r\n" + strings.Repeat("s", 4096) + "XX")
	if outcome := fakes.Take(t, "the first outcome", first.Done()); outcome.End != dispatch.RunSucceeded {
		t.Errorf("the first run: %+v, want RunSucceeded", outcome)
	}
	if outcome := fakes.Take(t, "the second outcome", second.Done()); outcome.End != dispatch.RunErrored {
		t.Errorf("the second run: %+v, want RunErrored", outcome)
	}
	if n := client.runsInFlight(); n != 0 {
		t.Errorf("%d runs in flight, want none", n)
	}
}

// A numbered remark is a notice: the next connection subscribes to the notices after it.
func TestNumberedRemarkIsCounted(t *testing.T) {
	executor := fakes.NewScriptedExecutor(t)
	client := connectSynced(t, executor)
	executor.Notice("aside %d a remark\r\n")
	fakes.Until(t, "a sample is requested", client.RequestSample)
	fakes.Take(t, "the sample, which is read after the remark", client.Samples())
	executor.Cut()
	if number := fakes.Take(t, "the next connection", executor.Subscribes); number != 1 {
		t.Errorf("subscribed after notice %d, want 1", number)
	}
}
