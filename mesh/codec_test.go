package mesh

import (
	"bufio"
	"bytes"
	"encoding/json"
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
	r := codec{}
	in := bufio.NewReader(&wire)
	var got jsonrpc2.Request
	var content string
	if err := r.ReadObject(in, &got); err != nil || got.Method != methodMail || r.decode(&content) != nil || content != "content" {
		t.Errorf("read %q with %q, %v", got.Method, content, err)
	}
	if err := r.ReadObject(in, &got); err != nil || got.Method != methodBeat || len(r.in) != 0 {
		t.Errorf("read %q with %q, %v", got.Method, r.in, err)
	}
}

// A stranger sends a length of many gigabytes, or a method that there isn't. The process
// must not try to hold it.
func TestCodecRefusesStrangers(t *testing.T) {
	c := codec{}
	var req jsonrpc2.Request
	for _, b := range [][]byte{{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, {9, 0}} {
		if err := c.ReadObject(bufio.NewReader(bytes.NewReader(b)), &req); err == nil {
			t.Errorf("read %x", b)
		}
	}
	c.out = make([]byte, maxFrame+1)
	if err := c.WriteObject(&bytes.Buffer{}, &req); err == nil {
		t.Error("wrote a frame that nobody reads")
	}
}

func FuzzCodec(f *testing.F) {
	f.Add([]byte("\x01\x00"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		c := codec{}
		var req jsonrpc2.Request
		if c.ReadObject(bufio.NewReader(bytes.NewReader(b)), &req) == nil {
			var m batch[map[string]string]
			_ = c.decode(&m)
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
		var req jsonrpc2.Request
		_ = r.ReadObject(bufio.NewReader(&wire), &req)
		var m message
		_ = r.decode(&m)
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
