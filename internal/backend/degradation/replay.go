package degradation

import (
	"milletbarrow/monotime"
)

// ReplayPoint is the controller's state after one reading.
type ReplayPoint struct {
	At       monotime.Micros
	Level    int
	Depth    float64
	Smoothed Signals
}

// Replay runs a trace through a controller.
func Replay(policy *Policy, trace []Reading) (points []ReplayPoint, changes []Change) {
	controller := NewController(policy)
	for _, r := range trace {
		if c, changed := controller.Update(r.At, r.Signals); changed {
			changes = append(changes, c)
		}
		points = append(points, ReplayPoint{r.At, controller.Level(), controller.Depth(r.At), controller.Smoothed()})
	}
	return points, changes
}
