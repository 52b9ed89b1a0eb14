package hub_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"snipehub.example/client"
	"snipehub.example/job"
)

var (
	// relays and floods are the running relays and floods of all scripts, by script
	// directory (for a relay followed by its name). runningMu guards both.
	runningMu sync.Mutex
	relays    = make(map[string]*relay)
	floods    = make(map[string]*flood)
	faultCmds = map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"relay":   startRelay,
		"cut":     func(ts *testscript.TestScript, _ bool, args []string) { findRelay(ts, args[0]).cut(true) },
		"join":    func(ts *testscript.TestScript, _ bool, args []string) { findRelay(ts, args[0]).cut(false) },
		"flood":   startFlood,
		"flooded": endFlood,
	}
)

// relay forwards TCP connections and can be cut: then it closes its open connections and
// each new one.
type relay struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

// relay NAME LISTEN TARGET starts a relay.
func startRelay(ts *testscript.TestScript, _ bool, args []string) {
	ln, err := net.Listen("tcp", args[1])
	ts.Check(err)
	r := &relay{ln: ln, target: args[2], conns: make(map[net.Conn]struct{})}
	runningMu.Lock()
	relays[ts.Getenv("WORK")+args[0]] = r
	runningMu.Unlock()
	ts.Defer(func() { _ = ln.Close() })
	go r.serve()
}

func findRelay(ts *testscript.TestScript, name string) *relay {
	runningMu.Lock()
	defer runningMu.Unlock()
	r, ok := relays[ts.Getenv("WORK")+name]
	if !ok {
		ts.Fatalf("no relay %s", name)
	}
	return r
}

func (r *relay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *relay) forward(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	if !r.track(near, far) {
		return
	}
	defer r.untrack(near, far)
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	_, _ = io.Copy(near, far)
}

func (r *relay) track(cs ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut {
		return false
	}
	for _, c := range cs {
		r.conns[c] = struct{}{}
	}
	return true
}

func (r *relay) untrack(cs ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range cs {
		delete(r.conns, c)
	}
}

func (r *relay) cut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = on
	for c := range r.conns {
		_ = c.Close()
	}
}

// flood submits jobs one after the other from several callers until it is ended.
type flood struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	done     int
	failures []string
}

const (
	floodCallers      = 8
	floodTasks        = 4
	floodMin          = 20
	floodPollInterval = 20 * time.Millisecond
	maxFloodPolls     = 1000
)

// flood TOKEN ADDRESS... submits jobs through the dispatchers at the addresses.
func startFlood(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flood{cancel: cancel}
	runningMu.Lock()
	floods[ts.Getenv("WORK")] = f
	runningMu.Unlock()
	ts.Defer(cancel)
	for i := range floodCallers {
		cfg := client.Config{Token: args[0]}
		for k := range args[1:] {
			cfg.Entries = append(cfg.Entries, netip.MustParseAddrPort(args[1+(i+k)%len(args[1:])]))
		}
		c := client.New(cfg)
		f.wg.Go(func() { f.submit(ctx, c) })
	}
}

func (f *flood) submit(ctx context.Context, c *client.Client) {
	spec := job.Spec{Kind: "price"}
	for i := range floodTasks {
		spec.Tasks = append(spec.Tasks, json.RawMessage(fmt.Sprint(i)))
	}
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), 20*time.Second)
		a, err := c.Do(bounded, spec)
		cancel()
		f.mu.Lock()
		if err != nil || a.State != job.Done {
			f.failures = append(f.failures, fmt.Sprintf("%+v %v", a, err))
		} else {
			f.done++
		}
		f.mu.Unlock()
	}
}

func (f *flood) finished() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done >= floodMin || len(f.failures) > 0
}

// flooded waits until the flood has completed enough jobs or one has failed, ends it, and
// checks that every job was done.
func endFlood(ts *testscript.TestScript, _ bool, _ []string) {
	runningMu.Lock()
	f := floods[ts.Getenv("WORK")]
	runningMu.Unlock()
	for range maxFloodPolls {
		if f.finished() {
			break
		}
		time.Sleep(floodPollInterval)
	}
	f.cancel()
	f.wg.Wait()
	ts.Logf("jobs done: %d", f.done)
	if len(f.failures) > 0 || f.done < floodMin {
		ts.Fatalf("%d jobs done, others: %q", f.done, f.failures)
	}
}
