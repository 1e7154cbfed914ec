// Package plot draws. It decides nothing, and writes to where it is told.
package plot

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"milletbarrow/internal/backend/degradation"
)

// mostPoints of one line; a longer trace is thinned evenly.
const mostPoints = 4000

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 255}, color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 255},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 255}, color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 255},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 255}, color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 255},
}

// Levels draws a replay: the level as steps, and the smoothed signals that the ladder speaks of, over seconds.
// Format is svg or png.
func Levels(to io.Writer, l *degradation.Policy, points []degradation.ReplayPoint, format string) error {
	p := plot.New()
	p.Title.Text = "ladder " + l.Name
	p.X.Label.Text, p.Y.Label.Text = "seconds", "level, signals"
	p.Legend.Top = true
	stride := max(1, len(points)/mostPoints)
	seconds := func(at degradation.Micros) float64 { return float64(at-points[0].At) / 1e6 }
	var level plotter.XYs
	for i := 0; i < len(points); i += stride {
		level = append(level, plotter.XY{X: seconds(points[i].At), Y: float64(points[i].Level)})
	}
	line, err := plotter.NewLine(level)
	if err != nil {
		return fmt.Errorf("nothing to draw: %w", err)
	}
	line.StepStyle, line.Width = plotter.PreStep, vg.Points(2)
	p.Add(plotter.NewGrid(), line)
	p.Legend.Add("level", line)
	for n, s := range l.SignalsUsed() {
		// A signal that is missing leaves a gap: each stretch that is known is a line of its own.
		var stretch plotter.XYs
		named := false
		flush := func() error {
			if len(stretch) < 2 {
				stretch = nil
				return nil
			}
			line, err := plotter.NewLine(stretch)
			if err != nil {
				return err
			}
			line.Color = palette[n%len(palette)]
			p.Add(line)
			if !named {
				p.Legend.Add(s.String(), line)
				named = true
			}
			stretch = nil
			return nil
		}
		for i := 0; i < len(points); i += stride {
			if v := points[i].Smoothed[s]; v == v {
				stretch = append(stretch, plotter.XY{X: seconds(points[i].At), Y: v})
			} else if err := flush(); err != nil {
				return err
			}
		}
		if err := flush(); err != nil {
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
