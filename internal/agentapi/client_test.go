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

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// roundTripFunc is a transport without a network.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func newTransportClient(b limits.Control, transport roundTripFunc) *Client {
	return &Client{factory: NewClientFactory(b, 1), address: "test", http: &http.Client{Transport: transport}}
}

func newResponse(status int, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(body)}
}

// blockUntil is a body that brings nothing until its context ends.
type blockUntil struct{ ctx context.Context }

func (b blockUntil) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// sequence answers the n-th request, counted from 0, with the n-th response, and records the queries.
type sequence struct {
	responses []func(*http.Request) *http.Response
	queries   []string
}

func (s *sequence) roundTrip(r *http.Request) (*http.Response, error) {
	n := len(s.queries)
	s.queries = append(s.queries, r.URL.RawQuery)
	if n >= len(s.responses) {
		return nil, errors.New("no further response")
	}
	return s.responses[n](r), nil
}

func textResponse(status int, text string) func(*http.Request) *http.Response {
	return func(*http.Request) *http.Response { return newResponse(status, strings.NewReader(text)) }
}

// followTest follows all history until an event that has a command, which ends each of these tests, or a minute has
// passed on the bubble's clock.
func followTest(t *testing.T, b limits.Control, transport roundTripFunc) (events []StreamEvent, elapsed time.Duration, err error) {
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

const lastLine = `{"command":{"id":"last"}}` + "\n"

// TestFollowPausesAnewAfterAnEvent: streams that break after an event are joined again after the shortest pause, however many
// there are; those that bring nothing are joined after pauses that grow.
func TestFollowPausesAnewAfterAnEvent(t *testing.T) {
	const streams = 10
	follow := func(t *testing.T, text string) time.Duration {
		t.Helper()
		s := &sequence{}
		for range streams {
			s.responses = append(s.responses, textResponse(http.StatusOK, text))
		}
		s.responses = append(s.responses, textResponse(http.StatusOK, lastLine))
		_, elapsed, err := followTest(t, testBounds(), s.roundTrip)
		if err != nil || len(s.queries) != streams+1 {
			t.Errorf("%d streams: %v", len(s.queries), err)
		}
		return elapsed
	}
	synctest.Test(t, func(t *testing.T) {
		if elapsed := follow(t, "{}\n"); elapsed < streams*reconnectBackoff.Min/2 || elapsed > streams*reconnectBackoff.Min {
			t.Errorf("%v after streams with an event", elapsed)
		}
		if elapsed := follow(t, ""); elapsed < streams*reconnectBackoff.Min || elapsed > streams*reconnectBackoff.Max {
			t.Errorf("%v after streams without one", elapsed)
		}
	})
}

// TestFollowEndsWithItsContext: the end of the context ends the wait for a stream, also between two of them.
func TestFollowEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errAway := errors.New("away")
		client := newTransportClient(testBounds(), func(*http.Request) (*http.Response, error) { return nil, errAway })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		err := client.Follow(ctx, "", 0, func(StreamEvent) bool { return true })
		if _, ok := errors.AsType[*UnreachableError](err); !ok || !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, errAway) {
			t.Error(err)
		}
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("ended after %v", elapsed)
		}
	})
}

// TestSilentStreamIsJoinedAgain: a stream that brings nothing for four times Bounds.CallTimeout is broken, and joined again.
func TestSilentStreamIsJoinedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		s := &sequence{responses: []func(*http.Request) *http.Response{
			func(r *http.Request) *http.Response { return newResponse(http.StatusOK, blockUntil{r.Context()}) },
			textResponse(http.StatusOK, lastLine),
		}}
		_, elapsed, err := followTest(t, b, s.roundTrip)
		if least := maxSilenceCalls * b.CallTimeout; err != nil || elapsed < least || elapsed > least+reconnectBackoff.Max {
			t.Errorf("%v: %v", elapsed, err)
		}
	})
}

// TestSlowStreamIsNotBroken: a stream whose lines come in time is read on, however long it lasts.
func TestSlowStreamIsNotBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		s := &sequence{responses: []func(*http.Request) *http.Response{func(r *http.Request) *http.Response {
			reader, writer := io.Pipe()
			context.AfterFunc(r.Context(), func() { _ = writer.CloseWithError(r.Context().Err()) })
			go func() {
				for range 5 {
					time.Sleep((maxSilenceCalls - 1) * b.CallTimeout)
					if _, err := io.WriteString(writer, "{}\n"); err != nil {
						return
					}
				}
				_, _ = io.WriteString(writer, lastLine)
			}()
			return newResponse(http.StatusOK, reader)
		}}}
		events, _, err := followTest(t, b, s.roundTrip)
		if err != nil || len(events) != 6 || len(s.queries) != 1 {
			t.Errorf("%d events of %d streams: %v", len(events), len(s.queries), err)
		}
	})
}

