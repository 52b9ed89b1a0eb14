package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const prefix = "/lohu930/"

// errNotServed means that the system has served too little for a case to say anything.
var errNotServed = errors.New("too little was served")

// lakeshoreRoutes are the queues of the Lakeshore deployment.
var lakeshoreRoutes = []route{
	{Name: "wire-price", Host: host, Prefix: prefix, Kind: "unsafe", Timeout: 1500, Objective: 60, Priority: 2, Service: pool, Attempts: 2, Stretch: 1.6},
	{Name: "slot-confirm", Host: host, Prefix: "/pule252/", Kind: "unsafe", Timeout: 1500, Objective: 60, Priority: 1, Service: pool, Attempts: 3, Stretch: 1.6},
	{Name: "batch", Host: host, Prefix: "/batch77/", Kind: "unsafe", Timeout: 20000, Objective: 8000, Priority: 3, Service: pool, Attempts: 2, Stretch: 4},
}

// aboutEstimate returns a duration of 0.8 to 1.2 times the estimate, which depends on the task.
func aboutEstimate(task string, j *job, s int) time.Duration {
	x := 0.8 + 0.4*float64(hash(task)%1000)/1000
	return time.Duration(x * float64(j.steps[s].Estimate) * float64(time.Millisecond))
}

func tasks(count, cpu int, estimate int64) func() []step {
	return func() []step { return []step{{Count: count, CPU: cpu, Memory: 64, Estimate: estimate}} }
}

// roomPlay: processes are killed one after the other, while the minions of a service that does
// not enforce its capacity are full.
var roomPlay = play{
	layout: layout{nodesPerZone: 2, minionsPerZone: 4, routes: lakeshoreRoutes, duration: aboutEstimate},
	run: func(w *world, trouble bool) error {
		l := startLoad(w,
			kindOfRequest{prefix, 8, 1500 * time.Millisecond, tasks(4, 27000, 900), 0, 0},
			kindOfRequest{"/pule252/", 15, 1500 * time.Millisecond, tasks(2, 27000, 200), 0, 0})
		time.Sleep(4 * time.Second)
		for i := range nodeKills {
			if n := w.nodes[i%len(w.nodes)]; trouble {
				n.kill(restartDelay)
			}
			time.Sleep(4 * time.Second)
		}
		if answers := l.end(); answers[http.StatusOK] < 50 {
			return errNotServed
		}
		return nil
	},
}

// nodeKills is how many processes are killed, one after the other.
const nodeKills = 14

// copyPlay: a job is cancelled, and a copy of its request arrives seconds after the response.
var copyPlay = play{
	layout: layout{nodesPerZone: 1, minionsPerZone: 2, guards: true, routes: lakeshoreRoutes, duration: aboutEstimate},
	run: func(w *world, trouble bool) error {
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		var mu sync.Mutex
		var failure error
		for i, n := range w.nodes {
			for range 3 {
				wg.Go(func() {
					if err := cancelAndRepeat(w, n, w.nodes[(i+1)%len(w.nodes)], trouble); err != nil {
						mu.Lock()
						failure = err
						mu.Unlock()
					}
				})
			}
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		return failure
	},
}

// copyDelay is how long after the response a copy of the request arrives: seconds, as the
// minions' late calls.
const copyDelay = 4500 * time.Millisecond

// cancelAndRepeat hands a job in at one node, cancels it at another one, and has a copy of the
// first request arrive later there.
func cancelAndRepeat(w *world, first, second *node, trouble bool) error {
	j := w.jobs.add(newID(), newSpec(), step{Count: 1, CPU: 4000, Memory: 64, Estimate: 3000})
	answers := make(chan answer, 1)
	go func() { answers <- newClientOf(w, first.zone, first).post(j, "/batch77/", 20*time.Second) }()
	time.Sleep(time.Second)
	other := newClientOf(w, second.zone, second)
	if a := other.cancel(j, "/batch77/", 4*time.Second); a.status != http.StatusOK {
		return fmt.Errorf("the cancelling was answered with %v", a)
	}
	if a := <-answers; a.status != http.StatusOK {
		return fmt.Errorf("the cancelled job was answered with %v", a)
	}
	if trouble {
		time.Sleep(copyDelay)
		other.post(j, "/batch77/", 20*time.Second)
	}
	return nil
}

// lookupPlay: processes are stopped in turn and leave for good, and clients cancel jobs that are
// over, on connections that they have open.
var lookupPlay = play{
	layout: layout{nodesPerZone: 3, minionsPerZone: 2, guards: true, routes: lakeshoreRoutes, duration: aboutEstimate},
	run: func(w *world, trouble bool) error {
		l := startLoad(w, kindOfRequest{"/pule252/", 20, 1500 * time.Millisecond, tasks(2, 4000, 200), 0, 0})
		time.Sleep(8 * time.Second)
		planner := w.planner()
		if planner == nil {
			return errNoPlanner
		}
		done := make(chan struct{})
		var askers sync.WaitGroup
		for _, n := range w.nodes {
			askers.Go(func() { askUntil(w, n, done) })
		}
		time.Sleep(3 * time.Second)
		for _, n := range w.nodes {
			if n.zone == planner.zone {
				continue
			}
			if trouble {
				n.leave()
			}
			time.Sleep(stopGap)
		}
		time.Sleep(2 * time.Second)
		close(done)
		askers.Wait()
		l.end()
		return nil
	},
}

// stopGap is the time between two planned stops, gap_s.
const stopGap = time.Second

// lossSlack is loss_slack_ms.
const lossSlack = 200 * time.Millisecond

// askUntil keeps connections open to a node, and cancels jobs there that have ended: each
// connection is used once, some seconds after it was opened.
func askUntil(w *world, n *node, done chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if n.isReady() {
			wg.Go(func() { ask(w, n) })
		}
	}
}

