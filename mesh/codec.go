package mesh

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxFrame bounds what a member may send as one message.
const maxFrame = 16 << 20

var errFrame = errors.New("mesh: message too large")

// codec carries JSON-RPC notifications with an attachment. The library decodes a
// message several times, into maps; what a message is about travels beside it and
// is decoded once. With 10 KB that takes a fifth of the processor time (83 in place
// of 380 microseconds, BenchmarkAttachment and BenchmarkParameters).
//
// out is written with the next notification; in came with the last one. Both are
// used by one goroutine each: the one that writes, and the one that reads and
// handles.
type codec struct{ out, in []byte }

// WriteObject writes the notification and the attachment, each after its length.
func (c *codec) WriteObject(w io.Writer, v any) error {
	envelope, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(envelope)+len(c.out) > maxFrame {
		return errFrame
	}
	for _, part := range [][]byte{envelope, c.out} {
		if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(part)))); err != nil {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	c.out = nil
	return nil
}

// ReadObject reads a notification and its attachment.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	envelope, err := readPart(r)
	if err != nil {
		return err
	}
	if c.in, err = readPart(r); err != nil {
		return err
	}
	return json.Unmarshal(envelope, v)
}

func readPart(r *bufio.Reader) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if n > maxFrame {
		return nil, errFrame
	}
	b := make([]byte, n)
	_, err = io.ReadFull(r, b)
	return b, err
}
