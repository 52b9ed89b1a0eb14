package delivery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

const (
	task        = "job/0/0"
	answerLimit = 64
)

// connHandler handles a request that a rawServer has read from the connection.
type connHandler func(c net.Conn, r *http.Request)

// respond writes the text and keeps the connection open.
func respond(text string) connHandler {
	return func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, text) }
}

// respondAndClose writes the text and closes the connection, or resets it if reset is set.
func respondAndClose(text string, reset bool) connHandler {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// rawServer is a backend server that writes raw bytes and counts the requests it reads.
type rawServer struct {
	addr     netip.AddrPort
	requests atomic.Int32
}

func startServer(t *testing.T, handle connHandler) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &rawServer{addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go s.serveConn(c, handle)
		}
	}()
	return s
}

func (s *rawServer) serveConn(c net.Conn, handle connHandler) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		handle(c, r)
	}
}

func attempt(to netip.AddrPort, lease time.Duration) Attempt {
	return Attempt{Server: to, Kind: "price", Task: task, Body: []byte(`{"sku":1}`), Expires: time.Now().Add(lease)}
}

func answer(status, headers, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// A backend server can end a call in many ways. A task that is wrongly classified as "not
// run" is started a second time on another backend server; one that is wrongly classified
// as "done" gives the caller a partial answer or that of another task. Each case sends one
// request, which must be read once.
func TestOutcome(t *testing.T) {
	const echo = "Snipe-Task: " + task + "\r\n"
	tests := []struct {
		name   string
		handle connHandler
		kind   Kind
		cause  Cause
	}{
		{"whole answer", respond(answer("200 OK", echo, "{}")), Done, 0},
		{"whole in chunks", respond("HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"), Done, 0},
		{"after 103", respond("HTTP/1.1 103 Early Hints\r\n\r\n" + answer("200 OK", echo, "{}")), Done, 0},
		{"after 100", respond("HTTP/1.1 100 Continue\r\n\r\n" + answer("200 OK", echo, "{}")), Done, 0},
		{"500 with the id", respond(answer("500 Internal Server Error", echo, "x")), Ran, Status},
		{"204 with the id", respond("HTTP/1.1 204 No Content\r\n" + echo + "\r\n"), Ran, Status},
		{"redirect with the id", respond(answer("307 Temporary Redirect", echo+"Location: /v1/tasks/other\r\n", "")), Ran, Status},
		{"503 with the id", respond(answer("503 Service Unavailable", echo, "")), Ran, Status},
		{"500 without the id", respond(answer("500 Internal Server Error", "", "x")), Unknown, Broken},
		{"503 without the id", respond(answer("503 Service Unavailable", "", "")), Unknown, Broken},
		{"redirect without the id", respond(answer("302 Found", "Location: /\r\n", "")), Unknown, Broken},
		{"200 without the id", respond(answer("200 OK", "", "{}")), Unknown, Broken},
		{"429", respond(answer("429 Too Many Requests", "", "busy")), NotRun, Refused},
		{"503 not run", respond(answer("503 Service Unavailable", "Snipe-Ran: no\r\n", "")), NotRun, Refused},
		{"429 to another task", respond(answer("429 Too Many Requests", "Snipe-Task: job/0/1\r\n", "")), Unknown, Broken},
		{"answer to another task", respond(answer("200 OK", "Snipe-Task: job/0/1\r\n", "{}")), Unknown, Broken},
		{"two ids", respond(answer("200 OK", echo+"Snipe-Task: job/0/1\r\n", "{}")), Unknown, Broken},
		{"other protocol", respond("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n" + echo + "\r\n"), Unknown, Broken},
		{"closes after reading", respondAndClose("", false), Unknown, Broken},
		{"resets after reading", respondAndClose("", true), Unknown, Broken},
		{"resets in mid-answer", respondAndClose("HTTP/1.1 200 OK\r\n"+echo+"Content-Length: 9\r\n\r\n{}", true), Unknown, Broken},
		{"short body", respondAndClose("HTTP/1.1 200 OK\r\n"+echo+"Content-Length: 9\r\n\r\n{}", false), Unknown, Broken},
		{"no last chunk", respondAndClose("HTTP/1.1 200 OK\r\n"+echo+"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false), Unknown, Broken},
		{"ends with the connection", respondAndClose("HTTP/1.1 200 OK\r\n"+echo+"\r\n{}", false), Unknown, Broken},
		{"short refusal", respondAndClose("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 9\r\n\r\nx", false), Unknown, Broken},
		{"too large", respond(answer("200 OK", echo, fmt.Sprintf("%0*d", answerLimit+1, 0))), Unknown, Broken},
		{"not HTTP", respondAndClose("hello\r\n\r\n", false), Unknown, Broken},
		{"no answer", respond(""), Unknown, LeaseExpired},
		{"answer never ends", respond("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 9\r\n\r\n{}"), Unknown, LeaseExpired},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, tt.handle)
			c := New(answerLimit, 1, (&net.Dialer{}).DialContext)
			defer c.Close()
			lease := time.Minute
			if tt.cause == LeaseExpired {
				lease = 100 * time.Millisecond
			}
			o := c.Deliver(t.Context(), attempt(s.addr, lease))
			if o.Kind != tt.kind || o.Cause != tt.cause {
				t.Errorf("kind %d, cause %d, want %d, %d (%s)", o.Kind, o.Cause, tt.kind, tt.cause, o.Reason)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests arrived, want 1", n)
			}
		})
	}
}

