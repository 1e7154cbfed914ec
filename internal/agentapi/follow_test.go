package agentapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// TestFollowCommand holds that a command's stream reports lost entries, brings the command's entries in order, and ends
// with the command.
func TestFollowCommand(t *testing.T) {
	m := newFakeManager()
	m.commands["c1"] = &fleet.Command{ID: "c1"}
	for range 3 {
		m.add("c1", "begun", false)
	}
	address, _ := serve(t, m, testBounds())
	c := newClient(t, address, testBounds())
	var got []string
	err := c.Follow(t.Context(), "c1", 0, func(e StreamEvent) bool {
		switch {
		case e.LostEntries > 0:
			got = append(got, fmt.Sprintf("lost %d", e.LostEntries))
		case e.Entry != nil:
			got = append(got, fmt.Sprintf("%d %s %s", e.Serial, e.Entry.CommandID, e.Entry.Event))
			if e.Serial == 3 {
				m.add("other", "begun", false)
				m.add("c1", "ended", true)
			}
		case e.Command != nil:
			got = append(got, "command "+string(e.Command.State))
		}
		return true
	})
	want := []string{"lost 2", "3 c1 begun", "5 c1 ended", "command done"}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestFollowReconnects holds that a stream goes on after a restart of its agent, and that each entry comes once.
func TestFollowReconnects(t *testing.T) {
	m := newFakeManager()
	for range 3 {
		m.add("c1", "e", false)
	}
	address, stop := serve(t, m, testBounds())
	c := newClient(t, address, testBounds())
	var serials []uint64
	err := c.Follow(t.Context(), "", 2, func(e StreamEvent) bool {
		if e.Entry == nil {
			return true
		}
		serials = append(serials, e.Serial)
		if e.Serial == 3 {
			stop()
			m.add("c1", "e", false)
			serveAt(t, address, m, testBounds())
		}
		return e.Serial < 4
	})
	if diff := cmp.Diff([]uint64{3, 4}, serials); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestFollowUnknownCommand holds that the stream of an unknown command is an error.
func TestFollowUnknownCommand(t *testing.T) {
	address, _ := serve(t, newFakeManager(), testBounds())
	err := newClient(t, address, testBounds()).Follow(t.Context(), "none", 0, func(StreamEvent) bool { return true })
	if rejection, ok := errors.AsType[*StatusError](err); !ok || rejection.Status != http.StatusNotFound {
		t.Errorf("%v, want status 404", err)
	}
}

// followHistory follows the complete history until an event with a command, or for a minute of the fake clock.
func followHistory(
	t *testing.T, b limits.Control, transport roundTripFunc,
) (events []StreamEvent, elapsed time.Duration, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	start := time.Now()
	err = newTransportClient(b, transport).Follow(ctx, "", 0, func(e StreamEvent) bool {
		events = append(events, e)
		return e.Command == nil
	})
	return events, time.Since(start), err
}

// lastLine is the event that ends followHistory.
const lastLine = `{"command":{"id":"last"}}` + "\n"

// TestEventResetsReconnectBackoff holds that streams that break after an event are connected again after the shortest
// pause, and those without an event after growing pauses.
func TestEventResetsReconnectBackoff(t *testing.T) {
	const streams = 10
	follow := func(t *testing.T, text string) time.Duration {
		t.Helper()
		s := &sequence{}
		for range streams {
			s.responses = append(s.responses, textResponse(http.StatusOK, text))
		}
		s.responses = append(s.responses, textResponse(http.StatusOK, lastLine))
		_, elapsed, err := followHistory(t, testBounds(), s.roundTrip)
		if err != nil || len(s.queries) != streams+1 {
			t.Errorf("%d streams: %v", len(s.queries), err)
		}
		return elapsed
	}
	synctest.Test(t, func(t *testing.T) {
		const shortest, longest = streams * minReconnectPause, streams * maxReconnectPause
		if elapsed := follow(t, "{}\n"); elapsed < shortest/2 || elapsed > shortest {
			t.Errorf("%v with events, want %v to %v", elapsed, shortest/2, shortest)
		}
		if elapsed := follow(t, ""); elapsed < shortest || elapsed > longest {
			t.Errorf("%v without events, want %v to %v", elapsed, shortest, longest)
		}
	})
}

// TestFollowEndsWithContext holds that the end of the context ends the pause between two streams.
func TestFollowEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errAway := errors.New("away")
		client := newTransportClient(testBounds(), func(*http.Request) (*http.Response, error) { return nil, errAway })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		err := client.Follow(ctx, "", 0, func(StreamEvent) bool { return true })
		wantUnreachable(t, err, context.DeadlineExceeded, errAway)
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("ended after %v, want 1s", elapsed)
		}
	})
}

// TestSilentStreamIsReconnected holds that a stream without a line for maxSilenceCalls times Bounds.CallTimeout is
// connected again.
func TestSilentStreamIsReconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		silent := func(r *http.Request) *http.Response {
			return newResponse(http.StatusOK, blockUntil{r.Context()})
		}
		s := &sequence{responses: []respondFunc{silent, textResponse(http.StatusOK, lastLine)}}
		_, elapsed, err := followHistory(t, b, s.roundTrip)
		maxSilence := maxSilenceCalls * b.CallTimeout
		if err != nil || elapsed < maxSilence || elapsed > maxSilence+maxReconnectPause {
			t.Errorf("%v, want %v and a pause: %v", elapsed, maxSilence, err)
		}
	})
}

