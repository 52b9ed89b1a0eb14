package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// cancelAfter and stopAfter are cancel_ms and stop_timeout_ms.
	cancelAfter = 3000 * time.Millisecond
	stopAfter   = 50 * time.Millisecond
	// Each job is a chain of short tasks: 30 of 400 ms, one after the other, so it lasts for
	// some 12 s. Its client would wait for 25 s.
	chainLength = 30
	chainTaskMS = 400
	chainWait   = 25 * time.Second
	chainJobs   = 18
)

// cancel has clients cancel jobs that are at work. Before that, machines are added to the
// system, one a zone, so that the balancer forwards new connections of some clients to others
// than before.
//
// The rule is UNASKED: a machine in touch starts a task later than cancel_ms after the job's
// cancelling was acknowledged.
func cancel(w *world, trouble bool) (string, error) {
	if err := begin(w, 6); err != nil {
		return "", err
	}
	type cancelled struct {
		id, by, at string
		status     int
		ack        time.Time
	}
	var mu sync.Mutex
	var cancels []cancelled
	var wg sync.WaitGroup
	for i := range chainJobs {
		c, id := w.newClient(i), newID()
		need := resources{CPU: 1000, Memory: 64}
		steps := []step{{Count: 1, CPU: need.CPU, Memory: need.Memory, Estimate: chainTaskMS}}
		for s := 1; s < chainLength; s++ {
			steps = append(steps, step{Count: 1, CPU: need.CPU, Memory: need.Memory, Estimate: chainTaskMS, DependsOn: []int{s - 1}})
		}
		first := w.choose(c.name, c.zone)
		wg.Go(func() { _, _, _ = c.post(id, encodeSpec(chainTaskMS, need), steps, chainWait) })
		wg.Go(func() {
			time.Sleep(5 * time.Second)
			status, answer, n := c.do(http.MethodDelete, prefix+id, nil, 4*time.Second)
			w.note("%s cancels job %s, which %s took in, and gets %d from %s: %s", c.name, id, first.name, status, n.name, answer)
			mu.Lock()
			defer mu.Unlock()
			cancels = append(cancels, cancelled{id, n.name, first.name, status, time.Now()})
		})
	}
	time.Sleep(time.Second)
	if trouble {
		for _, z := range zones {
			if _, err := w.addNode(z); err != nil {
				return "", err
			}
		}
	}
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	acks, late, jobs := 0, 0, 0
	for _, k := range cancels {
		if k.status/100 != 2 && k.status != http.StatusGone {
			continue
		}
		acks++
		n, last := 0, time.Duration(0)
		for _, s := range w.starts {
			if d := s.at.Sub(k.ack); strings.HasPrefix(s.task, k.id+".") && d > cancelAfter {
				n, last = n+1, d
			}
		}
		if n > 0 {
			late, jobs = late+n, jobs+1
			w.noteLocked("job %s: cancelling acknowledged with %d by %s; %d tasks started later than %v after that, the last %.1f s after it", k.id, k.status, k.by, n, cancelAfter, last.Seconds())
		}
	}
	w.noteLocked("%d of %d cancels were acknowledged", acks, len(cancels))
	if acks == 0 {
		return "", fmt.Errorf("no cancel was acknowledged")
	}
	if late > 0 {
		return fmt.Sprintf("UNASKED: %d tasks of %d jobs started later than %v after the job's cancelling was acknowledged", late, jobs, cancelAfter), nil
	}
	return "", nil
}
