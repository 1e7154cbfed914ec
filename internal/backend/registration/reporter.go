// Package registration keeps a backend on the list that edge nodes go by.
package registration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/limits"
)

// Reporter reports as its pace has it; nothing waits for it. A report does not wait for the one before: a roster
// that takes longer than the pause to answer must not cost the entry.
type Reporter struct {
	path           string
	bounds         limits.Bounds
	client         *http.Client
	pacer          *reportpacing.Pacer // Keep's
	startedAt      time.Time
	deregister     chan struct{}
	deregisterOnce sync.Once
	addressChanged chan struct{} // the roster is at another address
	results        chan result   // room for all that may be on their way

	mu      sync.Mutex
	address string
	failing bool // the last report to end did not arrive
}

// result is a report that has ended.
type result struct {
	startedAt  reportpacing.Micros
	err        error
	retryAfter time.Duration
}

// New makes a reporter for the backend of that name. fixed: in step with the clock, as baselines are.
func New(address, name string, bounds limits.Bounds, fixed bool) *Reporter {
	t := reportpacing.Config{
		Interval: micros(bounds.ReportInterval), TTL: micros(bounds.RegistrationTTL), RetryMin: micros(bounds.ReportRetryMin), RetryRefused: micros(bounds.ReportRetryRefused),
		RetryInitial: micros(bounds.ReportRetryInitial), RetryMax: micros(bounds.ReportRetryMax), RetryAfterMax: micros(bounds.RetryAfterMax), InFlight: bounds.ReportsInFlight, Fixed: fixed,
	}
	if fixed {
		t.RetryMin, t.InFlight = micros(bounds.DeregisterRetry), 2*bounds.ReportsInFlight
	}
	return &Reporter{
		path: "/roster/" + url.PathEscape(name), address: address, bounds: bounds, deregister: make(chan struct{}),
		// Chance of the process's own: backends that start at one instant may have one seed in their configurations.
		pacer: reportpacing.New(t, rand.Uint64()^xxhash.Sum64String(name)), startedAt: time.Now(),
		results: make(chan result, t.InFlight), addressChanged: make(chan struct{}, 1),
		client: &http.Client{
			Timeout:       bounds.ReportTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				MaxConnsPerHost: t.InFlight + 2, MaxIdleConnsPerHost: 1, DisableCompression: true,
				IdleConnTimeout: 4 * bounds.ReportInterval, MaxResponseHeaderBytes: int64(bounds.LineSize),
			},
		},
	}
}

func micros(d time.Duration) reportpacing.Micros { return reportpacing.Micros(d.Microseconds()) }

func (r *Reporter) now() reportpacing.Micros { return micros(time.Since(r.startedAt)) }

// Deregister has off reported at once, until it is taken, and nothing else after it: the entry lapses then.
func (r *Reporter) Deregister() { r.deregisterOnce.Do(func() { close(r.deregister) }) }

// SetAddress names another address of the roster; the next report, sent at once, goes there.
func (r *Reporter) SetAddress(address string) {
	r.mu.Lock()
	same := r.address == address
	r.address = address
	r.mu.Unlock()
	if same {
		return
	}
	r.client.CloseIdleConnections()
	select {
	case r.addressChanged <- struct{}{}:
	default:
	}
}

// Run reports until Deregister, or until the context ends, and then waits for what is on its way.
func (r *Reporter) Run(ctx context.Context) {
	defer r.client.CloseIdleConnections()
	var going sync.WaitGroup
	defer going.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	opened, onWay := r.now(), 0
	r.pacer.Start(opened)
	for {
		var due <-chan time.Time
		if at, room := r.pacer.Due(); room {
			timer.Reset(time.Duration(max(0, at-r.now())) * time.Microsecond)
			due = timer.C
		}
		select {
		case <-due:
			now := r.now()
			r.pacer.Started(now)
			onWay++
			going.Go(func() {
				advice, err := r.report(ctx, "on")
				r.results <- result{now, err, advice}
			})
		case e := <-r.results:
			onWay--
			switch now := r.now(); {
			case e.startedAt < opened:
				r.pacer.Abandoned()
			case e.err == nil:
				r.pacer.Succeeded(now, e.startedAt)
			default:
				r.pacer.Failed(now, failureOf(e.err), micros(e.retryAfter))
			}
		case <-r.addressChanged:
			opened = r.now()
			r.pacer.Start(opened)
		case <-r.deregister:
			r.deregisterUntilAccepted(ctx, &going, onWay)
			return
		case <-ctx.Done():
			return
		}
	}
}

