// Package plot draws results of experiments and replays of degradation policies, as SVG or PNG. Its functions are safe
// for concurrent use.
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

// targetPoints determines the downsampling of a long trace: a line has fewer than twice as many points.
const targetPoints = 4000

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 255}, color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 255},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 255}, color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 255},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 255}, color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 255},
}

// Levels draws a replay of a degradation policy over time: the level as steps, and the smoothed signals that the policy
// uses. format is svg or png.
func Levels(to io.Writer, policy *degradation.Policy, points []degradation.ReplayPoint, format string) error {
	p := plot.New()
	p.Title.Text = "degradation policy " + policy.Name
	p.X.Label.Text, p.Y.Label.Text = "seconds", "level, signals"
	p.Legend.Top = true
	stride := max(1, len(points)/targetPoints)
	var sampled []degradation.ReplayPoint
	for i := 0; i < len(points); i += stride {
		sampled = append(sampled, points[i])
	}
	if err := addLevel(p, sampled); err != nil {
		return err
	}
	for n, s := range policy.SignalsUsed() {
		if err := addSignal(p, sampled, s, palette[n%len(palette)]); err != nil {
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

// addSignal draws one signal. Missing values (NaN) are gaps: each segment of known values is a line of its own.
func addSignal(p *plot.Plot, points []degradation.ReplayPoint, s degradation.Signal, c color.Color) error {
	var segment plotter.XYs
	inLegend := false
	flush := func() error {
		known := segment
		segment = nil
		if len(known) < 2 {
			return nil
		}
		line, err := plotter.NewLine(known)
		if err != nil {
			return err
		}
		line.Color = c
		p.Add(line)
		if !inLegend {
			p.Legend.Add(s.String(), line)
			inLegend = true
		}
		return nil
	}
	for _, point := range points {
		if v := point.Smoothed[s]; !math.IsNaN(v) {
			segment = append(segment, plotter.XY{X: secondsAfter(points, point.At), Y: v})
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
