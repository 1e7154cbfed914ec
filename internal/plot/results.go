package plot

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/simulation"
)

// write renders a plot in the format svg or png.
func write(p *plot.Plot, to io.Writer, format string) error {
	c, err := draw.NewFormattedCanvas(24*vg.Centimeter, 13*vg.Centimeter, format)
	if err != nil {
		return err
	}
	p.Draw(draw.Crop(draw.New(c), 0, -legendWidth, 0, 0))
	_, err = c.WriteTo(to)
	return err
}

// legendOffset is how far right of the axes the legend stands, and legendWide the room for it.
const (
	legendOffset = 3 * vg.Centimeter
	legendWidth  = 3.2 * vg.Centimeter
)

// newPlot returns an empty plot with a grid, and a legend on the right.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.XOffs = true, legendOffset
	p.X.Padding = vg.Points(5)
	p.Add(plotter.NewGrid())
	return p
}

// lineStyle returns the colour and the dashes of the n-th line.
func lineStyle(n int) (color.Color, []vg.Length) {
	var dashes []vg.Length
	if n >= len(palette) {
		dashes = []vg.Length{vg.Points(5), vg.Points(2)}
	}
	return palette[n%len(palette)], dashes
}

// addLine draws the n-th line, with its entry in the legend.
func addLine(p *plot.Plot, n int, name string, xy plotter.XYs) error {
	line, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = lineStyle(n)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// An axis is logarithmic where it spans more than these factors.
const (
	maxLinearX = 20
	maxLinearY = 50
)

// Curves draws a figure over the swept values, a line for each policy, with bars for the intervals. format is svg or
// png, here and below.
func Curves(to io.Writer, title, over, measure string, curves []experiment.Curve, format string) error {
	p := newPlot(title, over, measure)
	var xs, ys []float64
	for _, c := range curves {
		xs = append(xs, c.X...)
		for _, e := range c.Y {
			if !math.IsNaN(e.Mean) {
				ys = append(ys, e.Low, e.High)
			}
		}
	}
	setScale(&p.X, xs, maxLinearX)
	setScale(&p.Y, ys, maxLinearY)
	for n, c := range curves {
		if err := addCurve(p, n, c); err != nil {
			return err
		}
	}
	return write(p, to, format)
}

// setScale makes an axis logarithmic where its values are positive and span more than a factor.
func setScale(axis *plot.Axis, values []float64, maxLinear float64) {
	if len(values) == 0 {
		return
	}
	if low, high := slices.Min(values), slices.Max(values); low > 0 && high/low > maxLinear {
		axis.Scale, axis.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
}

// addCurve draws the n-th curve; missing values are left out.
func addCurve(p *plot.Plot, n int, c experiment.Curve) error {
	var xy plotter.XYs
	bars := &struct {
		plotter.XYs
		plotter.YErrors
	}{}
	for i, x := range c.X {
		e := c.Y[i]
		if math.IsNaN(e.Mean) {
			continue
		}
		xy = append(xy, plotter.XY{X: x, Y: e.Mean})
		bars.XYs = append(bars.XYs, plotter.XY{X: x, Y: e.Mean})
		bars.YErrors = append(bars.YErrors, struct{ Low, High float64 }{e.Mean - e.Low, e.High - e.Mean})
	}
	if len(xy) == 0 {
		return nil
	}
	line, dots, err := plotter.NewLinePoints(xy)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = lineStyle(n)
	dots.Color = line.Color
	dots.Radius = vg.Points(1.5)
	p.Add(line, dots)
	if b, err := plotter.NewYErrorBars(bars); err == nil {
		b.Color = line.Color
		p.Add(b)
	}
	p.Legend.Add(c.Policy, line)
	return nil
}

// Times draws the billed part of the value offered, over the seconds of the day, a line for each result.
func Times(to io.Writer, title string, names []string, results []*simulation.Result, format string) error {
	p := newPlot(title, "seconds", "billed by offered, over 2 s")
	p.Y.Min, p.Y.Max = 0, 1.1
	for n, r := range results {
		var xy plotter.XYs
		for i := 1; i < len(r.Seconds); i++ {
			if offered := r.Seconds[i].Offered + r.Seconds[i-1].Offered; offered > 0 {
				xy = append(
					xy,
					plotter.XY{X: float64(i + 1), Y: (r.Seconds[i].Billed + r.Seconds[i-1].Billed) / offered},
				)
			}
		}
		if len(xy) == 0 {
			continue
		}
		if err := addLine(p, n, names[n], xy); err != nil {
			return err
		}
	}
	return write(p, to, format)
}

// Latencies draws the latency at each percentile, a line for each breakdown. It returns ErrNothingToDraw where there
// are no latencies.
func Latencies(to io.Writer, title string, names []string, parts []*simulation.Breakdown, format string) error {
	p := newPlot(title, "percentile (of 1 in so many slower ones)", "milliseconds")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	drawn := 0
	for n, part := range parts {
		h, err := part.Histogram()
		if err != nil {
			return err
		}
		if h == nil {
			continue
		}
		var xy plotter.XYs
		for one := 1.25; one <= float64(h.TotalCount()); one *= 1.25 {
			ms := float64(h.ValueAtQuantile(100*(1-1/one))) / 1000
			xy = append(xy, plotter.XY{X: one, Y: max(ms, 0.001)})
		}
		if len(xy) < 2 {
			continue
		}
		if err := addLine(p, n, names[n], xy); err != nil {
			return err
		}
		drawn++
	}
	if drawn == 0 {
		return fmt.Errorf("%w: no latencies", ErrNothingToDraw)
	}
	return write(p, to, format)
}

// Breakdowns draws the billed part of the value of each operation, or tenant, a bar for each result. It returns
// ErrNothingToDraw where the results have none.
func Breakdowns(
	to io.Writer,
	title string,
	names []string,
	results []*simulation.Result,
	tenants bool,
	format string,
) error {
	p := newPlot(title, "", "billed by offered")
	p.Y.Min, p.Y.Max = 0, 1.15
	wide := vg.Points(max(3, 180/float64(max(1, len(results)*4))))
	var labels []string
	for n, r := range results {
		parts := r.Operations
		if tenants {
			parts = r.Tenants
		}
		var v plotter.Values
		labels = nil
		for _, part := range parts {
			v = append(v, part.Billed/max(part.Offered, 1e-9))
			labels = append(labels, part.Name)
		}
		if len(v) == 0 {
			return fmt.Errorf("%w: no such parts", ErrNothingToDraw)
		}
		bars, err := plotter.NewBarChart(v, wide)
		if err != nil {
			return err
		}
		bars.Color, _ = lineStyle(n)
		bars.LineStyle.Width = 0
		bars.Offset = wide * vg.Length(float64(n)-float64(len(results)-1)/2)
		p.Add(bars)
		p.Legend.Add(names[n], bars)
	}
	p.NominalX(labels...)
	return write(p, to, format)
}

// heatGrid is the state of a fleet as a grid: seconds across, hosts up.
type heatGrid struct {
	rows        [][]byte
	hostsPerRow int // hosts in one row of the picture
}

func (h heatGrid) Dims() (c, r int) {
	return len(h.rows), (len(h.rows[0]) + h.hostsPerRow - 1) / h.hostsPerRow
}
func (h heatGrid) X(c int) float64 { return float64(c) + 0.5 }
func (h heatGrid) Y(r int) float64 { return float64(r * h.hostsPerRow) }
func (h heatGrid) Z(c, r int) float64 {
	sum, n := 0.0, 0.0
	for k := r * h.hostsPerRow; k < min((r+1)*h.hostsPerRow, len(h.rows[c])); k++ {
		if v := h.rows[c][k]; v != simulation.Down {
			sum, n = sum+float64(v), n+1
		}
	}
	if n == 0 {
		return math.NaN()
	}
	return sum / n
}

// maxHeatRows is the number of rows of a heat map; with more hosts a row is the mean of several.
const maxHeatRows = 200

// Heat draws the use of each host's cores, second by second; a host without a process is white. It returns
// ErrNothingToDraw where the result has no such state.
func Heat(to io.Writer, title string, r *simulation.Result, format string) error {
	if len(r.Heat) < 2 || len(r.Heat[0]) == 0 {
		return fmt.Errorf(
			"%w: no state of the hosts was kept (a fleet of %d is too large for it)",
			ErrNothingToDraw,
			r.Hosts,
		)
	}
	p := newPlot(title, "seconds", "host")
	colors := moreland.SmoothBlueRed()
	colors.SetMin(0)
	colors.SetMax(100)
	m := plotter.NewHeatMap(heatGrid{r.Heat, (len(r.Heat[0]) + maxHeatRows - 1) / maxHeatRows}, colors.Palette(64))
	m.Min, m.Max = 0, 100
	m.NaN = color.White
	p.Add(m)
	return write(p, to, format)
}
