package node

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"snipehub.example/cell"
	"snipehub.example/lease"
)

func task(i int) lease.Run {
	return lease.Run{Task: lease.Task(fmt.Sprintf("c121f3f705348587.0.0.%d", i)), Number: 1}
}

// A planner on a slow link receives a request for each job and the end of each task, and
// sends a grant. On a link of 2 Mbit/s, half of which carries the planner's own callers
// and workers, 840 tasks a second leave 148 bytes for a task in each direction. With
// larger messages everybody waits for the planner.
func TestMessagesAreSmall(t *testing.T) {
	const tasks = 4
	request := &cell.Request{
		Job: "c121f3f705348587", Queue: "r-c6mb5cq", Pool: "vono82a", Rank: 2, Resources: lease.Resources{CPU: 14000, Memory: 64},
		Estimate: 900 * time.Millisecond, Age: 3 * time.Millisecond, Objective: 1463 * time.Millisecond, Timeout: 4100 * time.Millisecond,
	}
	grant := &cell.Grant{Job: request.Job, Waited: 1234567}
	wl := lease.NewWorkerLease(ms(0), lease.Worker{ID: "i-0b47f04fe8", Pool: request.Pool, Resources: lease.Resources{CPU: 64000, Memory: 1000}}, lease.NewFence(1234), 0, lease.Speed{Factor: 0.61, Ends: 9}, &lease.PoolStats{})
	wl.HoldAnswered(ms(1), *wl.TakeActions()[0].Hold, lease.Result{Verdict: lease.OK, Clock: 5000, Incarnation: 7})
	wl.State(ms(1))
	var reports int
	for i := range tasks {
		request.Tasks = append(request.Tasks, task(i))
		grant.Items = append(grant.Items, cell.GrantedRun{Run: task(i), Worker: "i-0b47f04fe8", Holder: member(1).ID, Fence: wl.Fence()})
		wl.Start(ms(2), member(1).ID, lease.Order{Claim: lease.Claim{Run: task(i), Resources: request.Resources, Estimate: request.Estimate}, Text: lease.NewText(task(i).Job(), "")})
		wl.HoldAnswered(ms(100+i), holdOf(t, wl), lease.Result{Verdict: lease.OK, Clock: 5100, Incarnation: 7, Ended: []lease.ListedEnd{{Number: int64(i + 1), Run: task(i), Outcome: lease.Done}}})
		s, _ := wl.Changed(ms(101 + i))
		reports += messageSize(t, Message{Report: &cell.Report{States: []lease.State{s}}})
	}
	t.Logf("a job of four tasks: request %d, reports %d, grant %d bytes", messageSize(t, Message{Request: request}), reports, messageSize(t, Message{Grant: grant}))
	const maxBytesPerTask = 148
	if in := (messageSize(t, Message{Request: request}) + reports) / tasks; in > maxBytesPerTask {
		t.Errorf("%d bytes received per task, want at most %d", in, maxBytesPerTask)
	}
	if out := messageSize(t, Message{Grant: grant}) / tasks; out > maxBytesPerTask {
		t.Errorf("%d bytes sent per task, want at most %d", out, maxBytesPerTask)
	}
}

// holdOf returns the hold call among the actions of the lease or, if there is none, one
// with a number that no call has.
func holdOf(t *testing.T, wl *lease.WorkerLease) lease.HoldCall {
	t.Helper()
	call := lease.HoldCall{Number: -1, Sent: ms(2), Wait: time.Second}
	for _, a := range wl.TakeActions() {
		if a.Hold != nil {
			call = *a.Hold
		}
	}
	return call
}

// messageSize returns the encoded size of a message and checks that it decodes to the
// same value.
func messageSize(t *testing.T, m Message) int {
	t.Helper()
	b, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var got Message
	if err := cbor.Unmarshal(b, &got); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("%+v is decoded as %+v, %v", m, got, err)
	}
	return len(b)
}
