package hub

import (
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"snipehub.example/certificate"
	"snipehub.example/settings"
)

// listeners are the addresses that a process serves. operators is nil when the
// settings name none for them.
type listeners struct {
	callers, peers, operators net.Listener
}

// bind listens on all addresses or on none.
func bind(cfg settings.Listen, nw Network) (listeners, error) {
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

// secure puts TLS on the addresses that have certificates. The operators'
// address shows the callers' one.
func (l *listeners) secure(certs *certificate.Set) {
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
