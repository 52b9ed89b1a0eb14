package load

import (
	"image/color"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// maxPlotCauses is the number of causes that a plot shows separately; the rest are shown
// as one.
const maxPlotCauses = 6

// lossColors are the colors of what was served, of the causes and of the rest.
var lossColors = []color.Color{
	color.RGBA{R: 0xd9, G: 0xe7, B: 0xd2, A: 0xff},
	palette[1], palette[0], palette[3], palette[2], palette[4],
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x88, G: 0x88, B: 0x88, A: 0xff},
}

// layer is a share of each second of a day: what was served, or lost to one cause.
type layer struct {
	name  string
	parts []float64
}

const othersName = "others"

// layers returns what was served and what was lost by cause, for each second in which
// jobs were sent, relative to the worth of the jobs of a mean second.
func (a *lossAccount) layers() []layer {
	begin := a.firstSent()
	second := func(j *loggedJob) int { return int(j.sent().Sub(begin) / time.Second) }
	seconds := 0
	weight, sum, total := a.jobWeights(), make(map[string]float64), 0.0
	for j, w := range weight {
		seconds = max(seconds, second(j)+1)
		sum[j.cause()] += w * (1 - j.credit(a.lateWorth))
		total += w
	}
	names := largestLosses(sum)
	names = names[:min(len(names), maxPlotCauses)]
	out := make([]layer, len(names)+2)
	layerOf := make(map[string]int)
	for i := range out {
		out[i].parts = make([]float64, seconds)
	}
	out[0].name, out[len(out)-1].name = "served", othersName
	for i, n := range names {
		out[i+1].name = n
		layerOf[n] = i + 1
	}
	for j, w := range weight {
		served := w * j.credit(a.lateWorth) * float64(seconds) / total
		out[0].parts[second(j)] += served
		i, ok := layerOf[j.cause()]
		if !ok {
			i = len(out) - 1
		}
		out[i].parts[second(j)] += w*float64(seconds)/total - served
	}
	return out
}

// plot draws the layers stacked.
func (a *lossAccount) plot(path string) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", "worth of the jobs sent in it, mean second = 1"
	p.Y.Min = 0
	layers := a.layers()
	base := make([]float64, len(layers[0].parts))
	for i, l := range layers {
		area, err := plotter.NewPolygon(band(base, l.parts))
		if err != nil {
			return errors.Wrap(err, "losses: plot")
		}
		area.Color = lossColors[i]
		if l.name == othersName {
			area.Color = lossColors[len(lossColors)-1]
		}
		area.LineStyle.Width = 0
		p.Add(area)
		p.Legend.Add(l.name, area)
		for s, v := range l.parts {
			base[s] += v
		}
	}
	p.Legend.Top = true
	p.Legend.Padding = 2
	p.Legend.TextStyle.Font.Size = 8
	// This leaves space for the legend above the data.
	p.Y.Max *= 1.4
	if err := p.Save(2*plotWidth, plotHeight+2*vg.Centimeter, path); err != nil {
		return errors.Wrap(err, "losses: plot")
	}
	return nil
}

// band returns the outline of a layer above its base, in steps of seconds.
func band(base, parts []float64) plotter.XYs {
	var upper, lower plotter.XYs
	for s := range parts {
		for _, x := range []float64{float64(s), float64(s + 1)} {
			upper = append(upper, plotter.XY{X: x, Y: base[s] + parts[s]})
			lower = append(lower, plotter.XY{X: x, Y: base[s]})
		}
	}
	for i := len(lower) - 1; i >= 0; i-- {
		upper = append(upper, lower[i])
	}
	return upper
}
