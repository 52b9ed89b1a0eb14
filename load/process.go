package load

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// process is a process of this program that the tool has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// maxOutputBytes bounds the part of a process's output that is shown.
const maxOutputBytes = 2000

// startProcess starts this program with the arguments and writes its output to a file.
func startProcess(output string, args ...string) (*process, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "load")
	}
	out, err := os.Create(output)
	if err != nil {
		return nil, errors.Wrap(err, "load")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(exe, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "load")
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// clockTicks is the number of ticks per second in the times of /proc/PID/stat.
const clockTicks = 100

// usage returns the processor time and the resident memory of a process, or zeros if it
// has ended or the system has no /proc.
func (p *process) usage() (time.Duration, int64) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return 0, 0
	}
	rest := stat[bytes.LastIndexByte(stat, ')')+1:]
	fields := strings.Fields(string(rest))
	if len(fields) < 22 {
		return 0, 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	cpu := time.Duration(user+system) * time.Second / clockTicks
	return cpu, pages * int64(os.Getpagesize())
}

// trafficBytes returns the number of bytes that the process has read and written by
// system calls: over its connections, and in its few files.
func (p *process) trafficBytes() int64 {
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "io"))
	if err != nil {
		return 0
	}
	var sum int64
	for _, line := range strings.Split(string(b), "\n") {
		name, v, _ := strings.Cut(line, ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseInt(v, 10, 64)
			sum += n
		}
	}
	return sum
}

// outputTail returns the end of a process's output, for error messages.
func outputTail(path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(b[max(0, len(b)-maxOutputBytes):])
}