// TestFollowStatuses: 400 and 404 end it with their reason, of which 4 KB are read; any other status but 200 is no stream,
// whatever its body has, and the stream is asked for again.
func TestFollowStatuses(t *testing.T) {
	long := strings.Repeat("x", maxRejectionBody)
	for _, c := range []struct {
		status       int
		body, reason string // no reason: the stream is asked for again
	}{
		{http.StatusBadRequest, `{"error":"after: no number"}`, "after: no number"},
		{http.StatusNotFound, `{"error":"unknown"}`, "unknown"},
		{http.StatusNotFound, `{"error":"` + long + `"}`, "status 404"},
		{http.StatusTooManyRequests, lastLine, ""},
		{http.StatusInternalServerError, lastLine, ""},
		{http.StatusNoContent, lastLine, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &sequence{responses: []func(*http.Request) *http.Response{
				textResponse(c.status, c.body), textResponse(http.StatusOK, lastLine),
			}}
			events, _, err := followTest(t, testBounds(), s.roundTrip)
			if c.reason == "" {
				if err != nil || len(events) != 1 || len(s.queries) != 2 {
					t.Errorf("status %d: %d events of %d streams: %v", c.status, len(events), len(s.queries), err)
				}
				return
			}
			rejection, ok := errors.AsType[*StatusError](err)
			if !ok || rejection.Status != c.status || rejection.Text != c.reason || len(events) != 0 || len(s.queries) != 1 {
				t.Errorf("status %d: %d events of %d streams: %v", c.status, len(events), len(s.queries), err)
			}
		})
	}
}

// TestFollowMalformedLines: a line that is no JSON or too long breaks the stream and is no event; one below the bound is.
func TestFollowMalformedLines(t *testing.T) {
	b := testBounds()
	b.MessageSize = 4 << 10
	line := func(size int) string { return `{"entry":{"event":"` + strings.Repeat("x", size) + `"}}` + "\n" }
	for _, c := range []struct {
		name, text      string
		events, streams int // with those of the last line
	}{
		{"no JSON", "<p>\n" + `{"serial":9}` + "\n", 1, 2},
		{"too long", line(maxResponseFactor*b.MessageSize) + `{"serial":9}` + "\n", 1, 2},
		{"long", line(maxResponseFactor*b.MessageSize/2) + lastLine, 2, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &sequence{responses: []func(*http.Request) *http.Response{
				textResponse(http.StatusOK, c.text), textResponse(http.StatusOK, lastLine),
			}}
			events, _, err := followTest(t, b, s.roundTrip)
			if err != nil || len(events) != c.events || len(s.queries) != c.streams {
				t.Errorf("%s: %d events of %d streams: %v", c.name, len(events), len(s.queries), err)
			}
		})
	}
}

// TestFollowAsksAfterTheLastSerial: a stream is joined again after the last serial that was read, also if lines without a
// serial came after it.
func TestFollowAsksAfterTheLastSerial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sequence{responses: []func(*http.Request) *http.Response{
			textResponse(http.StatusOK, `{"serial":5}`+"\n"+`{"gap":2}`+"\n"), textResponse(http.StatusOK, "{}\n"),
			textResponse(http.StatusOK, lastLine),
		}}
		_, _, err := followTest(t, testBounds(), s.roundTrip)
		want := []string{"after=0&command=", "after=5&command=", "after=5&command="}
		if diff := cmp.Diff(want, s.queries); err != nil || diff != "" {
			t.Error(err, diff)
		}
	})
}

// TestFollowEndsWithItsCommand: the line that has the command ended is the last, also if more lines or streams could come.
func TestFollowEndsWithItsCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sequence{responses: []func(*http.Request) *http.Response{
			textResponse(http.StatusOK, `{"command":{"id":"c1","state":"`+string(fleet.CommandDone)+`"}}`+"\n"+`{"serial":9}`+"\n"),
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

// TestAttemptHasADeadline: an agent that does not answer costs twice Bounds.CallTimeout for each attempt, and no more.
func TestAttemptHasADeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		attempts := 0
		client := newTransportClient(b, func(r *http.Request) (*http.Response, error) {
			attempts++
			select {
			case <-r.Context().Done():
				return nil, r.Context().Err()
			case <-time.After(time.Hour):
				return nil, errors.New("no deadline")
			}
		})
		fillRetryBudget(client.factory)
		start := time.Now()
		_, err := client.Status(t.Context())
		least := time.Duration(b.Attempts) * 2 * b.CallTimeout
		elapsed := time.Since(start)
		if !errors.Is(err, context.DeadlineExceeded) || attempts != b.Attempts || elapsed < least || elapsed > least+time.Duration(b.Attempts)*b.RetryBackoffMax {
			t.Errorf("%d attempts in %v: %v", attempts, elapsed, err)
		}
	})
}

