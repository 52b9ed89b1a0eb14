package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// process is one process of the system, run by the command of the deploy file.
type process struct {
	name, address string
	settings      string
	log           string
	rec           *record
	cmd           *exec.Cmd
	exited        chan struct{}
}

// dispatcher is the program that the deploy file builds and runs.
const dispatcher = "target/snipehubd"

func (p *process) start() error {
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	path, err := filepath.Abs(dispatcher)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(path, "leased")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPEHUB_BOOT=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.rec.printf("process %s starts", p.name)
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.rec.printf("process %s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	select {
	case <-p.exited:
		return
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// The ports of each process, on a loopback address of its own.
const (
	portCallers = 8161
	portReady   = 8167
	portPeers   = 8166
	portMetrics = 9464
)

var zones = []string{"gl-chicago", "gl-detroit", "gl-cleveland"}

// settingsText returns a settings file as the deploy page shows it.
func settingsText(name, zone, ip, storeAddress string, seeds []string) string {
	var zoneLines strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneLines, "zones.%s=great-lakes\n", z)
	}
	return fmt.Sprintf(`node_name=%s
role=dispatcher
machine_class=front
serves=front,control
ip=%s
zone=%s
region=great-lakes
%slisten.front=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
port_range=7720,7735
seeds=%s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.recovery_s=12
bounds.hold_max_ms=1000
bounds.stop_timeout_ms=50
bounds.cancel_ms=3000
bounds.far_factor=2
bounds.require_fencing=true
bounds.lease_ms=3000
bounds.resend_ms=1300
orders=rpc
platform.address=%s
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=8
platform.append_ms=4.0
`, name, ip, zone, zoneLines.String(), ip, portCallers, ip, portReady, ip, portPeers, strings.Join(seeds, ","), storeAddress)
}