// TestSlowStreamStaysConnected holds that a stream whose lines come in time stays connected, however long it lasts.
func TestSlowStreamStaysConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		slow := func(r *http.Request) *http.Response {
			reader, writer := io.Pipe()
			context.AfterFunc(r.Context(), func() { _ = writer.CloseWithError(r.Context().Err()) })
			go func() {
				for range 5 {
					time.Sleep((maxSilenceCalls - 1) * b.CallTimeout) // by the fake clock
					if _, err := io.WriteString(writer, "{}\n"); err != nil {
						return
					}
				}
				_, _ = io.WriteString(writer, lastLine)
			}()
			return newResponse(http.StatusOK, reader)
		}
		s := &sequence{responses: []respondFunc{slow}}
		events, _, err := followHistory(t, b, s.roundTrip)
		if err != nil || len(events) != 6 || len(s.queries) != 1 {
			t.Errorf("%d events of %d streams: %v", len(events), len(s.queries), err)
		}
	})
}

// TestFollowRejections holds that status 400 and 404 end a stream with their reason, of which maxRejectionBody bytes
// are read.
func TestFollowRejections(t *testing.T) {
	long := strings.Repeat("x", maxRejectionBody)
	for _, test := range []struct {
		status int
		body   string
		reason string
	}{
		{http.StatusBadRequest, `{"error":"after: no number"}`, "after: no number"},
		{http.StatusNotFound, `{"error":"unknown"}`, "unknown"},
		{http.StatusNotFound, `{"error":"` + long + `"}`, "status 404"},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &sequence{responses: []respondFunc{
				textResponse(test.status, test.body),
				textResponse(http.StatusOK, lastLine),
			}}
			events, _, err := followHistory(t, testBounds(), s.roundTrip)
			rejection, ok := errors.AsType[*StatusError](err)
			if !ok || rejection.Status != test.status || rejection.Text != test.reason {
				t.Errorf("%v, want status %d and %q", err, test.status, test.reason)
			}
			if len(events) != 0 || len(s.queries) != 1 {
				t.Errorf("status %d: %d events of %d streams", test.status, len(events), len(s.queries))
			}
		})
	}
}

// TestFollowReconnectsAfterStatus holds that a stream of any other status than 200 is connected again, and that its
// body brings no events.
func TestFollowReconnectsAfterStatus(t *testing.T) {
	for _, status := range []int{
		http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusNoContent,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &sequence{responses: []respondFunc{
				textResponse(status, lastLine),
				textResponse(http.StatusOK, lastLine),
			}}
			events, _, err := followHistory(t, testBounds(), s.roundTrip)
			if err != nil || len(events) != 1 || len(s.queries) != 2 {
				t.Errorf("status %d: %d events of %d streams: %v", status, len(events), len(s.queries), err)
			}
		})
	}
}

// TestFollowMalformedLines holds that a stream is connected again after a line that is not JSON or is too long, and
// that a line below the bound is an event.
func TestFollowMalformedLines(t *testing.T) {
	b := testBounds()
	b.MessageSize = 4 << 10
	line := func(size int) string { return `{"entry":{"event":"` + strings.Repeat("x", size) + `"}}` + "\n" }
	for _, test := range []struct {
		name    string
		text    string
		events  int // with lastLine
		streams int // with that of lastLine
	}{
		{"not JSON", "<p>\n" + `{"serial":9}` + "\n", 1, 2},
		{"too long", line(maxResponseFactor*b.MessageSize) + `{"serial":9}` + "\n", 1, 2},
		{"long", line(maxResponseFactor*b.MessageSize/2) + lastLine, 2, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &sequence{responses: []respondFunc{
				textResponse(http.StatusOK, test.text),
				textResponse(http.StatusOK, lastLine),
			}}
			events, _, err := followHistory(t, b, s.roundTrip)
			if err != nil || len(events) != test.events || len(s.queries) != test.streams {
				t.Errorf("%s: %d events of %d streams: %v", test.name, len(events), len(s.queries), err)
			}
		})
	}
}

// TestFollowReconnectsAfterLastSerial holds that a stream is connected again after the last serial that was read,
// also if lines without a serial came after it.
func TestFollowReconnectsAfterLastSerial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sequence{responses: []respondFunc{
			textResponse(http.StatusOK, `{"serial":5}`+"\n"+`{"gap":2}`+"\n"),
			textResponse(http.StatusOK, "{}\n"),
			textResponse(http.StatusOK, lastLine),
		}}
		_, _, err := followHistory(t, testBounds(), s.roundTrip)
		want := []string{"after=0&command=", "after=5&command=", "after=5&command="}
		if diff := cmp.Diff(want, s.queries); err != nil || diff != "" {
			t.Error(err, diff)
		}
	})
}

// TestFollowEndsWithCommand holds that the event of the ended command is the last one, even if more lines follow.
func TestFollowEndsWithCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := `{"command":{"id":"c1","state":"` + string(fleet.CommandDone) + `"}}`
		s := &sequence{responses: []respondFunc{
			textResponse(http.StatusOK, ended+"\n"+`{"serial":9}`+"\n"),
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		events := 0
		err := newTransportClient(testBounds(), s.roundTrip).Follow(ctx, "c1", 0, func(StreamEvent) bool {
			events++
			return true
		})
		if err != nil || events != 1 || len(s.queries) != 1 {
			t.Errorf("%d events of %d streams: %v", events, len(s.queries), err)
		}
	})
}
