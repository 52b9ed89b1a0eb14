package entry

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// Text is a job's text as it travels between processes. It is packed by the frequency of
// its letters alone: that takes 15 microseconds a text of two kilobytes and halves one of
// digits and letters, which is most of what processes send to each other
// (BenchmarkText). On links of 2 Mbit/s a job of four tasks starts 8 ms earlier by it.
type Text string

// The forms of a text in messages.
const (
	plainText = iota
	packedText
)

const (
	// packLeast is the length from which on a text is packed: below, the table of
	// letters takes what packing gains.
	packLeast = 256
	// textMost bounds what a packed text may unpack to, as mesh bounds messages.
	textMost = 16 << 20
)

// packer is used by one goroutine at a time. There is one, since the writer takes 0.7 MB,
// and the reader 40 KB that would be garbage after each text.
var packer struct {
	sync.Mutex
	w *flate.Writer
	r io.ReadCloser
}

var errText = errors.New("entry: text can't be read")

// MarshalBinary writes the text for messages.
func (t Text) MarshalBinary() ([]byte, error) {
	if len(t) >= packLeast {
		b, err := t.pack()
		if err != nil || len(b) < len(t) {
			return b, err
		}
	}
	return append([]byte{plainText}, t...), nil
}

func (t Text) pack() ([]byte, error) {
	packer.Lock()
	defer packer.Unlock()
	if packer.w == nil {
		var err error
		if packer.w, err = flate.NewWriter(nil, flate.HuffmanOnly); err != nil {
			return nil, errors.Wrap(err, "entry: pack a text")
		}
	}
	var b bytes.Buffer
	b.Grow(len(t) * 3 / 4)
	b.WriteByte(packedText)
	packer.w.Reset(&b)
	if _, err := io.WriteString(packer.w, string(t)); err != nil {
		return nil, errors.Wrap(err, "entry: pack a text")
	}
	if err := packer.w.Close(); err != nil {
		return nil, errors.Wrap(err, "entry: pack a text")
	}
	return b.Bytes(), nil
}

// UnmarshalBinary reads what MarshalBinary wrote.
func (t *Text) UnmarshalBinary(b []byte) error {
	if len(b) == 0 {
		return errText
	}
	switch b[0] {
	case plainText:
		*t = Text(b[1:])
		return nil
	case packedText:
		return t.unpack(b[1:])
	}
	return errText
}

func (t *Text) unpack(b []byte) error {
	packer.Lock()
	defer packer.Unlock()
	if packer.r == nil {
		packer.r = flate.NewReader(nil)
	}
	if err := packer.r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return errors.Wrap(err, "entry: unpack a text")
	}
	out, err := io.ReadAll(io.LimitReader(packer.r, textMost+1))
	if err != nil {
		return errors.Wrap(err, "entry: unpack a text")
	}
	if len(out) > textMost {
		return errText
	}
	*t = Text(out)
	return nil
}
