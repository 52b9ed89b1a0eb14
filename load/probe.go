package load

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"snipehub.example/meter"
	"snipehub.example/stand"
)

// sample holds the counters of all processes at one time.
type sample struct {
	at      time.Time
	metrics map[string]float64
	log     stand.LogCounts
	// requests and refused are counted by the backend servers.
	requests      int64
	refused       int64
	dispatcherCPU time.Duration
	standInCPU    time.Duration
	// maxMemory is the largest resident memory of a dispatcher, in bytes.
	maxMemory int64
}

// takeSample reads the counters of all processes that run.
func (r *Running) takeSample(ctx context.Context) sample {
	out := sample{at: time.Now(), metrics: make(map[string]float64)}
	for i, p := range r.dispatchers {
		var text string
		if !p.alive() || get(ctx, r.endpoints[i].callerAddr, "/metrics", &text) != nil {
			continue
		}
		parseMetrics(text, out.metrics)
		cpu, mem := p.usage()
		out.dispatcherCPU += cpu
		out.maxMemory = max(out.maxMemory, mem)
	}
	for i, c := range r.Controls {
		var sum struct {
			Servers []stand.Summary `json:"servers"`
		}
		_ = get(ctx, c, "/stand/starts?view=summary", &sum)
		for _, s := range sum.Servers {
			out.requests += s.Requests
			out.refused += s.Refused
		}
		cpu, _ := r.workerStandIns[i].usage()
		out.standInCPU += cpu
	}
	_ = get(ctx, r.Platform, "/stand/counts", &out.log)
	return out
}

// parseMetrics adds the values of a text exposition to sum, by metric name whatever the
// labels.
func parseMetrics(text string, sum map[string]float64) {
	sc := bufio.NewScanner(strings.NewReader(text))
	for sc.Scan() {
		line := sc.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		end := strings.LastIndexByte(line, ' ')
		if end < 0 {
			continue
		}
		v, err := strconv.ParseFloat(line[end+1:], 64)
		if err != nil {
			continue
		}
		name, _, _ := strings.Cut(line[:end], "{")
		name = strings.TrimPrefix(strings.ReplaceAll(name, ".", "_"), "snipehub_")
		sum[strings.TrimSpace(name)] += v
	}
}

// setDifference sets the counts, except Repeats, to the exchanges between two samples.
func (m *Messages) setDifference(before, after sample, tasks int) {
	n := func(name meter.Name) int64 { return int64(after.metrics[string(name)] - before.metrics[string(name)]) }
	m.Refusals = after.refused - before.refused
	m.Dials = max(n(meter.TaskStarts)-(after.requests-before.requests), 0)
	m.Handovers = n(meter.HandoverCalls)
	m.Forwards = n(meter.Forwards)
	m.Heartbeats = n(meter.Heartbeats)
	m.Log = after.log.Appends + after.log.Reads + after.log.ListReads - before.log.Appends - before.log.Reads - before.log.ListReads
	placement := m.Refusals + m.Dials + m.Handovers
	m.Placement = float64(placement) / float64(max(tasks, 1))
	m.Total = float64(placement+m.Forwards+m.Repeats+m.Heartbeats+m.Log) / float64(max(tasks, 1))
}

func (c *Cost) setDifference(before, after sample, tasks int) {
	spent := after.dispatcherCPU - before.dispatcherCPU
	wall := after.at.Sub(before.at).Seconds()
	c.TaskMicros = float64(spent.Microseconds()) / float64(max(tasks, 1))
	c.DispatcherCores = spent.Seconds() / wall
	c.StandCores = (after.standInCPU - before.standInCPU).Seconds() / wall
	c.DispatcherMB = float64(after.maxMemory) / (1 << 20)
}

// readStarts returns every start that the backend servers have recorded.
func (r *Running) readStarts(ctx context.Context) ([]stand.Start, error) {
	var all []stand.Start
	for _, c := range r.Controls {
		var out struct {
			Starts []stand.Start `json:"starts"`
		}
		if err := get(ctx, c, "/stand/starts?view=full", &out); err != nil {
			return nil, err
		}
		all = append(all, out.Starts...)
	}
	return all, nil
}

func describeMachine() Machine {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	if b, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		_, rest, _ := strings.Cut(string(b), "model name")
		line, _, _ := strings.Cut(rest, "\n")
		m.CPU = strings.Trim(line, " \t:")
	}
	if b, err := os.ReadFile("/proc/meminfo"); err == nil {
		if f := strings.Fields(string(b)); len(f) > 1 {
			kb, _ := strconv.Atoi(f[1])
			m.MemoryGB = (kb + 1<<19) >> 20
		}
	}
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.Load, _ = strconv.ParseFloat(strings.Fields(string(b))[0], 64)
	}
	return m
}

// commit returns the commit of the source, with "+" if the work tree has changes.
func commit() string {
	b, err := exec.Command("git", "describe", "--always", "--dirty=+").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(b))
}
