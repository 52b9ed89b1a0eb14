package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// labelJudge counts the starts at a minion without the label that the task requires.
type labelJudge struct {
	rec *record

	mu            sync.Mutex
	needed, wrong int
	first         string
}

func (j *labelJudge) started(m *minion, l *life, e *execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.need == "" {
		return
	}
	j.needed++
	if slices.Contains([]string{l.kind, m.rack}, e.need) {
		return
	}
	j.wrong++
	line := fmt.Sprintf("%s run %d requires %s and starts at minion %s of kind %s, %d ms after that has registered and started", e.task, e.number, e.need, m.id, l.kind, time.Since(l.began).Milliseconds())
	if j.first == "" {
		j.first = line
	}
	j.rec.printf("ROUTE: %s", line)
}

// labelTrial has minions crash and start again under their ids as minions of another kind.
// Jobs that require the kind that they had must not be started there.
func labelTrial(rec *record, trouble bool) (verdict, error) {
	j := &labelJudge{rec: rec}
	kinds := []string{"a", "a", "b"}
	w, err := newWorld(rec, deployment{processes: 8, minions: 24, minionCPU: 64000, guards: true, kind: func(i int) string { return kinds[i%len(kinds)] }, judge: j})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	answers, clients := w.load(36, 200*time.Millisecond, func(i int) order {
		label := "a"
		if i%3 == 2 {
			label = ""
		}
		return plainOrder(2, 300, 27000, label, 1500*time.Millisecond)
	}, stop)
	time.Sleep(3 * time.Second)
	for round := range 3 {
		// Three of 24 are an eighth; srv_crash takes 0.14 at the most, for 4.5 s.
		crashed := []*minion{w.minions[round], w.minions[round+6], w.minions[round+12]}
		if round == 2 {
			crashed = []*minion{w.minions[3], w.minions[9], w.minions[15]}
		}
		if trouble {
			if err := restart(crashed, 1500*time.Millisecond, "b"); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	j.mu.Lock()
	defer j.mu.Unlock()
	if answers.served < answers.answers/4 || j.needed == 0 {
		return verdict{}, fmt.Errorf("only %d of %d jobs were served", answers.served, answers.answers)
	}
	return verdict{j.wrong > 0, fmt.Sprintf("%d of %d jobs served; %d starts with a label, %d at a minion without it; first: %s", answers.served, answers.answers, j.needed, j.wrong, j.first)}, nil
}

// restart crashes minions, which start again after a time as minions of a kind.
func restart(minions []*minion, down time.Duration, kind string) error {
	for _, m := range minions {
		m.crash()
	}
	time.Sleep(down)
	for _, m := range minions {
		if err := m.boot(kind); err != nil {
			return err
		}
	}
	return nil
}
