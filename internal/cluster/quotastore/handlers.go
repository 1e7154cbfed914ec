package quotastore

import (
	"encoding/json"
	"io"
	"net/http"

	"milletbarrow/internal/cluster/quota"
)

// maxCommandMessages bounds the size of a command, in maximum messages: it may contain the requests of a whole host.
const maxCommandMessages = 16

// RegisterHandlers registers the handlers for calls of other agents.
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
	var command quota.Command
	body := io.LimitReader(r.Body, maxCommandMessages*int64(s.config.Bounds.MessageSize))
	if err := json.NewDecoder(body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	clearLeaderFields(&command)
	current := s.leadership()
	if !current.leads() {
		writeNotLeader(w, current.leader)
		return
	}
	result, err := s.doAsLeader(current, command)
	writeAnswer(w, result, err)
}

// clearLeaderFields clears the fields of a command that only the leader itself may set.
func clearLeaderFields(command *quota.Command) {
	command.Config = nil
	command.Expire = nil
	command.Rebalance = false
	command.FreezeGrowth = false
}

func (s *Store) handleStatus(w http.ResponseWriter, _ *http.Request) {
	current := s.leadership()
	if !current.leads() {
		writeNotLeader(w, current.leader)
		return
	}
	status, err := s.statusAsLeader(current)
	writeAnswer(w, status, err)
}

// writeNotLeader names the host that this one believes to lead.
func writeNotLeader(w http.ResponseWriter, leader string) {
	writeJSON(w, http.StatusMisdirectedRequest, notLeader{Leader: leader})
}

func writeAnswer(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	encoded, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n')) // the caller sees a broken connection
}
