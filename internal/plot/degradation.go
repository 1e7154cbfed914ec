// Package plot draws results of experiments and replays of degradation policies, as SVG or PNG. Its functions write
// to the writer they are given and may be called by several goroutines.
package plot

import (
	"fmt"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/monotime"
)

// maxPoints is the number of points of one line; a longer trace is thinned evenly.
const maxPoints = 4000

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 255}, color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 255},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 255}, color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 255},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 255}, color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 255},
}

// Levels draws a replay of a degradation policy: the level as steps, and the smoothed signals that it uses, over
// seconds. Format is svg or png.
func Levels(to io.Writer, l *degradation.Policy, points []degradation.ReplayPoint, format string) error {
	p := plot.New()
	p.Title.Text = "ladder " + l.Name
	p.X.Label.Text, p.Y.Label.Text = "seconds", "level, signals"
	p.Legend.Top = true
	stride := max(1, len(points)/maxPoints)
	var shown []degradation.ReplayPoint
	for i := 0; i < len(points); i += stride {
		shown = append(shown, points[i])
	}
	if err := addLevel(p, shown); err != nil {
		return err
	}
	for n, s := range l.SignalsUsed() {
		if err := addSignal(p, shown, s, palette[n%len(palette)]); err != nil {
			return err
		}
	}
	w, err := p.WriterTo(24*vg.Centimeter, 12*vg.Centimeter, format)
	if err != nil {
		return err
	}
	_, err = w.WriteTo(to)
	return err
}

// addLevel draws the level as steps, over a grid.
func addLevel(p *plot.Plot, points []degradation.ReplayPoint) error {
	level := make(plotter.XYs, 0, len(points))
	for _, point := range points {
		level = append(level, plotter.XY{X: secondsAfter(points, point.At), Y: float64(point.Level)})
	}
	line, err := plotter.NewLine(level)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNothingToDraw, err)
	}
	line.StepStyle, line.Width = plotter.PreStep, vg.Points(2)
	p.Add(plotter.NewGrid(), line)
	p.Legend.Add("level", line)
	return nil
}

// addSignal draws one signal. Where it is missing (NaN) there is a gap: each known stretch is a line of its own.
func addSignal(p *plot.Plot, points []degradation.ReplayPoint, s degradation.Signal, c color.Color) error {
	var stretch plotter.XYs
	named := false
	flush := func() error {
		known := stretch
		stretch = nil
		if len(known) < 2 {
			return nil
		}
		line, err := plotter.NewLine(known)
		if err != nil {
			return err
		}
		line.Color = c
		p.Add(line)
		if !named {
			p.Legend.Add(s.String(), line)
			named = true
		}
		return nil
	}
	for _, point := range points {
		if v := point.Smoothed[s]; !math.IsNaN(v) {
			stretch = append(stretch, plotter.XY{X: secondsAfter(points, point.At), Y: v})
		} else if err := flush(); err != nil {
			return err
		}
	}
	return flush()
}

// secondsAfter returns a time in seconds after the first point.
func secondsAfter(points []degradation.ReplayPoint, at monotime.Micros) float64 {
	return float64(at-points[0].At) / 1e6
}
