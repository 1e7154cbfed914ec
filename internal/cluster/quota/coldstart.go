package quota

import (
	"fmt"

	"milletbarrow/internal/cluster/coldstart"
)

// applyColdStart applies a command about the cold start under one concurrency limit.
func (s *State) applyColdStart(command *ColdStartCommand, result *Result) {
	limit := s.Config.Lookup(command.Limit)
	current := s.ColdStarts[command.Limit]
	switch {
	case limit == nil || limit.Kind != Concurrency:
		result.reject("budget: %q is not a count in version %d", command.Limit, s.Config.Version)
	case command.Action == actionBegin:
		s.beginColdStart(command, limit, result)
	case current == nil || current.ID != command.ID:
		result.reject("id: unknown cold start %q", command.ID)
	case command.Action == actionResume:
		current.Resume()
		result.addEvent(Event{Limit: command.Limit, Kind: eventColdStartResumed, Cause: "by " + command.By})
	case command.Action == actionEnd: // permits in use are released as usual
		delete(s.ColdStarts, command.Limit)
		result.addEvent(Event{Limit: command.Limit, Kind: eventColdStartEnded, Cause: "by " + command.By})
	default:
		result.reject("verb: %q is not one of %s, %s", command.Action, actionResume, actionEnd)
	}
}

// beginColdStart begins a cold start, unless another one is in progress.
func (s *State) beginColdStart(command *ColdStartCommand, limit *Limit, result *Result) {
	current := s.ColdStarts[command.Limit]
	switch {
	case current != nil && current.ID == command.ID:
		return
	case current != nil && !current.Done():
		result.reject("cold start %s is in progress, %d of %d members are ready: end it or wait for it",
			current.ID, len(current.Ready), len(current.Members))
		return
	case command.Config == nil:
		result.reject("terms: missing, a command that begins a cold start must contain them")
		return
	}
	config := *command.Config
	config.MaxConcurrent = min(config.MaxConcurrent, limit.grantable())
	config.InitialConcurrent = min(config.InitialConcurrent, config.MaxConcurrent)
	coldStart, err := coldstart.New(command.ID, config, command.Members)
	if err != nil {
		result.Rejection = err.Error()
		return
	}
	for name := range s.Permits[command.Limit] { // these instances are starting already
		coldStart.AddStarting(coldstart.MemberName(name))
	}
	s.ColdStarts[command.Limit] = coldStart
	cause := fmt.Sprintf("%s of %d, asked by %s", command.ID, len(command.Members), command.By)
	result.addEvent(Event{Limit: command.Limit, Kind: eventColdStartBegan, Cause: cause})
}

// requestStart reports whether the cold start under a limit allows an instance to start now. An instance that is not
// part of a cold start may always start.
func (s *State) requestStart(command *PermitCommand, result *Result) bool {
	coldStart := s.pendingColdStart(command)
	if coldStart == nil {
		return true
	}
	ok, reason := coldStart.RequestStart(coldstart.MemberName(command.Name))
	result.Rejection = reason
	return ok
}

// pendingColdStart returns the cold start in which an instance is not ready yet, or nil.
func (s *State) pendingColdStart(command *PermitCommand) *coldstart.State {
	coldStart := s.ColdStarts[command.Limit]
	if coldStart == nil || !coldStart.Pending(coldstart.MemberName(command.Name)) {
		return nil
	}
	return coldStart
}

// reportStart reports the outcome of the start that a released permit was for to the cold start.
func (s *State) reportStart(command *PermitCommand, result *Result) {
	coldStart := s.pendingColdStart(command)
	if coldStart == nil {
		return
	}
	name := coldstart.MemberName(command.Name)
	if command.Outcome == nil {
		coldStart.WriteOff(name)
		return
	}
	haltReasonBefore := coldStart.HaltReason
	if change := coldStart.Report(name, *command.Outcome); change != "" {
		result.addEvent(Event{Limit: command.Limit, Name: string(name), Kind: eventConcurrencyAdjusted, Cause: change})
	}
	if coldStart.HaltReason != haltReasonBefore {
		result.addEvent(Event{Limit: command.Limit, Kind: eventColdStartHalted, Cause: coldStart.HaltReason})
	}
	if coldStart.Done() {
		cause := fmt.Sprintf("%d of %d are up", len(coldStart.Ready), len(coldStart.Members))
		result.addEvent(Event{Limit: command.Limit, Kind: eventColdStartDone, Cause: cause})
	}
}

// endPause ends a pause whose duration has passed, unless another cold start has replaced its own since.
func (s *State) endPause(pause ElapsedPause) {
	if coldStart := s.ColdStarts[pause.Limit]; coldStart != nil && coldStart.ID == pause.ID {
		coldStart.EndPause(pause.Number)
	}
}
