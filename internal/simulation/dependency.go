package simulation

import (
	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// startCall sends the call of a run to the shared dependency.
func (w *world) startCall(h *host, j int32, timeout monotime.Micros) {
	att := &w.attempts[j]
	att.phase = phaseCalling
	att.callNumber++
	h.inCalls++
	dependency := &w.dependency
	dependency.advance(w.now)
	dependency.push(
		job{
			end:        dependency.progress + float64(w.scenario.Dependency.Work),
			attempt:    j,
			generation: att.generation,
			stage:      uint8(att.callNumber),
		},
	)
	w.updateDependency()
	w.queue.push(
		event{
			at:         w.now + max(timeout, 1),
			kind:       evCallTimeout,
			subject:    j,
			detail:     int32(att.callNumber),
			generation: att.generation,
		},
	)
}

// updateDependency sets the rate at which calls progress after their number or the speed of the dependency changed, and
// schedules the next completion.
func (w *world) updateDependency() {
	dependency := &w.dependency
	dependency.rate = 1 / w.dependencySlowdown
	if n := float64(dependency.running); n > float64(w.scenario.Dependency.Slots) {
		dependency.rate *= float64(w.scenario.Dependency.Slots) / n
	}
	if dependency.running > 0 {
		w.scheduleCompletion(dependency, evDependency, 0)
	}
}

// completeCalls ends the calls whose work is done.
func (w *world) completeCalls() {
	dependency := &w.dependency
	dependency.completionAt = 0
	dependency.advance(w.now)
	for len(dependency.jobs) > 0 && dependency.jobs[0].end <= dependency.progress+workEpsilon {
		j := dependency.pop()
		dependency.running--
		if att := &w.attempts[j.attempt]; att.generation == j.generation && att.phase == phaseCalling &&
			uint8(att.callNumber) == j.stage {
			w.endCall(j.attempt, admission.OK)
		}
	}
	w.updateDependency()
}

// endCall reports the outcome of a call to the policy, and resumes or ends the run.
func (w *world) endCall(j int32, outcome admission.Outcome) {
	att := &w.attempts[j]
	h := &w.hosts[att.host]
	if !h.up || h.incarnation != att.incarnation {
		return
	}
	h.inCalls--
	att.callNumber++
	att.phase = phaseBeforeCall
	id := att.id
	w.decide(h, admission.CallReturned{ID: id, Outcome: outcome, Took: 1 + w.scenario.Dependency.Work})
	if !h.up {
		return
	}
	att = &w.attempts[j]
	if outcome == admission.OK && att.phase == phaseBeforeCall {
		w.resumeRun(h, j)
	} else if att.answers > 0 && att.phase == phaseBeforeCall { // it was answered during the call: end the run
		w.finishRun(h, j, admission.Errored)
	}
}

// resumeRun continues a run on the cores after its call.
func (w *world) resumeRun(h *host, j int32) {
	w.attempts[j].phase = phaseRunning
	w.putOnCores(h, j)
}
