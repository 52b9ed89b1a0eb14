package load

import (
	"strings"
	"testing"
)

// dayLog is a day of six jobs, as two processes log it: in time; late since the estimate
// was wrong, which is in time by the work it was; late on a slow worker; late since it
// waited; refused; and lost with its process.
const dayLog = `
 0.1 vm-1 {"time":"2026-01-01T00:00:00Z","event":100,"data_center":"dc1"}
 0.1 vm-2 {"time":"2026-01-01T00:00:00Z","event":100,"data_center":"dc2"}
 0.1 vm-1 {"time":"2026-01-01T00:00:01Z","event":920,"job":"a","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
 0.1 vm-1 {"time":"2026-01-01T00:00:01.01Z","event":924,"job":"a","task":"a.0.0.0","factor":1}
 0.1 vm-1 {"time":"2026-01-01T00:00:01.2Z","event":925,"job":"a","task":"a.0.0.0","how":"done","took_ms":190}
 0.1 vm-1 {"time":"2026-01-01T00:00:01.2Z","event":922,"job":"a","status":"completed","why":""}
 0.1 vm-1 {"time":"2026-01-01T00:00:02Z","event":920,"job":"b","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
 0.1 vm-1 {"time":"2026-01-01T00:00:02.01Z","event":924,"job":"b","task":"b.0.0.0","factor":1}
 0.1 vm-1 {"time":"2026-01-01T00:00:02.5Z","event":925,"job":"b","task":"b.0.0.0","how":"done","took_ms":480}
 0.1 vm-1 {"time":"2026-01-01T00:00:02.5Z","event":922,"job":"b","status":"completed","why":""}
 0.1 vm-1 {"time":"2026-01-01T00:00:03Z","event":920,"job":"c","queue":"q","tasks":1,"cpu":10,"estimate_ms":200,"aim_ms":380}
 0.1 vm-1 {"time":"2026-01-01T00:00:03.01Z","event":924,"job":"c","task":"c.0.0.0","factor":5}
 0.1 vm-1 {"time":"2026-01-01T00:00:04Z","event":925,"job":"c","task":"c.0.0.0","how":"done","took_ms":980}
 0.1 vm-1 {"time":"2026-01-01T00:00:04Z","event":922,"job":"c","status":"completed","why":""}
 0.1 vm-2 {"time":"2026-01-01T00:00:04Z","event":920,"job":"d","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
 0.1 vm-1 {"time":"2026-01-01T00:00:04.3Z","event":924,"job":"d","task":"d.0.0.0","factor":1}
 0.1 vm-2 {"time":"2026-01-01T00:00:04.4Z","event":925,"job":"d","task":"d.0.0.0","how":"done","took_ms":90}
 0.1 vm-2 {"time":"2026-01-01T00:00:04.4Z","event":922,"job":"d","status":"completed","why":""}
 0.1 vm-2 {"time":"2026-01-01T00:00:05Z","event":920,"job":"e","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
 0.1 vm-2 {"time":"2026-01-01T00:00:05.01Z","event":922,"job":"e","status":"refused","why":"others_first"}
not a log line
 0.1 vm-2 {"time":"2026-01-01T00:00:06Z","event":920,"job":"f","queue":"q","tasks":1,"cpu":10,"estimate_ms":100,"aim_ms":220}
`

func TestLossesHaveOneCauseEach(t *testing.T) {
	a := newAccount()
	if err := readLog(strings.NewReader(dayLog), a.take); err != nil {
		t.Fatal(err)
	}
	a.stretchAims()
	for _, c := range []struct{ job, cause, place string }{
		{"a", inTime, "dc1"},
		{"b", inTime, "dc1"},
		{"c", lateWorker, "dc1"},
		{"d", lateRoom, "dc2"},
		{"e", refusedAt + "others_first", "dc2"},
		{"f", noAnswer, "dc2"},
	} {
		j := a.jobs[c.job]
		if got := j.cause(); got != c.cause || j.place != c.place {
			t.Errorf("job %s: %q at %s, want %q at %s", c.job, got, j.place, c.cause, c.place)
		}
	}
}

func TestLossesAddUp(t *testing.T) {
	a := newAccount()
	if err := readLog(strings.NewReader(dayLog), a.take); err != nil {
		t.Fatal(err)
	}
	parts, jobs := a.split(func(j *lostJob) string { return j.place })
	for place, s := range parts {
		sum := 0.0
		for _, v := range s {
			sum += v
		}
		if sum < 0.999 || sum > 1.001 || jobs[place] != 3 {
			t.Errorf("%s: %d jobs, parts add up to %v", place, jobs[place], sum)
		}
	}
}
