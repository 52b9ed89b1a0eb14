// Package ledger is a client of the platform's append-only log and VM list.
//
// The log keeps numbered records in named streams for a limited time. An append can
// take effect although its response is lost. Therefore a record either carries an id by
// which a writer that got no response finds it on the stream (an edit of the tables), or
// does no harm if it is appended twice.
package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"
)

// Offset numbers the records of a stream from 0.
type Offset int64

// None is the offset before the first record.
const None Offset = -1

// Record is one record of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	At     time.Time `json:"at"`
	Data   []byte    `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// First is the oldest offset that the log still has.
	First Offset `json:"first"`
	// Next is the offset for the next read.
	Next Offset `json:"next"`
	// End is the offset after the newest record. A reader has read everything when
	// Next has reached it.
	End     Offset   `json:"end"`
	Records []Record `json:"records"`
}

// VM is one entry of the platform's VM list.
type VM struct {
	Name       string     `json:"name"`
	Address    netip.Addr `json:"address"`
	DataCenter string     `json:"data_center"`
	// Leaving is set if the platform is about to remove the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// The errors of a Client.
var (
	// ErrUnreachable means that there was no valid response: an append may have taken
	// effect.
	ErrUnreachable = errors.New("ledger: no answer from the platform")
	// ErrRateLimited means that the platform refused the call because of a rate limit: an
	// append took no effect.
	ErrRateLimited = errors.New("ledger: over the append rate")
)

const maxAnswerBytes = 64 << 20

// Client is a client of the platform's HTTP services.
type Client struct {
	logAddr, vmsAddr netip.AddrPort
	httpClient       *http.Client
	timeout          time.Duration
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a client of the log and the VM list at the two addresses. The client
// opens its connections with dial.
func New(logAddr, vmsAddr netip.AddrPort, timeout time.Duration, dial Dial) *Client {
	transport := &http.Transport{Proxy: nil, DialContext: dial, MaxIdleConnsPerHost: 4}
	return &Client{logAddr: logAddr, vmsAddr: vmsAddr, httpClient: &http.Client{Transport: transport}, timeout: timeout}
}

// Append appends data to the stream as one record and returns its offset. After
// ErrUnreachable the record may or may not be on the stream.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var out struct {
		Offset Offset `json:"offset"`
	}
	u := fmt.Sprintf("http://%s/v1/streams/%s", c.logAddr, url.PathEscape(stream))
	if err := c.do(ctx, http.MethodPost, u, data, &out); err != nil {
		return None, err
	}
	return out.Offset, nil
}

// Read returns the records from the given offset on. If there are none yet, the log
// waits up to wait for the first one.
func (c *Client) Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	var p Page
	u := fmt.Sprintf("http://%s/v1/streams/%s?from=%d&wait=%s", c.logAddr, url.PathEscape(stream), from, wait)
	err := c.do(ctx, http.MethodGet, u, nil, &p)
	return p, err
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var out struct {
		VMs []VM `json:"vms"`
	}
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/vms", c.vmsAddr), nil, &out)
	return out.VMs, err
}

func (c *Client) do(ctx context.Context, method, u string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "ledger")
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return errors.Wrap(ErrUnreachable, err.Error())
	case resp.StatusCode == http.StatusTooManyRequests:
		return ErrRateLimited
	case resp.StatusCode != http.StatusOK:
		return errors.Wrapf(ErrUnreachable, "status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return nil
}
