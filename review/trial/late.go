package main

import (
	"fmt"
	"time"
)

// lateDown is how long the minions that crash are down.
const lateDown = 3200 * time.Millisecond

// overlaps records the tasks of which two runs were at work at the same time, and returns
// their number.
func (j *runsJudge) overlaps(rec *record) (n int, first string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, runs := range j.runs {
		for i, e := range runs {
			for _, o := range runs[:i] {
				if o.task != e.task || o.done && o.endedAt.Before(e.started) {
					continue
				}
				n++
				line := fmt.Sprintf("%s run %d starts while run %d, %v old, is at work", e.task, e.number, o.number, e.started.Sub(o.started).Round(time.Millisecond))
				if first == "" {
					first = line
				}
				rec.printf("TWICE: %s", line)
			}
		}
	}
	return n, first
}

// lateTrial has minions carry out a few orders late, while others crash and start again under
// their ids.
func lateTrial(rec *record, trouble bool) (verdict, error) {
	j := newRunsJudge()
	d := deployment{processes: 8, minions: 24, minionCPU: 64000, guards: true, kind: func(int) string { return "a" }, judge: j}
	if trouble {
		d.lateShare = 0.055
	}
	w, err := newWorld(rec, d)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	answers, clients := w.load(480, 20*time.Millisecond, func(int) order { return plainOrder(8, 7000, 250, "", 14*time.Second) }, stop)
	time.Sleep(4 * time.Second)
	for round := range 15 {
		crashed := []*minion{w.minions[round%8], w.minions[8+round%8], w.minions[16+round%8]}
		if trouble {
			if err := restart(crashed, 4500*time.Millisecond, "a"); err != nil {
				return verdict{}, err
			}
		} else {
			time.Sleep(lateDown)
		}
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	n, first := j.overlaps(rec)
	return verdict{n > 0, fmt.Sprintf("%d of %d jobs served; %d tasks ran twice at the same time; first: %s", answers.served, answers.answers, n, first)}, nil
}
