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
	"time"
)

// store is a stand-in for the platform's store: topics of keyed records, in memory. It keeps
// all records.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

// topic is one partition of a topic.
type topic struct {
	records [][]byte
	// appended is closed and replaced at each append.
	appended chan struct{}
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// get returns a partition. The caller holds mu.
func (s *store) get(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record with a key to the first partition of a topic.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.get(name+" 0"), slices.Concat([]byte{byte(len(key))}, []byte(key), value))
}

// append appends records and returns the offset of the first. The caller holds mu.
func (s *store) append(t *topic, records ...[]byte) int {
	offset := len(t.records)
	t.records = append(t.records, records...)
	close(t.appended)
	t.appended = make(chan struct{})
	return offset
}

// handler serves the store's calls. The system may not write the topics of the operator and
// of the minions.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return mux
}

func partition(r *http.Request) string { return r.FormValue("topic") + " " + r.FormValue("part") }

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t := r.URL.Query().Get("topic"); t == topicOperator || t == topicServers {
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
	time.Sleep(storeDelay)
	s.mu.Lock()
	offset := s.append(s.get(partition(r)), records...)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": offset + len(records)})
}

// storeDelay is how long the store takes to answer.
const storeDelay = 4 * time.Millisecond

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.get(partition(r))
		records := slices.Clone(t.records[min(from, len(t.records)):])
		end, appended := len(t.records), t.appended
		s.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			writeLog(w, end, records)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			writeLog(w, end, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeLog(w http.ResponseWriter, end int, records [][]byte) {
	time.Sleep(storeDelay)
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records {
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	_, _ = w.Write(b)
}

// newestPage is how many records a page of the newest ones has at most.
const newestPage = 500

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.FormValue("depends_on")
	s.mu.Lock()
	t := s.get(partition(r))
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
		if i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
	more := len(items) > newestPage
	if more {
		items = items[:newestPage]
	}
	time.Sleep(storeDelay)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
