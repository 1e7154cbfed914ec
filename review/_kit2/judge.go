package main

import (
	"fmt"
	"sort"
	"time"
)

// slack is how much later than its due time an answer still counts: answer_slack_ms of the settings and the 50 ms of the
// rules on sockets.
const slack = 130 * time.Millisecond

// sorted lists the requests of a machine by the time at which they came.
func sorted(m *machine) []*request {
	var all []*request
	for _, r := range m.requests {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool {
		if !all[i].At.Equal(all[j].At) {
			return all[i].At.Before(all[j].At)
		}
		return all[i].ID < all[j].ID
	})
	return all
}

// answeredInTime reports whether the request got a final answer by its due time.
func answeredInTime(r *request) bool {
	return len(r.Answers) > 0 && !r.Answers[0].At.After(r.due().Add(slack))
}

// counts sums the requests of a machine up for the record.
func counts(all []*request) string {
	var served, refused, failed, none, late, twice, unwritten int
	for _, r := range all {
		if r.Written.IsZero() {
			unwritten++
			continue
		}
		if len(r.Answers) > 1 {
			twice++
		}
		switch {
		case len(r.Answers) == 0:
			none++
			continue
		case !answeredInTime(r):
			late++
		}
		switch r.Answers[0].Code {
		case 1:
			served++
		case 2:
			refused++
		default:
			failed++
		}
	}
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d without an answer, %d answered late, %d answered twice, %d not written",
		len(all), served, refused, failed, none, late, twice, unwritten)
}
