package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/event"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// logLine holds the attributes of a log line that the account of losses needs. Each event
// sets some of them.
type logLine struct {
	Time        time.Time `json:"time"`
	Event       event.ID  `json:"event"`
	ID          string    `json:"id"`
	Job         string    `json:"job"`
	Queue       string    `json:"queue"`
	Task        string    `json:"task"`
	Worker      string    `json:"worker"`
	Tasks       int       `json:"tasks"`
	CPU         int       `json:"cpu"`
	Status      string    `json:"status"`
	Why         string    `json:"why"`
	How         string    `json:"how"`
	Factor      float64   `json:"factor"`
	DataCenter  string    `json:"data_center"`
	ObjectiveMS int64     `json:"aim_ms"`
	TookMS      int64     `json:"took_ms"`
	EstimateMS  int64     `json:"estimate_ms"`
	TimeoutMS   int64     `json:"patience_ms"`
}

// readLog passes the log lines of r to addLine. It ignores any text before the JSON of a
// line: tools that merge logs put the process's name there. source is the last word of
// that text, or name if there is none.
func readLog(r io.Reader, name string, addLine func(source string, l logLine)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		before, text, ok := bytes.Cut(s.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		var l logLine
		if json.Unmarshal(append([]byte("{"), text...), &l) != nil || l.Event == 0 {
			continue
		}
		source := name
		if words := bytes.Fields(before); len(words) > 0 {
			source = string(words[len(words)-1])
		}
		addLine(source, l)
	}
	if err := s.Err(); err != nil {
		return errors.Wrap(err, "load: log")
	}
	return nil
}
