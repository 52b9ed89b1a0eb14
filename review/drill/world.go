package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	service = "orders"
	host    = "orders.example"
	prefix  = "/book/"
	// frontPort, readyPort and controlPort are the ports of each process, on its own address.
	frontPort, readyPort, controlPort = 8161, 8167, 8166
	storePort, firstMinionPort        = 8169, 9100
)

// zones are the data centres of the deployment.
var zones = []string{"z1", "z2", "z3"}

// world is the platform of one drill: the store, the minions, the processes of the system
// and what is recorded of them.
type world struct {
	dir, net string
	began    time.Time
	store    *store
	minions  []*minion
	memoryMB int

	mu     sync.Mutex
	record *os.File
	nodes  []*node
	starts []startRow
	ends   map[runKey]time.Time
}

// startRow is one task that a minion has begun.
type startRow struct {
	at           time.Time
	minion, from string
	task         string
	run          int
}

// node is one machine with its process.
type node struct {
	world    *world
	name, ip string
	zone     string
	conf     string
	core     int

	mu      sync.Mutex
	cmd     *exec.Cmd
	gone    bool
	misses  int
	seen    bool
	peakMB  int
	overMem int
}

func newWorld(dir string, memoryMB int) (*world, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	w := &world{dir: tmp, began: time.Now(), store: newStore(), memoryMB: memoryMB, record: f, ends: make(map[runKey]time.Time)}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		if err = w.serve(w.address(1, storePort), w.store.handler()); err == nil {
			return w, nil
		}
	}
	return nil, err
}

func (w *world) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.net, host, port) }

func (w *world) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	return nil
}

// note writes a line to the record, with the seconds since the drill began.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a minion has begun a task, and ended that it has ended.
func (w *world) ran(minion, from string, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, startRow{time.Now(), minion, from, o.Task, o.Run})
	w.noteLocked("minion %s starts %s run %d on an order of %s", minion, o.Task, o.Run, w.nameOf(from))
}

func (w *world) ended(minion string, k runKey, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[k] = time.Now()
	w.noteLocked("minion %s ends %s run %d: %s", minion, k.task, k.run, how)
}

// nameOf returns the name of the machine with an address. The caller holds mu.
func (w *world) nameOf(ip string) string {
	for _, n := range w.nodes {
		if n.ip == ip {
			return n.name
		}
	}
	return ip
}

// addMinions adds minions to the zones in turn, eight a rack.
func (w *world) addMinions(n int, has resources) error {
	for i := range n {
		zone := i % len(zones)
		size := has
		if i/len(zones)%3 == 2 {
			size.CPU, size.Memory = size.CPU*3/2, size.Memory*3/2
		}
		m := newMinion(w, fmt.Sprintf("i-%04x", 0x1000+i), w.address(1, firstMinionPort+i), zones[zone], fmt.Sprintf("r%d-%d", zone, i/24), size)
		if err := w.serve(m.address, m.handler()); err != nil {
			return err
		}
		w.minions = append(w.minions, m)
		go m.register()
	}
	return nil
}

// configure publishes the first configuration, as the operator does.
func (w *world) configure(priority, attempts int) {
	b, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "book", "host": host, "path_prefix": prefix, "service": service, "timeout_ms": 30000,
			"target_latency_ms": 60, "priority": priority, "attempts": attempts, "stretch": 1.6,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 64, "enforces_capacity": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.store.put("keyed.op", "config", b)
}

// addNode adds a machine to a zone, with a new address, and starts its process.
func (w *world) addNode(zone string) (*node, error) {
	w.mu.Lock()
	i := len(w.nodes)
	n := &node{world: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("%s.%d", w.net, 11+i), zone: zone, core: i % runtime.NumCPU(), conf: filepath.Join(w.dir, fmt.Sprintf("node%d.conf", i+1))}
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	seeds := []string{w.address(11, controlPort), w.address(12, controlPort), w.address(13, controlPort)}
	if err := os.WriteFile(n.conf, []byte(n.settings(seeds)), 0o600); err != nil {
		return nil, err
	}
	go n.pollReady()
	go n.watchMemory()
	return n, n.start()
}

func (n *node) settings(seeds []string) string {
	return fmt.Sprintf(`node_name=%s
role=dispatcher
machine_class=front
serves=front,control
ip=%s
zone=%s
region=south
zones.z1=south
zones.z2=south
zones.z3=south
listen.front=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
port_range=7720,7735
seeds=%s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%d
limits.max_fds=4100
heartbeat_ms=1500
fault_tolerance.machines=2
fault_tolerance.zones=1
bounds.grace_s=6
bounds.hold_max_ms=1000
bounds.far_factor=2
orders=rpc
platform.address=%s
platform.form=log
platform.parts=8
`, n.name, n.ip, n.zone, n.ip, frontPort, n.ip, readyPort, n.ip, controlPort, strings.Join(seeds, ","), n.world.memoryMB, n.world.address(1, storePort))
}

