package load

import (
	"encoding/json"
	"slices"
	"strings"

	"snipehub.example/job"
	"snipehub.example/stand"
)

// verify compares the outcomes with the starts that the backend servers have recorded,
// and with the answers to resubmissions. It doesn't count lost and wrong answers, which
// follow from the outcomes alone.
func verify(all []outcome, starts []stand.Start, resubmitAnswers map[string][]job.Answer) Safety {
	var s Safety
	count := make(map[string]int, len(starts))
	for _, st := range starts {
		n := count[withoutAttempt(st.Task)] + 1
		count[withoutAttempt(st.Task)] = n
		if n == 2 {
			s.DoubleStarts++
		}
	}
	for _, o := range all {
		for _, i := range o.notRunTasks {
			if count[o.id+"/"+itoa(i)] > 0 {
				s.NotRunButRan++
			}
		}
		for _, a := range resubmitAnswers[o.id] {
			if o.verdict != verdictDone || !sameTasks(o.tasks, a.Tasks) {
				s.Conflicts++
			}
		}
	}
	return s
}

// withoutAttempt returns the job and task index of a task id, without the attempt.
func withoutAttempt(id string) string {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return id
	}
	return id[:i]
}

func sameTasks(a, b []job.TaskResult) bool {
	return slices.EqualFunc(a, b, func(x, y job.TaskResult) bool {
		return x.Done == y.Done && string(canonical(x.Answer)) == string(canonical(y.Answer))
	})
}

// canonical returns the JSON value without white space.
func canonical(m json.RawMessage) []byte {
	var v any
	if json.Unmarshal(m, &v) != nil {
		return m
	}
	b, err := json.Marshal(v)
	if err != nil {
		return m
	}
	return b
}
