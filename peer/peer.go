// Package peer carries calls between dispatchers: JSON-RPC 2.0 over TCP, by IP
// number, with TLS where the settings say so.
//
// A call either returns its answer or an error of this layer. ErrNotSent means
// that the peer certainly did not act on the call; after ErrLost it may have.
//
// Limits: a frame has at most maxFrame bytes; a peer that does not take what is
// written for the write timeout loses its connection; a dialer has one connection
// to each peer and closes those that were not used for a while.
package peer

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Errors of this layer.
var (
	ErrNotSent = errors.New("peer: not connected")
	ErrLost    = errors.New("peer: no answer")
)

// The JSON-RPC codes of this layer.
const (
	// codeFailed is a handler's own error; its data is the error as JSON.
	codeFailed = 1
	// codeRefused tells that the call was not looked at.
	codeRefused = 2
)

// Failure is an error that the peer's handler returned.
type Failure struct {
	Message string
	// Data is the error as JSON.
	Data json.RawMessage
}

// Error makes Failure an error.
func (f *Failure) Error() string { return "peer: " + f.Message }

// encodeParams encodes parameters. The encoder must not escape "<" and the like inside
// a caller's body.
func encodeParams(params any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(params)
	return b.Bytes(), err
}
