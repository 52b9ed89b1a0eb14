package model

import (
	"math"
	"time"
)

// Wave is a periodic variation of the requests of a data centre around their mean. The zero
// value is no variation.
type Wave struct {
	// Swing is the amplitude relative to the mean, Phase the fraction of a period that has
	// passed at the first request.
	Swing, Phase float64
	Period       time.Duration
}

// at returns the factor at a time.
func (v Wave) at(t time.Duration) float64 {
	if v.Swing == 0 {
		return 1
	}
	return 1 + v.Swing*math.Sin(2*math.Pi*(float64(t)/float64(v.Period)+v.Phase))
}

// callers returns the data centre's weight in the distribution of requests at a time.
func (d DataCenter) callers(t time.Duration) float64 { return d.Callers * d.Wave.at(t) }

// Span is a period of a day. At counts from the first request, and For is the length.
type Span struct {
	At, For time.Duration
}

func (s Span) contains(t time.Duration) bool { return t >= s.At && t < s.At+s.For }

// Move is a period in which a share of a data centre's callers goes to another one.
type Move struct {
	Span
	From, To string
	Share    float64
}

// Departure is a period in which a share of the callers gives up early: within a time from
// their request, or within half of their objective if Within is 0. A caller who gives up
// before the answer is owed nothing.
type Departure struct {
	Span
	Share  float64
	Within time.Duration
}

// FailingJobs is a period in which a share of the jobs of a class cannot succeed: every run of
// every task fails. Reporting the failure is the right answer to such a job and earns its
// value.
type FailingJobs struct {
	Span
	Class string
	Share float64
}

// applyChanges applies the configured moves, departures and permanent failures to a job.
func (w *World) applyChanges(j *job) {
	at := j.sent.Sub(w.start)
	for _, m := range w.cfg.Moves {
		if m.contains(at) && j.dc == m.From && w.callerRand.Float64() < m.Share {
			j.dc = m.To
		}
	}
	for _, d := range w.cfg.Departures {
		if !d.contains(at) || w.callerRand.Float64() >= d.Share {
			continue
		}
		within := d.Within
		if within == 0 {
			within = j.objective / 2
		}
		j.abandonsAt = j.sent.Add(time.Duration(w.callerRand.Int64N(int64(within))))
	}
	cl := w.cfg.Classes[j.class]
	for _, h := range w.cfg.FailingJobs {
		if h.Class != cl.Name || !h.contains(at) || w.callerRand.Float64() >= h.Share {
			continue
		}
		j.alwaysFails = true
		for i := range j.failuresLeft {
			j.failuresLeft[i] = cl.Attempts
		}
	}
}

// abandoned reports whether the caller has given up.
func (j *job) abandoned(now time.Time) bool {
	return !j.abandonsAt.IsZero() && !now.Before(j.abandonsAt)
}
