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
	path   string
	bounds limits.Bounds
	client *http.Client
	pace   *reportpacing.Pacer // Keep's
	began  time.Time
	off    chan struct{}
	once   sync.Once
	moved  chan struct{} // the roster is at another address
	ended  chan report   // room for all that may be on their way

	mu      sync.Mutex
	address string
	ill     bool // the last report to end did not arrive
}

// report is one that has ended.
type report struct {
	begun  reportpacing.Micros
	err    error
	advice time.Duration
}

// New makes a reporter for the backend of that name. fixed: in step with the clock, as baselines are.
func New(address, name string, bounds limits.Bounds, fixed bool) *Reporter {
	t := reportpacing.Config{
		Usual: micros(bounds.ReportInterval), Lapse: micros(bounds.RegistrationTTL), Least: micros(bounds.ReportRetryMin), Closed: micros(bounds.ReportRetryRefused),
		First: micros(bounds.ReportRetryInitial), Most: micros(bounds.ReportRetryMax), Advice: micros(bounds.RetryAfterMax), OnWay: bounds.ReportsInFlight, Fixed: fixed,
	}
	if fixed {
		t.Least, t.OnWay = micros(bounds.DeregisterRetry), 2*bounds.ReportsInFlight
	}
	return &Reporter{
		path: "/roster/" + url.PathEscape(name), address: address, bounds: bounds, off: make(chan struct{}),
		// Chance of the process's own: backends that start at one instant may have one seed in their configurations.
		pace: reportpacing.New(t, rand.Uint64()^xxhash.Sum64String(name)), began: time.Now(),
		ended: make(chan report, t.OnWay), moved: make(chan struct{}, 1),
		client: &http.Client{
			Timeout:       bounds.ReportTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				MaxConnsPerHost: t.OnWay + 2, MaxIdleConnsPerHost: 1, DisableCompression: true,
				IdleConnTimeout: 4 * bounds.ReportInterval, MaxResponseHeaderBytes: int64(bounds.LineSize),
			},
		},
	}
}

func micros(d time.Duration) reportpacing.Micros { return reportpacing.Micros(d.Microseconds()) }

func (r *Reporter) now() reportpacing.Micros { return micros(time.Since(r.began)) }

// Deregister has off reported at once, until it is taken, and nothing else after it: the entry lapses then.
func (r *Reporter) Deregister() { r.once.Do(func() { close(r.off) }) }

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
	case r.moved <- struct{}{}:
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
	r.pace.Start(opened)
	for {
		var due <-chan time.Time
		if at, room := r.pace.Due(); room {
			timer.Reset(time.Duration(max(0, at-r.now())) * time.Microsecond)
			due = timer.C
		}
		select {
		case <-due:
			now := r.now()
			r.pace.Started(now)
			onWay++
			going.Go(func() {
				advice, err := r.tell(ctx, "on")
				r.ended <- report{now, err, advice}
			})
		case e := <-r.ended:
			onWay--
			switch now := r.now(); {
			case e.begun < opened:
				r.pace.Abandoned()
			case e.err == nil:
				r.pace.Succeeded(now, e.begun)
			default:
				r.pace.Failed(now, missed(e.err), micros(e.advice))
			}
		case <-r.moved:
			opened = r.now()
			r.pace.Start(opened)
		case <-r.off:
			r.leave(ctx, &going, onWay)
			return
		case <-ctx.Done():
			return
		}
	}
}

// errStatus: the roster has answered, and not counted it.
var errStatus = errors.New("status")

func missed(err error) reportpacing.Failure {
	var slow net.Error
	switch {
	case errors.As(err, &slow) && slow.Timeout():
		return reportpacing.TimedOut
	case errors.Is(err, syscall.ECONNREFUSED):
		return reportpacing.Refused
	}
	return reportpacing.Rejected
}

// leave says off until the roster has taken it, wherever it is moved to, in growing pauses. A report on its way may be
// overtaken by it, and would list for good what leaves: off is said again once that has ended. Where it ended without an
// answer it may still come to pass at any time, so off is said as long as this process lives.
func (r *Reporter) leave(ctx context.Context, going *sync.WaitGroup, onWay int) {
	taken := make(chan error, 1)
	say := func() {
		going.Go(func() {
			_, err := r.tell(ctx, "off")
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
		case e := <-r.ended:
			onWay--
			owed = true
			stray = stray || e.err != nil && !errors.Is(e.err, errStatus) && !errors.Is(e.err, syscall.ECONNREFUSED)
		case <-r.moved:
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

// tell makes one report and logs it if it fares other than the one before.
func (r *Reporter) tell(ctx context.Context, duty string) (advice time.Duration, err error) {
	advice, err = r.report(ctx, duty)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ill := err != nil; ill != r.ill && ctx.Err() == nil {
		r.ill = ill
		slog.Info("load_report", "reported", !ill, "error", fmt.Sprint(err))
	}
	return advice, err
}

func (r *Reporter) report(ctx context.Context, duty string) (advice time.Duration, err error) {
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
		return advised(answer.Header.Get("Retry-After"), time.Now()), fmt.Errorf("%w %d", errStatus, answer.StatusCode)
	}
	return 0, nil
}

// advised is how long a Retry-After asks to stay away, in seconds or as a date (RFC 9110, 10.2.3); 0 if it can't be read.
func advised(word string, now time.Time) time.Duration {
	if s, err := strconv.ParseUint(word, 10, 31); err == nil {
		return time.Duration(s) * time.Second
	}
	if at, err := http.ParseTime(word); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
