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
	// pendingElectionTimeout bounds the remaining duration of an election in which this member voted before its
	// restart.
	pendingElectionTimeout = 2*electionTimeout + heartbeatTimeout

	// assessInterval is the time between two rounds of requests for the other members' log positions.
	assessInterval = 200 * time.Millisecond

	// assessCallTimeoutDivisor is the ratio of the time limit of a call to that of a log position request.
	assessCallTimeoutDivisor = 2

	eventBehind = "ledger behind"
)

// assessEligibility determines from the log positions of the other members whether this directory may be an older
// copy. It polls until enough members have responded, and returns a zero value if ctx ends first.
func (s *Store) assessEligibility(ctx context.Context) (quorum.Eligibility, error) {
	own, err := s.log.position()
	if err != nil {
		return quorum.Eligibility{}, fmt.Errorf("read the end of the quota store's log: %w", err)
	}
	members := s.members()
	others := slices.DeleteFunc(slices.Clone(members), func(member string) bool { return member == s.config.Host })
	if len(others) == 0 || s.config.TrustDir {
		return quorum.Assess(own, nil), nil
	}
	if !own.Empty() { // an election in which this member voted must end before the others report their positions
		sleep(ctx, pendingElectionTimeout)
	}
	positionByHost := map[string]quorum.LogPosition{}
	for ctx.Err() == nil {
		s.fetchLogPositions(ctx, others, positionByHost)
		if quorum.EnoughResponses(len(members), len(positionByHost)) {
			return s.assess(own, positionByHost), nil
		}
		s.setStage(stageWaiting, fmt.Sprintf(
			"%d of %d other members responded: too few to rule out that this directory is an older copy",
			len(positionByHost), len(others)))
		sleep(ctx, assessInterval)
	}
	return quorum.Eligibility{}, nil
}

// fetchLogPositions requests the log position of each other member once and adds the responses to positionByHost.
func (s *Store) fetchLogPositions(
	ctx context.Context, others []string, positionByHost map[string]quorum.LogPosition,
) {
	for _, host := range others {
		if position, err := s.fetchLogPosition(ctx, host); err == nil {
			positionByHost[host] = position
		}
	}
}

func (s *Store) fetchLogPosition(ctx context.Context, host string) (position quorum.LogPosition, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Bounds.CallTimeout/assessCallTimeoutDivisor)
	defer cancel()
	err = s.config.Transport.Call(ctx, host, pathLogPosition, nil, &position)
	return position, err
}

// assess compares this member's log with those of the members that responded, and logs the result.
func (s *Store) assess(own quorum.LogPosition, positionByHost map[string]quorum.LogPosition) quorum.Eligibility {
	eligibility := quorum.Assess(own, slices.Collect(maps.Values(positionByHost)))
	required := eligibility.RequiredLog.Index
	slog.Info("quota_store_position",
		"term", own.Term, "index", own.Index, "heard", len(positionByHost), "behind", eligibility.Behind,
		"group_term", eligibility.AdoptTerm, "group_index", required, "first", eligibility.Bootstrap)
	if eligibility.Behind {
		cause := fmt.Sprintf(
			"its log ends at entry %d, the group's at %d: until it has that, it votes only for members that do",
			own.Index, required)
		s.emit(quota.Event{Name: s.config.Host, Kind: eventBehind, Cause: cause})
	}
	return eligibility
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
