// Package registration sends a backend's load reports to the endpoint registry, which keep the backend in the endpoint
// list of the edge nodes, and deregisters the backend at shutdown. Package reportpacing decides when a report is due.
package registration

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// fixedInFlightFactor is the factor by which fixed pacing raises the maximum number of reports in flight.
const fixedInFlightFactor = 2

// Reporter sends load reports at the times that its pacer sets. A report does not wait for the previous one to end, so
// that the entry does not expire if the registry responds more slowly than the report interval. Run must be called only
// once; Deregister and SetAddress may be called from any goroutine.
type Reporter struct {
	path           string // of the registry's entry
	bounds         limits.Bounds
	client         *http.Client
	pacer          *reportpacing.Pacer // used only by Run
	startedAt      time.Time           // origin of the pacer's clock
	deregister     chan struct{}       // closed by Deregister
	deregisterOnce sync.Once
	addressChanged chan struct{} // wakes Run
	results        chan result   // with capacity for all reports in flight

	mu      sync.Mutex // guards address and failing
	address string     // host and port of the registry
	failing bool       // the last report to end has failed
}

// result is the result of a load report.
type result struct {
	startedAt  monotime.Micros
	err        error         // nil: the registry has accepted the report
	retryAfter time.Duration // the registry's Retry-After; 0: none
}

// New returns a reporter for the backend with the given name. address is the registry's host and port. fixed turns off
// jitter and backoff, for comparison.
func New(address, name string, bounds limits.Bounds, fixed bool) *Reporter {
	pacing := pacingConfig(bounds, fixed)
	// The seed must differ between processes. It is not taken from the settings, where backends that start at the same
	// time may have the same seed.
	seed := rand.Uint64() ^ xxhash.Sum64String(name)
	return &Reporter{
		path:           "/roster/" + url.PathEscape(name),
		bounds:         bounds,
		client:         newClient(bounds, pacing.InFlight),
		pacer:          reportpacing.New(pacing, seed),
		startedAt:      time.Now(),
		deregister:     make(chan struct{}),
		addressChanged: make(chan struct{}, 1),
		results:        make(chan result, pacing.InFlight),
		address:        address,
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
		config.RetryMin = monotime.FromDuration(bounds.DeregisterRetry)
		config.InFlight = fixedInFlightFactor * bounds.ReportsInFlight
	}
	return config
}

// now returns the time on the pacer's clock, which is the time since New.
func (r *Reporter) now() monotime.Micros { return monotime.FromDuration(time.Since(r.startedAt)) }

// Deregister makes Run deregister the backend immediately and return once the registry has accepted that. Further calls
// have no effect.
func (r *Reporter) Deregister() { r.deregisterOnce.Do(func() { close(r.deregister) }) }

// SetAddress changes the registry's address and makes Run restart the pacing of reports for the new address.
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
	default: // a wake-up of Run is already pending
	}
}

// Run sends reports until the registry has accepted a deregistration or the context is canceled, and then waits for the
// reports in flight.
func (r *Reporter) Run(ctx context.Context) {
	defer r.client.CloseIdleConnections()
	var reports sync.WaitGroup
	defer reports.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	inFlight := 0
	addressSince := r.now()
	r.pacer.Start(addressSince)
	for {
		var due <-chan time.Time
		if at, mayReport := r.pacer.Due(); mayReport {
			timer.Reset(max(0, at-r.now()).Duration())
			due = timer.C
		}
		select {
		case <-due:
			now := r.now()
			r.pacer.Started(now)
			inFlight++
			reports.Go(func() {
				retryAfter, err := r.report(ctx, inService)
				r.results <- result{startedAt: now, err: err, retryAfter: retryAfter}
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

// pace passes the result of a report to the pacer. The results of reports to a former address are ignored, as they say
// nothing about the current one.
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

// report sends one report, and logs when reports begin to fail or to succeed again. retryAfter is the registry's
// Retry-After, 0 if there was none.
func (r *Reporter) report(ctx context.Context, state availability) (retryAfter time.Duration, err error) {
	retryAfter, err = r.sendReport(ctx, state)
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed := err != nil; failed != r.failing && ctx.Err() == nil {
		r.failing = failed
		slog.Info("load_report", "reported", !failed, "error", fmt.Sprint(err))
	}
	return retryAfter, err
}
