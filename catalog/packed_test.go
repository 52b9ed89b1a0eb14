package catalog

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

func manyRoutes(n int) *Catalog {
	c := &Catalog{Version: 6, Pools: []Pool{{Name: "pool", EnforcesCapacity: true, Connections: 4}}, Limits: Limits{BodyBytes: 1 << 20, IdleTimeout: time.Minute}}
	for i := range n {
		name := fmt.Sprintf("r-%07x", i*2654435761%0xfffffff)
		c.Queues = append(c.Queues, Queue{Name: name, Host: "host-" + name + ".example", Prefix: "/" + name + "/", Pool: "pool", Attempts: 3, Stretch: 1.6, Objective: 150 * time.Millisecond})
	}
	return c
}

func TestPackAndUnpack(t *testing.T) {
	c := manyRoutes(1445)
	p, err := Pack(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", len(p.Content))
	again, err := Pack(c)
	if err != nil || !reflect.DeepEqual(p, again) {
		t.Errorf("packed differently a second time (error %v)", err)
	}
	got, err := p.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, c) {
		t.Error("the unpacked catalog differs")
	}
}

// A copy is put together from parts of processes that pack differently, cut off, or claims
// another version. It must not come into force.
func TestDamagedPackedCatalog(t *testing.T) {
	p, err := Pack(manyRoutes(100))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		damage func(p *Packed)
	}{
		{"cut off", func(p *Packed) { p.Content = p.Content[:len(p.Content)/2] }},
		{"other bytes", func(p *Packed) { p.Content = append([]byte{1, 2, 3, 4}, p.Content[4:]...) }},
		{"other version", func(p *Packed) { p.Version++ }},
		{"empty", func(p *Packed) { *p = Packed{Version: 6} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bad := p
			tt.damage(&bad)
			if c, err := bad.Unpack(); !errors.Is(err, ErrInvalidPacked) {
				t.Errorf("unpacked to %v, error %v", c != nil, err)
			}
		})
	}
}

func FuzzUnpack(f *testing.F) {
	p, err := Pack(manyRoutes(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(p.Version), p.Sum, p.Content)
	f.Fuzz(func(_ *testing.T, v uint64, sum uint32, content []byte) {
		_, _ = Packed{Version: Version(v), Sum: sum, Content: content}.Unpack()
	})
}

func BenchmarkPack(b *testing.B) {
	c := manyRoutes(1445)
	for b.Loop() {
		_, _ = Pack(c)
	}
}

func BenchmarkUnpack(b *testing.B) {
	p, _ := Pack(manyRoutes(1445))
	for b.Loop() {
		_, _ = p.Unpack()
	}
}
