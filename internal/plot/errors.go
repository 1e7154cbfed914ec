package plot

import "errors"

// ErrNothingToDraw reports that the data contain nothing that the plot shows.
var ErrNothingToDraw = errors.New("nothing to draw")
