package entry

import (
	"math/rand/v2"
	"strings"
	"testing"
)

func randomLetters(n int) string {
	rnd := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	for range n {
		b.WriteByte('a' + byte(rnd.IntN(16)))
	}
	return b.String()
}

// A job's text is compressed between processes. A worker must get what the caller sent,
// to the byte: with another text it would do other work.
func TestTextIsReadAsWritten(t *testing.T) {
	for _, c := range []struct {
		name, text string
		most       int
	}{
		{"none", "", 1},
		{"short", "1", 2},
		{"below the minimum", randomLetters(minCompressLen - 1), minCompressLen},
		{"letters", randomLetters(2000), 1100},
		{"one letter", strings.Repeat("x", 4000), 600},
		{"all bytes", strings.Repeat("\x00\xff\x80 ü", 300), 2100},
	} {
		b, err := WireText(c.text).MarshalBinary()
		var got WireText
		if err != nil || len(b) > c.most || got.UnmarshalBinary(b) != nil || string(got) != c.text {
			t.Errorf("%s: %d bytes of %d, %v, the same: %t", c.name, len(b), len(c.text), err, string(got) == c.text)
		}
	}
}

// A text that can't be decompressed is an error, which ends the session with its sender
// and starts nothing.
func TestInvalidText(t *testing.T) {
	for _, b := range [][]byte{nil, {7}, {compressedText, 0xff, 0xff}} {
		var got WireText
		if err := got.UnmarshalBinary(b); err == nil {
			t.Errorf("%x is read as %q", b, got)
		}
	}
}

func BenchmarkText(b *testing.B) {
	text := WireText(randomLetters(2000))
	var size int
	for b.Loop() {
		encoded, _ := text.MarshalBinary()
		size = len(encoded)
		var got WireText
		_ = got.UnmarshalBinary(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}
