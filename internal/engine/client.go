// Package engine implements the client side of the engine protocol (package api/engineapi).
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/httpstatus"
	"github.com/hyssophoist/hyssophoist/internal/targethttp"
)

const (
	// DefaultCallTimeout bounds one call other than a stream.
	DefaultCallTimeout = time.Second

	// maxIdleForCalls bounds the idle connections to an engine for calls other than streams.
	maxIdleForCalls = 4

	maxReplyBytes = 8 << 20
	maxKVBytes    = 1 << 30
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// CallTimeout bounds one call other than a stream; DefaultCallTimeout if 0.
	CallTimeout time.Duration
	// OnRejected, if set, is called with the reason when a stream event fails a check.
	OnRejected func(reason string)
	// Now returns the time; time.Now if nil.
	Now func() time.Time
}

// Client calls engines. It is safe for concurrent use.
//
// Streams and other calls to one engine use separate connections, so that a stream whose connection no longer responds
// does not delay load reports and cancellations.
type Client struct {
	timeout       time.Duration
	onRejected    func(reason string)
	now           func() time.Time
	callTransport *http.Transport

	mu               sync.Mutex
	streamTransports map[string]*http.Transport // by base URL
}

// NewClient returns a client for engines.
func NewClient(options ClientOptions) *Client {
	c := &Client{
		timeout:          options.CallTimeout,
		onRejected:       options.OnRejected,
		now:              options.Now,
		callTransport:    targethttp.NewTransport(maxIdleForCalls),
		streamTransports: make(map[string]*http.Transport),
	}
	if c.timeout == 0 {
		c.timeout = DefaultCallTimeout
	}
	if c.onRejected == nil {
		c.onRejected = func(string) {}
	}
	if c.now == nil {
		c.now = time.Now
	}
	return c
}

func (c *Client) streamTransport(baseURL string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	transport, ok := c.streamTransports[baseURL]
	if !ok {
		transport = targethttp.NewTransport(targethttp.MaxIdlePerTarget)
		c.streamTransports[baseURL] = transport
	}
	return transport
}

// CloseIdle closes the idle stream connections to the engine at baseURL. A stream in progress keeps its connection.
// CloseIdle is called after a connection to the engine has stopped responding: canceling the stream closes that
// connection, but idle connections of the same age may be unresponsive too.
func (c *Client) CloseIdle(baseURL string) {
	c.streamTransport(baseURL).CloseIdleConnections()
}

// Retain removes the transports of engines whose base URL is not in keep and closes their idle connections.
func (c *Client) Retain(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for baseURL, transport := range c.streamTransports {
		if !keep[baseURL] {
			transport.CloseIdleConnections()
			delete(c.streamTransports, baseURL)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.Retain(nil)
	c.callTransport.CloseIdleConnections()
}

// Cancel cancels an attempt at the engine at baseURL. It returns nil if the engine does not know the attempt.
func (c *Client) Cancel(ctx context.Context, baseURL string, request entity.RequestID, attempt entity.AttemptID) error {
	path := engineapi.StreamsPath + "/" + url.PathEscape(string(request)) + "/" + url.PathEscape(string(attempt))
	_, err := c.call(ctx, http.MethodDelete, baseURL, path, nil, 0)
	if errkind.Of(err) == errkind.NotFound {
		return nil
	}
	return err
}

// Load returns the load report of the engine at baseURL.
func (c *Client) Load(ctx context.Context, baseURL string) (engineapi.LoadReport, error) {
	var report engineapi.LoadReport
	body, err := c.call(ctx, http.MethodGet, baseURL, engineapi.LoadPath, nil, maxReplyBytes)
	if err != nil {
		return report, err
	}
	return report, decodeReply(body, &report)
}

// CacheEvents returns the prefix cache events of the engine at baseURL with a sequence number greater than after.
func (c *Client) CacheEvents(ctx context.Context, baseURL string, after uint64) ([]engineapi.CacheEvent, error) {
	path := engineapi.CacheEventsPath + "?after=" + strconv.FormatUint(after, 10)
	body, err := c.call(ctx, http.MethodGet, baseURL, path, nil, maxReplyBytes)
	if err != nil {
		return nil, err
	}
	var events engineapi.CacheEvents
	return events.Events, decodeReply(body, &events)
}

// Order sends an order to the engine at baseURL. The error kind is StaleFencingNumber if the engine rejected the
// fencing number, and OutcomeUnknown if the engine may have executed the order.
func (c *Client) Order(ctx context.Context, baseURL string, order engineapi.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode order")
	}
	_, err = c.call(ctx, http.MethodPost, baseURL, engineapi.OrdersPath, body, maxReplyBytes)
	kind := errkind.Of(err)
	unconfirmed := kind == errkind.TargetFailed || kind == errkind.DeadlineExceeded || kind == errkind.Canceled
	if err != nil && unconfirmed && errkind.RunOf(err) == errkind.Unknown {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "engine did not confirm the order")
	}
	return err
}

