package node

import (
	"log/slog"
	"testing"

	"github.com/go-faster/errors"

	"snipehub.example/catalog"
	"snipehub.example/registry"
)

// Several configurations come with one read, each with all routes. Decoding them all delays
// the last one on a small VM. If the last one can't be read, the one before it is used.
func TestOnlyTheLastConfigurationIsDecoded(t *testing.T) {
	tests := []struct {
		name    string
		values  string
		version catalog.Version
		decoded string
	}{
		{"none", "", 0, ""},
		{"one", "1", 1, "1"},
		{"several", "123", 3, "3"},
		{"the last is unreadable", "12x", 2, "x2"},
		{"all are unreadable", "xx", 0, "xx"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			decoded := ""
			n := &Node{log: slog.New(slog.DiscardHandler), platform: Platform{
				IsCatalog:  func(registry.Record) bool { return true },
				Evacuation: func(registry.Record) (catalog.EvacuationChange, bool) { return catalog.EvacuationChange{}, false },
				Catalog: func(r registry.Record) (*catalog.Catalog, error) {
					decoded += string(r.Value)
					if r.Value[0] == 'x' {
						return nil, errors.New("unreadable")
					}
					return &catalog.Catalog{Version: catalog.Version(r.Value[0] - '0')}, nil
				},
			}}
			var update registry.Update
			for _, v := range tt.values {
				update.Records = append(update.Records, registry.Record{Value: []byte(string(v))})
			}
			read := n.operatorRead(update)
			var got catalog.Version
			if read.Catalog != nil {
				got = read.Catalog.Version
			}
			if got != tt.version || decoded != tt.decoded {
				t.Errorf("version %d, decoded %q; want %d, %q", got, decoded, tt.version, tt.decoded)
			}
		})
	}
}
