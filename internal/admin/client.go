package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"siskintray.example/siskin"
)

// maxAnswer bounds what a client reads. A configuration of 23,000 services of
// 2 KB takes 46 MB.
const maxAnswer = 128 << 20

// Client calls the Server of one VM.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the VM at address. The configuration of TLS is
// nil for a listener on loopback.
func NewClient(address string, tlsConfig *tls.Config) *Client {
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	return &Client{
		base: scheme + address,
		http: &http.Client{
			Timeout:   requestTimeout + 5*time.Second,
			Transport: &http.Transport{TLSClientConfig: tlsConfig, DisableKeepAlives: true},
		},
	}
}

// Get reads the JSON value at path into v.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	return c.call(ctx, http.MethodGet, path, nil, v)
}

// Post sends body as JSON and reads the answer into v. A body of type []byte is
// sent as it is.
func (c *Client) Post(ctx context.Context, path string, body, v any) error {
	data, ok := body.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return siskin.NewError(siskin.BadInput, "request cannot be written as JSON").WithCause(err).WithRemedy("correct the values")
		}
	}
	return c.call(ctx, http.MethodPost, path, data, v)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return siskin.NewError(siskin.BadInput, "address is malformed").WithCause(err).WithRemedy("give the IP number and port of a VM's Admin.Address")
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unanswered(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return unanswered(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		var we wireError
		if json.Unmarshal(data, &we) != nil || we.Kind == "" {
			return siskin.NewError(siskin.Internal, "VM answered %s", resp.Status).WithRemedy("check that --admin names a VM's Admin.Address")
		}
		return we.toError()
	}
	if raw, ok := v.(*[]byte); ok {
		*raw = data
		return nil
	}
	if err := json.Unmarshal(data, v); err != nil {
		return siskin.NewError(siskin.Internal, "answer is not the expected JSON").WithCause(err).WithRemedy("use the same version as the VM")
	}
	return nil
}

// unanswered classifies a request without an answer. A change that was sent may
// have taken effect.
func unanswered(method string, err error) error {
	var op *net.OpError
	if method == http.MethodPost && !(errors.As(err, &op) && op.Op == "dial") {
		return siskin.NewError(siskin.OutcomeUnknown, "VM did not answer after the change was sent").WithCause(err).
			WithRemedy("look at the present state before you repeat the change")
	}
	return siskin.NewError(siskin.Unavailable, "VM did not answer").WithCause(err).WithRemedy("check --admin, or ask another VM")
}
