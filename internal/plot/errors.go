package plot

import "errors"

// ErrNothingToDraw says that the data have nothing of what a plot shows.
var ErrNothingToDraw = errors.New("nothing to draw")
