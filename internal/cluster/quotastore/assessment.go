package quotastore

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/quota"
)

// logPosition is what this member has written down.
func (n *Store) logPosition() (s quorum.LogPosition, err error) {
	if s.Term, err = n.log.GetUint64([]byte("CurrentTerm")); err != nil {
		return s, err
	}
	if s.Index, err = n.log.LastIndex(); err != nil || s.Index == 0 {
		return s, err
	}
	var last raft.Log
	err = n.log.GetLog(s.Index, &last)
	s.LogTerm = last.Term
	return s, err
}

// assessEligibility finds out whether this directory may be an older copy, from what enough others of the group have written down.
func (n *Store) assessEligibility(ctx context.Context) (quorum.Eligibility, error) {
	own, err := n.logPosition()
	if err != nil {
		return quorum.Eligibility{}, err
	}
	others := slices.DeleteFunc(slices.Clone(n.config.Members), func(m string) bool { return m == n.config.Host })
	if len(others) == 0 || n.config.TrustDir {
		return quorum.Assess(own, nil), nil
	}
	if !own.Empty() { // an election in which this member voted before must be over when the others are asked
		select {
		case <-time.After(2*electionTimeout + heartbeatTimeout):
		case <-ctx.Done():
		}
	}
	heard := map[string]quorum.LogPosition{}
	for ctx.Err() == nil {
		for _, m := range others {
			ask, cancel := context.WithTimeout(ctx, n.config.Bounds.Call/2)
			var s quorum.LogPosition
			if err := n.config.Transport.Call(ask, m, "/ledger/standing", nil, &s); err == nil {
				heard[m] = s
			}
			cancel()
		}
		if quorum.EnoughResponses(len(n.config.Members), len(heard)) {
			var all []quorum.LogPosition
			for _, s := range heard {
				all = append(all, s)
			}
			f := quorum.Assess(own, all)
			slog.Info("ledger_standing", "term", own.Term, "index", own.Index, "heard", len(heard), "behind", f.Behind,
				"group_term", f.AdoptTerm, "group_index", f.RequiredLog.Index, "first", f.Bootstrap)
			if f.Behind {
				n.emit(quota.Event{Name: n.config.Host, Kind: "ledger behind", Cause: fmt.Sprintf("has entry %d, the group %d: it votes for none that has less, until it has that", own.Index, f.RequiredLog.Index)})
			}
			return f, nil
		}
		n.setStage("waiting", fmt.Sprintf("heard from %d of the group, which is too few to know that this directory is no older copy", len(heard)))
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return quorum.Eligibility{}, nil
}
