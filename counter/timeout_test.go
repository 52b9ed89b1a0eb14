package counter_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/counter"
	"snipehub.example/job"
	"snipehub.example/meter"
	"snipehub.example/refusal"
	"snipehub.example/settings"
)

// pipeListener is a listener for in-memory connections, whose deadlines follow the fake
// clock of synctest.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// withServer runs the test with a fake clock and a connection to a server.
func withServer(t *testing.T, cfg settings.Config, f *fakeService, test func(c net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		m := meter.New(10, nil)
		defer m.Close()
		srv := counter.NewServer(cfg.Limits, counter.New(slog.New(slog.DiscardHandler), cfg, f, m))
		ln := make(pipeListener, 1)
		go func() { _ = srv.Serve(ln) }()
		client, server := net.Pipe()
		ln <- server
		test(client)
		_ = client.Close()
		close(ln)
		_ = srv.Close()
		synctest.Wait()
	})
}

// send writes a submission whose Content-Length also counts the part that is not sent.
func send(c net.Conn, body, unsent string) {
	text := "PUT " + jobPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: "
	_, _ = io.WriteString(c, text+strconv.Itoa(len(body)+len(unsent))+"\r\n\r\n"+body)
}

func receive(c io.Reader) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, nil, err
	}
	b, err := io.ReadAll(resp.Body)
	return resp, b, err
}

// A job takes two minutes, longer than the read and write timeouts. A timeout that starts
// with the request would cut off the waiting caller, who would see a lost connection
// instead of its answer.
func TestLongWaitIsNotCut(t *testing.T) {
	cfg := testConfig()
	f := &fakeService{submit: func(ctx context.Context, s job.Submission) (job.Answer, error) {
		select {
		case <-time.After(2 * time.Minute):
			return job.Answer{State: job.Done}, nil
		case <-ctx.Done():
			return job.Answer{}, ctx.Err()
		}
	}}
	withServer(t, cfg, f, func(c net.Conn) {
		send(c, goodJob, "")
		resp, b, err := receive(c)
		if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(b), "done") {
			t.Errorf("no answer: %v %s", err, b)
		}
	})
}

// A caller sends the body slowly or not at all. Without a read timeout, a few thousand
// such callers would hold all connections.
func TestSlowBody(t *testing.T) {
	f := &fakeService{}
	withServer(t, testConfig(), f, func(c net.Conn) {
		start := time.Now()
		send(c, goodJob[:5], goodJob[5:])
		resp, b, err := receive(c)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(b), string(refusal.TooSlow)) {
			t.Errorf("have %v %s", err, b)
		}
		if d := time.Since(start); d > 11*time.Second {
			t.Errorf("refused after %v", d)
		}
	})
}

// A caller reads the first bytes of its answer and stops. The write fails after the write
// timeout, and the truncated answer must not look complete.
func TestSlowReader(t *testing.T) {
	cfg := testConfig()
	f := &fakeService{submit: func(context.Context, job.Submission) (job.Answer, error) {
		return job.Answer{State: job.Done, Error: strings.Repeat("x", 100_000)}, nil
	}}
	withServer(t, cfg, f, func(c net.Conn) {
		send(c, goodJob, "")
		beginning := make([]byte, 100)
		_, _ = io.ReadFull(c, beginning)
		time.Sleep(cfg.Limits.WriteTimeout.D() + time.Second)
		_, b, err := receive(io.MultiReader(bytes.NewReader(beginning), c))
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("the truncated answer looks complete: %v, %d bytes", err, len(b))
		}
	})
}

// The handler panics after the answer has begun. A refusal after it would be taken for a
// part of the answer, so the connection must be aborted.
func TestPanicInMidAnswer(t *testing.T) {
	m := meter.New(10, nil)
	defer m.Close()
	h := counter.New(slog.New(slog.DiscardHandler), testConfig(), &fakeService{}, m)
	defer func() {
		if p := recover(); p != http.ErrAbortHandler {
			t.Errorf("panic %v, want ErrAbortHandler", p)
		}
	}()
	h.ServeHTTP(&panickingWriter{header: make(http.Header)}, request("PUT", jobPath, goodJob))
	t.Error("no panic")
}

// panickingWriter is an http.ResponseWriter that panics in Write.
type panickingWriter struct{ header http.Header }

func (w *panickingWriter) Header() http.Header       { return w.header }
func (w *panickingWriter) WriteHeader(int)           {}
func (w *panickingWriter) Write([]byte) (int, error) { panic("disk") }

// Requests beyond the limit of open requests are refused with a Retry-After. Without the
// limit, thousands of waiting callers would exhaust the memory until the kernel kills the
// process with all its running jobs. The second round shows that a request that has ended no
// longer counts.
func TestOpenRequestsAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.OpenRequests = 1
	m := meter.New(10, nil)
	defer m.Close()
	var h http.Handler
	var nested *http.Response
	f := &fakeService{submit: func(_ context.Context, s job.Submission) (job.Answer, error) {
		if s.Spec.Kind != "price" {
			return job.Answer{State: job.Done}, nil
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, request("PUT", jobPath, `{"kind":"inner","tasks":[1]}`))
		nested = w.Result()
		return job.Answer{State: job.Done}, nil
	}}
	h = counter.New(slog.New(slog.DiscardHandler), cfg, f, m)
	for range 2 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, request("PUT", jobPath, goodJob))
		if w.Code != http.StatusOK || nested.StatusCode != http.StatusTooManyRequests || nested.Header.Get("Retry-After") != "1" {
			t.Errorf("first %d, second %d", w.Code, nested.StatusCode)
		}
	}
}
