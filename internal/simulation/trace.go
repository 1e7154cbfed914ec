package simulation

import "fmt"

// Trace keeps the course of one request, or of one host, for who asks why.
type Trace struct {
	Invocation uint64 // its number in the day, from 1; 0: any
	Host       int32  // -1: any
	Most       int    // lines
	Lines      []string
	More       int // that did not fit
}

func (tr *Trace) note(w *world, number uint64, t *attempt, what string) {
	if tr == nil || tr.Invocation != 0 && tr.Invocation != number || tr.Host >= 0 && tr.Host != t.host {
		return
	}
	if len(tr.Lines) >= tr.Most {
		tr.More++
		return
	}
	h, a := &w.hosts[t.host], &w.requests[t.request]
	line := fmt.Sprintf("%10.6f  invocation %d %s try %d  host %d life %d: %s", float64(w.now)/1e6, number,
		w.s.Operations[a.op].Name, a.tries, t.host, h.incarnation, what)
	switch what {
	case "read":
		line += fmt.Sprintf(" after %d us, %d in hand, %d on the cores, hint %d us", w.now-t.reached, h.inHand, h.cores.live, a.hint)
	case "runs":
		line += fmt.Sprintf(" after %d us in line, %d on the cores", w.now-t.read, h.cores.live)
	case "throttled":
		line += fmt.Sprintf(", come back in %d us, don't retry %t", t.retryIn, t.dont)
	}
	tr.Lines = append(tr.Lines, line)
}