// start starts the process as deploy/system.toml says.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(n.conf+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command("target/snipehubd", "leased")
	c.Env = []string{"SNIPEHUB_BOOT=" + n.conf, "PATH=" + os.Getenv("PATH"), "HOME=" + n.world.dir}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended := func(err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cmd == c {
			n.cmd = nil
			n.world.note("platform: %s has ended: %v", n.name, err)
		}
	}
	if err := startOnOneCore(c, n.core, ended); err != nil {
		return err
	}
	n.cmd, n.gone = c, false
	n.world.note("platform: %s starts at %s", n.name, n.ip)
	return nil
}

// startOnOneCore starts a process that sees and uses one core, as the platform's machines have.
func startOnOneCore(c *exec.Cmd, core int, ended func(error)) error {
	started := make(chan error)
	go func() {
		// The thread is not unlocked, so it ends with the goroutine: its affinity, which the
		// process inherits, applies to nothing else. A parent's death signal is sent when this
		// thread ends, so it must last as long as the process.
		runtime.LockOSThread()
		var mask [16]uint64
		mask[core/64] = 1 << (core % 64)
		_, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(mask), uintptr(unsafe.Pointer(&mask)))
		if errno != 0 {
			started <- errno
			return
		}
		err := c.Start()
		started <- err
		if err == nil {
			ended(c.Wait())
		}
	}()
	return <-started
}

// kill kills the process; for good, the machine does not come back.
func (n *node) kill(forGood bool) {
	n.mu.Lock()
	c := n.cmd
	n.gone = n.gone || forGood
	n.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
	}
	for range 100 {
		if n.pid() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// pollReady asks for readiness once a second, as the platform's balancer does.
func (n *node) pollReady() {
	c := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort))
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		n.mu.Lock()
		if ok {
			if !n.seen || n.misses > 1 {
				n.world.note("platform: %s is in rotation", n.name)
			}
			n.misses, n.seen = 0, true
		} else if n.misses++; n.misses == 2 && n.seen {
			n.world.note("platform: %s is out of rotation", n.name)
		}
		n.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (n *node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen && n.misses < 2 && !n.gone
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 500 * time.Millisecond

// watchMemory kills the process when it exceeds its memory, and starts it again, as the
// platform does.
func (n *node) watchMemory() {
	for {
		time.Sleep(20 * time.Millisecond)
		pid := n.pid()
		if pid == 0 {
			continue
		}
		mb := residentMB(pid)
		n.mu.Lock()
		n.peakMB = max(n.peakMB, mb)
		n.mu.Unlock()
		if n.world.memoryMB == 0 || mb <= n.world.memoryMB {
			continue
		}
		n.mu.Lock()
		n.overMem++
		n.mu.Unlock()
		n.world.note("platform: %s uses %d MB, over its limit of %d MB, and is killed", n.name, mb, n.world.memoryMB)
		n.kill(false)
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			n.world.note("platform: %s: %v", n.name, err)
		}
	}
}

// residentMB returns what a process has allocated and uses, without the pages of its program
// file.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// choose returns the process to which the platform's balancer forwards a new connection of a
// client: of those of its zone that are in rotation, the one that a hash of the client
// selects; of all of that zone if fewer than half are, or of all zones if none is.
func (w *world) choose(client, zone string) *node {
	w.mu.Lock()
	nodes := append([]*node(nil), w.nodes...)
	w.mu.Unlock()
	var all, in, anywhere []*node
	for _, n := range nodes {
		n.mu.Lock()
		gone := n.gone || !n.seen
		n.mu.Unlock()
		if gone {
			continue
		}
		ready := n.inRotation()
		if n.zone == zone {
			all = append(all, n)
			if ready {
				in = append(in, n)
			}
		}
		if ready {
			anywhere = append(anywhere, n)
		}
	}
	from := in
	switch {
	case len(in) == 0 && len(anywhere) > 0:
		from = anywhere
	case 2*len(in) < len(all):
		from = all
	}
	var best *node
	var most uint64
	for _, n := range from {
		h := fnv.New64a()
		_, _ = h.Write([]byte(n.ip[len(w.net):] + "/" + client))
		if v := h.Sum64() * 0x9E3779B97F4A7C15; best == nil || v > most {
			best, most = n, v
		}
	}
	return best
}

// close ends all processes that the drill has started.
func (w *world) close() {
	w.mu.Lock()
	nodes := append([]*node(nil), w.nodes...)
	w.mu.Unlock()
	for _, n := range nodes {
		n.kill(true)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
