package degradation

import "milletbarrow/monotime"

// ReplayPoint is the state of a controller after one reading of a trace.
type ReplayPoint struct {
	At       monotime.Micros
	Level    int     // in force; 0: full service
	Depth    float64 // see Controller.Depth
	Smoothed Signals
}

// Replay runs a trace through a new controller. It returns the state after each reading and the changes of level.
func Replay(policy *Policy, trace []Reading) (points []ReplayPoint, changes []Change) {
	controller := NewController(policy)
	for _, reading := range trace {
		if change, changed := controller.Update(reading.At, reading.Signals); changed {
			changes = append(changes, change)
		}
		points = append(points, ReplayPoint{
			At:       reading.At,
			Level:    controller.Level(),
			Depth:    controller.Depth(reading.At),
			Smoothed: controller.Smoothed(),
		})
	}
	return points, changes
}
