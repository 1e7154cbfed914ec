// Package registration sends a backend's load reports to the endpoint registry, so that the backend is in the endpoint list of
// the edge nodes, and deregisters it at shutdown. Package reportpacing decides when a report is due.
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
	"milletbarrow/monotime"
)

// Reporter sends load reports when its pacer has them due. A report does not wait for the one before: a registry that is slower
// to answer than the report interval must not lose the entry. Run is called once; Deregister and SetAddress may be called from
// any goroutine.
type Reporter struct {
	path           string
	bounds         limits.Bounds
	client         *http.Client
	pacer          *reportpacing.Pacer // used by Run alone
	startedAt      time.Time
	deregister     chan struct{}
	deregisterOnce sync.Once
	addressChanged chan struct{}
	results        chan result // has capacity for all reports in flight

	mu      sync.Mutex
	address string
	failing bool // the last report that ended has failed
}

// result is a report that has ended.
type result struct {
	startedAt  monotime.Micros
	err        error
	retryAfter time.Duration
}

// New makes a reporter for the backend of that name; address is the registry's host and port. fixed turns jitter and growing
// pauses off: for comparison.
func New(address, name string, bounds limits.Bounds, fixed bool) *Reporter {
	pacing := pacingConfig(bounds, fixed)
	return &Reporter{
		path: "/roster/" + url.PathEscape(name), address: address, bounds: bounds, deregister: make(chan struct{}),
		// The seed is the process's own: backends that start at the same time may have the same seed in their configurations.
		pacer: reportpacing.New(pacing, rand.Uint64()^xxhash.Sum64String(name)), startedAt: time.Now(),
		results: make(chan result, pacing.InFlight), addressChanged: make(chan struct{}, 1),
		client: &http.Client{
			Timeout:       bounds.ReportTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				MaxConnsPerHost: pacing.InFlight + 2, MaxIdleConnsPerHost: 1, DisableCompression: true,
				IdleConnTimeout: 4 * bounds.ReportInterval, MaxResponseHeaderBytes: int64(bounds.LineSize),
			},
		},
	}
}

// pacingConfig returns the pacer's configuration under these bounds.
func pacingConfig(bounds limits.Bounds, fixed bool) reportpacing.Config {
	config := reportpacing.Config{
		Interval:      monotime.FromDuration(bounds.ReportInterval),
		TTL:           monotime.FromDuration(bounds.RegistrationTTL),
		RetryMin:      monotime.FromDuration(bounds.ReportRetryMin),
		RetryRefused:  monotime.FromDuration(bounds.ReportRetryRefused),
		RetryInitial:  monotime.FromDuration(bounds.ReportRetryInitial),
		RetryMax:      monotime.FromDuration(bounds.ReportRetryMax),
		RetryAfterMax: monotime.FromDuration(bounds.RetryAfterMax),
		InFlight:      bounds.ReportsInFlight,
		Fixed:         fixed,
	}
	if fixed {
		config.RetryMin, config.InFlight = monotime.FromDuration(bounds.DeregisterRetry), 2*bounds.ReportsInFlight
	}
	return config
}

// now returns the pacer's time: that since the reporter was made.
func (r *Reporter) now() monotime.Micros { return monotime.FromDuration(time.Since(r.startedAt)) }

// Deregister makes Run report off at once, until the registry has accepted it, and nothing else after it. Further calls do
// nothing.
func (r *Reporter) Deregister() { r.deregisterOnce.Do(func() { close(r.deregister) }) }

// SetAddress changes the registry's address; the next report, sent at once, goes there.
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

// Run reports until the registry has accepted a deregistration, or the context ends, and then waits for the reports in flight.
func (r *Reporter) Run(ctx context.Context) {
	defer r.client.CloseIdleConnections()
	var reports sync.WaitGroup
	defer reports.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	addressSince, inFlight := r.now(), 0
	r.pacer.Start(addressSince)
	for {
		var due <-chan time.Time
		if at, mayReport := r.pacer.Due(); mayReport {
			timer.Reset(time.Duration(max(0, at-r.now())) * time.Microsecond)
			due = timer.C
		}
		select {
		case <-due:
			now := r.now()
			r.pacer.Started(now)
			inFlight++
			reports.Go(func() {
				retryAfter, err := r.report(ctx, "on")
				r.results <- result{now, err, retryAfter}
			})
		case ended := <-r.results:
			inFlight--
			r.pace(ended, addressSince)
		case <-r.addressChanged:
			addressSince = r.now()
			r.pacer.Start(addressSince)
		case <-r.deregister:
			r.deregisterUntilAccepted(ctx, &reports, inFlight)
			return
		case <-ctx.Done():
			return
		}
	}
}

