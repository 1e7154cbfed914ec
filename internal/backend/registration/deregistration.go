package registration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// deregistrationBackoffFactor is the factor by which the pause between deregistrations grows.
const deregistrationBackoffFactor = 2

// deregistration is the state of a backend's deregistration.
//
// Invariants:
//   - At most one deregistration is in flight (TestDeregistersAtNewAddress).
//   - It is complete only once the registry at the latest address has accepted a deregistration that was sent after all
//     reports had ended (TestDeregistrationOvertakesReport, TestDeregistersAtNewAddress, TestDeregistersUntilAccepted).
//   - It is never complete after a report without a response (TestDeregistersAgainAfterReportWithoutResponse).
type deregistration struct {
	inFlight          bool // a deregistration is in flight
	needed            bool // another one is needed: the last one failed, a report ended since, or the address changed
	reportUnconfirmed bool // a report ended without a response: the registry may still accept it at any time
	reportsInFlight   int
}

// complete reports whether no further deregistration is needed.
func (d *deregistration) complete() bool {
	return !d.inFlight && !d.needed && !d.reportUnconfirmed && d.reportsInFlight == 0
}

// mayStart reports whether to send another deregistration now.
func (d *deregistration) mayStart() bool { return (d.needed || d.reportUnconfirmed) && !d.inFlight }

// started records that a deregistration was sent.
func (d *deregistration) started() {
	d.inFlight = true
	d.needed = false
}

// ended records the end of the deregistration in flight.
func (d *deregistration) ended(err error) {
	d.inFlight = false
	d.needed = d.needed || err != nil
}

// reportEnded records the end of a report, which may have registered the backend again.
func (d *deregistration) reportEnded(err error) {
	d.reportsInFlight--
	d.needed = true
	d.reportUnconfirmed = d.reportUnconfirmed || err != nil && !cannotBeAccepted(err)
}

// deregisterUntilAccepted sends deregistrations, with backoff, until the registry at the latest address has accepted
// one. A report in flight may reach the registry after the deregistration and would register the backend again, so the
// deregistration is repeated once that report has ended. If a report ended without a response, the registry may still
// accept it at any time, and the deregistration is repeated for as long as the process runs.
func (r *Reporter) deregisterUntilAccepted(ctx context.Context, reports *sync.WaitGroup, reportsInFlight int) {
	progress := deregistration{reportsInFlight: reportsInFlight}
	results := make(chan error, 1)
	send := func() {
		progress.started()
		reports.Go(func() {
			_, err := r.report(ctx, outOfService)
			results <- err
		})
	}
	pause := r.bounds.DeregisterRetry
	retry := time.NewTimer(pause)
	defer retry.Stop()
	send()
	for !progress.complete() {
		select {
		case err := <-results:
			progress.ended(err)
		case report := <-r.results:
			progress.reportEnded(report.err)
		case <-r.addressChanged:
			progress.needed = true
			pause = r.bounds.DeregisterRetry
			retry.Reset(0)
		case <-retry.C:
			if progress.mayStart() {
				send()
				pause = min(deregistrationBackoffFactor*pause, r.bounds.ReportInterval)
			}
			retry.Reset(jittered(pause))
		case <-ctx.Done():
			return
		}
	}
}

// jittered returns a random pause between 0.5 and 1.5 times the given one.
func jittered(pause time.Duration) time.Duration {
	const half = 2
	return pause/half + rand.N(pause)
}
