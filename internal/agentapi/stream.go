package agentapi

import (
	"encoding/json"
	"net/http"
	"time"

	"milletbarrow/internal/fleet"
)

// errTooManyStreams rejects a stream beyond limits.Control.Watchers.
var errTooManyStreams = &StatusError{Status: http.StatusTooManyRequests, Text: "too many open streams"}

// stream sends history entries as they are added: either all entries or those of one command. The last line of a
// command's stream has the command with its results. A client can reconnect after the last serial that it has read.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	select {
	case s.streams <- struct{}{}:
		defer func() { <-s.streams }()
	default:
		s.writeError(w, errTooManyStreams)
		return
	}
	after, err := parseAfter(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	if _, err := parseLimit(r); err != nil { // a stream ignores the limit, but an invalid one is rejected
		s.writeError(w, err)
		return
	}
	id := r.URL.Query().Get("command")
	if id != "" && s.manager.Command(id) == nil {
		s.writeError(w, fleet.ErrUnknownCommand)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	stream := &streamWriter{
		manager:   s.manager,
		commandID: id,
		after:     after,
		encoder:   json.NewEncoder(w),
		control:   http.NewResponseController(w),
		timeout:   s.bounds.CallTimeout,
	}
	heartbeat := time.NewTicker(s.bounds.CallTimeout)
	defer heartbeat.Stop()
	for {
		entryAdded, ok := stream.sendNew()
		if !ok {
			return
		}
		select {
		case <-entryAdded:
		case <-heartbeat.C:
			if !stream.send(StreamEvent{Serial: stream.after}) {
				return
			}
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

// streamWriter writes the lines of one stream.
type streamWriter struct {
	manager   Manager
	commandID string // empty: the complete history
	after     uint64 // the last serial that was sent or skipped
	encoder   *json.Encoder
	control   *http.ResponseController
	timeout   time.Duration // for writing one line
}

// send writes one line, and reports whether the client read it in time.
func (s *streamWriter) send(event StreamEvent) bool {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout)) // if this fails, so does writing
	return s.encoder.Encode(event) == nil && s.control.Flush() == nil
}

// sendNew sends the entries after the last serial sent. It returns a channel that is closed when the next entry is
// added, and whether the stream continues.
func (s *streamWriter) sendNew() (entryAdded <-chan struct{}, ok bool) {
	for {
		var command *fleet.Command
		if s.commandID != "" { // read before the entries, so that its last entry is sent before the last line
			command = s.manager.Command(s.commandID)
			if command == nil {
				return nil, false
			}
		}
		entries, lost, entryAdded := s.manager.Entries(s.after)
		if lost > 0 && !s.send(StreamEvent{LostEntries: lost}) {
			return nil, false
		}
		for _, entry := range entries {
			s.after = entry.Serial
			wanted := s.commandID == "" || entry.CommandID == s.commandID
			if wanted && !s.send(StreamEvent{Entry: &entry, Serial: s.after}) {
				return nil, false
			}
		}
		if command != nil && command.State == fleet.CommandDone {
			s.send(StreamEvent{Command: command, Serial: s.after})
			return nil, false
		}
		if len(entries) == 0 {
			return entryAdded, true
		}
	}
}
