// Package stand simulates the services that snipehub depends on: the platform's log and
// VM list, and backend servers. The simulations speak the published protocols, keep
// everything in memory, and have faults that are set over HTTP.
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

// LogFaults are the faults of the log and the VM list that can be set.
type LogFaults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// SlowMS delays every answer.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is the number of appends whose answers are cut after the append took
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// ForgetBelow drops the records of all streams below this offset.
	ForgetBelow ledger.Offset `json:"forget_below"`
	// VMsLagMS is how long changes of the VM list stay invisible to readers.
	VMsLagMS int64 `json:"vms_lag_ms"`
}

// LogCounts are counters since the start of the log. Appends and AppendBytes count what
// took effect, Refused the appends over the append rate. Reads and ListReads, the reads of
// streams and of the VM list, also count reads that a fault fails.
type LogCounts struct {
	Appends     int64 `json:"appends"`
	AppendBytes int64 `json:"append_bytes"`
	Refused     int64 `json:"refused"`
	Reads       int64 `json:"reads"`
	ListReads   int64 `json:"list_reads"`
}

// Log simulates the platform's log and VM list.
type Log struct {
	retention time.Duration
	limiter   *rate.Limiter
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
	// appended is closed and replaced at each append.
	appended chan struct{}
}

const (
	maxRecordBytes = 8 << 20
	maxPageRecords = 1000
	maxReadWait    = 30 * time.Second
)

// NewLog returns an empty log that keeps records for the retention and accepts perSecond
// appends a second.
func NewLog(retention time.Duration, perSecond float64) *Log {
	l := &Log{
		retention: retention,
		limiter:   rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))),
		mux:       http.NewServeMux(),
		streams:   make(map[string]*stream),
	}
	l.mux.HandleFunc("POST /v1/streams/{stream}", l.append)
	l.mux.HandleFunc("GET /v1/streams/{stream}", l.serveRead)
	l.mux.HandleFunc("GET /v1/vms", l.getVMs)
	l.mux.HandleFunc("PUT /stand/vms", l.putVMs)
	l.mux.HandleFunc("PUT /stand/faults", l.putFaults)
	l.mux.HandleFunc("GET /stand/counts", l.getCounts)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/stand/") {
		l.mux.ServeHTTP(w, r)
		return
	}
	// The body is read before the delay: an append whose sender has given up in the
	// meantime still takes effect, as on a slow store.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes+1))
	if err != nil || len(body) > maxRecordBytes {
		http.Error(w, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f := l.countRead(r)
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	l.mux.ServeHTTP(w, r)
}

// countRead counts the request if it reads a stream or the VM list, and returns the faults
// in force.
func (l *Log) countRead(r *http.Request) LogFaults {
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
	if !l.limiter.Allow() {
		l.counts.Refused++
		l.mu.Unlock()
		http.Error(w, "over the append rate", http.StatusTooManyRequests)
		return
	}
	offset := l.appendRecord(l.stream(r.PathValue("stream")), b)
	loseAnswer := l.faults.LoseAnswers > 0
	if loseAnswer {
		l.faults.LoseAnswers--
	}
	l.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct {
		Offset ledger.Offset `json:"offset"`
	}{offset})
}

// appendRecord appends the record to the stream and wakes the stream's readers.
func (l *Log) appendRecord(s *stream, b []byte) ledger.Offset {
	offset := s.first + ledger.Offset(len(s.records))
	s.records = append(s.records, ledger.Record{Offset: offset, At: time.Now(), Data: b})
	close(s.appended)
	s.appended = make(chan struct{})
	l.counts.Appends++
	l.counts.AppendBytes += int64(len(b))
	return offset
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	timeout := time.NewTimer(min(wait, maxReadWait))
	defer timeout.Stop()
	for {
		p, appended := l.readPage(r.PathValue("stream"), ledger.Offset(from))
		if len(p.Records) > 0 {
			writeJSON(w, p)
			return
		}
		select {
		case <-appended:
		case <-timeout.C:
			writeJSON(w, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) readPage(name string, from ledger.Offset) (ledger.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.dropExpired(s)
	from = max(from, s.first)
	end := s.first + ledger.Offset(len(s.records))
	p := ledger.Page{First: s.first, Next: min(from, end), End: end}
	if from < end {
		records := s.records[from-s.first:]
		records = records[:min(len(records), maxPageRecords)]
		p.Records = append(p.Records, records...)
		p.Next = from + ledger.Offset(len(records))
	}
	return p, s.appended
}

// dropExpired drops the records that are older than the retention or below ForgetBelow.
func (l *Log) dropExpired(s *stream) {
	cutoff := time.Now().Add(-l.retention)
	expired := 0
	for expired < len(s.records) && (s.records[expired].At.Before(cutoff) || s.records[expired].Offset < l.faults.ForgetBelow) {
		expired++
	}
	s.first += ledger.Offset(expired)
	s.records = s.records[expired:]
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) getCounts(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, l.counts)
}

func (l *Log) putFaults(w http.ResponseWriter, r *http.Request) {
	var in LogFaults
	if !decodeJSON(w, r, &in) {
		return
	}
	l.mu.Lock()
	l.faults = in
	l.mu.Unlock()
}

func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxRecordBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