// ExportKV returns the KV cache of a request from the engine at baseURL. The error kind is NotFound if the engine has
// none.
func (c *Client) ExportKV(ctx context.Context, baseURL string, request entity.RequestID) ([]byte, error) {
	return c.call(ctx, http.MethodGet, baseURL, kvPath(request), nil, maxKVBytes)
}

// ImportKV sends the KV cache of a request to the engine at baseURL.
func (c *Client) ImportKV(ctx context.Context, baseURL string, request entity.RequestID, kv []byte) error {
	_, err := c.call(ctx, http.MethodPut, baseURL, kvPath(request), kv, maxReplyBytes)
	return err
}

func kvPath(request entity.RequestID) string {
	return engineapi.KVPath + "/" + url.PathEscape(string(request))
}

func decodeReply(body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return errkind.Wrap(errkind.TargetFailed, err, "engine response cannot be decoded")
	}
	return nil
}

// call sends one request and returns the body of a successful response. A body of more than limit bytes is an error. If
// limit is 0, the body may have any length, but at most one byte of it is returned.
func (c *Client) call(ctx context.Context, method, baseURL, path string, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := send(ctx, c.callTransport, method, baseURL+path, body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest || !httpstatus.IsFinal(response.StatusCode) {
		return nil, responseError(response)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.TargetFailed, err, "engine response could not be read completely")
	}
	if int64(len(content)) > limit && limit > 0 {
		return nil, errkind.New(errkind.TargetFailed, "engine response exceeds %d bytes", limit)
	}
	return content, nil
}

// send sends one HTTP request and returns the response. It follows no redirects, and a request with a body is never
// resent; the transport may resend one without a body. The error kind is TargetFailed, or DeadlineExceeded or Canceled
// if ctx ended; the run outcome is NotRun if no connection was made.
func send(ctx context.Context, transport *http.Transport, method, url string, body []byte) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, nil)
	if err != nil {
		return nil, errkind.WithRun(errkind.Wrap(errkind.TargetFailed, err, "engine request cannot be built"), errkind.NotRun)
	}
	if body != nil {
		// The transport cannot resend a body without GetBody.
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	kind := errkind.TargetFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = errkind.DeadlineExceeded
	case ctx.Err() != nil:
		kind = errkind.Canceled
	}
	failed := errkind.Wrap(kind, err, "engine request %s %s failed", method, url)
	if !connected {
		failed = errkind.WithRun(failed, errkind.NotRun)
	}
	return nil, failed
}

// responseError returns the error for a response with an error status.
func responseError(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10)) // the error message is optional
	var body engineapi.ErrorBody
	_ = json.Unmarshal(content, &body)
	notRun := strings.EqualFold(response.Header.Get(engineapi.RunHeader), engineapi.RunNotRun)
	kind := errkind.TargetFailed
	switch {
	case response.StatusCode == http.StatusNotFound:
		kind = errkind.NotFound
	case response.StatusCode == http.StatusConflict:
		kind = errkind.StaleFencingNumber
	case notRun:
		kind = errkind.TargetRefused
	}
	err := errkind.New(kind, "engine responded with status %d: %s", response.StatusCode, body.Error)
	run := errkind.Unknown
	if notRun {
		run = errkind.NotRun
	}
	err = errkind.WithRun(err, run)
	if seconds, parseErr := strconv.Atoi(response.Header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		err = errkind.WithRetryAfter(err, time.Duration(seconds)*time.Second)
	}
	return err
}
