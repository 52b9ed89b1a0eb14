package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a process, which has an address of its own.
const (
	frontPort, controlPort, readyPort = 8161, 8166, 8167
	// metricsPort is the one that the deploy file names.
	metricsPort = 9464
)

// restartDelay is how long after its end a process is started again.
const restartDelay = 300 * time.Millisecond

// node is one process of the system.
type node struct {
	w              *world
	name, zone, ip string

	// busy is held while a disruption of the process goes on.
	busy sync.Mutex

	mu sync.Mutex
	// cmd is the process, nil while there is none; exited is closed when it has ended.
	cmd    *exec.Cmd
	exited chan struct{}
	// signalled is when the process was told to stop, zero before.
	signalled time.Time
	// expected is set if the process is to end.
	expected bool
	ready    bool
	misses   int
}

func (n *node) front() string { return net.JoinHostPort(n.ip, fmt.Sprint(frontPort)) }

// settings returns the settings file, with the fields of DEPLOY.md.
func (n *node) settings() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name=%s", n.name)
	line("role=dispatcher")
	line("machine_class=front")
	line("serves=front,control")
	line("ip=%s", n.ip)
	line("zone=%s", n.zone)
	line("region=great-lakes")
	for _, z := range n.w.zones {
		line("zones.%s=great-lakes", z)
	}
	line("listen.front=%s", n.front())
	line("listen.ready=%s:%d", n.ip, readyPort)
	line("listen.control=%s:%d", n.ip, controlPort)
	line("port_range=7720,7735")
	var seeds []string
	for _, o := range n.w.nodes[:min(len(n.w.nodes), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", o.ip, controlPort))
	}
	line("seeds=%s", strings.Join(seeds, ","))
	line("bootstrap=true")
	line("limits.cpu_share=0.4")
	line("limits.cores=1")
	line("limits.memory_mb=284")
	line("limits.max_fds=4100")
	line("limits.link_mbps=1000.0")
	line("limits.disk_mb=0")
	line("heartbeat_ms=%d", heartbeatInterval.Milliseconds())
	line("contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing")
	line("fault_tolerance.machines=2")
	line("fault_tolerance.zones=1")
	for _, v := range []string{
		"contact_ms=3000", "ack_timeout_ms=4000", "drain_ms=2000", "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2000",
		"hold_max_ms=1000", "stop_timeout_ms=50", "cancel_ms=3000", "visible_ms=3000", "far_factor=2", "require_fencing=true",
		"lease_ms=3000", "resend_ms=1300",
	} {
		line("bounds.%s", v)
	}
	line("orders=rpc")
	line("platform.address=%s", n.w.storeAddress)
	line("platform.form=log")
	line("platform.parts=8")
	return b.String()
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	conf := filepath.Join(n.w.dir, n.name+".conf")
	if err := os.WriteFile(conf, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(n.w.program, "leased")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "SNIPEHUB_BOOT=" + conf}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.signalled, n.expected = cmd, exited, time.Time{}, false
	n.mu.Unlock()
	n.w.rec.log("node %s starts, pid %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		expected := n.expected
		n.cmd, n.ready = nil, false
		n.mu.Unlock()
		n.w.rec.log("node %s has ended: %v", n.name, err)
		if !expected && !n.w.closing.Load() {
			n.w.rec.breaks("EXIT", "node %s has ended by itself: %v", n.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if there is one.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.expected = true
	}
	if s == syscall.SIGTERM {
		n.signalled = time.Now()
	}
	n.w.rec.log("node %s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// await waits until the process has ended.
func (n *node) await(limit time.Duration) bool {
	n.mu.Lock()
	exited, running := n.exited, n.cmd != nil
	n.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill kills the process and starts it again after a time.
func (n *node) kill(down time.Duration) {
	n.signal(syscall.SIGKILL)
	n.await(time.Second)
	time.Sleep(down)
	n.restart()
}

// term stops the process as planned, and starts it again after a time.
func (n *node) term(down time.Duration) {
	n.signal(syscall.SIGTERM)
	if !n.await(gracePeriod) {
		n.signal(syscall.SIGKILL)
		n.await(time.Second)
	}
	time.Sleep(down)
	n.restart()
}

// leave stops the process as planned, for good.
func (n *node) leave() {
	n.signal(syscall.SIGTERM)
	if !n.await(gracePeriod) {
		n.signal(syscall.SIGKILL)
		n.await(time.Second)
	}
}

func (n *node) restart() {
	if err := n.start(); err != nil {
		n.w.rec.log("node %s can't be started: %v", n.name, err)
	}
}

// gracePeriod is grace_s.
const gracePeriod = 6 * time.Second

// checkReady asks the process whether it is ready, as the platform does each second. After two
// misses it gets no new connections.
func (n *node) checkReady() {
	client := http.Client{Timeout: 800 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort))
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	client.CloseIdleConnections()
	n.mu.Lock()
	defer n.mu.Unlock()
	if ok {
		n.ready, n.misses = true, 0
		return
	}
	if n.misses++; n.misses >= 2 {
		n.ready = false
	}
}

func (n *node) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}
