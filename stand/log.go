// Package stand holds the stand-ins for what is not ours: the platform's log
// and VM list, and backend servers. They speak the published protocols, keep
// everything in memory, and have faults that can be set over HTTP.
package stand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"snipehub.example/ledger"
)

// LogFaults are the settable faults of the log and the VM list.
type LogFaults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// SlowMS delays every answer.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers cuts the answers of that many appends, after they took
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// ForgetBelow drops the records of all streams below the offset.
	ForgetBelow ledger.Offset `json:"forget_below"`
	// VMsLagMS makes the VM list that much older than the truth.
	VMsLagMS int64 `json:"vms_lag_ms"`
}

// LogCounts is what was asked of the log since its start.
type LogCounts struct {
	Appends     int64 `json:"appends"`
	AppendBytes int64 `json:"append_bytes"`
	Refused     int64 `json:"refused"`
	Reads       int64 `json:"reads"`
	ListReads   int64 `json:"list_reads"`
}

// Log is the stand-in of the platform's log and VM list.
type Log struct {
	retention time.Duration
	limit     *rate.Limiter
	mux       *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	counts  LogCounts
	vms     vmList
}

type stream struct {
	first   ledger.Offset
	records []ledger.Record
	grown   chan struct{}
}

const (
	maxRecord  = 8 << 20
	maxPage    = 1000
	maxLogWait = 30 * time.Second
)

// NewLog makes an empty log that keeps records for the retention and takes
// perSecond appends.
func NewLog(retention time.Duration, perSecond float64) *Log {
	l := &Log{
		retention: retention,
		limit:     rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))),
		mux:       http.NewServeMux(),
		streams:   make(map[string]*stream),
	}
	l.mux.HandleFunc("POST /v1/streams/{stream}", l.append)
	l.mux.HandleFunc("GET /v1/streams/{stream}", l.read)
	l.mux.HandleFunc("GET /v1/vms", l.getVMs)
	l.mux.HandleFunc("PUT /stand/vms", l.putVMs)
	l.mux.HandleFunc("PUT /stand/faults", l.putFaults)
	l.mux.HandleFunc("GET /stand/counts", l.getCounts)
	return l
}

// ServeHTTP makes Log an http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/stand/") {
		l.mux.ServeHTTP(w, r)
		return
	}
	// The body is read before the delay: an append whose sender has given up
	// meanwhile still takes effect, as on a slow store.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRecord+1))
	if err != nil || len(body) > maxRecord {
		http.Error(w, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f := l.count(r)
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	l.mux.ServeHTTP(w, r)
}

// count counts a call that is not a control, and returns the faults in force.
func (l *Log) count(r *http.Request) LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/vms":
		l.counts.ListReads++
	case r.Method == http.MethodGet:
		l.counts.Reads++
	}
	return l.faults
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l.mu.Lock()
	if !l.limit.Allow() {
		l.counts.Refused++
		l.mu.Unlock()
		http.Error(w, "over the append rate", http.StatusTooManyRequests)
		return
	}
	off := l.add(l.stream(r.PathValue("stream")), b)
	lose := l.faults.LoseAnswers > 0
	if lose {
		l.faults.LoseAnswers--
	}
	l.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, struct {
		Offset ledger.Offset `json:"offset"`
	}{off})
}

// add puts the record on the stream and wakes its readers.
func (l *Log) add(s *stream, b []byte) ledger.Offset {
	off := s.first + ledger.Offset(len(s.records))
	s.records = append(s.records, ledger.Record{Offset: off, At: time.Now(), Data: b})
	close(s.grown)
	s.grown = make(chan struct{})
	l.counts.Appends++
	l.counts.AppendBytes += int64(len(b))
	return off
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	deadline := time.NewTimer(min(wait, maxLogWait))
	defer deadline.Stop()
	for {
		p, grown := l.page(r.PathValue("stream"), ledger.Offset(from))
		if len(p.Records) > 0 {
			reply(w, p)
			return
		}
		select {
		case <-grown:
		case <-deadline.C:
			reply(w, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) page(name string, from ledger.Offset) (ledger.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.forget(s)
	from = max(from, s.first)
	end := s.first + ledger.Offset(len(s.records))
	p := ledger.Page{First: s.first, Next: min(from, end), End: end}
	if from < end {
		recs := s.records[from-s.first:]
		recs = recs[:min(len(recs), maxPage)]
		p.Records = append(p.Records, recs...)
		p.Next = from + ledger.Offset(len(recs))
	}
	return p, s.grown
}

func (l *Log) forget(s *stream) {
	old := time.Now().Add(-l.retention)
	n := 0
	for n < len(s.records) && (s.records[n].At.Before(old) || s.records[n].Offset < l.faults.ForgetBelow) {
		n++
	}
	s.first += ledger.Offset(n)
	s.records = s.records[n:]
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) getCounts(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply(w, l.counts)
}

func (l *Log) putFaults(w http.ResponseWriter, r *http.Request) {
	var in LogFaults
	if !decode(w, r, &in) {
		return
	}
	l.mu.Lock()
	l.faults = in
	l.mu.Unlock()
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxRecord))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
