package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxFrameBytes bounds a frame: the largest is a job with the bodies of all its
// tasks, or its kept answer.
const maxFrameBytes = 128 << 20

var errFrameTooLarge = errors.New("peer: frame too large")

// frameCodec writes each JSON-RPC object after its length. Unlike the library's
// codec it bounds the length, so that a peer that sends nonsense can't make this
// process run out of memory, and reads the whole frame, so that the next one
// begins where it should.
type frameCodec struct{ limit int }

// WriteObject writes one object; nothing is written of one that is too large.
func (f frameCodec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > f.limit {
		return errFrameTooLarge
	}
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject reads one object.
func (f frameCodec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > uint64(f.limit) {
		return errFrameTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	switch {
	case err != nil:
		return err
	case len(data) < int(n):
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}

// boundedWriteConn bounds each write. A frozen peer reads nothing; once the buffers of
// the connection are full, a write to it would block for as long as it is
// frozen, and with it every other call on the connection.
type boundedWriteConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes within the timeout.
func (p boundedWriteConn) Write(b []byte) (int, error) {
	if err := p.SetWriteDeadline(time.Now().Add(p.timeout)); err != nil {
		return 0, err
	}
	return p.Conn.Write(b)
}

// Patient bounds each write to a connection.
func Patient(c net.Conn, timeout time.Duration) net.Conn { return boundedWriteConn{c, timeout} }

func newStream(c net.Conn, timeout time.Duration) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(boundedWriteConn{c, timeout}, frameCodec{maxFrameBytes})
}
