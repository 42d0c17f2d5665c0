package losses

import (
	"fmt"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	// plotWidth and plotHeight are the size of the image, panelHeight is the height of the
	// chart of generations. The chart of the engines' state takes the rest.
	plotWidth   = 26 * vg.Centimeter
	plotHeight  = 18 * vg.Centimeter
	panelHeight = 11 * vg.Centimeter
	// forecastHeight is the height of the chart of forecasts, which is added below.
	forecastHeight = 7 * vg.Centimeter
	// barFill is the share of a window's width that its bar fills.
	barFill = 0.8
)

// ErrPlot reports that a part of a report can't be drawn.
type ErrPlot struct {
	Part string
	Err  error
}

// Error implements error.
func (e *ErrPlot) Error() string { return fmt.Sprintf("can't draw: part=%s cause=%v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *ErrPlot) Unwrap() error { return e.Err }

// WriteSVG draws a bar chart of the generations by cause over time, and below it a chart of
// the engines by stage, their reserved memory and the waiting requests. If there were forecasts of
// room, a chart of their errors follows.
func (r *Report) WriteSVG(w io.Writer) error {
	bars, err := r.causeChart()
	if err != nil {
		return err
	}
	engines, err := r.engineChart()
	if err != nil {
		return err
	}
	extra := vg.Length(0)
	if len(r.log.forecasts) > 0 {
		extra = forecastHeight
	}
	canvas := vgsvg.New(plotWidth, plotHeight+extra)
	whole := draw.New(canvas)
	bars.Draw(draw.Crop(whole, 0, 0, plotHeight+extra-panelHeight, 0))
	engines.Draw(draw.Crop(whole, 0, 0, extra, -panelHeight))
	if extra > 0 {
		forecasts, err := r.forecastChart()
		if err != nil {
			return err
		}
		forecasts.Draw(draw.Crop(whole, 0, 0, 0, -plotHeight))
	}
	_, err = canvas.WriteTo(w)
	return err
}

// paletteColor returns color i of the palette. Colors repeat if n exceeds the palette.
func paletteColor(i, n int) color.Color {
	palette := []color.RGBA{
		{0x4c, 0x78, 0xa8, 0xff}, {0xe4, 0x57, 0x56, 0xff}, {0xf5, 0x8b, 0x1f, 0xff}, {0xb7, 0x9a, 0x20, 0xff}, {0x72, 0xb7, 0xb2, 0xff},
		{0x9d, 0x75, 0x5d, 0xff}, {0xee, 0xca, 0x3b, 0xff}, {0xb2, 0x79, 0xa2, 0xff}, {0xff, 0x9d, 0xa6, 0xff}, {0x59, 0x59, 0x59, 0xff},
		{0x83, 0xbc, 0xb6, 0xff}, {0xd6, 0xa5, 0xc9, 0xff}, {0xbb, 0xbb, 0xbb, 0xff},
	}
	return palette[i%min(n, len(palette))]
}

// causeChart draws the generations in time and the lost ones by cause for each window.
func (r *Report) causeChart() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Generations by time of arrival"
	p.Y.Label.Text = "generations"
	p.Legend.Top = true
	width := (plotWidth - 2*vg.Centimeter) / vg.Length(max(1, len(r.Windows))) * barFill
	var below *plotter.BarChart
	parts := append([]Cause{InTime}, Causes...)
	for i, cause := range parts {
		values := make(plotter.Values, len(r.Windows))
		sum := 0.0
		for n := range r.Windows {
			values[n] = r.Windows[n].Generations.countOf(cause)
			sum += values[n]
		}
		if sum == 0 {
			continue
		}
		bar, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, &ErrPlot{Part: string(cause), Err: err}
		}
		bar.Color, bar.LineStyle.Width = paletteColor(i, len(parts)), 0
		if below != nil {
			bar.StackOn(below)
		}
		below = bar
		p.Add(bar)
		p.Legend.Add(string(cause), bar)
	}
	p.X.Tick.Marker = r.ticks()
	return p, nil
}

// countOf returns the number of requests with a cause.
func (c Count) countOf(cause Cause) float64 {
	if cause == InTime {
		return float64(c.InTime())
	}
	return float64(c.Lost[cause])
}

// engineChart draws the state of the engines over time.
func (r *Report) engineChart() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since " + r.Start.Format("15:04:05")
	p.Y.Label.Text = "engines; reserved memory x 10"
	p.Legend.Top = true
	series := []struct {
		name  string
		value func(*Engines) float64
	}{
		{"reserved x 10", func(e *Engines) float64 { return 10 * e.Reserved }},
		{"prefill engines", func(e *Engines) float64 { return e.Prefill }},
		{"decode engines", func(e *Engines) float64 { return e.Decode }},
		{"waiting", func(e *Engines) float64 { return e.Waiting }},
	}
	for i, s := range series {
		if err := r.addLine(p, s.name, paletteColor(i, len(series)), func(w *Window) float64 { return s.value(&w.Engines) }); err != nil {
			return nil, err
		}
	}
	p.X.Tick.Marker = r.ticks()
	return p, nil
}

// addLine adds a line with one value for each window.
func (r *Report) addLine(p *plot.Plot, name string, c color.Color, value func(*Window) float64) error {
	points := make(plotter.XYs, len(r.Windows))
	for n := range r.Windows {
		points[n] = plotter.XY{X: float64(n), Y: value(&r.Windows[n])}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return &ErrPlot{Part: name, Err: err}
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// forecastChart draws the mean errors of the forecasts of room over time.
func (r *Report) forecastChart() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since " + r.Start.Format("15:04:05")
	p.Y.Label.Text = "wait less its forecast, ms"
	p.Legend.Top = true
	for i, s := range []struct {
		name  string
		value func(*Forecast) time.Duration
	}{
		{"mean error", func(f *Forecast) time.Duration { return f.Error }},
		{"mean absolute error", func(f *Forecast) time.Duration { return f.AbsoluteError }},
		{"wait of returning clients", func(f *Forecast) time.Duration { return f.ReturnWait }},
	} {
		if err := r.addLine(p, s.name, paletteColor(i, 3), func(w *Window) float64 { return float64(s.value(&w.Forecast).Milliseconds()) }); err != nil {
			return nil, err
		}
	}
	p.X.Tick.Marker = r.ticks()
	return p, nil
}

// ticksWanted is the approximate number of labels on the time axis.
const ticksWanted = 12

// ticks returns the labels of the time axis, in seconds since the report's start.
func (r *Report) ticks() plot.ConstantTicks {
	var out plot.ConstantTicks
	step := max(1, len(r.Windows)/ticksWanted)
	for n := 0; n < len(r.Windows); n += step {
		out = append(out, plot.Tick{Value: float64(n), Label: fmt.Sprintf("%.0f", r.Windows[n].From.Seconds())})
	}
	return out
}
