package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of rates: what is older counts for e times less.
const rateWindow = 300 * time.Millisecond

// rate is the amount per second of a stream, as an exponentially weighted mean.
type rate struct {
	perSecond float64
	at        time.Time
}

// add takes an amount into account.
func (r *rate) add(now time.Time, amount float64) {
	r.perSecond = r.value(now) + amount/rateWindow.Seconds()
	r.at = now
}

// value returns the rate.
func (r *rate) value(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}
