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

// relays and floods are what a script has under way, by its directory.
var (
	running   sync.Mutex
	relayOf   = make(map[string]*relay)
	floodOf   = make(map[string]*flood)
	faultCmds = map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"relay":   startRelay,
		"cut":     func(ts *testscript.TestScript, _ bool, args []string) { findRelay(ts, args[0]).cut(true) },
		"join":    func(ts *testscript.TestScript, _ bool, args []string) { findRelay(ts, args[0]).cut(false) },
		"flood":   startFlood,
		"flooded": endFlood,
	}
)

// relay passes TCP connections on and can be cut: open connections are closed
// in mid-stream and new ones too.
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
	running.Lock()
	relayOf[ts.Getenv("WORK")+args[0]] = r
	running.Unlock()
	ts.Defer(func() { _ = ln.Close() })
	go r.serve()
}

func findRelay(ts *testscript.TestScript, name string) *relay {
	running.Lock()
	defer running.Unlock()
	r, ok := relayOf[ts.Getenv("WORK")+name]
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
		go r.pass(c)
	}
}

func (r *relay) pass(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	if !r.enter(near, far) {
		return
	}
	defer r.leave(near, far)
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	_, _ = io.Copy(near, far)
}

func (r *relay) enter(cs ...net.Conn) bool {
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

func (r *relay) leave(cs ...net.Conn) {
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

// flood is callers that submit jobs one after the other until told to end.
type flood struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	done int
	bad  []string
}

const (
	floodCallers = 8
	floodTasks   = 4
	floodMin     = 20
	floodLook    = 20 * time.Millisecond
	floodLooks   = 1000
)

// flood TOKEN ADDRESS... submits jobs over the dispatchers at the addresses.
func startFlood(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flood{cancel: cancel}
	running.Lock()
	floodOf[ts.Getenv("WORK")] = f
	running.Unlock()
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
			f.bad = append(f.bad, fmt.Sprintf("%+v %v", a, err))
		} else {
			f.done++
		}
		f.mu.Unlock()
	}
}

func (f *flood) enough() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done >= floodMin || len(f.bad) > 0
}

// flooded lets the flood go on until enough jobs are done, ends it, and holds
// that every job was done.
func endFlood(ts *testscript.TestScript, _ bool, _ []string) {
	running.Lock()
	f := floodOf[ts.Getenv("WORK")]
	running.Unlock()
	for range floodLooks {
		if f.enough() {
			break
		}
		time.Sleep(floodLook)
	}
	f.cancel()
	f.wg.Wait()
	ts.Logf("jobs done: %d", f.done)
	if len(f.bad) > 0 || f.done < floodMin {
		ts.Fatalf("%d jobs done, others: %q", f.done, f.bad)
	}
}
