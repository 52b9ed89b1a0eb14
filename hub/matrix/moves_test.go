//go:build !race || matrix

package matrix_test

import (
	"fmt"
	"sync"
	"time"
)

// maxLeaveTime is the time within which a leaving backend server must get its last new
// work, provided that every dispatcher learns of the change at once.
const maxLeaveTime = 5 * time.Second

// startTraffic submits jobs of both halves through all dispatchers for the given
// duration.
func (w *system) startTraffic(duration time.Duration) *sync.WaitGroup {
	wg := new(sync.WaitGroup)
	end := time.Now().Add(duration)
	for i := range w.hubs {
		for _, kind := range []string{"check", "menu"} {
			wg.Go(func() { w.sendTraffic(i, kind, end) })
		}
	}
	return wg
}

// sendTraffic submits jobs through a dispatcher one after the other, and takes a new
// ticket after each job that is not done.
func (w *system) sendTraffic(i int, kind string, end time.Time) {
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

// moveHalves is an operator who moves a backend server of each data centre to the other
// half while both halves have jobs. According to the backend server's own record, the
// first start for the new half must come after the last one for the old half: otherwise
// the company that gave the server away still uses it and pays for that work, while the
// other company finds the server busy.
func moveHalves(w *system, beginStep func(int), _ fault) {
	wg := w.startTraffic(30 * time.Second)
	time.Sleep(2 * time.Second)
	beginStep(0)
	_ = w.operate(w.setDesired(change{pool: "pool-a", moved: true}))
	beginStep(1)
	time.Sleep(2 * time.Second)
	beginStep(2)
	wg.Wait()
	for _, k := range w.workers {
		var south time.Time
		for _, s := range w.startsOf(k) {
			switch {
			case s.Kind == "menu" && south.IsZero():
				south = s.At
			case s.Kind == "check" && !south.IsZero():
				w.t.Errorf("backend server %s: started %s for north %v after the first start for south", k.ip, s.Task, s.At.Sub(south))
			}
		}
	}
}

// serverLeaving is an operator who takes a backend server away while jobs run. The server
// must get no new work after a few seconds, and must finish what it runs.
func serverLeaving(w *system, beginStep func(int), f fault) {
	wg := w.startTraffic(25 * time.Second)
	time.Sleep(2 * time.Second)
	beginStep(0)
	err := w.operate(w.setDesired(change{pool: "pool-a", leaving: true}))
	changed := time.Now()
	beginStep(1)
	time.Sleep(2 * time.Second)
	beginStep(2)
	wg.Wait()
	if err != nil || f.delaysChanges {
		return
	}
	for _, s := range w.startsOf(w.workers[0]) {
		if s.At.After(changed.Add(maxLeaveTime)) {
			w.t.Errorf("backend server %s: started %s %v after the change that takes it away", w.workers[0].ip, s.Task, s.At.Sub(changed))
		}
	}
}
