package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: a log with topics and partitions,
// as PROTOCOL.md describes it. It keeps everything, in memory.
type store struct {
	mu     sync.Mutex
	topics map[string]*partition
}

type partition struct {
	records  [][]byte
	appended chan struct{}
}

func newStore() *store { return &store{topics: make(map[string]*partition)} }

// partition returns a partition, which is created on first use. The caller holds mu.
func (s *store) partition(topic, part string) *partition {
	if part == "" {
		part = "0"
	}
	p := s.topics[topic+"/"+part]
	if p == nil {
		p = &partition{appended: make(chan struct{})}
		s.topics[topic+"/"+part] = p
	}
	return p
}

// put writes a record with a key to partition 0 of a topic, as the operator and the minions
// do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").append(append(append([]byte{byte(len(key))}, key...), value...))
}

func (p *partition) append(records ...[]byte) (offset int) {
	offset = len(p.records)
	p.records = append(p.records, records...)
	close(p.appended)
	p.appended = make(chan struct{})
	return offset
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	if t := q.Get("topic"); t == "keyed.op" || t == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if n > len(b)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, b[4:4+n])
		b = b[4+n:]
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	offset := p.append(records...)
	end := len(p.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		end, appended := len(p.records), p.appended
		records := p.records[min(from, end):end]
		s.mu.Unlock()
		if len(records) == 0 && wait > 0 {
			select {
			case <-appended:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		b := binary.BigEndian.AppendUint64(nil, uint64(end))
		b = binary.BigEndian.AppendUint64(b, 0)
		for _, rec := range records {
			b = binary.BigEndian.AppendUint32(b, uint32(len(rec)))
			b = append(b, rec...)
		}
		_, _ = w.Write(b)
		return
	}
}

// newestPage is the largest number of records in one answer to /log-newest.
const newestPage = 500

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	newest := make(map[string]item)
	for i, rec := range p.records {
		n := int(rec[0])
		newest[string(rec[1:1+n])] = item{string(rec[1 : 1+n]), rec[1+n:], i}
	}
	end := len(p.records)
	s.mu.Unlock()
	items := []item{}
	for key, i := range newest {
		if len(i.Value) > 0 && key > q.Get("depends_on") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(x, y int) bool { return items[x].Key < items[y].Key })
	more := len(items) > newestPage
	if more {
		items = items[:newestPage]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
