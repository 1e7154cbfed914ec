package agentapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"milletbarrow/internal/fleet"
)

// TestUnansweredAttemptEndsAtDeadline checks that an attempt ends after twice limits.Control.CallTimeout if the
// agent does not answer.
func TestUnansweredAttemptEndsAtDeadline(t *testing.T) {
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
		elapsed := time.Since(start)
		if !errors.Is(err, context.DeadlineExceeded) || attempts != b.Attempts {
			t.Errorf("%d attempts: %v", attempts, err)
		}
		minimum := time.Duration(b.Attempts) * 2 * b.CallTimeout
		maximum := minimum + time.Duration(b.Attempts)*b.RetryBackoffMax
		if elapsed < minimum || elapsed > maximum {
			t.Errorf("took %v, want %v to %v", elapsed, minimum, maximum)
		}
	})
}

// TestContextEndDuringRetryDelayEndsRequest checks that a request whose context ends between two attempts ends at
// once, with the error of the last attempt.
func TestContextEndDuringRetryDelayEndsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		b.RetryBackoff = time.Minute
		b.RetryBackoffMax = time.Minute
		errRefused := errors.New("connection refused")
		client := newTransportClient(b, func(*http.Request) (*http.Response, error) { return nil, errRefused })
		fillRetryBudget(client.factory)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := client.Status(ctx)
		wantUnreachable(t, err, context.DeadlineExceeded, errRefused)
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("ended after %v, want 1s", elapsed)
		}
	})
}

// TestFirstAttemptsAddToRetryBudget checks that first attempts add to the retry budget.
func TestFirstAttemptsAddToRetryBudget(t *testing.T) {
	retriesAfter := func(requests int) int {
		factory := NewClientFactory(testBounds(), 1)
		for range requests {
			factory.attemptDelay(1)
		}
		retries := 0
		for {
			if _, allowed := factory.attemptDelay(2); !allowed {
				return retries
			}
			retries++
		}
	}
	if initial, later := retriesAfter(0), retriesAfter(100); later != initial+10 {
		t.Errorf("%d retries without a request, %d after 100 requests", initial, later)
	}
}

// TestAttemptsAreBounded checks that a request has at most limits.Control.Attempts attempts, whatever the retry budget
// allows.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts := 0
		client := newTransportClient(testBounds(), func(*http.Request) (*http.Response, error) {
			attempts++
			return nil, errors.New("connection refused")
		})
		for range 10 {
			fillRetryBudget(client.factory)
		}
		if _, err := client.Status(t.Context()); err == nil || attempts != testBounds().Attempts {
			t.Errorf("%d attempts: %v", attempts, err)
		}
	})
}

// TestResponseSizeIsBounded checks that a response of many times limits.Control.MessageSize is read, because a status
// lists many instances, and that one beyond maxResponseFactor is an error.
func TestResponseSizeIsBounded(t *testing.T) {
	b := testBounds()
	b.MessageSize = 1 << 10
	read := func(t *testing.T, size int) (Status, error) {
		t.Helper()
		text := `{"host":"` + strings.Repeat("x", size) + `"}`
		return newTransportClient(b, textTransport(http.StatusOK, text)).Status(t.Context())
	}
	synctest.Test(t, func(t *testing.T) {
		const accepted, rejected = 48, 64 // in MessageSize
		status, err := read(t, accepted*b.MessageSize)
		if err != nil || len(status.Host) != accepted*b.MessageSize {
			t.Errorf("%d times the message size: %d bytes read, %v", accepted, len(status.Host), err)
		}
		if _, err := read(t, rejected*b.MessageSize); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d times the message size: %v, want ErrUnexpectedEOF", rejected, err)
		}
	})
}

// TestRejectionWithoutReasonNamesStatus checks that the error text of a rejection without a reason in its body
// is the status.
func TestRejectionWithoutReasonNamesStatus(t *testing.T) {
	want := StatusError{Status: http.StatusBadGateway, Text: "status 502"}
	for _, body := range []string{"", "<p>", "{}", `{"error":""}`, `{"error":3}`} {
		client := newTransportClient(testBounds(), textTransport(http.StatusBadGateway, body))
		_, err := client.Status(t.Context())
		if rejection, ok := errors.AsType[*StatusError](err); !ok || *rejection != want {
			t.Errorf("%q: %v, want %+v", body, err, want)
		}
	}
}

