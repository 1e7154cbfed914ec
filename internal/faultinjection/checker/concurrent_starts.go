package checker

import (
	"cmp"
	"slices"
)

// MaxConcurrentStarts is how many processes at most had begun within a span of this length: each is known to have been starting for as
// long. One that ended before the span's end counts until then.
func MaxConcurrentStarts(all []*Process, span int64) (most int) {
	type edge struct {
		at int64
		by int
	}
	edges := make([]edge, 0, 2*len(all))
	for _, p := range all {
		end := p.First + span
		if p.Last < end { // it died on the way, or has stamped nothing since: no longer than it was there
			end = max(p.Last, p.First)
		}
		edges = append(edges, edge{p.First, 1}, edge{end, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
	now := 0
	for _, e := range edges {
		now += e.by
		most = max(most, now)
	}
	return most
}
