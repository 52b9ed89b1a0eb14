package stand

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"snipehub.example/delivery"
)

var spread = ServiceTimes{Min: time.Millisecond, Max: 2 * time.Millisecond}

// startFarm serves two workers of two cores at free ports, and tries each until it has
// answered, at most 1000 times.
func startFarm(t *testing.T) (*Farm, []netip.AddrPort) {
	t.Helper()
	var addrs []netip.AddrPort
	var workers []*Worker
	for range 2 {
		s := httptest.NewServer(nil)
		a := netip.MustParseAddrPort(s.Listener.Addr().String())
		s.Close()
		addrs = append(addrs, a)
		workers = append(workers, NewWorker(a, 2, 1, spread, 1))
	}
	f := NewFarm(workers)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	c := delivery.New(1<<10, 4, (&net.Dialer{}).DialContext)
	for _, a := range addrs {
		for range 1000 {
			if deliver(c, a, "up").Kind == delivery.Done {
				break
			}
		}
	}
	return f, addrs
}

func deliver(c *delivery.Client, to netip.AddrPort, task string) delivery.Outcome {
	return c.Deliver(context.Background(), delivery.Attempt{
		Server: to, Kind: "price", Task: task, Body: []byte("{}"), Expires: time.Now().Add(10 * time.Second),
	})
}

func request(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// faults sets the faults of one server.
func faults(t *testing.T, h http.Handler, server netip.AddrPort, body string) {
	t.Helper()
	if w := request(h, http.MethodPut, "/stand/faults?server="+server.String(), body); w.Code != http.StatusOK {
		t.Fatalf("faults: %d %s", w.Code, w.Body)
	}
}

// Each fault of a backend server as the dispatcher's delivery client sees it, and whether
// the server recorded a start of the task.
func TestWorkerFaults(t *testing.T) {
	tests := []struct {
		name, faults string
		want         delivery.Kind
		starts       int
		reason       string
	}{
		{"none", `{}`, delivery.Done, 1, ""},
		{"fails everything", `{"fail":true}`, delivery.Unknown, 1, "status 500"},
		{"reset in mid-answer", `{"reset":true}`, delivery.Unknown, 1, "cut off"},
		{"short body", `{"short":true}`, delivery.Unknown, 1, "cut off"},
		{"refuses", `{"refuse":true}`, delivery.NotRun, 0, "refused"},
		{"vanished", `{"vanish":true}`, delivery.NotRun, 0, "connection refused"},
	}
	f, addrs := startFarm(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			faults(t, f, addrs[0], tt.faults)
			defer faults(t, f, addrs[0], `{}`)
			o := deliver(delivery.New(1<<10, 4, (&net.Dialer{}).DialContext), addrs[0], tt.name)
			if o.Kind != tt.want || !strings.Contains(o.Reason, tt.reason) {
				t.Errorf("got %+v, want kind %v with %q", o, tt.want, tt.reason)
			}
			var starts map[string]int
			_ = json.Unmarshal(request(f, http.MethodGet, "/stand/starts", "").Body.Bytes(), &starts)
			if starts[tt.name] != tt.starts {
				t.Errorf("%d starts, want %d", starts[tt.name], tt.starts)
			}
			if o := deliver(delivery.New(1<<10, 4, (&net.Dialer{}).DialContext), addrs[1], "other "+tt.name); o.Kind != delivery.Done {
				t.Errorf("the other server: %+v", o)
			}
		})
	}
}

// A vanished server listens again at the same address when the fault is cleared.
func TestVanishAndReturn(t *testing.T) {
	f, at := startFarm(t)
	c := delivery.New(1<<10, 4, (&net.Dialer{}).DialContext)
	faults(t, f, at[0], `{"vanish":true}`)
	if o := deliver(c, at[0], "gone"); o.Kind != delivery.NotRun {
		t.Errorf("while gone: %+v", o)
	}
	faults(t, f, at[0], `{}`)
	if o := deliver(c, at[0], "back"); o.Kind != delivery.Done {
		t.Errorf("after the return: %+v", o)
	}
}

func runTask(k *Worker, task string) (time.Duration, int) {
	began := time.Now()
	r := httptest.NewRequest(http.MethodPost, "/v1/tasks/price", strings.NewReader(`{"service_ms":100}`))
	r.Header.Set(delivery.HeaderTask, task)
	w := httptest.NewRecorder()
	k.ServeHTTP(w, r)
	return time.Since(began), w.Code
}

// The payload's service time is divided by the speed and multiplied by the Slow fault.
func TestServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewWorker(netip.AddrPort{}, 1, 2, spread, 1)
		if d, _ := runTask(k, "a"); d != 50*time.Millisecond {
			t.Errorf("at speed 2: %v", d)
		}
		k.SetFaults(WorkerFaults{Slow: 10})
		if d, _ := runTask(k, "b"); d != 500*time.Millisecond {
			t.Errorf("slow tenfold: %v", d)
		}
	})
}

// A frozen server answers nothing; once the fault is cleared it runs what it had read.
func TestFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewWorker(netip.AddrPort{}, 1, 1, spread, 1)
		k.SetFaults(WorkerFaults{Freeze: true})
		done := make(chan time.Duration)
		go func() {
			d, _ := runTask(k, "a")
			done <- d
		}()
		time.Sleep(time.Minute)
		if len(k.record.starts) != 0 {
			t.Error("started while frozen")
		}
		k.SetFaults(WorkerFaults{})
		if d := <-done; d != time.Minute+100*time.Millisecond {
			t.Errorf("answered after %v", d)
		}
	})
}

// The record holds the kind and time of each start. A request without a free core is
// refused.
func TestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewWorker(netip.MustParseAddrPort("127.0.0.1:9"), 1, 1, spread, 1)
		go runTask(k, "a")
		synctest.Wait()
		if _, code := runTask(k, "b"); code != http.StatusTooManyRequests {
			t.Errorf("status %d while the core is taken", code)
		}
		time.Sleep(time.Second)
		runTask(k, "a")
		var full struct{ Starts []Start }
		_ = json.Unmarshal(request(k, http.MethodGet, "/stand/starts?view=full", "").Body.Bytes(), &full)
		if n := len(full.Starts); n != 2 || full.Starts[1].Kind != "price" || full.Starts[1].At.Sub(full.Starts[0].At) != time.Second {
			t.Errorf("full record: %+v", full)
		}
		var sum struct{ Servers []Summary }
		_ = json.Unmarshal(request(k, http.MethodGet, "/stand/starts?view=summary", "").Body.Bytes(), &sum)
		s := sum.Servers[0]
		if s.Requests != 3 || s.Starts != 2 || s.Refused != 1 || s.RepeatedStarts != 1 || s.Peak != 1 || s.Running != 0 {
			t.Errorf("summary: %+v", s)
		}
	})
}
