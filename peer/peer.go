// Package peer carries calls between dispatchers: JSON-RPC 2.0 over TCP, by IP address,
// with TLS if the settings enable it.
//
// A call returns either its answer or an error of this layer. ErrNotSent means that the
// peer has certainly not acted on the call; after ErrLost it may have.
//
// Limits: a frame has at most maxFrameBytes bytes; a connection is closed if the peer
// does not accept a write within the write timeout; a dialer keeps one connection to each
// peer and closes those that were idle for idleTimeout when it opens another.
package peer

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

var (
	// ErrNotSent is returned if the peer has certainly not acted on the call: it was
	// not written completely, or the peer refused it.
	ErrNotSent = errors.New("peer: not connected")
	// ErrLost is returned if no valid answer arrived; the peer may have acted on the
	// call.
	ErrLost = errors.New("peer: no answer")
)

// The JSON-RPC error codes of this layer.
const (
	// codeFailed marks an error that the handler returned; its data is the error as
	// JSON.
	codeFailed = 1
	// codeRefused means that the call was not passed to a handler.
	codeRefused = 2
)

// Failure is an error that the peer's handler returned.
type Failure struct {
	Message string
	// Data is the error as JSON.
	Data json.RawMessage
}

// Error returns the message of the peer's handler.
func (f *Failure) Error() string { return "peer: " + f.Message }

// encodeParams encodes parameters as JSON. HTML escaping is off, since it would change
// characters such as "<" in a caller's body.
func encodeParams(params any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(params)
	return b.Bytes(), err
}
