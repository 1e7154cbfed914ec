package simulation

import "fmt"

// Trace records the course of one request, or of one host.
type Trace struct {
	Request  uint64 // number of the request in the day, from 1; 0: any
	Host     int32  // -1: any
	MaxLines int    // lines that are kept
	Lines    []string
	Omitted  int // lines beyond MaxLines
}

// record adds a line, if the trace wants it. A nil trace records nothing.
func (tr *Trace) record(w *world, number uint64, att *attempt, what string) {
	if tr == nil || tr.Request != 0 && tr.Request != number || tr.Host >= 0 && tr.Host != att.host {
		return
	}
	if len(tr.Lines) >= tr.MaxLines {
		tr.Omitted++
		return
	}
	h, req := &w.hosts[att.host], &w.requests[att.request]
	line := fmt.Sprintf("%10.6f  invocation %d %s try %d  host %d life %d: %s", float64(w.now)/1e6, number,
		w.scenario.Operations[req.operation].Name, req.attempts, att.host, h.incarnation, what)
	switch what {
	case "read":
		line += fmt.Sprintf(" after %d us, %d in hand, %d on the cores, hint %d us", w.now-att.reachedAt, h.inFlight, h.cores.running, req.hint)
	case "runs":
		line += fmt.Sprintf(" after %d us in line, %d on the cores", w.now-att.readAt, h.cores.running)
	case "throttled":
		line += fmt.Sprintf(", come back in %d us, don't retry %t", att.retryAfter, att.dontRetry)
	}
	tr.Lines = append(tr.Lines, line)
}
