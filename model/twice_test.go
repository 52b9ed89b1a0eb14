package model

import (
	"testing"
	"time"
)

// longJobDay returns a day of jobs that run for seconds, so that a resubmitted job meets its first
// copy if that was not stopped.
func longJobDay(seed uint64) Config {
	cfg := Lakeshore()
	cl := cfg.Classes[1]
	cl.Name, cl.PerSecond, cl.Work, cl.MaxWork, cl.Spread, cl.FailureShare = "long", 12, 3*time.Second, 9*time.Second, 0, 0
	cfg.Classes = []Class{cl}
	cfg.Seed, cfg.Load, cfg.Length, cfg.Tail = seed, 1, 6*time.Second, 6*time.Second
	return cfg
}

// playLongJobDays simulates days on which the first copy of a job could overlap the second.
func playLongJobDays(t *testing.T, faults ...Fault) {
	t.Helper()
	for seed := range uint64(4) {
		cfg := longJobDay(seed + 1)
		cfg.Faults = faults
		play(t, cfg)
	}
}

// The process that took a job is killed while its tasks run. Its caller sees the connection break
// and resubmits the job 1.3 seconds later to another process, which knows nothing of it. Without
// protection, the job would run twice at once.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	playLongJobDays(t, Fault{2 * time.Second, Kill(1, 5*time.Second)}, Fault{2500 * time.Millisecond, Kill(4, 300*time.Millisecond)})
}

// The same, but the VM loses power, so the holders of the workers see only silence.
func TestEntryWithoutPower(t *testing.T) {
	playLongJobDays(t, Fault{2 * time.Second, PowerOff(1, 5*time.Second)}, Fault{3 * time.Second, PowerOff(6, 700*time.Millisecond)})
}

// All VMs lose power and restart while the workers run on. No process knows any more what runs
// there, and callers resubmit everything.
func TestAllWithoutPower(t *testing.T) {
	playLongJobDays(t, Fault{2 * time.Second, PowerOffAll(500 * time.Millisecond)})
}

// A holder freezes. Another one takes over its workers and claims their runs. When the first one
// resumes, it must not start or stop anything based on its old state.
func TestHolderThaws(t *testing.T) {
	t.Parallel()
	playLongJobDays(t, Fault{2 * time.Second, Suspend(0, 3*time.Second)}, Fault{2200 * time.Millisecond, Suspend(3, 800*time.Millisecond)}, Fault{3 * time.Second, Suspend(5, 600*time.Millisecond)})
}

// Orders to workers get no answer and are executed seconds later. A start that was given up must
// not begin then, while its task runs elsewhere.
func TestOrdersCarriedOutLate(t *testing.T) {
	t.Parallel()
	playLongJobDays(t, Fault{0, DelayCalls(0.2, 6*time.Second)}, Fault{3 * time.Second, Kill(2, time.Second)})
}

// Workers are unreachable and run on. Their tasks may be started elsewhere only after their leases
// have expired.
func TestWorkersRunOnOutOfReach(t *testing.T) {
	playLongJobDays(t, Fault{2 * time.Second, IsolateWorkers(0, 16, 4*time.Second)}, Fault{2500 * time.Millisecond, PowerOff(0, 2*time.Second)})
}

// A process is cut off from all others and still serves its callers. The others take over its
// workers.
func TestProcessCutOff(t *testing.T) {
	playLongJobDays(t, Fault{2 * time.Second, IsolateVM(0, 3*time.Second)}, Fault{2 * time.Second, IsolateVM(3, 2*time.Second)})
}

// The process that took a job is killed, and half a second later the holders of its workers lose
// power, before they have stopped the job's runs. Its caller retries 1.3 seconds after the kill.
// What the holders had renewed just before runs on until 1.5 s, and is stopped earlier only if
// other holders have taken over the workers by then.
func TestEntryKilledThenHoldersWithoutPower(t *testing.T) {
	playLongJobDays(t, Fault{2 * time.Second, Kill(1, 5*time.Second)},
		Fault{2500 * time.Millisecond, PowerOff(0, 4*time.Second)},
		Fault{2500 * time.Millisecond, PowerOff(3, 4*time.Second)},
		Fault{2500 * time.Millisecond, PowerOff(6, 4*time.Second)})
}