// The content type of an answer is in Latin-1, which is not valid UTF-8. It is replaced when
// dispatchers exchange the answer as JSON, so it must be replaced here too: a caller must
// get the same answer from the owner and from another dispatcher.
func TestTypeIsText(t *testing.T) {
	s := startServer(t, respond(answer("200 OK", "Snipe-Task: "+task+"\r\nContent-Type: text/caf\xe9\r\n", "{}")))
	c := New(answerLimit, 1, (&net.Dialer{}).DialContext)
	defer c.Close()
	o := c.Deliver(t.Context(), attempt(s.addr, time.Minute))
	if o.Kind != Done || o.Type != "text/caf\ufffd" {
		t.Errorf("kind %d, type %q (%s)", o.Kind, o.Type, o.Reason)
	}
}

// Nothing listens at the address, as after a crash of the backend server. The task can't
// have started and must be classified as "not run", so that another server gets it at once.
func TestConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	_ = ln.Close()
	o := New(answerLimit, 1, (&net.Dialer{}).DialContext).Deliver(t.Context(), attempt(addr, time.Minute))
	if o.Kind != NotRun || o.Cause != NoConnection {
		t.Errorf("kind %d, cause %d: %s", o.Kind, o.Cause, o.Reason)
	}
}

// A reused connection fails at the first write, before the kernel has accepted any byte.
// The transport's error is the same as for a lost request. If it were classified as
// "unknown", the job would fail although its task never left this process.
func TestNothingWrittenIsNotRun(t *testing.T) {
	s := startServer(t, respond(answer("200 OK", "Snipe-Task: "+task+"\r\n", "{}")))
	c := New(answerLimit, 1, (&net.Dialer{}).DialContext)
	defer c.Close()
	tr := c.httpClient.Transport.(*http.Transport)
	var lastConn *countingConn
	real := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := real(ctx, network, addr)
		if err == nil {
			lastConn = nc.(*countingConn)
		}
		return nc, err
	}
	if o := c.Deliver(t.Context(), attempt(s.addr, time.Minute)); o.Kind != Done {
		t.Fatalf("first attempt: %+v", o)
	}
	if err := lastConn.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	o := c.Deliver(t.Context(), attempt(s.addr, time.Minute))
	if o.Kind != NotRun || o.Cause != NoConnection {
		t.Errorf("kind %d, cause %d: %s", o.Kind, o.Cause, o.Reason)
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d requests arrived, want 1", n)
	}
}

// The lease ends after the transport has chosen a connection and before its writer
// goroutine writes. As the count was 0, the task was reported as "not run", so the late
// write must fail.
func TestSealedConnectionWritesNothing(t *testing.T) {
	here, there := net.Pipe()
	defer func() { _ = there.Close() }()
	c := &countingConn{Conn: keepOpen{here}}
	if n := c.seal(); n != 0 {
		t.Fatalf("%d bytes written before any write", n)
	}
	got := make(chan int, 1)
	go func() {
		n, _ := there.Read(make([]byte, 8))
		got <- n
	}()
	if _, err := c.Write([]byte("POST")); err == nil {
		t.Error("a write after seal succeeded")
	}
	_ = here.Close()
	if n := <-got; n != 0 {
		t.Errorf("%d bytes arrived", n)
	}
}

// keepOpen ignores Close, as the kernel does for a write in progress.
type keepOpen struct{ net.Conn }

func (keepOpen) Close() error { return nil }

// An answer that arrives after the end of the lease must not be taken for the answer to
// the next task: its caller would get the answer of another caller.
func TestLateAnswer(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, func(c net.Conn, r *http.Request) {
		id := r.Header.Get(HeaderTask)
		if id == task {
			<-release
		}
		_, _ = io.WriteString(c, answer("200 OK", "Snipe-Task: "+id+"\r\n", id))
	})
	c := New(answerLimit, 1, (&net.Dialer{}).DialContext)
	defer c.Close()
	if o := c.Deliver(t.Context(), attempt(s.addr, 50*time.Millisecond)); o.Kind != Unknown || o.Cause != LeaseExpired {
		t.Errorf("late: kind %d, cause %d: %s", o.Kind, o.Cause, o.Reason)
	}
	close(release)
	next := attempt(s.addr, time.Minute)
	next.Task = "job/1/0"
	if o := c.Deliver(t.Context(), next); o.Kind != Done || string(o.Body) != next.Task {
		t.Errorf("next: kind %d, body %q: %s", o.Kind, o.Body, o.Reason)
	}
}

// A backend server reads a task on a reused connection and closes it without an answer.
// To the transport this looks like a connection that was closed while idle, and it would
// send a request again that it considers repeatable. The task would run twice.
func TestNoSecondSend(t *testing.T) {
	var calls atomic.Int32
	s := startServer(t, func(c net.Conn, r *http.Request) {
		if calls.Add(1) > 1 {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, answer("200 OK", "Snipe-Task: "+task+"\r\n", "{}"))
	})
	c := New(answerLimit, 1, (&net.Dialer{}).DialContext)
	defer c.Close()
	if o := c.Deliver(t.Context(), attempt(s.addr, time.Minute)); o.Kind != Done {
		t.Fatalf("first: %+v", o)
	}
	if o := c.Deliver(t.Context(), attempt(s.addr, time.Minute)); o.Kind != Unknown {
		t.Errorf("kind %d: %s", o.Kind, o.Reason)
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}
