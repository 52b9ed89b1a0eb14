package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// cancelTime is how long after the ack of a cancel tasks may still be started (cancel_ms).
	cancelTime = 3 * time.Second
	// contactTime is how long after a disruption a machine is in touch again (contact_ms).
	contactTime = 3 * time.Second
)

// startsAfter records the starts of a job's tasks later than cancel_ms after the ack of its
// cancel, on machines that are in touch from a time on, and returns their number.
func (j *runsJudge) startsAfter(rec *record, id string, ack, inTouch time.Time) int {
	n := 0
	for _, e := range j.of(id) {
		late := e.started.Sub(ack)
		if late <= cancelTime || e.started.Before(inTouch) {
			continue
		}
		n++
		rec.printf("UNASKED: %s run %d starts %v after the ack of the job's cancel", e.task, e.number, late.Round(time.Millisecond))
	}
	return n
}

// cancelTrial cancels a quarter of the jobs while they run. Their submitters follow the pages:
// after a 504 a job is sent again, to any process.
func cancelTrial(rec *record, trouble bool) (verdict, error) {
	j := newRunsJudge()
	w, err := newWorld(rec, deployment{processes: 8, minions: 24, minionCPU: 64000, guards: true, kind: func(int) string { return "a" }, judge: j})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, cancelled, late, jobs := 0, 0, 0, 0
	for i := range 40 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			submitter, id := w.newClient(i%len(w.processes)), newID()
			done := make(chan answer, 1)
			go func() { done <- submitter.submit(id, chainOrder(5, 1000, 27000, 12*time.Second)) }()
			var ack time.Time
			if trouble && i%4 == 0 {
				time.Sleep(1500 * time.Millisecond)
				a := w.newClient(0).cancel(w.processes[(i+3)%len(w.processes)], id)
				if a.status == http.StatusOK || a.status == http.StatusGone {
					ack = a.at
				}
			}
			a := <-done
			mu.Lock()
			defer mu.Unlock()
			jobs++
			if a.status == http.StatusOK {
				served++
			}
			if !ack.IsZero() {
				cancelled++
				late += j.startsAfter(rec, id, ack, time.Time{})
			}
		})
	}
	clients.Wait()
	if served < jobs/2 {
		return verdict{}, fmt.Errorf("only %d of %d jobs were served", served, jobs)
	}
	return verdict{late > 0, fmt.Sprintf("%d jobs, %d answered with 200, %d cancels acknowledged; %d tasks of cancelled jobs started over %v after the ack, with no disruption but the cancels", jobs, served, cancelled, late, cancelTime)}, nil
}

// thawTrial freezes a process. A job that the balancer still sends there is cancelled at
// another process while the first one stands still. The client sends nothing again.
func thawTrial(rec *record, trouble bool) (verdict, error) {
	j := newRunsJudge()
	w, err := newWorld(rec, deployment{processes: 8, minions: 24, minionCPU: 64000, guards: true, kind: func(int) string { return "a" }, judge: j})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	late, acked := 0, 0
	for round := range 3 {
		p := w.processes[2+round]
		if trouble {
			p.signal(syscall.SIGSTOP)
		}
		id, c := newID(), w.newClient(2+round)
		done := make(chan answer, 1)
		go func() { done <- c.send(p, id, chainOrder(6, 1500, 27000, 18*time.Second)) }()
		time.Sleep(300 * time.Millisecond)
		a := w.newClient(6).cancel(w.processes[6], id)
		time.Sleep(700 * time.Millisecond)
		thawed := time.Now()
		if trouble {
			p.signal(syscall.SIGCONT)
		}
		<-done
		if a.status == http.StatusOK || a.status == http.StatusGone {
			acked++
			late += j.startsAfter(rec, id, a.at, thawed.Add(contactTime))
		}
	}
	if acked == 0 {
		return verdict{}, fmt.Errorf("no cancel was acknowledged")
	}
	return verdict{late > 0, fmt.Sprintf("%d cancels acknowledged; %d tasks of these jobs started over %v after the ack by machines in touch", acked, late, cancelTime)}, nil
}
