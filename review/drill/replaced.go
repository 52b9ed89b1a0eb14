package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// recovery is recovery_s; the counted requests are those of the seconds after it.
	recovery = 12 * time.Second
	counted  = 10 * time.Second
	// A new machine comes replaceAfter after the one that is removed for good, and the next one
	// is removed replaceEvery after that one.
	replaceAfter = 2 * time.Second
	replaceEvery = 5 * time.Second
	downFor      = 610 * time.Millisecond
)

// replaced removes each machine for good, one after the other, and adds another one in its
// zone at a new address each time. Then all processes are killed and come back.
//
// The rule is RECOVER: of the requests sent later than recovery_s after the machines are back,
// less than a quarter is served, though a quarter or more was before the final fault.
func replaced(w *world, trouble bool) (string, error) {
	const processes = 6
	if err := begin(w, processes); err != nil {
		return "", err
	}
	var mu sync.Mutex
	type request struct {
		sent   time.Time
		served bool
	}
	var requests []request
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		c := w.newClient(i)
		wg.Go(func() {
			need := resources{CPU: 27000, Memory: 64}
			for {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				sent := time.Now()
				status, _, _ := c.post(newID(), encodeSpec(200, need), []step{{Count: 2, CPU: need.CPU, Memory: need.Memory, Estimate: 200}}, 1500*time.Millisecond)
				mu.Lock()
				requests = append(requests, request{sent, status == http.StatusOK})
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	for i := range processes {
		if !trouble {
			time.Sleep(replaceEvery)
			continue
		}
		w.note("platform: %s is removed for good", w.nodes[i].name)
		w.nodes[i].kill(true)
		time.Sleep(replaceAfter)
		if _, err := w.addNode(w.nodes[i].zone); err != nil {
			return "", err
		}
		time.Sleep(replaceEvery - replaceAfter)
	}
	fault := time.Now()
	w.note("platform: all processes are killed")
	var live []*node
	for _, n := range w.nodes {
		if n.pid() != 0 {
			live = append(live, n)
			go n.kill(false)
		}
	}
	time.Sleep(downFor)
	for _, n := range live {
		if err := n.start(); err != nil {
			return "", err
		}
	}
	back := time.Now()
	time.Sleep(recovery + counted)
	close(stop)
	wg.Wait()
	share := func(from, to time.Time) (served, all int) {
		for _, r := range requests {
			if r.sent.After(from) && r.sent.Before(to) {
				all++
				if r.served {
					served++
				}
			}
		}
		return served, all
	}
	beforeServed, before := share(time.Time{}, fault)
	afterServed, after := share(back.Add(recovery), time.Now())
	w.note("%d of %d requests were served before the final fault, %d of %d later than %v after the machines were back", beforeServed, before, afterServed, after, recovery)
	switch {
	case after == 0 || 4*beforeServed < before:
		return "", fmt.Errorf("%d of %d requests were served before the final fault, and %d were sent after it", beforeServed, before, after)
	case 4*afterServed < after:
		return fmt.Sprintf("RECOVER: %d of %d requests served before the final fault, %d of %d later than %v after the machines were back", beforeServed, before, afterServed, after, recovery), nil
	}
	return "", nil
}
