package mesh

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

func TestCodecCarriesContent(t *testing.T) {
	var wire bytes.Buffer
	w := codec{}
	for _, m := range []struct {
		method  string
		content any
	}{{methodMessages, "content"}, {methodHeartbeat, nil}} {
		if err := w.setNext(m.method, m.content); err != nil {
			t.Fatal(err)
		}
		if err := w.WriteObject(&wire, &jsonrpc2.Request{Method: m.method, Notif: true}); err != nil {
			t.Fatal(err)
		}
	}
	type notification struct{ method, content string }
	var got []notification
	r := codec{}
	r.onNotification = func(method string) {
		n := notification{method: method}
		if len(r.incoming) > 0 && r.decode(&n.content) != nil {
			t.Errorf("%s: content can't be decoded", method)
		}
		got = append(got, n)
	}
	if err := r.ReadObject(bufio.NewReader(&wire), nil); !errors.Is(err, io.EOF) {
		t.Errorf("ended with %v, want EOF", err)
	}
	if want := []notification{{methodMessages, "content"}, {methodHeartbeat, ""}}; !slices.Equal(got, want) {
		t.Errorf("read %q, want %q", got, want)
	}
}

// Some other program sends a length of many gigabytes, or an unknown method. The process
// must not allocate that much.
func TestCodecRefusesStrangers(t *testing.T) {
	tests := []struct {
		sent []byte
		want error
	}{
		{[]byte{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, errTooLarge},
		{[]byte{9, 0}, errUnknownMethod},
	}
	c := codec{onNotification: func(method string) { t.Errorf("%s was handled", method) }}
	for _, tt := range tests {
		if err := c.ReadObject(bufio.NewReader(bytes.NewReader(tt.sent)), nil); !errors.Is(err, tt.want) {
			t.Errorf("read %x with %v, want %v", tt.sent, err, tt.want)
		}
	}
	c.outgoing = make([]byte, maxContentBytes+1)
	if err := c.WriteObject(&bytes.Buffer{}, nil); err == nil {
		t.Error("wrote a message that is too large to read")
	}
}

func FuzzCodec(f *testing.F) {
	f.Add([]byte("\x01\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := codec{}
		c.onNotification = func(string) {
			var m batch[map[string]string]
			_ = c.decode(&m)
		}
		if c.ReadObject(bufio.NewReader(bytes.NewReader(b)), nil) == nil {
			t.Error("ended without an error")
		}
	})
}

type benchmarkBatch struct {
	Mail []map[string]string `json:"mail" cbor:"1,keyasint"`
}

func benchmarkContent() benchmarkBatch {
	var m benchmarkBatch
	for range 20 {
		m.Mail = append(m.Mail, map[string]string{"job": "00000000000000aa", "spec": strings.Repeat("x", 400)})
	}
	return m
}

// BenchmarkContent and BenchmarkParameters transfer 10 KB: as the content of a
// notification, and as its JSON parameters.
func BenchmarkContent(b *testing.B) {
	for b.Loop() {
		var wire bytes.Buffer
		w := codec{}
		_ = w.setNext(methodMessages, benchmarkContent())
		_ = w.WriteObject(&wire, &jsonrpc2.Request{Method: methodMessages, Notif: true})
		r := codec{}
		r.onNotification = func(string) {
			var m benchmarkBatch
			_ = r.decode(&m)
		}
		_ = r.ReadObject(bufio.NewReader(&wire), nil)
	}
}

func BenchmarkParameters(b *testing.B) {
	for b.Loop() {
		var wire bytes.Buffer
		out, _ := json.Marshal(benchmarkContent())
		req := &jsonrpc2.Request{Method: methodMessages, Notif: true}
		_ = req.SetParams(out)
		_ = json.NewEncoder(&wire).Encode(req)
		var got jsonrpc2.Request
		_ = json.NewDecoder(&wire).Decode(&got)
		var payload []byte
		_ = json.Unmarshal(*got.Params, &payload)
		var m benchmarkBatch
		_ = json.Unmarshal(payload, &m)
	}
}
