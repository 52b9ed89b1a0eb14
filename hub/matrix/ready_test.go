//go:build !race || matrix

package matrix_test

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"snipehub.example/claim"
	"snipehub.example/stand"
)

const (
	// claimsReadDelay is shorter than platform.timeout, so that the read succeeds.
	claimsReadDelay   = time.Second
	readyPollInterval = 10 * time.Millisecond
	maxReadyPolls     = 1000
)

// slowClaims is a platform that delays each read of the stream of claims.
type slowClaims struct{ http.Handler }

func (s slowClaims) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/v1/streams/"+claim.Stream {
		time.Sleep(claimsReadDelay)
	}
	s.Handler.ServeHTTP(w, r)
}

// serveSlowClaims puts slowClaims in front of the platform.
func (w *system) serveSlowClaims() {
	w.net.Reset(netip.MustParseAddr(platformIP))
	w.serve(platformIP, 7300, slowClaims{w.log})
}

// awaitReady waits until the dispatcher is ready.
func (w *system) awaitReady(n *node) {
	for range maxReadyPolls {
		if w.ready(n) {
			return
		}
		time.Sleep(readyPollInterval)
	}
	w.t.Fatalf("not ready:\n%s", w.logs)
}

// ready reports whether the load balancer would send callers to the dispatcher.
func (w *system) ready(n *node) bool {
	status, _, err := w.do(http.MethodGet, n.callerURL()+"/readyz", nil, nil)
	return err == nil && status == http.StatusOK
}

// A dispatcher is restarted, and the load balancer sends it a caller with a key of its
// own as soon as it is ready. If it were ready with its tables but before it has read the
// stream of claims, it could not decide any new key: the caller would be told that the
// log is down, which is false, and that its order may have run.
func TestKeyAsSoonAsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSystem(t)
		defer w.close()
		w.serveSlowClaims()
		w.replaceHub(0)
		n := w.hub(0)
		w.awaitReady(n)
		c := call{key: uuid.Must(uuid.NewV7()).String(), kind: keyedKind + "-job", tasks: 1}
		if s := w.ask(n, c); !s.done() {
			t.Errorf("%+v %v\n%s", s.answer, s.refusal, w.logs)
		}
	})
}

// The log is down while a dispatcher is restarted. It gets the tables from its peers, and
// must become ready although it can't read the stream of claims: otherwise a VM that is
// replaced during an outage would serve no callers until the log is back, not even those
// with tickets, which need no log.
func TestReadyInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSystem(t)
		defer w.close()
		heal := w.setLogFaults(stand.LogFaults{Down: true})
		defer heal()
		w.replaceHub(0)
		n := w.hub(0)
		w.awaitReady(n)
		g, ok := w.mint(n)
		if !ok {
			t.Fatalf("no ticket:\n%s", w.logs)
		}
		if s := w.put(n, g.Ticket+".0", 2); !s.done() {
			t.Errorf("%+v %v\n%s", s.answer, s.refusal, w.logs)
		}
	})
}
