package model

import (
	"math"
	"time"
)

// Wave is how the requests of a data centre swing around their mean; the zero value does
// not.
type Wave struct {
	// Swing is the largest part of the mean that is added or missing, Phase the part of
	// a period that has passed at the first request.
	Swing, Phase float64
	Period       time.Duration
}

// at is the factor at a time.
func (v Wave) at(t time.Duration) float64 {
	if v.Swing == 0 {
		return 1
	}
	return 1 + v.Swing*math.Sin(2*math.Pi*(float64(t)/float64(v.Period)+v.Phase))
}

// callers is the data centre's part of all requests at a time.
func (d DataCenter) callers(t time.Duration) float64 { return d.Callers * d.Wave.at(t) }

// Span is a time of a day, from the first request.
type Span struct {
	At, For time.Duration
}

func (s Span) holds(t time.Duration) bool { return t >= s.At && t < s.At+s.For }

// Move is a time in which a share of a data centre's callers comes to another one.
type Move struct {
	Span
	From, To string
	Share    float64
}

// Departure is a time in which a share of the callers gives up early: within a time from
// their request, or within half of their objective if that is 0. Who gives up before the
// answer is owed nothing.
type Departure struct {
	Span
	Share  float64
	Within time.Duration
}

// Hopeless is a time in which a share of a class can never be done: every run of every
// task fails. To say that it has failed is the right answer to such a job, and earns.
type Hopeless struct {
	Span
	Class string
	Share float64
}

// change makes of a job what the day's changes of callers ask for.
func (w *World) change(j *job) {
	at := j.sent.Sub(w.start)
	for _, m := range w.cfg.Moves {
		if m.holds(at) && j.dc == m.From && w.changes.Float64() < m.Share {
			j.dc = m.To
		}
	}
	for _, d := range w.cfg.Departures {
		if !d.holds(at) || w.changes.Float64() >= d.Share {
			continue
		}
		within := d.Within
		if within == 0 {
			within = j.objective / 2
		}
		j.leaves = j.sent.Add(time.Duration(w.changes.Int64N(int64(within))))
	}
	cl := w.cfg.Classes[j.class]
	for _, h := range w.cfg.Hopeless {
		if h.Class != cl.Name || !h.holds(at) || w.changes.Float64() >= h.Share {
			continue
		}
		j.hopeless = true
		for i := range j.fails {
			j.fails[i] = cl.Attempts
		}
	}
}

// gone tells whether the caller has given up.
func (j *job) gone(now time.Time) bool { return !j.leaves.IsZero() && !now.Before(j.leaves) }