// pace passes the result of a report on to the pacer. Results of reports to a former address say nothing about this one.
func (r *Reporter) pace(ended result, addressSince monotime.Micros) {
	switch now := r.now(); {
	case ended.startedAt < addressSince:
		r.pacer.Abandoned()
	case ended.err == nil:
		r.pacer.Succeeded(now, ended.startedAt)
	default:
		r.pacer.Failed(now, failureOf(ended.err), monotime.FromDuration(ended.retryAfter))
	}
}

// failureOf returns how a report with this error failed.
func failureOf(err error) reportpacing.Failure {
	var netError net.Error
	switch {
	case errors.As(err, &netError) && netError.Timeout():
		return reportpacing.TimedOut
	case errors.Is(err, syscall.ECONNREFUSED):
		return reportpacing.Refused
	}
	return reportpacing.Rejected
}

// wasNotCounted reports whether a report with this error can't be counted any more: the registry has said so, or was not reached.
func wasNotCounted(err error) bool {
	var status *StatusError
	return errors.As(err, &status) || errors.Is(err, syscall.ECONNREFUSED)
}

// deregisterUntilAccepted reports off, with a growing pause, until the registry has accepted it at its latest address. A report
// in flight may arrive after it and would register the backend again: off is repeated once that report has ended. Where it
// ended without a response it may still be counted at any time, so off is repeated for as long as the process runs.
func (r *Reporter) deregisterUntilAccepted(ctx context.Context, reports *sync.WaitGroup, inFlight int) {
	accepted := make(chan error, 1)
	send := func() {
		reports.Go(func() {
			_, err := r.report(ctx, "off")
			accepted <- err
		})
	}
	pause := r.bounds.DeregisterRetry
	retry := time.NewTimer(pause)
	defer retry.Stop()
	sending, needed, mayBeCounted := true, false, false
	for send(); sending || needed || mayBeCounted || inFlight > 0; {
		select {
		case err := <-accepted:
			sending, needed = false, needed || err != nil
		case ended := <-r.results:
			inFlight--
			needed = true
			mayBeCounted = mayBeCounted || ended.err != nil && !wasNotCounted(ended.err)
		case <-r.addressChanged:
			needed, pause = true, r.bounds.DeregisterRetry
			retry.Reset(0)
		case <-retry.C:
			if (needed || mayBeCounted) && !sending {
				sending, needed = true, false
				send()
				pause = min(2*pause, r.bounds.ReportInterval)
			}
			retry.Reset(pause/2 + rand.N(pause))
		case <-ctx.Done():
			return
		}
	}
}

// report makes one report, and logs when reports begin to fail or to succeed. retryAfter is the registry's Retry-After, 0 if none.
func (r *Reporter) report(ctx context.Context, duty string) (retryAfter time.Duration, err error) {
	retryAfter, err = r.put(ctx, duty)
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed := err != nil; failed != r.failing && ctx.Err() == nil {
		r.failing = failed
		slog.Info("load_report", "reported", !failed, "error", fmt.Sprint(err))
	}
	return retryAfter, err
}

// put makes the registry call of one report. The error is a *StatusError, or that of the call.
func (r *Reporter) put(ctx context.Context, duty string) (retryAfter time.Duration, err error) {
	body := bytes.NewReader([]byte(`{"duty":"` + duty + `"}`))
	r.mu.Lock()
	target := "http://" + r.address + r.path
	r.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, body)
	if err != nil {
		return 0, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.CopyN(io.Discard, response.Body, int64(r.bounds.LineSize)) // so that the connection can be reused
	if response.StatusCode != http.StatusNoContent {
		return parseRetryAfter(response.Header.Get("Retry-After"), time.Now()), &StatusError{Code: response.StatusCode}
	}
	return 0, nil
}

// parseRetryAfter returns the delay that a Retry-After header asks for, in seconds or as a date (RFC 9110, 10.2.3); 0 if it
// can't be read.
func parseRetryAfter(header string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(header, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(header); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
