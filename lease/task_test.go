package lease

import (
	"strings"
	"testing"
)

// Names of tasks are sent in a compact form where possible. Whatever the name, the other
// process must read what was written: a task under another name would be placed twice.
func TestTaskIsReadAsWritten(t *testing.T) {
	for _, c := range []struct {
		name Task
		size int
	}{
		{"c121f3f705348587.0.0.1", 11},
		{"c121f3f705348587.0.3.1299", 12},
		{"ffffffffffffffff.0.4294967295.4294967295", 19},
		{"c121f3f705348587.0.00.1", 24},
		{"c121f3f705348587.1.0.1", 23},
		{"C121F3F705348587.0.0.1", 23},
		{"g121f3f705348587.0.0.1", 23},
		{"c121f3f705348587.0.0.", 22},
		{"c121f3f705348587.0.0.+1", 24},
		{"c121f3f705348587.0.0.1.2", 25},
		{"job", 4},
		{"", 1},
	} {
		b, err := c.name.MarshalBinary()
		var got Task
		if err != nil || len(b) != c.size || got.UnmarshalBinary(b) != nil || got != c.name {
			t.Errorf("%q: %d bytes, %v, read as %q; want %d bytes", c.name, len(b), err, got, c.size)
		}
	}
}

func FuzzTask(f *testing.F) {
	f.Add([]byte("\x01abcdefgh\x00\x01"))
	f.Add([]byte("\x00name"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var name, again Task
		if name.UnmarshalBinary(b) != nil {
			return
		}
		out, err := name.MarshalBinary()
		if err != nil || again.UnmarshalBinary(out) != nil || again != name {
			t.Errorf("%q is read as %q, %v", name, again, err)
		}
		if strings.Count(string(name), ".") == 0 && name.Step() != string(name) {
			t.Errorf("%q has the step %q", name, name.Step())
		}
	})
}
