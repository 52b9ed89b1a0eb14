package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
)

// ErrCall means that a call of a stand-in or dispatcher failed or had an unexpected
// answer.
var ErrCall = errors.New("load: call failed")

var controlClient = &http.Client{
	Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 2},
	Timeout:   20 * time.Second,
}

// get decodes the answer for the path into out. It stores the text if out is a *string,
// and ignores the body if out is nil.
func get(ctx context.Context, at netip.AddrPort, path string, out any) error {
	b, err := doRequest(ctx, http.MethodGet, at, path, nil)
	if err != nil || out == nil {
		return err
	}
	if text, ok := out.(*string); ok {
		*text = string(b)
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return errors.Wrapf(ErrCall, "%s%s: %v", at, path, err)
	}
	return nil
}

func put(ctx context.Context, at netip.AddrPort, path string, in any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	_, err = doRequest(ctx, http.MethodPut, at, path, b)
	return err
}

func doRequest(ctx context.Context, method string, at netip.AddrPort, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "load")
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrCall, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(ErrCall, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrCall, "%s%s: status %d: %s", at, path, resp.StatusCode, b)
	}
	return b, nil
}

func (r *Running) putVMs(ctx context.Context, vms []VM) error {
	var in struct {
		VMs []ledger.VM `json:"vms"`
	}
	for _, v := range vms {
		in.VMs = append(in.VMs, ledger.VM{Name: v.Name, Address: v.Address, DataCenter: v.DataCenter})
	}
	return put(ctx, r.Platform, "/stand/vms", in)
}

func itoa(n int) string { return strconv.Itoa(n) }
