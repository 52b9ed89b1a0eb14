package mesh

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

func TestCodecCarriesAttachments(t *testing.T) {
	var wire bytes.Buffer
	w := codec{out: []byte("content")}
	for range 2 {
		if err := w.WriteObject(&wire, &jsonrpc2.Request{Method: "mail", Notif: true}); err != nil {
			t.Fatal(err)
		}
	}
	r := codec{}
	in := bufio.NewReader(&wire)
	for _, want := range []string{"content", ""} {
		var got jsonrpc2.Request
		if err := r.ReadObject(in, &got); err != nil || got.Method != "mail" || string(r.in) != want {
			t.Errorf("read %q with %q, %v; want %q", got.Method, r.in, err, want)
		}
	}
}

// A stranger sends a length of many gigabytes. The process must not try to hold it.
func TestCodecRefusesLargeFrames(t *testing.T) {
	c := codec{}
	var req jsonrpc2.Request
	huge := []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}
	if err := c.ReadObject(bufio.NewReader(bytes.NewReader(huge)), &req); err == nil {
		t.Error("read a frame of 4 TB")
	}
	c.out = make([]byte, maxFrame+1)
	if err := c.WriteObject(&bytes.Buffer{}, &req); err == nil {
		t.Error("wrote a frame that nobody reads")
	}
}

func FuzzCodec(f *testing.F) {
	f.Add([]byte("\x02{}\x00"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		c := codec{}
		var req jsonrpc2.Request
		_ = c.ReadObject(bufio.NewReader(bytes.NewReader(b)), &req)
	})
}

type message struct {
	Mail []map[string]string `json:"mail"`
}

func content() message {
	var m message
	for range 20 {
		m.Mail = append(m.Mail, map[string]string{"job": "00000000000000aa", "spec": strings.Repeat("x", 400)})
	}
	return m
}

// BenchmarkAttachment and BenchmarkParameters carry 10 KB, beside a notification and
// as its parameters.
func BenchmarkAttachment(b *testing.B) {
	for b.Loop() {
		var wire bytes.Buffer
		out, _ := json.Marshal(content())
		w := codec{out: out}
		_ = w.WriteObject(&wire, &jsonrpc2.Request{Method: "mail", Notif: true})
		r := codec{}
		var req jsonrpc2.Request
		_ = r.ReadObject(bufio.NewReader(&wire), &req)
		var m message
		_ = json.Unmarshal(r.in, &m)
	}
}

func BenchmarkParameters(b *testing.B) {
	for b.Loop() {
		var wire bytes.Buffer
		out, _ := json.Marshal(content())
		w := codec{}
		req := &jsonrpc2.Request{Method: "mail", Notif: true}
		_ = req.SetParams(out)
		_ = w.WriteObject(&wire, req)
		r := codec{}
		var got jsonrpc2.Request
		_ = r.ReadObject(bufio.NewReader(&wire), &got)
		var sealed []byte
		_ = json.Unmarshal(*got.Params, &sealed)
		var m message
		_ = json.Unmarshal(sealed, &m)
	}
}
