package mesh

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// maxFrame bounds what a member may send as one message.
const maxFrame = 16 << 20

var (
	errFrame  = errors.New("mesh: message too large")
	errMethod = errors.New("mesh: unknown method")
)

// The methods of notifications.
const (
	methodHello = "hello"
	methodMail  = "mail"
	methodBeat  = "beat"
	// methodWatch is a heartbeat that asks for frequent ones in return.
	methodWatch = "watch"
)

// methods numbers the methods on the wire, from 0.
var methods = []string{methodHello, methodMail, methodBeat, methodWatch}

// codec carries JSON-RPC notifications and their content: a byte for the method, the
// length of the content, and the content in CBOR with numbers for the names of fields.
//
// The planner of a cell takes a few messages for each task. As plain JSON-RPC these were
// some 1,200 bytes a task, and a planner on a VM of 2 Mbit/s was behind from 200 tasks a
// second on: most jobs waited half a second for an answer while workers idled, and were
// refused. TestMessagesAreSmall holds the sizes.
//
// out and method are written with the next notification; in came with the last one.
// Both are used by one goroutine each: the one that writes, and the one that reads and
// handles.
type codec struct {
	method  byte
	out, in []byte
	// take handles a notification by its method, in the goroutine that reads.
	take func(method string)
}

// set takes what the next notification says.
func (c *codec) set(method string, content any) error {
	for i, m := range methods {
		if m == method {
			c.method = byte(i)
		}
	}
	c.out = nil
	if content == nil {
		return nil
	}
	var err error
	c.out, err = cbor.Marshal(content)
	return err
}

// decode reads the content of the last notification.
func (c *codec) decode(content any) error { return cbor.Unmarshal(c.in, content) }

// WriteObject writes the notification that was set. The envelope that the library has
// made of it says no more than its method.
func (c *codec) WriteObject(w io.Writer, _ any) error {
	if len(c.out) > maxFrame {
		return errFrame
	}
	head := binary.AppendUvarint([]byte{c.method}, uint64(len(c.out)))
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err := w.Write(c.out)
	c.out = nil
	return err
}

// ReadObject reads and handles notifications until the connection ends. None is passed up
// to the library: that would have to parse, as JSON, an envelope that says no more than
// the method, which was a tenth of what a process did under load.
func (c *codec) ReadObject(r *bufio.Reader, _ any) error {
	for {
		method, err := r.ReadByte()
		if err != nil {
			return err
		}
		if int(method) >= len(methods) {
			return errMethod
		}
		if c.in, err = readContent(r); err != nil {
			return err
		}
		c.take(methods[method])
	}
}

func readContent(r *bufio.Reader) ([]byte, error) {
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
