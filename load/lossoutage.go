package load

import (
	"slices"
	"time"
)

// minOutage is the shortest time without any process that counts as an outage. A shorter
// one can be a mere gap in the logs: processes log continuously, but their last lines
// before a sudden end are lost.
const minOutage = 300 * time.Millisecond

// span is a period of time.
type span struct{ from, until time.Time }

// outages returns the periods in which no process ran, from the first job to the last
// start of a process.
func (a *lossAccount) outages() []span {
	var uptimes []span
	for _, incarnations := range a.incarnations {
		for _, inc := range incarnations {
			uptimes = append(uptimes, span{inc.from, inc.until})
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

// unloggedJobs estimates how many jobs are in no log, from the rate at which jobs were
// sent while processes ran: those of callers that sent while no process ran, and did not
// retry before their timeout expired.
func (a *lossAccount) unloggedJobs() int {
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
