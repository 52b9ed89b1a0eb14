package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// The site files have poison with a share of 0.05 for 3 s at the most. The drill plays
	// windows of that length, in which less than 0.05 of the jobs can never be done.
	poisonWindow = 3 * time.Second
	poisonPause  = 1500 * time.Millisecond
	poisonPlay   = 90 * time.Second
	// Thirty ordinary clients send some 50 jobs a second, two others about one each in a
	// second and a half, until it is refused.
	ordinaryClients, poisonClients = 30, 2
	clientPause                    = 500 * time.Millisecond
	clientWait                     = 3 * time.Second
	shortTaskMS, poisonTaskMS      = 15, 900
)

// poison sends jobs that can never be done, since no minion has the label that they require.
// Their tasks need memory alone, so their cpu is 0 and omitted.
//
// The rule is Fault: processes end by themselves three times on a tenth of the machines, two at
// least; memory over the limit counts.
func poison(w *world, trouble bool) (string, error) {
	if err := begin(w, 6); err != nil {
		return "", err
	}
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers, hopeless := map[int]int{}, 0
	done := func() bool { return time.Since(began) > poisonPlay || killedThrice(w) >= 2 }
	for i := range ordinaryClients {
		c := w.newClient(i)
		wg.Go(func() {
			need := resources{CPU: 27000, Memory: 64}
			for !done() {
				s, _, _ := c.post(newID(), encodeSpec(shortTaskMS, need), []step{{Count: 2, CPU: need.CPU, Memory: need.Memory, Estimate: shortTaskMS}}, clientWait)
				mu.Lock()
				answers[s]++
				mu.Unlock()
				time.Sleep(clientPause)
			}
		})
	}
	for i := range poisonClients {
		c := w.newClient(ordinaryClients + i)
		wg.Go(func() {
			need := resources{Memory: 64}
			for trouble && !done() {
				if time.Since(began)%(poisonWindow+poisonPause) > poisonWindow {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				sent := time.Now()
				_, _, _ = c.post(newID(), encodeSpec(poisonTaskMS, need), []step{{Count: 1, Memory: need.Memory, Estimate: poisonTaskMS, Requirements: "none"}}, clientWait)
				mu.Lock()
				hopeless++
				mu.Unlock()
				time.Sleep(time.Until(sent.Add(poisonWindow / 2)))
			}
		})
	}
	wg.Wait()
	all := 0
	for _, n := range answers {
		all += n
	}
	w.note("%d ordinary jobs, answers (0: none): %v; %d hopeless jobs", all, answers, hopeless)
	for _, n := range w.nodes {
		w.note("%s: peak of %d MB, killed %d times for its memory", n.name, n.peakMB, n.overMem)
	}
	if n := killedThrice(w); n >= 2 {
		return fmt.Sprintf("Fault: on %d of %d machines the process exceeded its memory three times within %.0f s; answers to %d ordinary jobs (0: none): %v; %d hopeless jobs", n, len(w.nodes), time.Since(began).Seconds(), all, answers, hopeless), nil
	}
	return "", nil
}

// killedThrice returns on how many machines the process has exceeded its memory three times.
func killedThrice(w *world) (machines int) {
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.overMem >= 3 {
			machines++
		}
		n.mu.Unlock()
	}
	return machines
}