// TestStatus404MeansUnknownCommand checks that status 404 is reported as an unknown command, and that other
// statuses are not.
func TestStatus404MeansUnknownCommand(t *testing.T) {
	request := func(status int) error {
		client := newTransportClient(testBounds(), textTransport(status, `{"error":"why"}`))
		_, err := client.Command(t.Context(), "c1")
		return err
	}
	if err := request(http.StatusNotFound); !errors.Is(err, fleet.ErrUnknownCommand) {
		t.Errorf("status 404: %v, want ErrUnknownCommand", err)
	}
	err := request(http.StatusUnprocessableEntity)
	rejection, ok := errors.AsType[*StatusError](err)
	if !ok || rejection.Text != "why" || errors.Is(err, fleet.ErrUnknownCommand) {
		t.Errorf("status 422: %v, want a StatusError with its reason", err)
	}
}

// TestUnreachableErrorHasAddressAndCause checks that the error for an agent that does not listen has its address
// and cause, and that the error for a stream whose context has ended has its cause.
func TestUnreachableErrorHasAddressAndCause(t *testing.T) {
	address := "unix:" + filepath.Join(t.TempDir(), "none.sock")
	c := newClient(t, address, testBounds())
	_, err := c.Status(t.Context())
	wantUnreachable(t, err, os.ErrNotExist)
	if unreachable, ok := errors.AsType[*UnreachableError](err); ok && unreachable.Address != address {
		t.Errorf("address %q, want %q", unreachable.Address, address)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err = c.Follow(ctx, "", 0, func(StreamEvent) bool { return true })
	wantUnreachable(t, err, context.Canceled)
}

// TestRetriesToUnreachableAgentAreBounded checks that many requests to an unreachable agent share a small retry
// budget.
func TestRetriesToUnreachableAgentAreBounded(t *testing.T) {
	b := testBounds()
	factory := NewClientFactory(b, 1)
	attempts := 0
	for range 100 {
		for n := 1; ; n++ {
			if _, allowed := factory.attemptDelay(n); !allowed {
				break
			}
			attempts++
		}
	}
	if attempts < 100 || attempts > 150 {
		t.Errorf("%d attempts for 100 requests, want 100 to 150", attempts)
	}
}

// TestRejectionHasStatusAndOnly503IsRetried checks that each kind of rejection keeps its status and text, and that
// only status 503 is retried.
func TestRejectionHasStatusAndOnly503IsRetried(t *testing.T) {
	b := testBounds()
	for _, test := range []struct {
		name     string
		err      error
		status   int
		requests int
	}{
		{"unknown command", fleet.ErrUnknownCommand, 404, 1},
		{"conflicting id", fmt.Errorf("c1: %w", fleet.ErrIDConflict), 409, 1},
		{"update in progress", fleet.ErrUpdateInProgress, 409, 1},
		{"too many commands", fleet.ErrTooManyCommands, 429, 1},
		{"invalid command", errors.New("names: none"), 422, 1},
		{"invalid request", &StatusError{Status: 400, Text: "by: over 100 bytes"}, 400, 1},
		{"internal error", &StatusError{Status: 500, Text: "internal error"}, 500, 1},
		{"busy", &StatusError{Status: 503, Text: "the agent is busy"}, 503, b.Attempts},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newFakeManager()
			m.err = test.err
			address, _ := serve(t, m, b)
			client := newClient(t, address, b)
			fillRetryBudget(client.factory)
			_, err := client.Submit(t.Context(), CommandRequest{ID: "c1"})
			rejection, ok := errors.AsType[*StatusError](err)
			if !ok || rejection.Status != test.status || rejection.Text != test.err.Error() {
				t.Errorf("%v, want status %d and %q", err, test.status, test.err)
			}
			_, retried := errors.AsType[*UnreachableError](err)
			if retried != (test.requests > 1) || len(m.requests) != test.requests {
				t.Errorf("%d requests, want %d: %v", len(m.requests), test.requests, err)
			}
		})
	}
}
