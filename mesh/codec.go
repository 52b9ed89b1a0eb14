package mesh

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// maxContentBytes bounds the content of one message of a member.
const maxContentBytes = 16 << 20

var (
	errTooLarge      = errors.New("mesh: message too large")
	errUnknownMethod = errors.New("mesh: unknown method")
)

// The methods of notifications.
const (
	methodHello     = "hello"
	methodMessages  = "mail"
	methodHeartbeat = "beat"
	// methodWatch is a heartbeat that asks for frequent heartbeats in return.
	methodWatch = "watch"
)

// methods lists the methods by their number on the wire, from 0.
var methods = []string{methodHello, methodMessages, methodHeartbeat, methodWatch}

// codec writes and reads JSON-RPC notifications as a byte for the method, the length of
// the content, and the content in CBOR with numbers for field names.
//
// The planner of a cell receives a few messages for each task. As plain JSON-RPC these
// were some 1,200 bytes a task, and a planner on a VM of 2 Mbit/s fell behind from 200
// tasks a second on: most jobs waited half a second for an answer while workers idled,
// and were refused. TestMessagesAreSmall of package node checks the sizes.
//
// method and outgoing belong to the next notification to write, incoming to the last one
// read. The former are used only by the goroutine that writes, the latter only by the one
// that reads and handles.
type codec struct {
	method             byte
	outgoing, incoming []byte
	// onNotification is called with the method of each notification, in the goroutine
	// that reads.
	onNotification func(method string)
	// onPiece, if not nil, is called after each piece of a content that takes several.
	onPiece func()
}

// pieceBytes is how much of a content is read at a time.
const pieceBytes = 16 << 10

// setNext sets the method and content of the next notification.
func (c *codec) setNext(method string, content any) error {
	for i, m := range methods {
		if m == method {
			c.method = byte(i)
		}
	}
	c.outgoing = nil
	if content == nil {
		return nil
	}
	var err error
	c.outgoing, err = cbor.Marshal(content)
	return err
}

// decode decodes the content of the last notification read.
func (c *codec) decode(content any) error { return cbor.Unmarshal(c.incoming, content) }

// WriteObject writes the notification that setNext has set. It ignores the library's
// envelope, which holds nothing but the method.
func (c *codec) WriteObject(w io.Writer, _ any) error {
	if len(c.outgoing) > maxContentBytes {
		return errTooLarge
	}
	head := binary.AppendUvarint([]byte{c.method}, uint64(len(c.outgoing)))
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err := w.Write(c.outgoing)
	c.outgoing = nil
	return err
}

// ReadObject reads and handles notifications until the connection ends. It passes none to
// the library, which would have to parse, as JSON, an envelope that holds nothing but the
// method; that was a tenth of a process's work under load.
func (c *codec) ReadObject(r *bufio.Reader, _ any) error {
	for {
		method, err := r.ReadByte()
		if err != nil {
			return err
		}
		if int(method) >= len(methods) {
			return errUnknownMethod
		}
		if c.incoming, err = c.readContent(r); err != nil {
			return err
		}
		c.onNotification(methods[method])
	}
}

func (c *codec) readContent(r *bufio.Reader) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if n > maxContentBytes {
		return nil, errTooLarge
	}
	b := make([]byte, n)
	for read := 0; read < len(b); {
		end := min(read+pieceBytes, len(b))
		if _, err := io.ReadFull(r, b[read:end]); err != nil {
			return nil, err
		}
		read = end
		if c.onPiece != nil && read < len(b) {
			c.onPiece()
		}
	}
	return b, nil
}
