// Package script has the commands that test scripts with real processes share: HTTP
// requests, waiting for an answer, signals.
package script

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Cmd is a command of a script.
type Cmd = func(ts *testscript.TestScript, neg bool, args []string)

// Cmds returns the commands by name.
func Cmds() map[string]Cmd {
	return map[string]Cmd{
		"call":   call,
		"repeat": repeat,
		"await":  await,
		"subst":  subst,
		"keep":   keep,
		"signal": signalProcess,
	}
}

// call METHOD URL STATUS [BODYFILE [HEADER:VALUE...]] makes a request and writes the
// answer to stdout.
func call(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: call METHOD URL STATUS [BODYFILE [HEADER:VALUE...]]")
	}
	status, body, err := request(ts, args)
	ts.Check(err)
	_, _ = ts.Stdout().Write(body)
	if fmt.Sprint(status) != args[2] {
		ts.Fatalf("status %d, want %s: %s", status, args[2], body)
	}
}

// request makes the request that the arguments METHOD URL STATUS [BODYFILE
// [HEADER:VALUE...]] of call describe, and returns the status and the body of the answer. A
// BODYFILE of "-" stands for an empty body.
func request(ts *testscript.TestScript, args []string) (int, []byte, error) {
	var reqBody []byte
	if len(args) > 3 && args[3] != "-" {
		reqBody = []byte(ts.ReadFile(args[3]))
	}
	req, err := http.NewRequest(args[0], args[1], bytes.NewReader(reqBody))
	if err != nil {
		return 0, nil, err
	}
	for _, h := range args[min(4, len(args)):] {
		k, v, _ := strings.Cut(h, ":")
		req.Header.Set(k, v)
		if k == "Host" {
			req.Host = v
		}
	}
	hc, err := httpClient(ts, args[1])
	if err != nil {
		return 0, nil, err
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// httpClient returns a client that, for an https URL, trusts the authority in
// keys/ca.pem.
func httpClient(ts *testscript.TestScript, url string) (*http.Client, error) {
	if !strings.HasPrefix(url, "https:") {
		return http.DefaultClient, nil
	}
	ca, err := os.ReadFile(ts.MkAbs("keys/ca.pem"))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}
	return &http.Client{Transport: tr}, nil
}

// repeat METHOD URL STATUS [BODYFILE [HEADER:VALUE...]] repeats a request until the
// answer has the status.
func repeat(ts *testscript.TestScript, _ bool, args []string) {
	for range 200 {
		status, _, err := request(ts, args)
		if err == nil && fmt.Sprint(status) == args[2] {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s: no status %s after 10 s", args[1], args[2])
}

// await URL [TEXT] repeats a request until the status is 200 and the answer contains the
// text.
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: await URL [TEXT]")
	}
	for range 400 {
		status, body, err := request(ts, []string{http.MethodGet, args[0], "200"})
		if err == nil && status == http.StatusOK && (len(args) < 2 || strings.Contains(string(body), args[1])) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s: not as awaited after 20 s", args[0])
}

// subst FILE... expands environment variables in files.
func subst(ts *testscript.TestScript, _ bool, args []string) {
	for _, f := range args {
		out := os.Expand(ts.ReadFile(f), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(f), []byte(out), 0o600))
	}
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// signal NAME TEXT sends the signal to the background process that has TEXT as one of its
// arguments.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[1]) {
			ts.Check(c.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background process with the argument %s", args[1])
}

// keep VAR KEY sets the environment variable to the string value of a JSON key in stdout.
func keep(ts *testscript.TestScript, _ bool, args []string) {
	_, rest, ok := strings.Cut(ts.ReadFile("stdout"), `"`+args[1]+`":"`)
	if !ok {
		ts.Fatalf("no key %s in stdout", args[1])
	}
	v, _, _ := strings.Cut(rest, `"`)
	ts.Setenv(args[0], v)
}