// ask opens a connection to a node, is idle for a time, and cancels a job that is over.
func ask(w *world, n *node) {
	c, err := openIdle(w, n)
	if err != nil {
		return
	}
	defer c.close()
	time.Sleep(2*time.Second + rand.N(3*time.Second))
	id := newID()
	sent := time.Now()
	status, err := c.request(http.MethodDelete, prefix+id)
	took := time.Since(sent)
	n.mu.Lock()
	signalled := n.signalled
	n.mu.Unlock()
	w.rec.log("client DELETE %s at %s -> %d after %d ms: %v", id, n.name, status, took.Milliseconds(), err)
	if err != nil && c.sent && took > lossSlack && !signalled.IsZero() && time.Since(signalled) < gracePeriod+time.Second {
		w.rec.breaks("LOST", "DELETE %s at %s: the connection ended %d ms after the request was sent, without an answer: %v", id, n.name, took.Milliseconds(), err)
	}
}

// spreadPlay: the process that plans is killed, while tasks wait for minions because only one
// task of a step may run on each.
var spreadPlay = play{
	layout: layout{nodesPerZone: 2, minionsPerZone: 2, guards: true, routes: lakeshoreRoutes, duration: aboutEstimate},
	run: func(w *world, trouble bool) error {
		l := startLoad(w, kindOfRequest{"/batch77/", 140, 20 * time.Second, func() []step {
			return []step{{Count: 9, CPU: 500, Memory: 64, Estimate: 60, AntiAffinity: 1}}
		}, 0, 0})
		time.Sleep(4 * time.Second)
		for range plannerKills {
			if n := w.planner(); n == nil {
				return errNoPlanner
			} else if trouble {
				n.kill(restartDelay)
			}
			time.Sleep(3 * time.Second)
		}
		if answers := l.end(); answers[http.StatusOK] < 50 {
			return errNotServed
		}
		return nil
	},
}

// plannerKills is how often the process that plans is killed.
const plannerKills = 20

var errNoPlanner = errors.New("no process plans")

// planner returns the process that plans, as the processes tell operators.
func (w *world) planner() *node {
	for _, n := range w.nodes {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/status", n.ip, metricsPort))
		if err != nil {
			continue
		}
		var s struct {
			Planner string `json:"planner"`
		}
		err = json.NewDecoder(resp.Body).Decode(&s)
		_ = resp.Body.Close()
		for _, o := range w.nodes {
			if err == nil && strings.HasPrefix(s.Planner, o.ip+":") {
				return o
			}
		}
	}
	return nil
}

