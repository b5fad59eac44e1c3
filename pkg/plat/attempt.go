package plat

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxResponseSize is the limit of a response body in bytes: a page of a list
// has up to 4 MB of values, which base64 makes a third larger, and one more
// value.
const maxResponseSize = 8 << 20

var errReadIdle = errors.New("no data received within the read idle timeout")

// response holds the status, body and Retry-After time of an HTTP response.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// attempt makes one HTTP request. It returns an error if no complete response
// arrived or the status is 5xx; sent reports whether the request may have
// reached the platform.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte) (a response, sent bool, err error) {
	c.counters.calls.Add(1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(c.cfg.ReadIdleTimeout, func() { cancel(errReadIdle) })
	defer idle.Stop()

	index := c.address.Load()
	address := c.cfg.Addresses[int(index)%len(c.cfg.Addresses)]
	a, err = c.roundTrip(ctx, idle, method, "http://"+address+path, body)
	if err == nil && a.status < http.StatusInternalServerError {
		c.counters.lastResponse.Store(c.clock.Now().UnixNano())
		return a, true, nil
	}
	c.counters.failures.Add(1)
	c.address.CompareAndSwap(index, index+1)
	if errors.Is(context.Cause(ctx), errReadIdle) {
		// Other connections of the same age have probably stalled too.
		c.counters.readIdleTimeouts.Add(1)
		c.transport.CloseIdleConnections()
		err = errReadIdle
	}
	if err == nil {
		err = errors.New("status " + strconv.Itoa(a.status))
	}
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	return response{}, !dialFailed, err
}

func (c *Client) roundTrip(ctx context.Context, idle *time.Timer, method, url string, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	transport := c.transport
	if method == http.MethodPut {
		transport = c.updates
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	r := &activityReader{r: io.LimitReader(resp.Body, maxResponseSize), onRead: func() {
		idle.Reset(c.cfg.ReadIdleTimeout)
		// Data received by a waiting watch closes the circuit breaker, so that
		// other calls need not wait for the watch to end.
		c.breaker.record(c.clock.Now(), succeeded)
	}}
	b, err := io.ReadAll(r)
	if err != nil {
		return response{}, err
	}
	a := response{status: resp.StatusCode, body: b}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(s) * time.Second
	}
	return a, nil
}

// activityReader calls onRead after each read that returns data.
type activityReader struct {
	r      io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r *activityReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		r.onRead()
	}
	return n, err
}
