package load

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/stand"
)

// slopeMeasurement is one measurement of the slopes command.
type slopeMeasurement struct {
	name string
	run  func(ctx context.Context) ([]Slope, error)
}

// slopeMeasurements lists the measurements of "snipeload slopes", in their order.
var slopeMeasurements = []slopeMeasurement{
	{"cpu", cpuSlopes},
	{"kept", keptSlopes},
	{"tickets", ticketSlopes},
	{"queue", queueSlopes},
	{"tables", tableSlopes},
	{"members", memberSlopes},
	{"claims", claimSlopes},
}

// These are the names of the slopes that the capacity page is computed from.
const (
	slopeCPU       = "processor time of a job"
	slopeKept      = "memory of kept answers"
	slopeKeptLarge = "memory of kept larger answers"
	slopeTicket    = "memory of tickets"
	slopeQueue     = "memory of queued tasks"
	slopeRows      = "memory of backend server rows"
	slopeApply     = "time to apply an edit of one row"
	slopeEditBytes = "bytes of an edit"
	slopeIdleCPU   = "idle processor time by members"
	slopeIdleBytes = "idle traffic by members"
	slopeIdleRSS   = "idle memory by members"
	slopeStatus    = "bytes of a status by members"
	slopeLogReads  = "log reads by members"
)

