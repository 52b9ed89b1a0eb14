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

// pipes is a listener whose connections are in memory, so that the fake clock
// of a test moves their deadlines.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// withServer runs the test on a fake clock, with a connection to a server.
func withServer(t *testing.T, cfg settings.Config, f *fake, run func(c net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		m := meter.New(10, nil)
		defer m.Close()
		srv := counter.NewServer(cfg.Limits, counter.New(slog.New(slog.DiscardHandler), cfg, f, m))
		p := make(pipes, 1)
		go func() { _ = srv.Serve(p) }()
		client, server := net.Pipe()
		p <- server
		run(client)
		_ = client.Close()
		close(p)
		_ = srv.Close()
		synctest.Wait()
	})
}

func send(c net.Conn, body, rest string) {
	text := "PUT " + jobPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: "
	_, _ = io.WriteString(c, text+strconv.Itoa(len(body)+len(rest))+"\r\n\r\n"+body)
}

func receive(c io.Reader) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, nil, err
	}
	b, err := io.ReadAll(resp.Body)
	return resp, b, err
}

// A job takes two minutes, longer than the time-outs for reading and writing. A
// time-out that counts from the request's start cuts the waiting caller off,
// who then sees a lost connection in place of its answer.
func TestLongWaitIsNotCut(t *testing.T) {
	cfg := config()
	f := &fake{submit: func(ctx context.Context, s job.Submission) (job.Answer, error) {
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

// A caller sends a byte of its body now and then. Without a time-out, some
// thousands of these hold all connections.
func TestSlowBody(t *testing.T) {
	f := &fake{}
	withServer(t, config(), f, func(c net.Conn) {
		began := time.Now()
		send(c, goodJob[:5], goodJob[5:])
		resp, b, err := receive(c)
		if err != nil || resp.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(b), string(refusal.TooSlow)) {
			t.Errorf("have %v %s", err, b)
		}
		if d := time.Since(began); d > 11*time.Second {
			t.Errorf("refused after %v", d)
		}
	})
}

// A caller reads the first bytes of its answer and stops. The write gives up
// after the time-out, and what the caller has must not look whole.
func TestSlowReader(t *testing.T) {
	cfg := config()
	f := &fake{submit: func(context.Context, job.Submission) (job.Answer, error) {
		return job.Answer{State: job.Done, Error: strings.Repeat("x", 100_000)}, nil
	}}
	withServer(t, cfg, f, func(c net.Conn) {
		send(c, goodJob, "")
		first := make([]byte, 100)
		_, _ = io.ReadFull(c, first)
		time.Sleep(cfg.Limits.WriteTimeout.D() + time.Second)
		_, b, err := receive(io.MultiReader(bytes.NewReader(first), c))
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("the answer looks whole: %v, %d bytes", err, len(b))
		}
	})
}

// The handler fails after the answer has begun. A refusal behind it would be
// taken for a part of the answer; the caller must see a cut connection.
func TestPanicInMidAnswer(t *testing.T) {
	m := meter.New(10, nil)
	defer m.Close()
	h := counter.New(slog.New(slog.DiscardHandler), config(), &fake{}, m)
	defer func() {
		if p := recover(); p != http.ErrAbortHandler {
			t.Errorf("panic %v, want ErrAbortHandler", p)
		}
	}()
	h.ServeHTTP(&failing{header: make(http.Header)}, request("PUT", jobPath, goodJob))
	t.Error("no panic")
}

// failing panics in the middle of the body.
type failing struct{ header http.Header }

func (f *failing) Header() http.Header       { return f.header }
func (f *failing) WriteHeader(int)           {}
func (f *failing) Write([]byte) (int, error) { panic("disk") }

// Callers wait by the thousand. Beyond the limit they are told to come back,
// in place of filling the memory until the kernel ends the process with all
// the jobs that it runs.
func TestOpenRequestsAreBounded(t *testing.T) {
	cfg := config()
	cfg.Limits.OpenRequests = 1
	m := meter.New(10, nil)
	defer m.Close()
	var h http.Handler
	var inner *http.Response
	f := &fake{submit: func(_ context.Context, s job.Submission) (job.Answer, error) {
		if s.Spec.Kind != "price" {
			return job.Answer{State: job.Done}, nil
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, request("PUT", jobPath, `{"kind":"inner","tasks":[1]}`))
		inner = w.Result()
		return job.Answer{State: job.Done}, nil
	}}
	h = counter.New(slog.New(slog.DiscardHandler), cfg, f, m)
	for range 2 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, request("PUT", jobPath, goodJob))
		if w.Code != http.StatusOK || inner.StatusCode != http.StatusTooManyRequests || inner.Header.Get("Retry-After") != "1" {
			t.Errorf("first %d, second %d", w.Code, inner.StatusCode)
		}
	}
}
