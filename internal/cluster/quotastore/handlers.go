package quotastore

import (
	"encoding/json"
	"io"
	"net/http"

	"milletbarrow/internal/cluster/quota"
)

// maxCommandMessages bounds the size of a command as a multiple of the message size limit: a command may contain the
// requests of all instances of a host.
const maxCommandMessages = 16

// RegisterHandlers registers the handlers of calls from other agents.
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
	writeResponse(w, position, err)
}

func (s *Store) handleDo(w http.ResponseWriter, r *http.Request) {
	var command quota.Command
	body := io.LimitReader(r.Body, maxCommandMessages*int64(s.config.Bounds.MessageSize))
	if err := json.NewDecoder(body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	clearLeaderOnlyFields(&command)
	current := s.leadership()
	if !current.leads() {
		writeNotLeaderResponse(w, current.leader)
		return
	}
	result, err := s.doAsLeader(current, command)
	writeResponse(w, result, err)
}

// clearLeaderOnlyFields clears the fields of a command that only the leader itself may set.
func clearLeaderOnlyFields(command *quota.Command) {
	command.Config = nil
	command.Expire = nil
	command.Rebalance = false
	command.FreezeGrowth = false
}

func (s *Store) handleStatus(w http.ResponseWriter, _ *http.Request) {
	current := s.leadership()
	if !current.leads() {
		writeNotLeaderResponse(w, current.leader)
		return
	}
	status, err := s.statusAsLeader(current)
	writeResponse(w, status, err)
}

// writeNotLeaderResponse responds with the host of the presumed leader.
func writeNotLeaderResponse(w http.ResponseWriter, leader string) {
	writeJSON(w, http.StatusMisdirectedRequest, notLeaderResponse{Leader: leader})
}

func writeResponse(w http.ResponseWriter, response any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

func writeJSON(w http.ResponseWriter, status int, response any) {
	encoded, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n')) // on an error the caller sees a broken connection
}
