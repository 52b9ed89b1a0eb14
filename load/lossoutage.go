package load

import (
	"slices"
	"time"
)

// minOutage is the shortest time without any process that counts as an outage. Processes
// log continuously, and their last lines before a sudden end are lost.
const minOutage = 300 * time.Millisecond

// span is a period of time.
type span struct{ from, until time.Time }

// outages returns the periods in which no process ran, from the first job to the last
// start of a process.
func (a *lossAccount) outages() []span {
	var uptimes []span
	for _, incarnations := range a.incarnations {
		for _, l := range incarnations {
			uptimes = append(uptimes, span{l.from, l.until})
		}
	}
	slices.SortFunc(uptimes, func(x, y span) int { return x.from.Compare(y.from) })
	var out []span
	upUntil := a.firstSent()
	for _, r := range uptimes {
		if r.from.Sub(upUntil) >= minOutage {
			out = append(out, span{upUntil, r.from})
		}
		if r.until.After(upUntil) {
			upUntil = r.until
		}
	}
	return out
}

// unseenJobs returns how many jobs are in no log, by the rate of the day: those of
// callers that sent while no process ran, and did not retry before their timeout expired.
func (a *lossAccount) unseenJobs() int {
	begin, end := a.firstSent(), a.firstSent()
	for _, j := range a.jobs {
		if j.sent().After(end) {
			end = j.sent()
		}
	}
	downTime, sentDuringOutages := time.Duration(0), 0
	for _, o := range a.outages() {
		downTime += o.until.Sub(o.from)
		for _, j := range a.jobs {
			if !j.sent().Before(o.from) && j.sent().Before(o.until) {
				sentDuringOutages++
			}
		}
	}
	upTime := end.Sub(begin) - downTime
	if upTime <= 0 {
		return 0
	}
	expected := float64(len(a.jobs)-sentDuringOutages) / upTime.Seconds() * downTime.Seconds()
	return max(int(expected)-sentDuringOutages, 0)
}
