package quotastore

import (
	"encoding/json"
	"io"
	"net/http"

	"milletbarrow/internal/cluster/quota"
)

// maxCommandMessages is how many times the length of a message a command may have: it carries a whole host's requests.
const maxCommandMessages = 16

// RegisterHandlers answers the calls of other agents on mux.
func (s *Store) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathLogPosition, s.handleLogPosition)
	mux.HandleFunc("POST "+pathDo, s.handleDo)
	mux.HandleFunc("POST "+pathStatus, s.handleStatus)
}

func (s *Store) handleLogPosition(w http.ResponseWriter, _ *http.Request) {
	if s.log == nil {
		http.Error(w, "outside the group", http.StatusNotFound)
		return
	}
	position, err := s.log.position()
	writeAnswer(w, position, err)
}

func (s *Store) handleDo(w http.ResponseWriter, r *http.Request) {
	var c quota.Command
	body := io.LimitReader(r.Body, maxCommandMessages*int64(s.config.Bounds.MessageSize))
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Config, c.Expire, c.Rebalance, c.FreezeGrowth = nil, nil, false, false // for the leader alone to say
	l := s.leadership()
	if !l.leads() {
		writeNotLeader(w, l.leader)
		return
	}
	res, err := s.doAsLeader(l, c)
	writeAnswer(w, res, err)
}

func (s *Store) handleStatus(w http.ResponseWriter, _ *http.Request) {
	l := s.leadership()
	if !l.leads() {
		writeNotLeader(w, l.leader)
		return
	}
	status, err := s.statusAsLeader(l)
	writeAnswer(w, status, err)
}

// writeNotLeader names the host that this one believes to lead.
func writeNotLeader(w http.ResponseWriter, leader string) {
	w.WriteHeader(http.StatusMisdirectedRequest)
	_ = json.NewEncoder(w).Encode(notLeader{leader}) // the caller sees a connection that breaks
}

func writeAnswer(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(answer) // the caller sees a connection that breaks
}
