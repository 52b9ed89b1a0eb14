package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// roomJudge counts the starts that bring a minion over its capacity.
type roomJudge struct {
	rec *record

	mu           sync.Mutex
	starts, over int
	first        string
}

func (j *roomJudge) started(m *minion, l *life, e *execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	used := l.used()
	if used <= m.cpu {
		return
	}
	j.over++
	stopping := 0
	for _, o := range l.runs {
		if o.stopping {
			stopping += o.cpu
		}
	}
	line := fmt.Sprintf("%s run %d brings minion %s to %d of %d thousandths of a core, %d of which are being stopped", e.task, e.number, m.id, used, m.cpu, stopping)
	if j.first == "" {
		j.first = line
	}
	j.rec.printf("LIMIT: %s", line)
}

// roomTrial kills processes that have jobs and hold minions, one at a time. The tasks that they
// have started must not be joined by more than fits.
func roomTrial(rec *record, trouble bool) (verdict, error) {
	j := &roomJudge{rec: rec}
	w, err := newWorld(rec, deployment{processes: 8, minions: 24, minionCPU: 64000, kind: func(int) string { return "a" }, judge: j})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	answers, clients := w.load(48, 50*time.Millisecond, func(int) order { return plainOrder(2, 900, 27000, "", 2500*time.Millisecond) }, stop)
	time.Sleep(4 * time.Second)
	for round := range 5 {
		p := w.processes[(3*round+1)%len(w.processes)]
		if trouble {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(3500 * time.Millisecond)
		if trouble {
			if err := p.start(); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	j.mu.Lock()
	defer j.mu.Unlock()
	if answers.served < answers.answers/4 {
		return verdict{}, fmt.Errorf("only %d of %d jobs were served", answers.served, answers.answers)
	}
	return verdict{j.over > 0, fmt.Sprintf("%d of %d jobs served; %d starts, %d over the room of their minion; first: %s", answers.served, answers.answers, j.starts, j.over, j.first)}, nil
}
