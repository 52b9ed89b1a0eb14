package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// recoveryTime is how long after the last minion is back the first job is sent
	// (recovery_s).
	recoveryTime = 12 * time.Second
	// rollGap is the time between the restarts of two minions (gap_s).
	rollGap = time.Second
	// restartPause is how long a minion is away between its exit and its next start.
	restartPause = 500 * time.Millisecond
	// trafficTime is how long jobs are sent.
	trafficTime = 10 * time.Second
)

type noJudge struct{}

func (noJudge) started(*minion, *life, *execution) {}

// rollTrial restarts all minions as planned, one after the other, under the ids that they had.
// No job is sent before they are back.
func rollTrial(rec *record, trouble bool) (verdict, error) {
	w, err := newWorld(rec, deployment{processes: 8, minions: 24, minionCPU: 64000, guards: true, kind: func(int) string { return "a" }, judge: noJudge{}})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	var rolls sync.WaitGroup
	var mu sync.Mutex
	var rollErr error
	for _, m := range w.minions {
		if trouble {
			rolls.Go(func() {
				if err := m.restart(restartPause); err != nil {
					mu.Lock()
					rollErr = err
					mu.Unlock()
				}
			})
		}
		time.Sleep(rollGap)
	}
	rolls.Wait()
	if rollErr != nil {
		return verdict{}, rollErr
	}
	rec.printf("all minions are back")
	time.Sleep(recoveryTime)
	rec.printf("traffic starts")
	stop := make(chan struct{})
	t, clients := w.load(16, 100*time.Millisecond, func(int) order { return plainOrder(2, 200, 27000, "", 1500*time.Millisecond) }, stop)
	time.Sleep(trafficTime)
	close(stop)
	clients.Wait()
	if t.answers == 0 {
		return verdict{}, errors.New("no job was sent")
	}
	return verdict{t.served == 0, fmt.Sprintf("%d of %d jobs were served, all of them sent later than %v after the last minion was back", t.served, t.answers, recoveryTime)}, nil
}
