package quotastore

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/failpoint"
)

// propose has a command replicated, and waits until it is applied here.
func (n *Store) propose(r *raft.Raft, c quota.Command) (res quota.Result, err error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return res, err
	}
	if failpoint.Enabled(failpoint.AnswerEarly) && c.Renew != nil {
		return n.answerBeforeCommit(r, raw)
	}
	f := r.Apply(raw, applyTimeout)
	if err := f.Error(); err != nil {
		return res, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	res, ok := f.Response().(quota.Result)
	if !ok {
		return res, fmt.Errorf("ledger: %v", f.Response())
	}
	failpoint.CrashAt(failpoint.AfterReplicated)
	for _, l := range res.Events {
		n.emit(l)
	}
	return res, nil
}

// unproven is what failpoint.AnswerEarly does: it answers from a copy.
func (n *Store) answerBeforeCommit(r *raft.Raft, raw []byte) (res quota.Result, err error) {
	was, err := n.snapshot()
	if err != nil {
		return res, err
	}
	copied := &Store{}
	if err := copied.restore(bytes.NewReader(was)); err != nil {
		return res, err
	}
	f := r.Apply(raw, applyTimeout)
	go func() { _ = f.Error() }() // its outcome shows in the log alone; ends with applyTimeout
	return copied.apply(raw), nil
}
