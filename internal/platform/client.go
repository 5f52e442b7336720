package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/httpstatus"
)

const (
	// DefaultTimeout bounds each call if ClientOptions.Timeout is 0.
	DefaultTimeout = 2 * time.Second

	maxResponseBytes = 16 << 20
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// URL is the base URL of the platform, such as "http://10.0.0.2:7000".
	URL string
	// Timeout bounds each call; DefaultTimeout if 0.
	Timeout time.Duration
	// Transport is used for all calls; if nil, a new one without a limit on connections is used.
	Transport http.RoundTripper
}

// Client implements TableStore, ObjectStore and InstanceLister over HTTP. It is safe for concurrent use.
//
// The instance list and the configuration row are read often and change rarely. The client caches the last response to
// each that has an entity tag and sends the tag with If-None-Match, so that an unchanged response has no body.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client

	mu     sync.Mutex
	cached map[string]cachedResponse // keyed by path
}

// cachedResponse is the body of the last response of a path, with its entity tag.
type cachedResponse struct {
	etag    string
	content []byte
}

// NewClient returns a client of the platform.
func NewClient(options ClientOptions) *Client {
	timeout := options.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	transport := options.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	}
	return &Client{
		base:    strings.TrimSuffix(options.URL, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport},
		cached:  make(map[string]cachedResponse),
	}
}

// Get implements TableStore.
func (c *Client) Get(ctx context.Context, table, key string) (*platformapi.Row, error) {
	var row platformapi.Row
	status, err := c.call(ctx, http.MethodGet, rowPath(table, key), nil, &row)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotFound {
		return nil, nil
	}
	return &row, nil
}

// List implements TableStore.
func (c *Client) List(ctx context.Context, table, prefix, after string, limit int) ([]platformapi.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows platformapi.Rows
	path := platformapi.TablesPath + "/" + url.PathEscape(table) + "/rows?" + query.Encode()
	if _, err := c.call(ctx, http.MethodGet, path, nil, &rows); err != nil {
		return nil, err
	}
	return rows.Rows, nil
}

// Commit implements TableStore.
func (c *Client) Commit(ctx context.Context, writes ...platformapi.Write) ([]uint64, error) {
	body, err := json.Marshal(platformapi.Transaction{Writes: writes})
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode transaction")
	}
	var result platformapi.TransactionResult
	if _, err := c.call(ctx, http.MethodPost, platformapi.TransactionsPath, body, &result); err != nil {
		return nil, err
	}
	return result.Versions, nil
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	status, err := c.call(ctx, http.MethodGet, platformapi.ObjectsPath+"/"+url.PathEscape(key), nil, &body)
	if err != nil || status == http.StatusNotFound {
		return nil, err
	}
	return body, nil
}

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	_, err := c.call(ctx, http.MethodPut, platformapi.ObjectsPath+"/"+url.PathEscape(key), body, nil)
	return err
}

// ListInstances implements InstanceLister.
func (c *Client) ListInstances(ctx context.Context) ([]platformapi.Instance, error) {
	var instances platformapi.Instances
	if _, err := c.call(ctx, http.MethodGet, platformapi.InstancesPath, nil, &instances); err != nil {
		return nil, err
	}
	return instances.Instances, nil
}

func rowPath(table, key string) string {
	return platformapi.TablesPath + "/" + url.PathEscape(table) + "/rows/" + url.PathEscape(key)
}

// call sends one request and decodes a successful response into out: as JSON, or unchanged if out is a *[]byte. It
// returns the status of the response. A 404 response to GET is not an error.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "build platform request")
	}
	// Without GetBody, the transport cannot send a write again on a new connection.
	request.GetBody = nil
	cachedContent := c.setIfNoneMatch(request, path)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, callError(method, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, callError(method, err)
	}
	status := response.StatusCode
	if status == http.StatusNotModified {
		status, content = http.StatusOK, cachedContent
	} else if status == http.StatusOK {
		c.cacheResponse(path, response.Header.Get("ETag"), content)
	}
	return status, decodeResponse(method, status, content, out)
}

// usesETag reports whether reads of path use entity tags. The number of such paths is fixed, which bounds the cache.
func usesETag(path string) bool {
	return path == platformapi.InstancesPath || path == rowPath(ConfigurationTable, CurrentKey)
}

// setIfNoneMatch makes the request for a cached path conditional on the entity tag of the cached response, and returns
// the body of that response.
func (c *Client) setIfNoneMatch(request *http.Request, path string) []byte {
	if request.Method != http.MethodGet || !usesETag(path) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.cached[path]
	if cached.etag != "" {
		request.Header.Set("If-None-Match", cached.etag)
	}
	return cached.content
}

func (c *Client) cacheResponse(path, etag string, content []byte) {
	if etag == "" || !usesETag(path) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached[path] = cachedResponse{etag: etag, content: content}
}

func decodeResponse(method string, status int, content []byte, out any) error {
	switch {
	case !httpstatus.IsFinal(status) && method != http.MethodGet:
		return errkind.New(errkind.OutcomeUnknown, "platform answered a write with invalid status %d", status)
	case !httpstatus.IsFinal(status):
		return errkind.New(errkind.PlatformUnavailable, "platform answered with invalid status %d", status)
	case status == http.StatusNotFound && method == http.MethodGet:
		return nil
	case status == http.StatusConflict:
		var conflict platformapi.Conflict
		if err := json.Unmarshal(content, &conflict); err != nil {
			return errkind.Wrap(errkind.PlatformUnavailable, err, "cannot decode conflict response of the platform")
		}
		return &ConflictError{Row: conflict.Row}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return errkind.New(errkind.PlatformUnavailable, "platform refused the call with status %d", status)
	case status >= http.StatusInternalServerError && method != http.MethodGet:
		return errkind.New(errkind.OutcomeUnknown, "platform answered a write with status %d", status)
	case status >= http.StatusBadRequest:
		return errkind.New(errkind.PlatformUnavailable, "platform answered with status %d", status)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = content
		return nil
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(content, out); err != nil {
		kind := errkind.PlatformUnavailable
		if method != http.MethodGet {
			kind = errkind.OutcomeUnknown
		}
		return errkind.Wrap(kind, err, "cannot decode response of the platform")
	}
	return nil
}

// callError wraps the error of a call without a complete response. A write whose connection could not be opened did not
// take effect; any other failed write may have, so its error kind is OutcomeUnknown.
func callError(method string, err error) error {
	if method == http.MethodGet || NeverSent(err) {
		return errkind.Wrap(errkind.PlatformUnavailable, err, "platform call failed")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "platform write got no complete response")
}

// NeverSent reports whether a call failed because its connection could not be opened. Such a call has no effect, now or
// later.
func NeverSent(err error) bool {
	var operation *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &operation) && operation.Op == "dial")
}
