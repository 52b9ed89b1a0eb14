package load

import (
	"context"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // PNG
	_ "gonum.org/v1/plot/vg/vgsvg" // SVG
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// curve is one line of a plot.
type curve struct {
	name   string
	points []Point
	dashed bool
}

var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
}

// drawing describes a plot to be written.
type drawing struct {
	name, title, x, y string
	logX              bool
	curves            []curve
}

// drawings returns the plots of the reports: for each deployment and scenario the
// distribution of the ratio and, where the load changes, the rates over time.
func drawings(all []Report) []drawing {
	var out []drawing
	byGroup := groups(all, func(r Report) string { return r.Deployment + "-" + r.Scenario })
	var names []string
	for k := range byGroup {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range names {
		g := byGroup[k]
		out = append(out, distribution(k, g))
		if len(g[0].Goodput) > 1 {
			out = append(out, timeCourse(k, g))
		}
	}
	return out
}

func distribution(name string, g []Report) drawing {
	d := drawing{
		name: name + "-ratio", title: g[0].Title + ", " + g[0].Deployment,
		x: "response time over ideal", y: "share of jobs", logX: true,
	}
	for _, r := range firstPerPolicy(g) {
		d.curves = append(d.curves, curve{name: r.Policy, points: r.CDF})
	}
	return d
}

func timeCourse(name string, g []Report) drawing {
	d := drawing{name: name + "-time", title: g[0].Title + ", " + g[0].Deployment, x: "seconds", y: "tasks a second"}
	offered := curve{name: "offered", dashed: true}
	for i, s := range g[0].Seconds {
		offered.points = append(offered.points, Point{float64(i), float64(s.Offered)})
	}
	d.curves = append(d.curves, offered)
	for _, r := range firstPerPolicy(g) {
		c := curve{name: r.Policy}
		for i, s := range r.Seconds {
			c.points = append(c.points, Point{float64(i), float64(s.Done)})
		}
		d.curves = append(d.curves, c)
	}
	return d
}

func firstPerPolicy(g []Report) []Report {
	seen := make(map[string]bool)
	var out []Report
	for _, r := range g {
		if !seen[r.Policy] {
			out = append(out, r)
		}
		seen[r.Policy] = true
	}
	return out
}

// save writes the plot to dir, in the format of that file extension.
func (d drawing) save(dir, format string) error {
	p := plot.New()
	p.Title.Text = d.title
	p.Title.TextStyle.Font.Size = 10
	p.X.Label.Text, p.Y.Label.Text = d.x, d.y
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	if d.logX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, ratioTicks{}
	}
	for i, c := range d.curves {
		l, err := plotter.NewLine(c.xys(d.logX))
		if err != nil {
			return errors.Wrap(err, d.name)
		}
		l.Color = palette[i%len(palette)]
		l.Width = 1.5
		if c.dashed {
			l.Dashes = []vg.Length{4, 3}
		}
		p.Add(l)
		p.Legend.Add(c.name, l)
	}
	p.Legend.Padding = 2
	p.Legend.YPosition = draw.PosBottom
	p.Legend.XOffs = -0.5 * vg.Centimeter
	p.Legend.YOffs = 0.3 * vg.Centimeter
	path := filepath.Join(dir, d.name+"."+format)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, path)
	}
	return nil
}

// xys returns the points. On a logarithmic axis, X is at least 0.9.
func (c curve) xys(logX bool) plotter.XYs {
	out := make(plotter.XYs, len(c.points))
	for i, p := range c.points {
		out[i].X, out[i].Y = p.X, p.Y
		if logX {
			out[i].X = max(p.X, 0.9)
		}
	}
	return out
}

// ratioTicks are the ticks of a logarithmic axis of ratios.
type ratioTicks struct{}

// Ticks returns the round ratios within the axis.
func (ratioTicks) Ticks(low, high float64) []plot.Tick {
	var out []plot.Tick
	for _, v := range []float64{1, 1.5, 2, 3, 5, 10, 20, 50, 100, 1000} {
		if v >= low && v <= high {
			out = append(out, plot.Tick{Value: v, Label: fmt.Sprintf("%g", v)})
		}
	}
	return out
}

// savePlots writes all plots of the reports.
func savePlots(all []Report, dir string, formats []string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "plot")
	}
	for _, d := range drawings(all) {
		for _, f := range formats {
			if err := d.save(dir, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "draw the reports of files as SVG and PNG",
		ArgsUsage: "FILE.json...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Value: ".", Usage: "where to write"},
			&cli.StringSliceFlag{Name: "format", Value: []string{"svg", "png"}},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var all []Report
			for _, path := range c.Args().Slice() {
				r, err := ReadReports(path)
				if err != nil {
					return err
				}
				all = append(all, r...)
			}
			return savePlots(all, c.String("dir"), c.StringSlice("format"))
		},
	}
}
