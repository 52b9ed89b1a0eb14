package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// warmUp is left out of the quantiles: the system is still empty then.
	warmUp = 2 * time.Second
	// rampUp is left out of the goodput at the start of a long phase. It is the longest
	// service time of a default task.
	rampUp = 3 * time.Second
	// ratioScale is the number of steps per unit in which ratios are recorded.
	ratioScale = 1000
	// maxTracked is the largest ratio, and the largest response time in milliseconds,
	// that is distinguished; larger values count as this one.
	maxTracked = 100_000
)

// histogram records one distribution.
type histogram struct {
	hist  *hdrhistogram.Histogram
	scale float64
}

func newHistogram(scale float64) histogram {
	return histogram{hist: hdrhistogram.New(1, int64(maxTracked*scale), 3), scale: scale}
}

func (h histogram) add(v float64) {
	_ = h.hist.RecordValue(min(max(int64(v*h.scale), 1), h.hist.HighestTrackableValue()))
}

func (h histogram) quantile(q float64) float64 { return float64(h.hist.ValueAtQuantile(q)) / h.scale }

func (h histogram) quantiles() Quantiles {
	return Quantiles{
		N: h.hist.TotalCount(), P50: h.quantile(50), P90: h.quantile(90), P99: h.quantile(99),
		Max: float64(h.hist.Max()) / h.scale,
	}
}

func (h histogram) cdf() []Point {
	var out []Point
	for q := 0.0; q <= 99.95; q++ {
		out = append(out, Point{h.quantile(q), q / 100})
	}
	return append(out, Point{h.quantile(99.9), 0.999})
}

func (o outcome) ratio() float64 { return float64(o.response) / float64(o.ideal) }

// measure fills in the measurements that follow from the outcomes alone.
func (r *Report) measure(s Scenario, callers []Caller, all []outcome) {
	ratio, response := newHistogram(ratioScale), newHistogram(10)
	r.Refusals = make(map[string]int)
	seconds := make([]histogram, int(s.length()/time.Second)+1)
	r.Seconds = make([]Second, len(seconds))
	for _, o := range all {
		r.countOutcome(o)
		second := &r.Seconds[o.at/time.Second]
		second.Offered += len(o.service)
		if o.verdict == verdictRefused {
			second.Refused += len(o.service)
		}
		if o.verdict != verdictDone {
			continue
		}
		h := &seconds[o.at/time.Second]
		if h.hist == nil {
			*h = newHistogram(ratioScale)
		}
		h.add(o.ratio())
		if end := int((o.at + o.response) / time.Second); end < len(r.Seconds) {
			r.Seconds[end].Done += len(o.service)
		}
		if o.at >= warmUp {
			ratio.add(o.ratio())
			response.add(float64(o.response) / float64(time.Millisecond))
		}
	}
	for i, h := range seconds {
		if h.hist != nil {
			r.Seconds[i].P50 = h.quantile(50)
		}
	}
	r.Ratio, r.Response, r.CDF = ratio.quantiles(), response.quantiles(), ratio.cdf()
	r.Sizes = bySize(all)
	r.Goodput = goodput(s, all)
	r.Fairness = fairness(callers, all)
}

// sizeClassBounds are the upper bounds, in tasks, of the size classes of jobs.
var sizeClassBounds = []int{10, 100, 1300}

// bySize returns the size classes that have jobs. It shows whether large jobs delay small
// ones, or are starved by them.
func bySize(all []outcome) []SizeClass {
	var out []SizeClass
	lower := 0
	for _, upper := range sizeClassBounds {
		h := newHistogram(ratioScale)
		for _, o := range all {
			if n := len(o.service); o.verdict == verdictDone && o.at >= warmUp && n > lower && n <= upper {
				h.add(o.ratio())
			}
		}
		if h.hist.TotalCount() > 0 {
			out = append(out, SizeClass{UpTo: upper, Ratio: h.quantiles()})
		}
		lower = upper
	}
	return out
}

func (r *Report) countOutcome(o outcome) {
	r.Jobs.Offered++
	r.Tasks += len(o.service)
	r.Messages.Repeats += int64(o.repeats)
	if o.code != "" {
		r.Refusals[string(o.code)]++
	}
	if o.wrongAnswer {
		r.Safety.WrongAnswers++
	}
	switch o.verdict {
	case verdictDone:
		r.Jobs.Done++
	case verdictFailed:
		r.Jobs.Failed++
	case verdictRefused:
		r.Jobs.Refused++
	case verdictUnknown:
		r.Jobs.Unknown++
	case verdictCancelled:
		r.Jobs.Cancelled++
	case verdictLost:
		r.Jobs.Lost++
		r.Safety.LostAnswers++
	}
}

// goodput returns, for each phase, the tasks per second of done jobs that ended in it.
// The first rampUp of a long phase is left out: jobs that arrive in it end later, and
// those that end in it arrived in the phase before.
func goodput(s Scenario, all []outcome) []float64 {
	out := make([]float64, len(s.Phases))
	var begin time.Duration
	for i, p := range s.Phases {
		end := begin + p.Length.D()
		if p.Length.D() >= 2*rampUp {
			begin += rampUp
		}
		for _, o := range all {
			if t := o.at + o.response; o.verdict == verdictDone && t >= begin && t < end {
				out[i] += float64(len(o.service))
			}
		}
		out[i] /= (end - begin).Seconds()
		begin = end
	}
	return out
}

// fairness compares the callers by the share of their offered tasks that were done.
func fairness(callers []Caller, all []outcome) Fairness {
	offered, got := make([]float64, len(callers)), make([]float64, len(callers))
	ratios := make([][]float64, len(callers))
	for _, o := range all {
		offered[o.caller] += float64(len(o.service))
		if o.verdict == verdictDone {
			got[o.caller] += float64(len(o.service))
			ratios[o.caller] = append(ratios[o.caller], o.ratio())
		}
	}
	f := Fairness{Callers: make(map[string]float64)}
	var shares, medians []float64
	for i, c := range callers {
		if offered[i] == 0 {
			continue
		}
		share := got[i] / offered[i]
		f.Callers[c.Name] = share
		shares = append(shares, share)
		if len(ratios[i]) > 0 {
			slices.Sort(ratios[i])
			medians = append(medians, ratios[i][len(ratios[i])/2])
		}
	}
	f.Jain = jain(shares)
	if len(medians) > 0 {
		f.Spread = slices.Max(medians) / slices.Min(medians)
	}
	return f
}

// jain returns Jain's fairness index of the values: 1 if all are equal, 1/n if one has
// everything. If all are 0, they are equal too.
func jain(v []float64) float64 {
	var sum, squares float64
	for _, x := range v {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(v)) * squares)
}
