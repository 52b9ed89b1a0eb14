package entry

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// WireText is a job's text as it is sent between processes. It is compressed by Huffman
// coding alone: that takes 15 microseconds for a text of two kilobytes and halves one of
// digits and letters, which is most of what processes send to each other (BenchmarkText).
// On links of 2 Mbit/s it makes a job of four tasks start 8 ms earlier.
type WireText string

// The forms of a text in messages.
const (
	plainText = iota
	compressedText
)

const (
	// minCompressLen is the minimum length of a text that is compressed: below, the code
	// table takes what compression gains.
	minCompressLen = 256
	// maxTextLen bounds the decompressed size of a text, as mesh bounds messages.
	maxTextLen = 16 << 20
)

// compressor is used by one goroutine at a time. It is shared because the writer takes
// 0.7 MB, and the reader 40 KB that would be garbage after each text.
var compressor struct {
	sync.Mutex
	w *flate.Writer
	r io.ReadCloser
}

var errInvalidText = errors.New("entry: invalid encoding of a job's text")

// MarshalBinary encodes the text for messages.
func (t WireText) MarshalBinary() ([]byte, error) {
	if len(t) >= minCompressLen {
		b, err := t.compress()
		if err != nil || len(b) < len(t) {
			return b, err
		}
	}
	return append([]byte{plainText}, t...), nil
}

func (t WireText) compress() ([]byte, error) {
	compressor.Lock()
	defer compressor.Unlock()
	if compressor.w == nil {
		var err error
		if compressor.w, err = flate.NewWriter(nil, flate.HuffmanOnly); err != nil {
			return nil, errors.Wrap(err, "entry: compress a job's text")
		}
	}
	var b bytes.Buffer
	b.Grow(len(t) * 3 / 4)
	b.WriteByte(compressedText)
	compressor.w.Reset(&b)
	if _, err := io.WriteString(compressor.w, string(t)); err != nil {
		return nil, errors.Wrap(err, "entry: compress a job's text")
	}
	if err := compressor.w.Close(); err != nil {
		return nil, errors.Wrap(err, "entry: compress a job's text")
	}
	return b.Bytes(), nil
}

// UnmarshalBinary decodes what MarshalBinary returned.
func (t *WireText) UnmarshalBinary(b []byte) error {
	if len(b) == 0 {
		return errInvalidText
	}
	switch b[0] {
	case plainText:
		*t = WireText(b[1:])
		return nil
	case compressedText:
		return t.decompress(b[1:])
	}
	return errInvalidText
}

func (t *WireText) decompress(b []byte) error {
	compressor.Lock()
	defer compressor.Unlock()
	if compressor.r == nil {
		compressor.r = flate.NewReader(nil)
	}
	if err := compressor.r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return errors.Wrap(err, "entry: decompress a job's text")
	}
	out, err := io.ReadAll(io.LimitReader(compressor.r, maxTextLen+1))
	if err != nil {
		return errors.Wrap(err, "entry: decompress a job's text")
	}
	if len(out) > maxTextLen {
		return errInvalidText
	}
	*t = WireText(out)
	return nil
}
