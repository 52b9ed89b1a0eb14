package load

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"snipehub.example/client"
	"snipehub.example/job"
	"snipehub.example/settings"
)

const (
	// benchServiceTime is short, so that a few seconds give many tasks; the stand-in only
	// waits during it.
	benchServiceTime = 10 * time.Millisecond
	benchCores       = 4096
	benchCallers     = 8
)

// bench is one dispatcher with one large backend server, for measurements of slopes.
type bench struct {
	*Running
	clients []*client.Client
}

func newBench(ctx context.Context) (*bench, error) {
	d, err := demoDeployment(1, 1, benchCores)
	if err != nil {
		return nil, err
	}
	d.Callers = nil
	for i := range benchCallers {
		name := "caller" + itoa(i)
		d.Callers = append(d.Callers, Caller{Name: name, Team: name, Token: name, Share: 1})
	}
	d.cfg.Dispatch.MaxWait = settings.Duration(time.Hour)
	d.cfg.Dispatch.TaskTimeout = settings.Duration(2 * time.Minute)
	running, err := Deploy(ctx, d)
	if err != nil {
		return nil, err
	}
	b := &bench{Running: running}
	for _, c := range d.Callers {
		b.clients = append(b.clients, client.New(client.Config{Entries: []netip.AddrPort{b.entryAddr()}, Token: c.Token}))
	}
	return b, nil
}

// renewTickets makes every client take a new ticket.
func (b *bench) renewTickets() {
	for _, c := range b.clients {
		c.DropCurrentTicket()
	}
}

func (b *bench) entryAddr() netip.AddrPort { return b.endpoints[0].callerAddr }

// job returns a job of n tasks of the given service time, with the default timeout.
func (b *bench) job(n int, service time.Duration) job.Spec {
	a := arrival{kind: b.rows.Routes[0].Kind, service: make([]time.Duration, n)}
	for i := range a.service {
		a.service[i] = service
	}
	s := a.spec()
	s.TimeoutMS = 0
	return s
}

// runJobs runs the job on all clients, perClient at a time on each, until n have been
// started or the timeout expires. It returns how many were done.
func (b *bench) runJobs(ctx context.Context, s job.Spec, perClient int, n int64, timeout time.Duration) int64 {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var started, finished atomic.Int64
	var wg sync.WaitGroup
	for _, c := range b.clients {
		for range perClient {
			wg.Go(func() {
				for started.Add(1) <= n && ctx.Err() == nil {
					if b.submitOnce(ctx, c, s) {
						finished.Add(1)
					}
				}
			})
		}
	}
	wg.Wait()
	return finished.Load()
}

// submitOnce submits the job once and reports whether it was done; a refused job was not.
func (b *bench) submitOnce(ctx context.Context, c *client.Client, s job.Spec) bool {
	id, err := c.NextID(ctx)
	if err != nil {
		return false
	}
	a, err := c.Put(ctx, b.entryAddr(), id, s)
	return err == nil && a.State == job.Done
}

// usage returns the dispatcher's processor time and memory.
func (b *bench) usage() (time.Duration, int64) { return b.dispatchers[0].usage() }
