package registration

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// nothingWithin reports whether nothing is received for 100 ms.
func nothingWithin(c <-chan string) bool {
	select {
	case <-c:
		return false
	case <-time.After(100 * time.Millisecond):
		return true
	}
}

// TestReports: reports go on however one ends, and the last one reports off.
func TestReports(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"as it should", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }},
		{"closing after each call", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusNoContent)
		}},
		{"another status", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusServiceUnavailable) }},
		{"a redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/elsewhere", http.StatusFound) }},
		{"cut off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"too slow", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	} {
		b := limits.For(1, 192, 1024)
		b.ReportInterval, b.ReportTimeout, b.ReportRetryInitial, b.ReportRetryMax = 10*time.Millisecond, 200*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond
		address, reports := fakes.NewRegistry(t, c.handler)
		r := New(address, "n3", b, false)
		done := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { r.Run(ctx); close(done) }()
		n := 3
		if c.name == "too slow" {
			n = b.ReportsInFlight
		}
		for range n {
			tr.Say("%s: %s", c.name, fakes.Take(t, "a report", reports))
		}
		if c.name == "too slow" { // none has ended
			tr.Say("  on their way: as many as may be, and no further within 100 ms %t", nothingWithin(reports))
		}
		r.Deregister()
		r.Deregister()
		off, last := 0, ""
		if c.name != "as it should" && c.name != "closing after each call" { // off is repeated
			for off < 3 {
				if last = fakes.Take(t, "a report", reports); strings.Contains(last, "off") {
					off++
				}
			}
			cancel()
		}
		fakes.Take(t, "the end", done)
		cancel()
		for len(reports) > 0 {
			last = <-reports
		}
		tr.Say("%s: the last: %s, said again and again until the end %t", c.name, last, off > 0)
	}
}

// TestTwoUnansweredReportsKeepTheEntry: two reports in a row are accepted and never answered. The next comes before the entry expires.
func TestTwoUnansweredReportsKeepTheEntry(t *testing.T) {
	b, release := limits.For(1, 192, 1024), make(chan struct{})
	var received atomic.Int32
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		if n := received.Add(1); n == 2 || n == 3 { // reports are sent one after the other
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	r := New(address, "n3", b, false)
	go func() { r.Run(ctx); close(done) }()
	fakes.Take(t, "the report that counts", reports)
	countedAt := time.Now()
	fakes.Take(t, "the first that is never answered", reports)
	fakes.Take(t, "the second", reports)
	fakes.Take(t, "the next", reports)
	if late := time.Since(countedAt); late > b.RegistrationTTL {
		t.Errorf("the next came after %v, the entry had expired", late)
	}
	close(release)
	cancel()
	fakes.Take(t, "the end", done)
}

// TestReturningRegistryIsReportedToSoon: a registry that returns gets a report soon, not only after the report interval.
func TestReturningRegistryIsReportedToSoon(t *testing.T) {
	tr := fakes.NewTrace(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	b := limits.For(1, 192, 1024)
	b.ReportInterval, b.ReportRetryRefused = time.Hour, 10*time.Millisecond
	r := New(l.Addr().String(), "n3", b, false)
	r.pacer = reportpacing.New(reportpacing.Config{RetryInitial: 10_000, RetryMax: 10_000, RetryRefused: 10_000, InFlight: 2}, 1) // else the first is due within an hour
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	fakes.Until(t, "a report failed", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.failing })
	l, err = net.Listen("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	reports := make(chan string, 1)
	s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		reports <- q.Method + " " + q.URL.Path
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	tr.Say("%s", fakes.Take(t, "a report", reports))
	cancel()
	fakes.Take(t, "the end", done)
}

// TestDeregistrationOvertakesReport: a slow report arrives after the first off; off is reported again after it.
func TestDeregistrationOvertakesReport(t *testing.T) {
	bodies, received := make(chan string, 16), make(chan struct{}, 16)
	s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		received <- struct{}{}
		if strings.Contains(string(body), "on") {
			time.Sleep(50 * time.Millisecond) // the off overtakes it
		}
		bodies <- string(body)
		w.WriteHeader(http.StatusNoContent)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	r := New(l.Addr().String(), "n3", limits.For(1, 192, 1024), false)
	done := make(chan struct{})
	go func() { r.Run(context.Background()); close(done) }()
	fakes.Take(t, "a report", received)
	r.Deregister()
	fakes.Take(t, "the end", done)
	var all []string
	for len(bodies) > 0 {
		all = append(all, <-bodies)
	}
	if want := []string{`{"duty":"off"}`, `{"duty":"on"}`, `{"duty":"off"}`}; !slices.Equal(all, want) {
		t.Errorf("the registry received %q, want %q", all, want)
	}
}

// TestUnreachableRegistryBlocksNothing: Run ends with its context though the registry refuses connections.
func TestUnreachableRegistryBlocksNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r := New(l.Addr().String(), "n3", limits.For(1, 192, 1024), false)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { r.Run(ctx); close(done) }()
	r.Deregister()
	fakes.Until(t, "a report failed", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.failing })
	cancel() // the process exits
	fakes.Take(t, "the end", done)
}

