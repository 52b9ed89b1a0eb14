package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/mesh"
)

// submitCopy submits a copy of a job's request at a process and returns what the caller is told, 0 if
// nothing yet.
func (cl *cluster) submitCopy(at mesh.ID, job string) entry.Status {
	cl.answers = nil
	cl.submit(at, job)
	if len(cl.answers) == 0 {
		return 0
	}
	return cl.answers[0].Answer.Status
}

// Guards against a copy of a cancelled job's request that runs: it arrives seconds after the cancel,
// at any process, when those that had the job, cancelled it or planned may be lost.
func TestCopyOfACancelledJobDoesNotRun(t *testing.T) {
	const planner = 1
	for _, owner := range []int{0, 1, 2, 5} {
		for _, cancelAt := range []int{1, 3, 5} {
			for _, copyAt := range []int{1, 2, 4, 5} {
				for _, lost := range [][]int{nil, {planner}, {owner}, {cancelAt}, {planner, cancelAt}, {planner, owner}, {planner, 2}} {
					if slices.Contains(lost, copyAt) || slices.Contains(lost, 0) {
						continue
					}
					cl := newCluster(member(1), member(2), member(3), member(4), member(5))
					if owner != 0 {
						cl.submit(member(owner).ID, "j")
					}
					cl.locate(member(cancelAt).ID, "j", true)
					for _, n := range slices.Compact(slices.Clone(lost)) {
						cl.lose(member(n).ID)
					}
					cl.run(4500)
					if s := cl.submitCopy(member(copyAt).ID, "j"); s != entry.Cancelled {
						t.Errorf("job of %d, cancelled at %d, %v lost: a copy at %d gets %v, want cancelled", owner, cancelAt, lost, copyAt, s)
					}
				}
			}
		}
	}
}

// Guards against the same where the cancel reaches another cell than the job's, and against cancels
// that are told to all cells, or to more processes the more there are.
func TestCopyOfACancelledJobWithSeveralCells(t *testing.T) {
	const maxTold = 2 * (1 + 4)
	members := fleet(300, 3)
	cl := newCluster(members...)
	owner, cancelAt := members[0], members[298]
	cl.submit(owner.ID, "j")
	cl.locate(cancelAt.ID, "j", true)
	cl.run(1000)
	told := 0
	for _, m := range members {
		c := cl.cores[m.ID]
		if c.cancelled.has(ms(cl.now), "j") {
			told++
		}
		near := c.cellOf(m) == c.cellOf(owner) || c.cellOf(m) == c.cellOf(cancelAt)
		if s := cl.submitCopy(m.ID, "j"); near && s != entry.Cancelled {
			t.Errorf("a copy at %s in %s gets %v, want cancelled", m.VM, m.DataCenter, s)
		}
	}
	if told > maxTold {
		t.Errorf("%d processes were told, want %d at most", told, maxTold)
	}
}

// Guards against a copy that is answered as cancelled although the job was completed before the cancel.
func TestCopyOfACompletedJob(t *testing.T) {
	cl := threeMembers()
	cl.cores[member(2).ID].jobCancelled(ms(cl.now), "j", entry.Completed)
	cl.run(100)
	for n := 1; n <= 3; n++ {
		if s := cl.submitCopy(member(n).ID, "j"); s != entry.Completed {
			t.Errorf("a copy at %d gets %v, want completed", n, s)
		}
	}
}

// Guards against requests and refusals without end between a planner and a process of an earlier
// release, which requests workers again for a job that has begun.
func TestRequestsForACancelledJobEnd(t *testing.T) {
	for _, begun := range []bool{false, true} {
		c := newCluster(member(1), member(2)).cores[member(1).ID]
		c.jobCancelled(ms(3000), "j", 0)
		c.Take(ms(3000))
		c.handleMessage(ms(3000), member(2).ID, Message{Request: &cell.Request{Job: "j", Begun: begun}})
		refused, told := false, false
		for _, o := range c.Take(ms(3000)) {
			refused = refused || o.Message != nil && o.Message.Refusal != nil
			told = told || o.Message != nil && o.Message.Cancelled != nil
		}
		if !told || refused == begun {
			t.Errorf("begun %v: told %v, refused %v", begun, told, refused)
		}
	}
}

// Guards against a copy that is already waiting for workers when the cancel is acknowledged, because
// it arrived at another process than the one that was asked.
func TestCancelReachesAWaitingCopy(t *testing.T) {
	cl := threeMembers()
	cl.submit(member(2).ID, "j")
	cl.submit(member(3).ID, "j")
	cl.locate(member(2).ID, "j", true)
	if n := cl.cores[member(3).ID].entry.Len(); n != 0 {
		t.Errorf("%d jobs wait at the other process, want none", n)
	}
}

// Guards against a cancel that counts although its caller was not told so.
func TestUndeterminedCancelIsNotRemembered(t *testing.T) {
	cl := threeMembers()
	cl.submit(member(3).ID, "j")
	cl.lose(member(3).ID)
	if s := cl.locate(member(2).ID, "j", true); s.Knowledge != entry.Undetermined {
		t.Fatalf("%v, want it undetermined", s.Knowledge)
	}
	if s := cl.submitCopy(member(2).ID, "j"); s != 0 {
		t.Errorf("a copy gets %v, want it to wait for workers", s)
	}
}

// Guards against memory that grows with the cancels, and against the newest being forgotten first.
func TestCancelledJobsAreForgotten(t *testing.T) {
	var s cancelledJobs
	for i := range maxCancelledJobs + 10 {
		s.add(ms(i), CancelledJob{Job: fmt.Sprint(i)})
	}
	now := ms(maxCancelledJobs + 10)
	if early := s.expire(now); early != 10 || s.has(now, "9") || !s.has(now, "10") || len(s.byID) != maxCancelledJobs {
		t.Errorf("%d forgotten early, %d remembered, want 10 and %d", early, len(s.byID), maxCancelledJobs)
	}
	later := now.Add(cancelRetention - time.Second)
	if s.has(later, "10") || !s.has(later, fmt.Sprint(maxCancelledJobs)) {
		t.Error("a job is not remembered for two minutes")
	}
	s.add(later, CancelledJob{Job: fmt.Sprint(maxCancelledJobs)})
	if !s.has(now.Add(cancelRetention), fmt.Sprint(maxCancelledJobs)) {
		t.Error("a second cancel does not count from its own time")
	}
	if early := s.expire(later.Add(cancelRetention)); early != 0 || len(s.byID) != 0 || len(s.order) != 0 {
		t.Errorf("%d forgotten early, %d remembered after two minutes, want none", early, len(s.byID))
	}
}
