package entry

import "snipehub.example/lease"

// step is the progress of one step of a job. It is kept up to date, because a job may have as
// many steps as tasks: looking through all of them at each end of a run took seconds of
// processor time for a job of 1,300 steps.
type step struct {
	tasks []*task
	// open is the number of tasks that are not done, waitsFor that of the steps in DependsOn
	// with open tasks.
	open, waitsFor int
	// dependents are the steps that depend on this one.
	dependents []int
}

// addSteps creates the tasks of a job.
func (j *job) addSteps() {
	j.steps = make([]step, len(j.Steps))
	for s, required := range j.Steps {
		for i := range required.Count {
			j.tasks = append(j.tasks, &task{step: s, index: i})
		}
		st := &j.steps[s]
		st.open, st.waitsFor = required.Count, len(required.DependsOn)
		for _, earlier := range required.DependsOn {
			j.steps[earlier].dependents = append(j.steps[earlier].dependents, s)
		}
	}
	rest := j.tasks
	for s := range j.steps {
		n := j.Steps[s].Count
		j.steps[s].tasks, rest = rest[:n:n], rest[n:]
	}
	j.openTasks = len(j.tasks)
}

// setState changes the state of a task.
func (j *job) setState(t *task, s state) {
	if t.state == placed {
		j.placedTasks--
	}
	if s == placed {
		j.placedTasks++
	}
	t.state = s
}

// taskDone records that a task is done, and returns the steps that became ready by it.
func (j *job) taskDone(t *task) (ready []int) {
	j.openTasks--
	st := &j.steps[t.step]
	if st.open--; st.open > 0 {
		return nil
	}
	for _, s := range st.dependents {
		if j.steps[s].waitsFor--; j.steps[s].waitsFor == 0 {
			ready = append(ready, s)
		}
	}
	return ready
}

// task returns the task of a run, or nil if the run is not of this job.
func (j *job) task(r lease.Run) *task {
	s, i, ok := r.Task.Place()
	if !ok || s >= len(j.steps) || i >= len(j.steps[s].tasks) || r.Task != taskName(j.ID, s, i) {
		return nil
	}
	return j.steps[s].tasks[i]
}

// tasksIn returns the tasks of a step that are in a state.
func (j *job) tasksIn(s int, in state) (out []*task) {
	for _, t := range j.steps[s].tasks {
		if t.state == in {
			out = append(out, t)
		}
	}
	return out
}
