// Package service implements the client for plain HTTP services. It never sends a request twice.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/httpstatus"
	"github.com/hyssophoist/hyssophoist/internal/targethttp"
)

// MaxResponseBytes bounds the body of a response.
const MaxResponseBytes = 16 << 20

// Call is one call of a service.
type Call struct {
	// URL is the full URL, including the query.
	URL    string
	Method string
	// Header is copied without hop-by-hop headers, the Authorization header and headers starting with Hyssophoist-.
	Header http.Header
	Body   []byte
	// Idempotent allows the use of a keep-alive connection. A call that is not idempotent gets a new connection: on a
	// reused one, the outcome would be unknown if the server closed the idle connection at the same moment.
	Idempotent bool
	// FencingNumber is sent in the header Hyssophoist-Fencing-Number if it is not 0.
	FencingNumber uint64
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls services. It is safe for concurrent use.
type Client struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

// NewClient returns a client for services.
func NewClient() *Client {
	pooled := targethttp.NewTransport(targethttp.MaxIdlePerTarget)
	unpooled := targethttp.NewTransport(targethttp.MaxIdlePerTarget)
	unpooled.DisableKeepAlives = true
	return &Client{pooled: pooled, unpooled: unpooled}
}

// CloseIdle closes the idle connections. It is called after a connection has stopped responding.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// hiddenReader hides the type of its reader. The transport may resend a request whose body is nil or http.NoBody, or
// that has GetBody; a request with this body is never resent, not even if the body is empty.
type hiddenReader struct{ io.Reader }

// Do sends a call once and returns the complete response, whatever its status.
//
// Error kinds: TargetRefused with run outcome NotRun if the target refused the call before running it,
// StaleFencingNumber if it rejected the fencing number, TargetFailed with NotRun if no connection was made and with
// Unknown if a connection failed before the response was complete, Canceled or DeadlineExceeded if ctx ended.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, call.URL,
		io.NopCloser(hiddenReader{bytes.NewReader(call.Body)}))
	if err != nil {
		return nil, errkind.WithRun(errkind.Wrap(errkind.BadRequest, err, "service request cannot be built"), errkind.NotRun)
	}
	request.GetBody = nil
	// For an empty body the length stays 0. With a non-nil body, the transport takes 0 as unknown and does not replace
	// the body by http.NoBody.
	request.ContentLength = int64(len(call.Body))
	copyHeader(request.Header, call.Header)
	if call.FencingNumber != 0 {
		request.Header.Set(engineapi.FencingHeader, strconv.FormatUint(call.FencingNumber, 10))
	}
	transport := c.unpooled
	if call.Idempotent {
		transport = c.pooled
	}
	// RoundTrip follows no redirects.
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, callError(ctx, err, connected)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, callError(ctx, err, true)
	}
	if !httpstatus.IsFinal(response.StatusCode) {
		return nil, errkind.New(errkind.TargetFailed, "service responded with invalid status %d", response.StatusCode)
	}
	if len(body) > MaxResponseBytes {
		return nil, errkind.New(errkind.TargetFailed, "service response exceeds %d bytes", MaxResponseBytes)
	}
	if strings.EqualFold(response.Header.Get(engineapi.RunHeader), engineapi.RunNotRun) {
		return nil, refusalError(response)
	}
	header := make(http.Header)
	copyHeader(header, response.Header)
	return &Response{Status: response.StatusCode, Header: header, Body: body}, nil
}

func refusalError(response *http.Response) error {
	kind := errkind.TargetRefused
	if response.StatusCode == http.StatusConflict {
		kind = errkind.StaleFencingNumber
	}
	err := errkind.New(kind, "service refused the call with status %d before running it", response.StatusCode)
	err = errkind.WithRun(err, errkind.NotRun)
	if seconds, parseErr := strconv.Atoi(response.Header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		err = errkind.WithRetryAfter(err, time.Duration(seconds)*time.Second)
	}
	return err
}

func callError(ctx context.Context, cause error, connected bool) error {
	kind := errkind.TargetFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = errkind.DeadlineExceeded
	case ctx.Err() != nil:
		kind = errkind.Canceled
	}
	err := errkind.Wrap(kind, cause, "service call failed")
	if connected {
		return errkind.WithRun(err, errkind.Unknown)
	}
	return errkind.WithRun(err, errkind.NotRun)
}

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length is set from the body.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// copyHeader copies all headers from src to dst except hop-by-hop headers, headers starting with Hyssophoist-, and the
// Authorization header, which contains the caller's credentials for this system.
func copyHeader(dst, src http.Header) {
	connectionListed := make(map[string]bool)
	for _, field := range src["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			connectionListed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if hopByHopHeaders[name] || connectionListed[name] || name == "Authorization" ||
			strings.HasPrefix(name, "Hyssophoist-") {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}
