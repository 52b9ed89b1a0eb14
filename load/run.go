package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"snipehub.example/client"
	"snipehub.example/job"
)

// Report is the result of a run.
type Report struct {
	Jobs, Tasks, Failed int
	Starts, Doubles     int
	P50, P90, P99       time.Duration
	// Ratio is the median response time over the ideal: every task at once on
	// a free worker, for which the mean service time of the slowest of a job's
	// tasks is taken.
	Ratio float64
	// PerTask is starts on backend servers per task.
	PerTask float64
}

// String writes the report for a person.
func (r Report) String() string {
	return fmt.Sprintf("jobs %d, tasks %d, failed jobs %d\nresponse p50 %v, p90 %v, p99 %v; p50 over ideal %.2f\nstarts %d (%.3f per task), double starts %d",
		r.Jobs, r.Tasks, r.Failed, r.P50, r.P90, r.P99, r.Ratio, r.Starts, r.PerTask, r.Doubles)
}

const parallelJobs = 4

// Run submits the jobs and collects the measures.
func (d *Deployment) Run(ctx context.Context, jobs, tasks int) (Report, error) {
	c := client.New(client.Config{Entries: d.Callers})
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	r := Report{Jobs: jobs, Tasks: jobs * tasks}
	spec := job.Spec{Kind: "demo"}
	for i := range tasks {
		spec.Tasks = append(spec.Tasks, json.RawMessage(fmt.Sprintf(`{"n":%d}`, i)))
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	limit := make(chan struct{}, parallelJobs)
	for range jobs {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			began := time.Now()
			a, err := c.Do(ctx, spec)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(began).Microseconds())
			if err != nil || a.State != job.Done {
				r.Failed++
			}
		})
	}
	wg.Wait()
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	r.P50, r.P90, r.P99 = at(50), at(90), at(99)
	ideal := d.plan.Min + time.Duration(float64(d.plan.Max-d.plan.Min)*float64(tasks)/float64(tasks+1))
	r.Ratio = float64(r.P50) / float64(ideal)
	err := d.countStarts(ctx, &r)
	return r, err
}

func (d *Deployment) countStarts(ctx context.Context, r *Report) error {
	for _, w := range d.Workers {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.String()+"/stand/starts", nil)
		if err != nil {
			return errors.Wrap(err, "starts")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Wrap(err, "starts")
		}
		starts := make(map[string]int)
		err = json.NewDecoder(resp.Body).Decode(&starts)
		_ = resp.Body.Close()
		if err != nil {
			return errors.Wrap(err, "starts")
		}
		for _, n := range starts {
			r.Starts += n
			r.Doubles += n - 1
		}
	}
	r.PerTask = float64(r.Starts) / float64(r.Tasks)
	return nil
}
