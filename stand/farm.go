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

// Farm serves several backend servers in one process, each at its own address, and a
// control address for all of them, which also answers while a backend server's listener
// is closed.
type Farm struct {
	workers   []*Worker
	control   http.Handler
	listeners sync.WaitGroup
}

// NewFarm returns a farm of the workers.
func NewFarm(workers []*Worker) *Farm {
	f := &Farm{workers: workers}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stand/starts", func(w http.ResponseWriter, r *http.Request) { serveStarts(w, r, f.selectedWorkers(r)) })
	mux.HandleFunc("PUT /stand/faults", func(w http.ResponseWriter, r *http.Request) { putFaults(w, r, f.selectedWorkers(r)) })
	f.control = mux
	return f
}

// ServeHTTP serves the control calls GET /stand/starts and PUT /stand/faults, for the
// servers named in the query by "server", or for all.
func (f *Farm) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.control.ServeHTTP(w, r) }

func (f *Farm) selectedWorkers(r *http.Request) []*Worker {
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

// Serve serves all workers at their addresses until ctx ends.
func (f *Farm) Serve(ctx context.Context) error {
	for _, k := range f.workers {
		wl := &workerListener{addr: k.addr, h: k}
		if err := wl.listen(); err != nil {
			return err
		}
		k.mu.Lock()
		k.onVanish = wl.setClosed
		k.mu.Unlock()
		f.listeners.Add(1)
		context.AfterFunc(ctx, func() {
			defer f.listeners.Done()
			wl.setClosed(true)
		})
	}
	<-ctx.Done()
	f.listeners.Wait()
	return nil
}

// workerListener is the listener of one worker, which can be closed and opened again.
type workerListener struct {
	addr netip.AddrPort
	h    http.Handler

	mu sync.Mutex
	s  *http.Server
}

func (wl *workerListener) listen() error {
	ln, err := net.Listen("tcp", wl.addr.String())
	if err != nil {
		return errors.Wrap(err, "stand")
	}
	wl.mu.Lock()
	defer wl.mu.Unlock()
	wl.s = &http.Server{Handler: wl.h, ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(ln) }(wl.s)
	return nil
}

func (wl *workerListener) setClosed(closed bool) {
	if !closed {
		_ = wl.listen()
		return
	}
	wl.mu.Lock()
	defer wl.mu.Unlock()
	_ = wl.s.Close()
}

// serveStarts answers with the starts of the workers, in the form that the query's "view"
// selects: "full" for every start, "summary" for the counts of each server; by default
// the number of starts of each task id.
func serveStarts(w http.ResponseWriter, r *http.Request, workers []*Worker) {
	switch r.URL.Query().Get("view") {
	case "full":
		out := struct {
			Starts []Start `json:"starts"`
		}{[]Start{}}
		forEachLocked(workers, func(k *Worker) { out.Starts = append(out.Starts, k.record.starts...) })
		writeJSON(w, out)
	case "summary":
		out := struct {
			Servers []Summary `json:"servers"`
		}{[]Summary{}}
		forEachLocked(workers, func(k *Worker) { out.Servers = append(out.Servers, k.record.summaryCopy()) })
		writeJSON(w, out)
	default:
		counts := make(map[string]int)
		forEachLocked(workers, func(k *Worker) {
			for id, n := range k.record.counts {
				counts[id] += n
			}
		})
		writeJSON(w, counts)
	}
}

func forEachLocked(workers []*Worker, fn func(k *Worker)) {
	for _, k := range workers {
		k.mu.Lock()
		fn(k)
		k.mu.Unlock()
	}
}

func putFaults(w http.ResponseWriter, r *http.Request, workers []*Worker) {
	var in WorkerFaults
	if !decodeJSON(w, r, &in) {
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
