package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
)

func readRecords(t *testing.T, l *Log, query string) ledger.Page {
	t.Helper()
	var p ledger.Page
	w := request(l, http.MethodGet, "/v1/streams/s?"+query, "")
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatalf("status %d: %v", w.Code, err)
	}
	return p
}

// The answer of an append is lost, but the record is on the log.
func TestLoseAnswer(t *testing.T) {
	l := NewLog(time.Hour, 100)
	s := httptest.NewServer(l)
	defer s.Close()
	addr := netip.MustParseAddrPort(s.Listener.Addr().String())
	c := ledger.New(addr, addr, time.Minute, (&net.Dialer{}).DialContext)
	request(l, http.MethodPut, "/stand/faults", `{"lose_answers":1}`)
	if _, err := c.Append(t.Context(), "s", []byte("one")); !errors.Is(err, ledger.ErrUnreachable) {
		t.Errorf("the lost answer: %v", err)
	}
	if off, err := c.Append(t.Context(), "s", []byte("two")); err != nil || off != 1 {
		t.Errorf("the second append: %d, %v", off, err)
	}
	if p := readRecords(t, l, "from=0"); len(p.Records) != 2 {
		t.Errorf("%d records, want 2", len(p.Records))
	}
}

// While the log is down, reads, appends and the VM list are refused; the control calls
// still answer.
func TestDown(t *testing.T) {
	l := NewLog(time.Hour, 100)
	request(l, http.MethodPut, "/stand/faults", `{"down":true}`)
	for _, path := range []string{"/v1/streams/s?from=0", "/v1/vms"} {
		if w := request(l, http.MethodGet, path, ""); w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", path, w.Code)
		}
	}
	if w := request(l, http.MethodPost, "/v1/streams/s", "x"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("append: status %d", w.Code)
	}
	request(l, http.MethodPut, "/stand/faults", `{}`)
	if p := readRecords(t, l, "from=0"); len(p.Records) != 0 {
		t.Error("an append took effect while the log was down")
	}
}

// Slow answers, the append rate, ForgetBelow and the retention, on a fake clock.
func TestLogTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(time.Hour, 2)
		request(l, http.MethodPut, "/stand/faults", `{"slow_ms":3000}`)
		began := time.Now()
		request(l, http.MethodPost, "/v1/streams/s", "0")
		if d := time.Since(began); d != 3*time.Second {
			t.Errorf("a slow append took %v", d)
		}
		request(l, http.MethodPut, "/stand/faults", `{}`)
		time.Sleep(time.Second)
		for i, want := range []int{200, 200, 429} {
			if w := request(l, http.MethodPost, "/v1/streams/s", "x"); w.Code != want {
				t.Errorf("append %d: status %d, want %d", i, w.Code, want)
			}
		}
		request(l, http.MethodPut, "/stand/faults", `{"forget_below":2}`)
		if p := readRecords(t, l, "from=0"); p.First != 2 || len(p.Records) != 1 {
			t.Errorf("after forgetting: %+v", p)
		}
		time.Sleep(2 * time.Hour)
		if p := readRecords(t, l, "from=0"); p.First != 3 || p.Next != 3 {
			t.Errorf("after the retention: %+v", p)
		}
	})
}

// A long poll ends as soon as there is a record, or when its wait is over.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(time.Hour, 10)
		began := time.Now()
		readRecords(t, l, "from=0&wait=5s")
		if d := time.Since(began); d != 5*time.Second {
			t.Errorf("an empty poll took %v", d)
		}
		time.AfterFunc(2*time.Second, func() { request(l, http.MethodPost, "/v1/streams/s", "x") })
		if p := readRecords(t, l, "from=0&wait=5s"); len(p.Records) != 1 || time.Since(began) != 7*time.Second {
			t.Errorf("%d records after %v", len(p.Records), time.Since(began))
		}
	})
}

// A VM that is removed stays visible to readers for as long as the list lags.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(time.Hour, 10)
		listedVMs := func() int {
			var out struct{ VMs []ledger.VM }
			_ = json.Unmarshal(request(l, http.MethodGet, "/v1/vms", "").Body.Bytes(), &out)
			return len(out.VMs)
		}
		request(l, http.MethodPut, "/stand/vms", `{"vms":[{"name":"vm0","address":"127.0.0.1","data_center":"dc1"}]}`)
		time.Sleep(time.Minute)
		request(l, http.MethodPut, "/stand/faults", `{"vms_lag_ms":30000}`)
		request(l, http.MethodPut, "/stand/vms", `{"vms":[]}`)
		time.Sleep(29 * time.Second)
		if n := listedVMs(); n != 1 {
			t.Errorf("%d VMs within the lag, want 1", n)
		}
		time.Sleep(time.Second)
		if n := listedVMs(); n != 0 {
			t.Errorf("%d VMs after the lag, want 0", n)
		}
	})
}
