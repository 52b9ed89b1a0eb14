package hub

import (
	"context"

	"snipehub.example/event"
	"snipehub.example/meter"
)

// refreshCertificates puts changed certificate files into use. A repeated error is logged
// once and not at every check, where it would drown all other log lines.
func (h *Hub) refreshCertificates(ctx context.Context) error {
	sub := h.clock.Subscribe(h.cfg.TLS.Refresh.D())
	defer sub.Stop()
	last := ""
	for {
		h.meter.Gauge(meter.CertificatesExpire, float64(h.certs.Expires().Unix()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
		changed, err := h.certs.Refresh()
		if changed {
			h.meter.Count(meter.CertificateChanges, 1)
			event.CertificatesChanged.Log(h.log, "expires", h.certs.Expires())
		}
		if err != nil && err.Error() != last {
			event.CertificatesUnusable.Log(h.log, "error", err)
		}
		last = ""
		if err != nil {
			last = err.Error()
		}
	}
}
