package targethttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// reportIdleTimeout is how long a connection for reports is kept idle.
const reportIdleTimeout = 2 * time.Second

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewSingleUseTransport returns a transport that opens a connection for each request.
func NewSingleUseTransport(dial Dial) *http.Transport {
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
}

// ReportTransport sends GET requests to targets whose responses name no request, over connections that it keeps. A target may send a
// response again when the next request arrives. A response that repeats the one before on its connection is therefore not
// returned: the request is sent again on a new connection. Only responses with status 200 leave a connection open. It is safe
// for concurrent use.
type ReportTransport struct {
	kept, single *http.Transport
	maxBytes     int64
}

// NewReportTransport returns a ReportTransport that keeps one idle connection to each target and reads at most maxBytes of the body
// of a response.
func NewReportTransport(dial Dial, maxBytes int64) *ReportTransport {
	return &ReportTransport{
		single: NewSingleUseTransport(dial), maxBytes: maxBytes,
		kept: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &reportConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdleTimeout, DisableCompression: true,
		},
	}
}

// reportConn is a connection with the last report that it has carried.
type reportConn struct {
	net.Conn
	// inUse is held from when a request gets the connection until last holds its report. The transport may give the connection to
	// another request before that.
	inUse sync.Mutex
	last  []byte
}

// heldConn is the connection that a request has got.
type heldConn struct {
	*reportConn
	reused bool
}

// replace holds the connection of info in place of the one before: the transport gives a request another one if it finds that one closed.
func (h *heldConn) replace(info httptrace.GotConnInfo) {
	h.release()
	h.reportConn, h.reused = info.Conn.(*reportConn), info.Reused
	h.inUse.Lock()
}

func (h *heldConn) release() {
	if h.reportConn != nil {
		h.inUse.Unlock()
	}
}

// RoundTrip implements http.RoundTripper.
func (t *ReportTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, repeated, err := t.readReport(request)
	if repeated {
		return t.single.RoundTrip(request)
	}
	return response, err
}

// readReport sends the request over a kept connection and reads the response. repeated reports whether it may be a late copy of the report
// before; its connection is then closed.
func (t *ReportTransport) readReport(request *http.Request) (response *http.Response, repeated bool, err error) {
	var conn heldConn
	defer conn.release()
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: conn.replace})
	response, err = t.kept.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, t.maxBytes))
	if err != nil {
		return nil, false, err
	}
	repeated = conn.reused && response.StatusCode == http.StatusOK && bytes.Equal(content, conn.last)
	if repeated || response.StatusCode != http.StatusOK {
		conn.Close()
	}
	conn.last = content
	response.Body = io.NopCloser(bytes.NewReader(content))
	return response, repeated, nil
}
