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

// maxFrameBytes bounds a frame. The largest frames are a job with the bodies of all its
// tasks, and a job's stored answer.
const maxFrameBytes = 128 << 20

var errFrameTooLarge = errors.New("peer: frame too large")

// frameCodec prefixes each JSON-RPC object with its length. Unlike the library's codec it
// bounds the length, so that a faulty peer can't make this process run out of memory, and
// it consumes the whole frame, so that the next one is read from its beginning.
type frameCodec struct{ limit int }

// WriteObject writes one object. It writes nothing if the object is too large.
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

// boundedWriteConn sets a deadline for each piece of a write. A suspended peer reads nothing;
// once the buffers of the connection are full, a write would block until the peer resumes,
// and with it every other call on the connection. A large write on a slow link takes as long
// as it takes.
type boundedWriteConn struct {
	net.Conn
	timeout time.Duration
}

// writePieceBytes is how much of a write must get through within the timeout.
const writePieceBytes = 16 << 10

// Write writes b, each piece within the timeout.
func (c boundedWriteConn) Write(b []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		end := min(written+writePieceBytes, len(b))
		n, err := c.Conn.Write(b[written:end])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// WithWriteTimeout returns a connection whose writes fail when a piece of them does not get
// through within the timeout.
func WithWriteTimeout(c net.Conn, timeout time.Duration) net.Conn {
	return boundedWriteConn{c, timeout}
}

func newStream(c net.Conn, timeout time.Duration) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(boundedWriteConn{c, timeout}, frameCodec{maxFrameBytes})
}
