package quotastore

import (
	"encoding/json"
	"io"
	"net/http"

	"milletbarrow/internal/cluster/quota"
)

// RegisterHandlers answers other agents on mux.
func (n *Store) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /ledger/standing", func(w http.ResponseWriter, _ *http.Request) {
		if n.log == nil {
			http.Error(w, "outside the group", http.StatusNotFound)
			return
		}
		s, err := n.logPosition()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(s)
	})
	mux.HandleFunc("POST /ledger/do", func(w http.ResponseWriter, r *http.Request) {
		var c quota.Command
		if err := json.NewDecoder(io.LimitReader(r.Body, 16*int64(n.config.Bounds.Message))).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.Config, c.Expire, c.Rebalance, c.FreezeGrowth = nil, nil, false, false // the leader's own words
		res, leader, ok, err := n.local(c)
		writeAnswer(w, res, leader, ok, err)
	})
	mux.HandleFunc("POST /ledger/view", func(w http.ResponseWriter, _ *http.Request) {
		v, leader, ok, err := n.localStatus()
		writeAnswer(w, v, leader, ok, err)
	})
}

func writeAnswer(w http.ResponseWriter, v any, leader string, ok bool, err error) {
	switch {
	case !ok:
		w.WriteHeader(http.StatusMisdirectedRequest)
		_ = json.NewEncoder(w).Encode(notLeader{leader})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(v)
	}
}
