package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// conn is one connection of a client that is opened before it is used.
type conn struct {
	net.Conn
	r *bufio.Reader
	// sent is set once a whole request has been written.
	sent bool
}

// openIdle opens a connection to a node and makes a first request on it, so that the node
// knows it as idle.
func openIdle(w *world, n *node) (*conn, error) {
	c, err := net.DialTimeout("tcp", n.front(), time.Second)
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, r: bufio.NewReader(c)}
	if _, err := out.request(http.MethodGet, prefix); err != nil {
		out.close()
		return nil, err
	}
	out.sent = false
	return out, nil
}

// request sends a request without a body and reads the whole response.
func (c *conn) request(method, path string) (status int, err error) {
	if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", method, path, host); err != nil {
		return 0, err
	}
	c.sent = true
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	b := make([]byte, 1<<10)
	for err == nil {
		_, err = resp.Body.Read(b)
	}
	return resp.StatusCode, nil
}

func (c *conn) close() { _ = c.Close() }