// errStatus: the roster has answered, and not counted it.
var errStatus = errors.New("status")

func failureOf(err error) reportpacing.Failure {
	var slow net.Error
	switch {
	case errors.As(err, &slow) && slow.Timeout():
		return reportpacing.TimedOut
	case errors.Is(err, syscall.ECONNREFUSED):
		return reportpacing.Refused
	}
	return reportpacing.Rejected
}

// deregisterUntilAccepted says off until the roster has taken it, wherever it is moved to, in growing pauses. A report on its way may be
// overtaken by it, and would list for good what leaves: off is said again once that has ended. Where it ended without an
// answer it may still come to pass at any time, so off is said as long as this process lives.
func (r *Reporter) deregisterUntilAccepted(ctx context.Context, going *sync.WaitGroup, onWay int) {
	taken := make(chan error, 1)
	say := func() {
		going.Go(func() {
			_, err := r.report(ctx, "off")
			taken <- err
		})
	}
	wait := r.bounds.DeregisterRetry
	again := time.NewTimer(wait)
	defer again.Stop()
	saying, owed, stray := true, false, false
	for say(); saying || owed || stray || onWay > 0; {
		select {
		case err := <-taken:
			saying, owed = false, owed || err != nil
		case e := <-r.results:
			onWay--
			owed = true
			stray = stray || e.err != nil && !errors.Is(e.err, errStatus) && !errors.Is(e.err, syscall.ECONNREFUSED)
		case <-r.addressChanged:
			owed, wait = true, r.bounds.DeregisterRetry
			again.Reset(0)
		case <-again.C:
			if (owed || stray) && !saying {
				saying, owed = true, false
				say()
				wait = min(2*wait, r.bounds.ReportInterval)
			}
			again.Reset(wait/2 + rand.N(wait))
		case <-ctx.Done():
			return
		}
	}
}

// report makes one report and logs it if it fares other than the one before.
func (r *Reporter) report(ctx context.Context, duty string) (advice time.Duration, err error) {
	advice, err = r.put(ctx, duty)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ill := err != nil; ill != r.failing && ctx.Err() == nil {
		r.failing = ill
		slog.Info("load_report", "reported", !ill, "error", fmt.Sprint(err))
	}
	return advice, err
}

func (r *Reporter) put(ctx context.Context, duty string) (retryAfter time.Duration, err error) {
	body := bytes.NewReader([]byte(`{"duty":"` + duty + `"}`))
	r.mu.Lock()
	to := "http://" + r.address + r.path
	r.mu.Unlock()
	call, err := http.NewRequestWithContext(ctx, http.MethodPut, to, body)
	if err != nil {
		return 0, err
	}
	answer, err := r.client.Do(call)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.CopyN(io.Discard, answer.Body, int64(r.bounds.LineSize)) // so that the connection can be used again
	if answer.StatusCode != http.StatusNoContent {
		return parseRetryAfter(answer.Header.Get("Retry-After"), time.Now()), fmt.Errorf("%w %d", errStatus, answer.StatusCode)
	}
	return 0, nil
}

// parseRetryAfter is how long a Retry-After asks to stay away, in seconds or as a date (RFC 9110, 10.2.3); 0 if it can't be read.
func parseRetryAfter(word string, now time.Time) time.Duration {
	if s, err := strconv.ParseUint(word, 10, 31); err == nil {
		return time.Duration(s) * time.Second
	}
	if at, err := http.ParseTime(word); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
