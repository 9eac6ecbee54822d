// Package fleetplot draws what simulated fleets did, by their size.
package fleetplot

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dotterelswitch/dotterelswitch/core/fleetsim"
)

const (
	width  = 18 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// IsPlot reports whether a file name is that of a plot.
func IsPlot(name string) bool {
	return slices.Contains([]string{".svg", ".png"}, filepath.Ext(name))
}

// Error reports a plot that could not be written.
type Error struct {
	File string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("plot %s: %v", e.File, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Write draws the times until a configuration was in force over the number of hosts, both
// axes logarithmic, and saves the plot.
func Write(file string, results []fleetsim.Result) error {
	p := plot.New()
	p.Title.Text = "Configuration in force"
	p.X.Label.Text, p.Y.Label.Text = "hosts", "seconds"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	err := plotutil.AddLinePoints(p,
		"start, middle host", line(results, func(r fleetsim.Result) float64 { return r.StartMiddle.Seconds() }),
		"start, last host", line(results, func(r fleetsim.Result) float64 { return r.StartLast.Seconds() }),
		"change, middle host", line(results, func(r fleetsim.Result) float64 { return r.ChangeMiddle.Seconds() }),
		"change, last host", line(results, func(r fleetsim.Result) float64 { return r.ChangeLast.Seconds() }),
	)
	if err == nil {
		err = p.Save(width, height, file)
	}
	if err != nil {
		return &Error{File: file, Err: err}
	}
	return nil
}

// minSeconds is drawn for times that a logarithmic axis cannot show.
const minSeconds = 0.001

func line(results []fleetsim.Result, seconds func(fleetsim.Result) float64) plotter.XYs {
	var out plotter.XYs
	for _, r := range results {
		out = append(out, plotter.XY{X: float64(r.Hosts), Y: max(seconds(r), minSeconds)})
	}
	return out
}
