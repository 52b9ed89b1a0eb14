package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeLatency is how long the store takes for a call.
const storeLatency = 4 * time.Millisecond

// store is a stand-in for the platform's store: keyed topics, in memory. It loses nothing and
// drops nothing.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// down is set while every call of the system is refused.
	down atomic.Bool
}

type topic struct {
	records [][]byte
	// appended is closed and replaced at each append.
	appended chan struct{}
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// topic returns a partition of a topic. The caller holds mu.
func (s *store) topic(name, part string) *topic {
	key := name + "/" + part
	t := s.topics[key]
	if t == nil {
		t = &topic{appended: make(chan struct{})}
		s.topics[key] = t
	}
	return t
}

// put appends a record of the operator or of a minion. An empty value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name, "0").append(slices.Concat([]byte{byte(len(key))}, []byte(key), value))
}

func (t *topic) append(records ...[]byte) (offset int) {
	offset = len(t.records)
	t.records = append(t.records, records...)
	close(t.appended)
	t.appended = make(chan struct{})
	return offset
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r)
	case "GET /log-read":
		s.serveRead(w, r)
	case "GET /log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	if name := q.Get("topic"); name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if b = b[4:]; n > len(b) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, slices.Clone(b[:n]))
		b = b[n:]
	}
	s.mu.Lock()
	offset := s.topic(q.Get("topic"), q.Get("part")).append(records...)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": offset + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"), q.Get("part"))
		end, appended := len(t.records), t.appended
		records := slices.Clone(t.records[min(from, end):])
		s.mu.Unlock()
		if len(records) > 0 || expired {
			writeLog(w, end, records)
			return
		}
		select {
		case <-appended:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// maxLogBytes bounds the records in one response.
const maxLogBytes = 1 << 20

func writeLog(w http.ResponseWriter, end int, records [][]byte) {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records {
		if len(b)+len(r) > maxLogBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	_, _ = w.Write(b)
}

// newestPerPage is how many keys one response with the newest records has.
const newestPerPage = 500

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"), q.Get("part"))
	newest := make(map[string]item)
	for i, rec := range t.records {
		key, value := string(rec[1:1+rec[0]]), rec[1+rec[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	end := len(t.records)
	s.mu.Unlock()
	items := []item{}
	for _, i := range newest {
		if i.Key > q.Get("depends_on") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
	more := len(items) > newestPerPage
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), newestPerPage)], "has_more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
