//go:build !race || matrix

package matrix_test

import (
	"fmt"
	"sync"
	"time"
)

// leaveWithin bounds the time in which a backend server that leaves gets its
// last new work, where every dispatcher hears of the change at once.
const leaveWithin = 5 * time.Second

// traffic submits jobs of both halves over all dispatchers for a while.
func (w *system) traffic(lasts time.Duration) *sync.WaitGroup {
	wg := new(sync.WaitGroup)
	end := time.Now().Add(lasts)
	for i := range w.hubs {
		for _, kind := range []string{"check", "menu"} {
			wg.Go(func() { w.trafficOver(i, kind, end) })
		}
	}
	return wg
}

// trafficOver submits one job after the other over a dispatcher, and takes a new
// ticket after whatever is not done.
func (w *system) trafficOver(i int, kind string, end time.Time) {
	for time.Now().Before(end) {
		g, ok := w.mint(w.hub(i))
		for seq := 0; ok && time.Now().Before(end); seq++ {
			ok = w.submit(w.hub(i), fmt.Sprintf("%s.%d", g.Ticket, seq), kind, 2).done()
			time.Sleep(trafficPause)
		}
		time.Sleep(trafficPause)
	}
}

const trafficPause = 500 * time.Millisecond

// moveHalves is an operator who gives a backend server of each data centre to
// the other half while both halves have jobs. By the backend server's own
// record, the new half's first start must come after the old half's last one:
// else the company that gave it away still pays for its work, and the other
// finds it busy.
func moveHalves(w *system, at func(int), _ fault) {
	wg := w.traffic(30 * time.Second)
	time.Sleep(2 * time.Second)
	at(0)
	_ = w.operate(w.want(change{pool: "pool-a", moved: true}))
	at(1)
	time.Sleep(2 * time.Second)
	at(2)
	wg.Wait()
	for _, k := range w.workers {
		var south time.Time
		for _, s := range w.record(k) {
			switch {
			case s.Kind == "menu" && south.IsZero():
				south = s.At
			case s.Kind == "check" && !south.IsZero():
				w.t.Errorf("backend server %s: started %s for north %v after the first start for south", k.ip, s.Task, s.At.Sub(south))
			}
		}
	}
}

// serverLeaving is an operator who takes a backend server away while jobs run.
// It gets no new work after a few seconds, and what it runs is finished.
func serverLeaving(w *system, at func(int), f fault) {
	wg := w.traffic(25 * time.Second)
	time.Sleep(2 * time.Second)
	at(0)
	err := w.operate(w.want(change{pool: "pool-a", leaving: true}))
	changed := time.Now()
	at(1)
	time.Sleep(2 * time.Second)
	at(2)
	wg.Wait()
	if err != nil || f.late {
		return
	}
	for _, s := range w.record(w.workers[0]) {
		if s.At.After(changed.Add(leaveWithin)) {
			w.t.Errorf("backend server %s: started %s %v after the change that takes it away", w.workers[0].ip, s.Task, s.At.Sub(changed))
		}
	}
}
