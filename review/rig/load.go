package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// kindOfRequest is a stream of jobs that clients send.
type kindOfRequest struct {
	prefix    string
	perSecond float64
	deadline  time.Duration
	steps     func() []step
	// leave is the share of the clients that leave early and come back.
	leave float64
	// cancel is the share of the jobs that are cancelled.
	cancel float64
}

// load sends jobs until stop is closed, and waits for their answers.
type load struct {
	w       *world
	clients []*client
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	// answers counts the final answers by status; 0 stands for none.
	answers map[int]int
}

// clientsPerZone is how many clients a zone has.
const clientsPerZone = 8

// startLoad begins to send jobs.
func startLoad(w *world, kinds ...kindOfRequest) *load {
	l := &load{w: w, stop: make(chan struct{}), answers: make(map[int]int)}
	for _, z := range w.zones {
		for range clientsPerZone {
			l.clients = append(l.clients, newClient(w, z))
		}
	}
	for _, k := range kinds {
		l.wg.Go(func() { l.send(k) })
	}
	return l
}

func (l *load) send(k kindOfRequest) {
	for {
		pause := time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second))
		select {
		case <-time.After(pause):
		case <-l.stop:
			return
		}
		j := l.w.jobs.add(newID(), newSpec(), k.steps()...)
		c := l.clients[rand.N(len(l.clients))]
		l.wg.Go(func() {
			if rand.Float64() < k.cancel {
				l.wg.Go(func() {
					time.Sleep(rand.N(k.deadline / 3))
					for range 4 {
						if a := l.clients[rand.N(len(l.clients))].cancel(j, k.prefix, 3*time.Second); a.status == 200 || a.status == 410 {
							break
						}
						time.Sleep(time.Second)
					}
				})
			}
			if rand.Float64() < k.leave {
				c.post(j, k.prefix, time.Duration(50+rand.N(500))*time.Millisecond)
				time.Sleep(resendDelay)
				if j.isCancelled() {
					return
				}
				c = l.clients[rand.N(len(l.clients))]
			}
			a := c.submit(j, k.prefix, k.deadline)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers[a.status]++
		})
	}
}

// end ends the load and returns the answers.
func (l *load) end() map[int]int {
	close(l.stop)
	l.wg.Wait()
	l.w.rec.log("answers by status: %v", l.answers)
	return l.answers
}