// cpuSlopes measures the dispatcher's processor time per job by the number of its tasks:
// the slope is the cost of a task, the intercept that of a job.
func cpuSlopes(ctx context.Context) ([]Slope, error) {
	b, err := newBench(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	b.runJobs(ctx, b.job(8, benchServiceTime), 4, 500, 5*time.Second)
	var points []Point
	for _, n := range []int{1, 4, 16, 64, 256, 1000} {
		before, _ := b.usage()
		jobs := b.runJobs(ctx, b.job(n, benchServiceTime), max(1, 8/n), int64(max(6000/n, 16)), 8*time.Second)
		after, _ := b.usage()
		if jobs == 0 {
			return nil, errors.Errorf("slopes: no job of %d tasks was done", n)
		}
		points = append(points, Point{float64(n), float64((after - before).Microseconds()) / float64(jobs)})
	}
	return []Slope{newSlope(slopeCPU, "tasks of the job", "µs of dispatcher", points, relativeErrors)}, nil
}

// jobsPerTicket is the number of jobs submitted under one ticket if their answers are to
// be kept: the ticket's window drops jobs further back.
const jobsPerTicket = 1000

// largeAnswerTasks is the number of tasks of the larger of two kinds of kept answers.
const largeAnswerTasks = 20

// keptSlopes measures the dispatcher's memory by the number of answers that it keeps, for
// answers of one task and of several.
func keptSlopes(ctx context.Context) ([]Slope, error) {
	one, err := measureKept(ctx, 1, jobsPerTicket)
	if err != nil {
		return nil, err
	}
	several, err := measureKept(ctx, largeAnswerTasks, jobsPerTicket/largeAnswerTasks)
	if err != nil {
		return nil, err
	}
	return []Slope{
		newSlope(slopeKept, "answers of one task", "bytes resident", one, absoluteErrors),
		newSlope(slopeKeptLarge, "answers of "+itoa(largeAnswerTasks)+" tasks", "bytes resident", several, absoluteErrors),
	}, nil
}

// measureKept reads the memory of a dispatcher after each of eight steps, in which every
// client submits perClient jobs.
func measureKept(ctx context.Context, tasks, perClient int) ([]Point, error) {
	b, err := newBench(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	var points []Point
	total := int64(0)
	for range 8 {
		total += b.runJobs(ctx, b.job(tasks, time.Millisecond), 8, int64(perClient*benchCallers), 10*time.Second)
		if perClient == jobsPerTicket {
			b.renewTickets()
		}
		_, mem := b.usage()
		points = append(points, Point{float64(total), float64(mem)})
	}
	return points, nil
}

// ticketSlopes measures the dispatcher's memory by the number of tickets that it holds.
func ticketSlopes(ctx context.Context) ([]Slope, error) {
	b, err := newBench(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	var points []Point
	for i := range 7200 {
		c := b.clients[i%len(b.clients)]
		c.DropCurrentTicket()
		if _, err := c.NextID(ctx); err != nil {
			return nil, errors.Wrap(err, "slopes: ticket")
		}
		if n := i + 1; n%1200 == 0 {
			_, mem := b.usage()
			points = append(points, Point{float64(n), float64(mem)})
		}
	}
	return []Slope{newSlope(slopeTicket, "tickets", "bytes resident", points, absoluteErrors)}, nil
}

// queueSlopes measures the dispatcher's memory by the number of waiting tasks, while the
// backend server is frozen.
func queueSlopes(ctx context.Context) ([]Slope, error) {
	b, err := newBench(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	if err := put(ctx, b.Controls[0], "/stand/faults", stand.WorkerFaults{Freeze: true}); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var points []Point
	const step, perJob = 20, 1000
	for i := range 6 {
		for n := range step {
			wg.Go(func() { b.submitOnce(ctx, b.clients[n%len(b.clients)], b.job(perJob, benchServiceTime)) })
		}
		if !clock.Sleep(ctx, 1500*time.Millisecond) {
			return nil, ctx.Err()
		}
		_, mem := b.usage()
		points = append(points, Point{float64((i + 1) * step * perJob), float64(mem)})
	}
	return []Slope{newSlope(slopeQueue, "waiting tasks", "bytes resident", points, absoluteErrors)}, nil
}

// memberCounts start where a heartbeat can't hold all members any more: below, the cost
// grows with each member, and the line would not apply to larger sizes.
var memberCounts = []int{24, 48, 72, 96}

// memberSlopes measures what an idle dispatcher spends on control by the number of
// dispatchers.
func memberSlopes(ctx context.Context) ([]Slope, error) {
	out := []Slope{
		{Name: slopeIdleCPU, Y: "µs a second, each"},
		{Name: slopeIdleBytes, Y: "bytes a second read and written, each"},
		{Name: slopeIdleRSS, Y: "bytes resident, the largest"},
		{Name: slopeStatus, Y: "bytes"},
		{Name: slopeLogReads, Y: "reads a second, all"},
	}
	for _, n := range memberCounts {
		d, err := ReadDeployment("lakeshore")
		if err != nil {
			return nil, err
		}
		d.Dispatchers = n
		values, err := measureIdle(ctx, d)
		if err != nil {
			return nil, err
		}
		for i, v := range values {
			out[i].Points = append(out[i].Points, Point{float64(n), v})
		}
	}
	for i, s := range out {
		out[i] = newSlope(s.Name, "dispatchers", s.Y, s.Points, absoluteErrors)
	}
	return out, nil
}

const (
	idleSettle = 3 * time.Second
	idleWindow = 5 * time.Second
)

// measureIdle starts a deployment without load and returns the values that memberSlopes
// lists, in that order.
func measureIdle(ctx context.Context, d Deployment) ([]float64, error) {
	running, err := Deploy(ctx, d)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	clock.Sleep(ctx, idleSettle)
	before, bytesBefore := running.takeSample(ctx), running.trafficBytes()
	if !clock.Sleep(ctx, idleWindow) {
		return nil, ctx.Err()
	}
	after, bytesAfter := running.takeSample(ctx), running.trafficBytes()
	var status string
	if err := get(ctx, running.endpoints[0].callerAddr, "/status", &status); err != nil {
		return nil, err
	}
	seconds, n := after.at.Sub(before.at).Seconds(), float64(d.Dispatchers)
	return []float64{
		float64((after.dispatcherCPU - before.dispatcherCPU).Microseconds()) / seconds / n,
		float64(bytesAfter-bytesBefore) / seconds / n,
		float64(after.maxMemory),
		float64(len(status)),
		float64(after.log.Reads+after.log.ListReads-before.log.Reads-before.log.ListReads) / seconds,
	}, nil
}

// trafficBytes returns the number of bytes that all dispatchers have read and written,
// including the answers to this tool.
func (r *Running) trafficBytes() int64 {
	var sum int64
	for _, p := range r.dispatchers {
		sum += p.trafficBytes()
	}
	return sum
}

func measureSlopes(ctx context.Context, only []string, report func(s Slope)) ([]Slope, error) {
	var out []Slope
	for _, m := range slopeMeasurements {
		if len(only) > 0 && !slices.Contains(only, m.name) {
			continue
		}
		got, err := m.run(ctx)
		if err != nil {
			return out, errors.Wrap(err, m.name)
		}
		for _, s := range got {
			report(s)
		}
		out = append(out, got...)
	}
	return out, nil
}

// String returns the fit and its points.
func (s Slope) String() string {
	text := fmt.Sprintf("%s: %s of %s by %s\n ", s.Name, s.Fit, s.Y, s.X)
	for _, p := range s.Points {
		text += fmt.Sprintf(" (%.0f, %.5g)", p.X, p.Y)
	}
	return text
}
