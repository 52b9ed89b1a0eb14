package catalog

import (
	"fmt"
	"testing"
)

// A request belongs to the queue with its host and the longest prefix of its path.
func TestFind(t *testing.T) {
	c := &Catalog{Queues: []Queue{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/p/q/"},
		{Name: "short", Host: "a.example", Prefix: "/p/"},
		{Name: "again", Host: "a.example", Prefix: "/p/"},
		{Name: "other", Host: "b.example", Prefix: "/p/"},
	}}
	tests := []struct{ host, path, name, rest string }{
		{"a.example", "/p/q/1", "long", "1"},
		{"a.example:80", "/p/1", "short", "1"},
		{"a.example", "/x", "root", "x"},
		{"b.example", "/p/1", "other", "1"},
		{"b.example", "/x", "", "/x"},
		{"c.example", "/p/1", "", "/p/1"},
	}
	for _, tt := range tests {
		q, rest, ok := c.Find(tt.host, tt.path)
		if q.Name != tt.name || rest != tt.rest || ok != (tt.name != "") {
			t.Errorf("%s%s: got %q, rest %q, found %v; want %q, rest %q", tt.host, tt.path, q.Name, rest, ok, tt.name, tt.rest)
		}
	}
}

// Each request looks up its queue, so the time must not grow with the number of queues.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{45, 1445, 10_000} {
		c := manyRoutes(n)
		last := c.Queues[n-1]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, _, ok := c.Find(last.Host, last.Prefix+"5c0e7a21d94b36f8"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
