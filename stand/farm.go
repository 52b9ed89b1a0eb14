package stand

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Farm serves several backend servers in one process, each at its own address,
// and a control address for all of them, which answers also when a backend
// server has vanished.
type Farm struct {
	workers []*Worker
	control http.Handler
	places  sync.WaitGroup
}

// NewFarm makes a farm of the workers.
func NewFarm(workers []*Worker) *Farm {
	f := &Farm{workers: workers}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stand/starts", func(w http.ResponseWriter, r *http.Request) { serveStarts(w, r, f.chosen(r)) })
	mux.HandleFunc("PUT /stand/faults", func(w http.ResponseWriter, r *http.Request) { putFaults(w, r, f.chosen(r)) })
	f.control = mux
	return f
}

// ServeHTTP answers the controls: GET /stand/starts and PUT /stand/faults, for
// the servers named by the query's "server", or for all.
func (f *Farm) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.control.ServeHTTP(w, r) }

func (f *Farm) chosen(r *http.Request) []*Worker {
	names := r.URL.Query()["server"]
	if len(names) == 0 {
		return f.workers
	}
	var out []*Worker
	for _, n := range names {
		for _, k := range f.workers {
			if k.addr.String() == n {
				out = append(out, k)
			}
		}
	}
	return out
}

// Serve answers at the addresses of all workers until ctx ends.
func (f *Farm) Serve(ctx context.Context) error {
	for _, k := range f.workers {
		p := &place{addr: k.addr, h: k}
		if err := p.open(); err != nil {
			return err
		}
		k.mu.Lock()
		k.vanished = p.vanish
		k.mu.Unlock()
		f.places.Add(1)
		context.AfterFunc(ctx, func() {
			defer f.places.Done()
			p.vanish(true)
		})
	}
	<-ctx.Done()
	f.places.Wait()
	return nil
}

// place is the listener of one worker, which can go and come back.
type place struct {
	addr netip.AddrPort
	h    http.Handler

	mu sync.Mutex
	s  *http.Server
}

func (p *place) open() error {
	ln, err := net.Listen("tcp", p.addr.String())
	if err != nil {
		return errors.Wrap(err, "stand")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.s = &http.Server{Handler: p.h, ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(ln) }(p.s)
	return nil
}

func (p *place) vanish(gone bool) {
	if !gone {
		_ = p.open()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.s.Close()
}

// serveStarts answers with the starts of the workers. The query's "view" is
// "full" (every start), "summary" (counts of each server), or, without it, the
// number of starts of each task id.
func serveStarts(w http.ResponseWriter, r *http.Request, workers []*Worker) {
	switch r.URL.Query().Get("view") {
	case "full":
		out := struct {
			Starts []Start `json:"starts"`
		}{[]Start{}}
		each(workers, func(k *Worker) { out.Starts = append(out.Starts, k.record.starts...) })
		reply(w, out)
	case "summary":
		out := struct {
			Servers []Summary `json:"servers"`
		}{[]Summary{}}
		each(workers, func(k *Worker) { out.Servers = append(out.Servers, k.record.total()) })
		reply(w, out)
	default:
		counts := make(map[string]int)
		each(workers, func(k *Worker) {
			for id, n := range k.record.counts {
				counts[id] += n
			}
		})
		reply(w, counts)
	}
}

func each(workers []*Worker, do func(k *Worker)) {
	for _, k := range workers {
		k.mu.Lock()
		do(k)
		k.mu.Unlock()
	}
}

func putFaults(w http.ResponseWriter, r *http.Request, workers []*Worker) {
	var in WorkerFaults
	if !decode(w, r, &in) {
		return
	}
	if len(workers) == 0 {
		http.Error(w, "no such server", http.StatusNotFound)
		return
	}
	for _, k := range workers {
		k.SetFaults(in)
	}
}
