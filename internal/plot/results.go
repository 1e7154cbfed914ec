package plot

import (
	"fmt"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/simulation"
)

// write ends a plot in the format, svg or png.
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

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.XOffs = true, legendOffset
	p.X.Padding = vg.Points(5)
	p.Add(plotter.NewGrid())
	return p
}

func lineStyle(n int) (color.Color, []vg.Length) {
	var dashes []vg.Length
	if n >= len(palette) {
		dashes = []vg.Length{vg.Points(5), vg.Points(2)}
	}
	return palette[n%len(palette)], dashes
}

// Curves draws a figure over what is swept, a line a policy, with bars for the intervals. An axis is logarithmic
// where what it spans is more than a factor of 20, or 50.
func Curves(to io.Writer, title, over, measure string, curves []experiment.Curve, format string) error {
	p := newPlot(title, over, measure)
	low, high := math.Inf(1), math.Inf(-1)
	for _, c := range curves {
		for _, x := range c.X {
			low, high = min(low, x), max(high, x)
		}
	}
	if low > 0 && high/low > 20 {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	least, most := math.Inf(1), math.Inf(-1)
	for _, c := range curves {
		for _, e := range c.Y {
			if e.Mean == e.Mean {
				least, most = min(least, e.Low), max(most, e.High)
			}
		}
	}
	if least > 0 && most/least > 50 {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for n, c := range curves {
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
			continue
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
	}
	return write(p, to, format)
}

// Times draws what part of the value offered in each second was billed, a line a result.
func Times(to io.Writer, title string, names []string, results []*simulation.Result, format string) error {
	p := newPlot(title, "seconds", "billed by offered, over 2 s")
	p.Y.Min, p.Y.Max = 0, 1.1
	for n, r := range results {
		var xy plotter.XYs
		for i := 1; i < len(r.Seconds); i++ {
			if offered := r.Seconds[i].Offered + r.Seconds[i-1].Offered; offered > 0 {
				xy = append(xy, plotter.XY{X: float64(i + 1), Y: (r.Seconds[i].Billed + r.Seconds[i-1].Billed) / offered})
			}
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = lineStyle(n)
		p.Add(line)
		p.Legend.Add(names[n], line)
	}
	return write(p, to, format)
}

// Latencies draws the latency at each percentile, a line a result and operation: how long is the wait of the unluckiest.
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
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = lineStyle(n)
		p.Add(line)
		p.Legend.Add(names[n], line)
		drawn++
	}
	if drawn == 0 {
		return fmt.Errorf("nothing to draw: no latencies")
	}
	return write(p, to, format)
}

// Breakdowns draws, for each operation or tenant, the part of its value that was billed: a group of bars a name, a bar a result.
func Breakdowns(to io.Writer, title string, names []string, results []*simulation.Result, tenants bool, format string) error {
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
			return fmt.Errorf("nothing to draw: no such parts")
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
	hostsPerRow int // hosts by row of the picture
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

// maxHeatRows of a heat map; hosts beyond are drawn together, as their mean.
const maxHeatRows = 200

// Heat draws the cores' use of each host, second by second; a host without a process is left white.
func Heat(to io.Writer, title string, r *simulation.Result, format string) error {
	if len(r.Heat) < 2 || len(r.Heat[0]) == 0 {
		return fmt.Errorf("nothing to draw: no state of the hosts was kept (a fleet of %d is too large for it)", r.Hosts)
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
