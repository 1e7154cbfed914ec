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

// TestFollowReportsLossAndEndsWithCommandDone checks that a command's stream reports lost entries, has the command's
// entries in order, and ends with the command.
func TestFollowReportsLossAndEndsWithCommandDone(t *testing.T) {
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

// TestFollowResumesAfterAgentRestart checks that a stream resumes after a restart of its agent, and that each entry is
// handled once.
func TestFollowResumesAfterAgentRestart(t *testing.T) {
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

// TestFollowOfUnknownCommandFails checks that following an unknown command is an error.
func TestFollowOfUnknownCommandFails(t *testing.T) {
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

// TestEventResetsReconnectBackoff checks that streams that break after an event are reconnected after the minimum
// delay, and those without an event after growing delays.
func TestEventResetsReconnectBackoff(t *testing.T) {
	const streams = 10
	follow := func(t *testing.T, text string) time.Duration {
		t.Helper()
		s := &scriptedTransport{}
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
		const shortest, longest = streams * minReconnectDelay, streams * maxReconnectDelay
		if elapsed := follow(t, "{}\n"); elapsed < shortest/2 || elapsed > shortest {
			t.Errorf("%v with events, want %v to %v", elapsed, shortest/2, shortest)
		}
		if elapsed := follow(t, ""); elapsed < shortest || elapsed > longest {
			t.Errorf("%v without events, want %v to %v", elapsed, shortest, longest)
		}
	})
}

// TestFollowEndsWithContext checks that the end of the context ends the delay before a reconnect.
func TestFollowEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errRefused := errors.New("connection refused")
		refuse := func(*http.Request) (*http.Response, error) { return nil, errRefused }
		client := newTransportClient(testBounds(), refuse)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		err := client.Follow(ctx, "", 0, func(StreamEvent) bool { return true })
		wantUnreachable(t, err, context.DeadlineExceeded, errRefused)
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("ended after %v, want 1s", elapsed)
		}
	})
}

// TestSilentStreamIsReconnected checks that a stream without a line for maxSilenceFactor times
// limits.Control.CallTimeout is reconnected.
func TestSilentStreamIsReconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		silent := func(r *http.Request) *http.Response {
			return newResponse(http.StatusOK, blockUntil{r.Context()})
		}
		s := &scriptedTransport{responses: []respondFunc{silent, textResponse(http.StatusOK, lastLine)}}
		_, elapsed, err := followHistory(t, b, s.roundTrip)
		maxSilence := maxSilenceFactor * b.CallTimeout
		if err != nil || elapsed < maxSilence || elapsed > maxSilence+maxReconnectDelay {
			t.Errorf("%v, want %v and a reconnect delay: %v", elapsed, maxSilence, err)
		}
	})
}

// TestSlowStreamStaysConnected checks that a stream whose lines arrive in time stays connected, however long it
// lasts.
func TestSlowStreamStaysConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		slow := func(r *http.Request) *http.Response {
			reader, writer := io.Pipe()
			context.AfterFunc(r.Context(), func() { _ = writer.CloseWithError(r.Context().Err()) })
			go func() {
				for range 5 {
					time.Sleep((maxSilenceFactor - 1) * b.CallTimeout) // of the fake clock
					if _, err := io.WriteString(writer, "{}\n"); err != nil {
						return
					}
				}
				_, _ = io.WriteString(writer, lastLine)
			}()
			return newResponse(http.StatusOK, reader)
		}
		s := &scriptedTransport{responses: []respondFunc{slow}}
		events, _, err := followHistory(t, b, s.roundTrip)
		if err != nil || len(events) != 6 || len(s.queries) != 1 {
			t.Errorf("%d events of %d streams: %v", len(events), len(s.queries), err)
		}
	})
}

// TestFollowEndsAtRejectionWithReason checks that Follow ends at status 400 and 404 with the reason in the body, of
// which maxRejectionBody bytes are read.
func TestFollowEndsAtRejectionWithReason(t *testing.T) {
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
			s := &scriptedTransport{responses: []respondFunc{
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

// TestFollowReconnectsAfterOtherStatus checks that a stream is reconnected after other statuses than 200, 400 and
// 404, and that the body of such a response has no events.
func TestFollowReconnectsAfterOtherStatus(t *testing.T) {
	for _, status := range []int{
		http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusNoContent,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedTransport{responses: []respondFunc{
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

// TestFollowReconnectsAfterMalformedLine checks that a stream is reconnected after a line that is not JSON or is too
// long, and that a line within the size limit is an event.
func TestFollowReconnectsAfterMalformedLine(t *testing.T) {
	b := testBounds()
	b.MessageSize = 4 << 10
	line := func(size int) string { return `{"entry":{"event":"` + strings.Repeat("x", size) + `"}}` + "\n" }
	for _, test := range []struct {
		name    string
		text    string
		events  int // including lastLine
		streams int // including the one with lastLine
	}{
		{"not JSON", "<p>\n" + `{"serial":9}` + "\n", 1, 2},
		{"too long", line(maxResponseFactor*b.MessageSize) + `{"serial":9}` + "\n", 1, 2},
		{"long", line(maxResponseFactor*b.MessageSize/2) + lastLine, 2, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedTransport{responses: []respondFunc{
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

// TestFollowReconnectsAfterLastSerial checks that a stream is reconnected after the last serial that was read, also if
// lines without a serial follow it.
func TestFollowReconnectsAfterLastSerial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{responses: []respondFunc{
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

// TestFollowEndsAtCommandDoneEvent checks that the event with the finished command is the last one handled, even if
// more lines follow.
func TestFollowEndsAtCommandDoneEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := `{"command":{"id":"c1","state":"` + string(fleet.CommandDone) + `"}}`
		s := &scriptedTransport{responses: []respondFunc{
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
