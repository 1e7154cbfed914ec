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

// legendOffset is the distance of the legend to the right of the axes, and legendWidth the space reserved for it.
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

// lineStyle returns the colour and the dashes of the n-th line. Lines after the first len(palette) are dashed.
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

// Ratios of the greatest to the least value above which an axis is logarithmic.
const (
	maxLinearX = 20
	maxLinearY = 50
)

// Curves draws a metric over the swept values, with a line for each policy and error bars for the confidence intervals.
// In this and the following functions, format is svg or png.
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

// setScale makes an axis logarithmic if its values are positive and the ratio of the greatest to the least exceeds
// maxLinear.
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

// Times draws the billed share of the offered value over the simulated time, with a line for each result.
func Times(to io.Writer, title string, names []string, results []*simulation.Result, format string) error {
	p := newPlot(title, "seconds", "billed share of offered value (2 s window)")
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

// Latencies draws the latency at each percentile, with a line for each breakdown. The error is ErrNothingToDraw if
// there are no latencies.
func Latencies(to io.Writer, title string, names []string, breakdowns []*simulation.Breakdown, format string) error {
	p := newPlot(title, "percentile, as 1 / (1 - quantile)", "milliseconds")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	drawn := 0
	for n, breakdown := range breakdowns {
		h, err := breakdown.Histogram()
		if err != nil {
			return err
		}
		if h == nil {
			continue
		}
		var xy plotter.XYs
		for tailRatio := 1.25; tailRatio <= float64(h.TotalCount()); tailRatio *= 1.25 { // one in that many is slower
			ms := float64(h.ValueAtQuantile(100*(1-1/tailRatio))) / 1000
			xy = append(xy, plotter.XY{X: tailRatio, Y: max(ms, 0.001)})
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

// Breakdowns draws the billed share of the offered value of each operation, or tenant, with a bar for each result. The
// error is ErrNothingToDraw if a result has none.
func Breakdowns(
	to io.Writer,
	title string,
	names []string,
	results []*simulation.Result,
	tenants bool,
	format string,
) error {
	p := newPlot(title, "", "billed share of offered value")
	p.Y.Min, p.Y.Max = 0, 1.15
	barWidth := vg.Points(max(3, 180/float64(max(1, len(results)*4))))
	var labels []string
	for n, r := range results {
		breakdowns := r.Operations
		if tenants {
			breakdowns = r.Tenants
		}
		var shares plotter.Values
		labels = nil
		for _, breakdown := range breakdowns {
			shares = append(shares, breakdown.Billed/max(breakdown.Offered, 1e-9))
			labels = append(labels, breakdown.Name)
		}
		if len(shares) == 0 {
			return fmt.Errorf("%w: result has no such breakdown", ErrNothingToDraw)
		}
		bars, err := plotter.NewBarChart(shares, barWidth)
		if err != nil {
			return err
		}
		bars.Color, _ = lineStyle(n)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(n)-float64(len(results)-1)/2)
		p.Add(bars)
		p.Legend.Add(names[n], bars)
	}
	p.NominalX(labels...)
	return write(p, to, format)
}

// heatGrid is the core use of a fleet as a plotter.GridXYZ, with a column for each second and a row for one or more
// hosts.
type heatGrid struct {
	use         [][]byte // by second and host, in percent, or simulation.Down
	hostsPerRow int      // hosts that share a row; the row has their mean
}

// Dims implements plotter.GridXYZ.
func (h heatGrid) Dims() (c, r int) {
	return len(h.use), (len(h.use[0]) + h.hostsPerRow - 1) / h.hostsPerRow
}

// X implements plotter.GridXYZ.
func (h heatGrid) X(c int) float64 { return float64(c) + 0.5 }

// Y implements plotter.GridXYZ.
func (h heatGrid) Y(r int) float64 { return float64(r * h.hostsPerRow) }

// Z returns the mean use of the running hosts of a row; NaN if none is running.
func (h heatGrid) Z(c, r int) float64 {
	sum, n := 0.0, 0.0
	for k := r * h.hostsPerRow; k < min((r+1)*h.hostsPerRow, len(h.use[c])); k++ {
		if v := h.use[c][k]; v != simulation.Down {
			sum, n = sum+float64(v), n+1
		}
	}
	if n == 0 {
		return math.NaN()
	}
	return sum / n
}

// maxHeatRows bounds the rows of a heat map. With more hosts, a row is the mean of several.
const maxHeatRows = 200

// Heat draws the core use of each host for each second; a host without a running process is white. The error is
// ErrNothingToDraw if the result has no such data.
func Heat(to io.Writer, title string, r *simulation.Result, format string) error {
	if len(r.Heat) < 2 || len(r.Heat[0]) == 0 {
		return fmt.Errorf(
			"%w: result has no core use per host (not recorded for large fleets, this one has %d hosts)",
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