// respondWith returns a handler that responds with the statuses in the order of the reports. A report whose caller has given up takes
// none, and does not keep the registry from closing.
func respondWith(statuses <-chan int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case status := <-statuses:
			w.WriteHeader(status)
		case <-r.Context().Done():
		}
	}
}

// TestDeregistersUntilAccepted: off is reported until the registry accepts it, also where its address changes meanwhile; then
// nothing more.
func TestDeregistersUntilAccepted(t *testing.T) {
	tr := fakes.NewTrace(t)
	status, responses := http.StatusServiceUnavailable, make(chan int, 100)
	address, reports := fakes.NewRegistry(t, respondWith(responses))
	newAddress, newReports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	b := limits.For(1, 192, 1024)
	b.ReportInterval = 10 * time.Millisecond
	r := New(address, "n3", b, false)
	done := make(chan struct{})
	go func() { r.Run(context.Background()); close(done) }()
	responses <- http.StatusNoContent
	tr.Say("%s", fakes.Take(t, "a report", reports))
	r.Deregister()
	for n := 0; n < 2; {
		responses <- status
		if report := fakes.Take(t, "off again", reports); strings.Contains(report, "off") {
			n++
		}
	}
	r.SetAddress(newAddress)
	for range 10 {
		responses <- status // whatever was in flight there
	}
	tr.Say("moved: %s", fakes.Take(t, "off elsewhere", newReports))
	fakes.Take(t, "the end", done)
	tr.Say("nothing more: %t", nothingWithin(newReports))
}

// TestRetryAfterIsHonoured: Retry-After is read in both forms, and the next report waits for it.
func TestRetryAfterIsHonoured(t *testing.T) {
	now := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	for header, want := range map[string]time.Duration{
		"5": 5 * time.Second, "": 0, "-1": 0, "soon": 0, "99999999999": 0, now.Add(7 * time.Second).Format(http.TimeFormat): 7 * time.Second,
		now.Add(-time.Minute).Format(http.TimeFormat): 0,
	} {
		if got := parseRetryAfter(header, now); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
	address, reports := fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "later", http.StatusServiceUnavailable)
	})
	b := limits.For(1, 192, 1024)
	b.ReportInterval, b.ReportRetryInitial, b.ReportRetryMax = 10*time.Millisecond, 10*time.Millisecond, 10*time.Millisecond
	r := New(address, "n3", b, false)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { r.Run(ctx); close(done) }()
	fakes.Take(t, "a report", reports)
	startedAt := time.Now()
	fakes.Take(t, "the next", reports)
	if after := time.Since(startedAt); after < 900*time.Millisecond {
		t.Errorf("it came again after %v, it was asked to wait a second", after)
	}
	r.Deregister()
	cancel()
	fakes.Take(t, "the end", done)
}
