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
	}{{methodMail, "content"}, {methodBeat, nil}} {
		if err := w.set(m.method, m.content); err != nil {
			t.Fatal(err)
		}
		if err := w.WriteObject(&wire, &jsonrpc2.Request{Method: m.method, Notif: true}); err != nil {
			t.Fatal(err)
		}
	}
	type notification struct{ method, content string }
	var got []notification
	r := codec{}
	r.take = func(method string) {
		n := notification{method: method}
		if len(r.in) > 0 && r.decode(&n.content) != nil {
			t.Errorf("%s: content can't be read", method)
		}
		got = append(got, n)
	}
	if err := r.ReadObject(bufio.NewReader(&wire), nil); !errors.Is(err, io.EOF) {
		t.Errorf("ended with %v", err)
	}
	if want := []notification{{methodMail, "content"}, {methodBeat, ""}}; !slices.Equal(got, want) {
		t.Errorf("read %q, want %q", got, want)
	}
}

// A stranger sends a length of many gigabytes, or a method that there isn't. The process
// must not try to hold it.
func TestCodecRefusesStrangers(t *testing.T) {
	tests := []struct {
		sent []byte
		want error
	}{
		{[]byte{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, errFrame},
		{[]byte{9, 0}, errMethod},
	}
	c := codec{take: func(method string) { t.Errorf("%s was passed on", method) }}
	for _, tt := range tests {
		if err := c.ReadObject(bufio.NewReader(bytes.NewReader(tt.sent)), nil); !errors.Is(err, tt.want) {
			t.Errorf("read %x with %v, want %v", tt.sent, err, tt.want)
		}
	}
	c.out = make([]byte, maxFrame+1)
	if err := c.WriteObject(&bytes.Buffer{}, nil); err == nil {
		t.Error("wrote a frame that nobody reads")
	}
}

func FuzzCodec(f *testing.F) {
	f.Add([]byte("\x01\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := codec{}
		c.take = func(string) {
			var m batch[map[string]string]
			_ = c.decode(&m)
		}
		if c.ReadObject(bufio.NewReader(bytes.NewReader(b)), nil) == nil {
			t.Error("ended without an error")
		}
	})
}

type message struct {
	Mail []map[string]string `json:"mail" cbor:"1,keyasint"`
}

func content() message {
	var m message
	for range 20 {
		m.Mail = append(m.Mail, map[string]string{"job": "00000000000000aa", "spec": strings.Repeat("x", 400)})
	}
	return m
}

// BenchmarkContent and BenchmarkParameters carry 10 KB: beside a notification, and in
// JSON as its parameters.
func BenchmarkContent(b *testing.B) {
	for b.Loop() {
		var wire bytes.Buffer
		w := codec{}
		_ = w.set(methodMail, content())
		_ = w.WriteObject(&wire, &jsonrpc2.Request{Method: methodMail, Notif: true})
		r := codec{}
		r.take = func(string) {
			var m message
			_ = r.decode(&m)
		}
		_ = r.ReadObject(bufio.NewReader(&wire), nil)
	}
}

func BenchmarkParameters(b *testing.B) {
	for b.Loop() {
		var wire bytes.Buffer
		out, _ := json.Marshal(content())
		req := &jsonrpc2.Request{Method: methodMail, Notif: true}
		_ = req.SetParams(out)
		_ = json.NewEncoder(&wire).Encode(req)
		var got jsonrpc2.Request
		_ = json.NewDecoder(&wire).Decode(&got)
		var sealed []byte
		_ = json.Unmarshal(*got.Params, &sealed)
		var m message
		_ = json.Unmarshal(sealed, &m)
	}
}
