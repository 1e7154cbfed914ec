package simulation

import "fmt"

// Trace records the steps of one request, or of all attempts at one host.
type Trace struct {
	Request  uint64 // number of the request in the day, from 1; 0: any
	Host     int32  // -1: any
	MaxLines int    // maximum of len(Lines)
	Lines    []string
	Omitted  int // number of lines beyond MaxLines
}

// Steps of an attempt that a trace records. An answer is recorded with the name of its outcome.
const (
	stepRead = "read"
	stepRun  = "runs"
)

// record adds a line for a step of an attempt, if it is traced. A nil trace records nothing.
func (tr *Trace) record(w *world, att *attempt, step string) {
	if tr == nil {
		return
	}
	h, req := &w.hosts[att.host], &w.requests[att.request]
	if tr.Request != 0 && tr.Request != req.number || tr.Host >= 0 && tr.Host != att.host {
		return
	}
	if len(tr.Lines) >= tr.MaxLines {
		tr.Omitted++
		return
	}
	line := fmt.Sprintf("%10.6f  invocation %d %s attempt %d  host %d incarnation %d: %s", float64(w.now)/1e6, req.number,
		w.scenario.Operations[req.operation].Name, req.attempts, att.host, h.incarnation, step)
	switch step {
	case stepRead:
		line += fmt.Sprintf(
			" after %d us, %d in flight, %d on the cores, hint %d us",
			w.now-att.reachedAt,
			h.inFlight,
			h.cores.running,
			req.hint,
		)
	case stepRun:
		line += fmt.Sprintf(" after %d us in the queue, %d on the cores", w.now-att.readAt, h.cores.running)
	case outcomeNames[Throttled]:
		line += fmt.Sprintf(", retry after %d us, don't retry %t", att.retryAfter, att.dontRetry)
	}
	tr.Lines = append(tr.Lines, line)
}
