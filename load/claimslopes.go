package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"snipehub.example/clock"
	"snipehub.example/job"
	"snipehub.example/stand"
)

const (
	slopeClaims     = "appends by claims"
	slopeClaimBytes = "bytes on the log by claims"
	claimsWindow    = 3 * time.Second
)

// claimSlopes measures the appends, and bytes on the log, that claims of callers' own
// keys cost, by the rate of claims. Callers are a closed loop here: each waits for its
// job before it submits the next key.
func claimSlopes(ctx context.Context) ([]Slope, error) {
	b, err := newBench(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	if err := b.awaitClaims(ctx); err != nil {
		return nil, err
	}
	var appends, size []Point
	for _, callers := range []int{1, 4, 16, 64, 256} {
		var before, after stand.LogCounts
		if err := get(ctx, b.Platform, "/stand/counts", &before); err != nil {
			return nil, err
		}
		began := time.Now()
		n, err := b.submitClaims(ctx, callers)
		if err != nil {
			return nil, err
		}
		seconds := time.Since(began).Seconds()
		if err := get(ctx, b.Platform, "/stand/counts", &after); err != nil {
			return nil, err
		}
		rate := float64(n) / seconds
		appends = append(appends, Point{rate, float64(after.Appends-before.Appends) / seconds})
		size = append(size, Point{rate, float64(after.AppendBytes-before.AppendBytes) / seconds})
	}
	return []Slope{
		newSlope(slopeClaims, "claims a second", "appends a second", appends, absoluteErrors),
		newSlope(slopeClaimBytes, "claims a second", "bytes a second", size, absoluteErrors),
	}, nil
}

// awaitClaims waits until the dispatcher accepts keys: it refuses them until it has read
// the claims stream once.
func (b *bench) awaitClaims(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	body, err := json.Marshal(b.job(1, time.Millisecond))
	if err != nil {
		return errors.Wrap(err, "slopes")
	}
	for {
		err := b.submitWithKey(ctx, http.DefaultClient, body)
		if err == nil || !clock.Sleep(ctx, 200*time.Millisecond) {
			return err
		}
	}
}

// submitClaims submits jobs of one task under new keys, from this number of concurrent
// callers, and returns how many were done.
func (b *bench) submitClaims(ctx context.Context, callers int) (int64, error) {
	body, err := json.Marshal(b.job(1, time.Millisecond))
	if err != nil {
		return 0, errors.Wrap(err, "slopes")
	}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}, Timeout: callerTimeout}
	defer hc.CloseIdleConnections()
	end := time.Now().Add(claimsWindow)
	var n atomic.Int64
	var wg sync.WaitGroup
	var once sync.Once
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				if e := b.submitWithKey(ctx, hc, body); e != nil {
					once.Do(func() { err = e })
					return
				}
				n.Add(1)
			}
		})
	}
	wg.Wait()
	return n.Load(), err
}

// submitWithKey submits the job under a new key of the caller's own.
func (b *bench) submitWithKey(ctx context.Context, hc *http.Client, body []byte) error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "slopes")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.entryAddr().String()+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "slopes")
	}
	req.Header.Set("Authorization", "Bearer "+b.Callers[0].Token)
	req.Header.Set("Idempotency-Key", key.String())
	resp, err := hc.Do(req)
	if err != nil {
		return errors.Wrap(ErrCall, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	var a job.Answer
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(text, &a) != nil || a.State != job.Done {
		return errors.Wrapf(ErrCall, "claim: status %d: %s", resp.StatusCode, text)
	}
	return nil
}
