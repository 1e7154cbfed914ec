package quotastore

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/quota"
)

const (
	// openElection is how long an election that this member voted in before it was started anew may still go on.
	openElection = 2*electionTimeout + heartbeatTimeout
	// assessInterval is the time between two rounds of asking the other members.
	assessInterval = 200 * time.Millisecond
)

// assessEligibility finds out whether this directory may be an older copy, from the log positions of enough other members.
// It goes on until enough have answered, and returns a zero value when ctx ends before.
func (s *Store) assessEligibility(ctx context.Context) (quorum.Eligibility, error) {
	own, err := s.log.position()
	if err != nil {
		return quorum.Eligibility{}, err
	}
	members := s.members()
	others := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == s.config.Host })
	if len(others) == 0 || s.config.TrustDir {
		return quorum.Assess(own, nil), nil
	}
	if !own.Empty() { // an election in which this member voted must be over when the others are asked
		sleep(ctx, openElection)
	}
	heard := map[string]quorum.LogPosition{}
	for ctx.Err() == nil {
		s.askLogPositions(ctx, others, heard)
		if quorum.EnoughResponses(len(members), len(heard)) {
			return s.assess(own, heard), nil
		}
		s.setStage("waiting", fmt.Sprintf("heard from %d of the group, which is too few to know that this directory is no older copy", len(heard)))
		sleep(ctx, assessInterval)
	}
	return quorum.Eligibility{}, nil
}

// askLogPositions asks each of the other members once and stores the answers.
func (s *Store) askLogPositions(ctx context.Context, others []string, heard map[string]quorum.LogPosition) {
	for _, host := range others {
		callCtx, cancel := context.WithTimeout(ctx, s.config.Bounds.CallTimeout/2)
		var position quorum.LogPosition
		if err := s.config.Transport.Call(callCtx, host, pathLogPosition, nil, &position); err == nil {
			heard[host] = position
		}
		cancel()
	}
}

// assess judges this member's log by those of enough others, and reports the result.
func (s *Store) assess(own quorum.LogPosition, heard map[string]quorum.LogPosition) quorum.Eligibility {
	e := quorum.Assess(own, slices.Collect(maps.Values(heard)))
	slog.Info("quota_store_position", "term", own.Term, "index", own.Index, "heard", len(heard), "behind", e.Behind,
		"group_term", e.AdoptTerm, "group_index", e.RequiredLog.Index, "first", e.Bootstrap)
	if e.Behind {
		cause := fmt.Sprintf("has entry %d, the group %d: it votes for none that has less, until it has that", own.Index, e.RequiredLog.Index)
		s.emit(quota.Event{Name: s.config.Host, Kind: "ledger behind", Cause: cause})
	}
	return e
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
