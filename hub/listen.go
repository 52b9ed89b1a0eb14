package hub

import (
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"snipehub.example/certificate"
	"snipehub.example/settings"
)

// listeners are the listeners of a process. operators is nil if the settings contain no
// address for operators.
type listeners struct {
	callers, peers, operators net.Listener
}

// listenAll listens on all configured addresses, or on none if one of them fails.
func listenAll(cfg settings.Listen, nw Network) (listeners, error) {
	var l listeners
	for _, b := range []struct {
		key  string
		addr netip.AddrPort
		to   *net.Listener
	}{
		{"listen.callers", cfg.Callers, &l.callers},
		{"listen.peers", cfg.Peers, &l.peers},
		{"listen.operators", cfg.Operators, &l.operators},
	} {
		if !b.addr.IsValid() {
			continue
		}
		ln, err := nw.Listen("tcp", b.addr.String())
		if err != nil {
			l.close()
			return listeners{}, errors.Wrap(err, b.key)
		}
		*b.to = ln
	}
	return l, nil
}

// enableTLS wraps the listeners for which there are certificates. The listener for
// operators uses the certificate of the one for callers.
func (l *listeners) enableTLS(certs *certificate.Set) {
	if cfg := certs.CallerServer(); cfg != nil {
		l.callers = tls.NewListener(l.callers, cfg)
		if l.operators != nil {
			l.operators = tls.NewListener(l.operators, cfg)
		}
	}
	if cfg := certs.PeerServer(); cfg != nil {
		l.peers = tls.NewListener(l.peers, cfg)
	}
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.peers, l.operators} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}