// pausePlay: processes stand still for less than half a second, one after the other, while tasks
// wait for minions because only one task of a step may run on each.
var pausePlay = play{
	layout: layout{nodesPerZone: 2, minionsPerZone: 2, guards: true, routes: lakeshoreRoutes, duration: aboutEstimate},
	run: func(w *world, trouble bool) error {
		l := startLoad(w, kindOfRequest{"/batch77/", 12, 20 * time.Second, func() []step {
			return []step{{Count: 9, CPU: 2000, Memory: 64, Estimate: 900, AntiAffinity: 1}}
		}, 0, 0})
		time.Sleep(4 * time.Second)
		for i := range freezes {
			if n := w.nodes[i%len(w.nodes)]; trouble {
				n.signal(syscall.SIGSTOP)
				time.Sleep(freezeTime)
				n.signal(syscall.SIGCONT)
			}
			time.Sleep(2 * time.Second)
		}
		if answers := l.end(); answers[http.StatusOK] < 50 {
			return errNotServed
		}
		return nil
	},
}

const (
	// freezes is how many times a process stands still, and freezeTime for how long.
	freezes    = 12
	freezeTime = 450 * time.Millisecond
)

// mixPlay plays all sorts of disruptions at random, with jobs of several steps. It is no case,
// but finds some.
var mixPlay = play{
	layout: layout{nodesPerZone: 2, minionsPerZone: 4, routes: lakeshoreRoutes, duration: aboutEstimate},
	run: func(w *world, trouble bool) error {
		for i, m := range w.minions {
			if i%2 == 1 {
				m.crash()
				m.changeKind()
				if err := m.start(); err != nil {
					return err
				}
			}
		}
		l := startLoad(w,
			kindOfRequest{prefix, 3, 1500 * time.Millisecond, tasks(4, 27000, 900), 0.2, 0.1},
			kindOfRequest{"/pule252/", 15, 1500 * time.Millisecond, tasks(2, 27000, 200), 0.2, 0.1},
			kindOfRequest{"/batch77/", 4, 12 * time.Second, func() []step {
				return []step{
					{Count: 6, CPU: 9000, Memory: 64, Estimate: 300, Requirements: "a", AntiAffinity: 1},
					{Count: 3, CPU: 27000, Memory: 64, Estimate: 300, Requirements: "b", DependsOn: []int{0}, AntiAffinity: 1},
				}
			}, 0.2, 0.5},
			kindOfRequest{"/batch77/", 1.5, 20 * time.Second, tasks(3, 4000, 5000), 0.2, 0.2})
		time.Sleep(3 * time.Second)
		var wg sync.WaitGroup
		for end := time.Now().Add(90 * time.Second); trouble && time.Now().Before(end); {
			wg.Go(func() { mixedTrouble(w) })
			time.Sleep(time.Duration(300+rand.N(3000)) * time.Millisecond)
		}
		wg.Wait()
		l.end()
		return nil
	},
}

func mixedTrouble(w *world) {
	n := w.nodes[rand.N(len(w.nodes))]
	m := w.minions[rand.N(len(w.minions))]
	kind := rand.N(13)
	if kind <= 3 {
		if !n.busy.TryLock() {
			return
		}
		defer n.busy.Unlock()
	}
	switch kind {
	case 0, 1:
		n.kill(time.Duration(200+rand.N(2000)) * time.Millisecond)
	case 2:
		n.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+rand.N(3000)) * time.Millisecond)
		n.signal(syscall.SIGCONT)
	case 3:
		n.term(300 * time.Millisecond)
	case 4:
		m.crash()
		time.Sleep(time.Duration(rand.N(1500)) * time.Millisecond)
		if rand.N(2) == 0 {
			m.changeKind()
		}
		_ = m.start()
	case 6:
		w.latePercent.Store(int64(5 + rand.N(46)))
		time.Sleep(time.Duration(500+rand.N(4000)) * time.Millisecond)
		w.latePercent.Store(0)
	case 8, 9:
		m.cut.Store(true)
		time.Sleep(time.Duration(200+rand.N(3000)) * time.Millisecond)
		m.cut.Store(false)
	case 10:
		w.store.down.Store(true)
		time.Sleep(time.Duration(200+rand.N(3000)) * time.Millisecond)
		w.store.down.Store(false)
	case 11:
		w.evacuate(w.zones[rand.N(len(w.zones))], 8*time.Second)
	case 7:
		for range 5 {
			w.configure()
			time.Sleep(500 * time.Millisecond)
		}
	case 5:
		m.drain()
		time.Sleep(4 * time.Second)
		m.crash()
		_ = m.start()
	}
}

// changeKind makes the next life of a minion one of the other kind, which has another size.
func (m *minion) changeKind() {
	if m.kind == "a" {
		m.kind, m.cpu = "b", 96000
	} else {
		m.kind, m.cpu = "a", 64000
	}
}
