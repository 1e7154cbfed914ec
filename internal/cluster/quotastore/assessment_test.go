package quotastore

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestAssessmentWaitsForPendingElection checks that a member with a log requests the positions of the others only after
// an election in which it may have voted has ended. A new member requests them immediately.
func TestAssessmentWaitsForPendingElection(t *testing.T) {
	for _, hasLog := range []bool{false, true} {
		t.Run(fmt.Sprint("has a log: ", hasLog), func(t *testing.T) {
			members := []string{"h1", "h2", "h3"}
			requested := make(chan time.Time, 100)
			addresses := map[string]string{}
			for _, host := range members[1:] {
				other := openTestStore(t, host, nil, members...)
				mux := http.NewServeMux()
				other.RegisterHandlers(mux)
				serveCalls(t, other, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					requested <- time.Now()
					mux.ServeHTTP(w, r)
				}))
				addresses[host] = other.config.Transport.Address()
			}
			s := openTestStore(t, "h1", addresses, members...)
			if hasLog {
				if err := s.log.SetUint64(currentTermKey, 1); err != nil {
					t.Fatal(err)
				}
			}
			began := time.Now()
			if _, err := s.assessEligibility(t.Context()); err != nil {
				t.Fatal(err)
			}
			waited := (<-requested).Sub(began)
			if awaited := waited >= 2*electionTimeout+heartbeatTimeout; awaited != hasLog {
				t.Errorf("first request after %v; an election takes up to %v",
					waited, 2*electionTimeout+heartbeatTimeout)
			}
		})
	}
}