// TestContextEndsThePause: a request whose context ends between two attempts is given up at once, with the cause of the last.
func TestContextEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		b.RetryBackoff, b.RetryBackoffMax = time.Minute, time.Minute
		errAway := errors.New("away")
		client := newTransportClient(b, func(*http.Request) (*http.Response, error) { return nil, errAway })
		fillRetryBudget(client.factory)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := client.Status(ctx)
		if _, ok := errors.AsType[*UnreachableError](err); !ok || !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, errAway) {
			t.Error(err)
		}
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("given up after %v", elapsed)
		}
	})
}

func fillRetryBudget(f *ClientFactory) {
	for range 100 {
		f.retryBudget.RecordAttempt()
	}
}

// TestFirstAttemptsEarnRetries: requests that needed no retry allow others more of them.
func TestFirstAttemptsEarnRetries(t *testing.T) {
	retriesAfter := func(requests int) int {
		factory := NewClientFactory(testBounds(), 1)
		for range requests {
			factory.pause(1)
		}
		retries := 0
		for {
			if _, ok := factory.pause(2); !ok {
				return retries
			}
			retries++
		}
	}
	if few, many := retriesAfter(0), retriesAfter(100); many != few+10 {
		t.Errorf("%d retries without a request, %d after 100", few, many)
	}
}

// TestAttemptsHaveAMost: no request is attempted more often than Bounds.Attempts, whatever the retry budget has.
func TestAttemptsHaveAMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts := 0
		client := newTransportClient(testBounds(), func(*http.Request) (*http.Response, error) {
			attempts++
			return nil, errors.New("away")
		})
		for range 10 {
			fillRetryBudget(client.factory)
		}
		if _, err := client.Status(t.Context()); err == nil || attempts != testBounds().Attempts {
			t.Errorf("%d attempts: %v", attempts, err)
		}
	})
}

// TestResponseBound: a response of some dozen times Bounds.MessageSize is read, as a status lists many instances; one beyond
// its bound is an error.
func TestResponseBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		b.MessageSize = 1 << 10
		for size, accepted := range map[int]bool{48 * b.MessageSize: true, 64 * b.MessageSize: false} {
			text := `{"host":"` + strings.Repeat("x", size) + `"}`
			client := newTransportClient(b, func(*http.Request) (*http.Response, error) {
				return newResponse(http.StatusOK, strings.NewReader(text)), nil
			})
			status, err := client.Status(t.Context())
			if read := err == nil && len(status.Host) == size; read != accepted || !accepted && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%d bytes: %v", size, err)
			}
		}
	})
}

// TestRejectionWithoutAReason: a rejection whose body names no reason has its status as text.
func TestRejectionWithoutAReason(t *testing.T) {
	for _, body := range []string{"", "<p>", "{}", `{"error":""}`, `{"error":3}`} {
		client := newTransportClient(testBounds(), func(*http.Request) (*http.Response, error) {
			return newResponse(http.StatusBadGateway, strings.NewReader(body)), nil
		})
		_, err := client.Status(t.Context())
		if rejection, ok := errors.AsType[*StatusError](err); !ok || *rejection != (StatusError{http.StatusBadGateway, "status 502"}) {
			t.Errorf("%q: %v", body, err)
		}
	}
}

// TestCommandErrors: a 404 alone says that the agent does not know the command; any other error comes as it is.
func TestCommandErrors(t *testing.T) {
	for status, unknown := range map[int]bool{http.StatusNotFound: true, http.StatusUnprocessableEntity: false} {
		client := newTransportClient(testBounds(), func(*http.Request) (*http.Response, error) {
			return newResponse(status, strings.NewReader(`{"error":"why"}`)), nil
		})
		_, err := client.Command(t.Context(), "c1")
		rejection, ok := errors.AsType[*StatusError](err)
		if errors.Is(err, fleet.ErrUnknownCommand) != unknown || !unknown && (!ok || rejection.Text != "why") {
			t.Errorf("status %d: %v", status, err)
		}
	}
}

// entriesOf returns entries with the serials from 1 to n.
func entriesOf(command string, n int) []agentstore.Entry {
	entries := make([]agentstore.Entry, n)
	for i := range entries {
		entries[i] = agentstore.Entry{Serial: uint64(i + 1), HistoryEvent: fleet.HistoryEvent{CommandID: command, Event: fmt.Sprint(i + 1)}}
	}
	return entries
}
