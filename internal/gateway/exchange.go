package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
	"github.com/hyssophoist/hyssophoist/internal/httpstatus"
)

const (
	// maxSkippedResponses is the maximum number of responses skipped before that to the current request: interim (1xx)
	// responses and, on a reused connection, late responses to earlier requests.
	maxSkippedResponses = 2
	// maxHeadBytes is the maximum size of the head of a response, beyond what the buffer of a connection holds.
	maxHeadBytes = 64 << 10
	// maxBodyBytes is the maximum size of a response body that is buffered before it is forwarded.
	maxBodyBytes     = 8 << 20
	writeBufferBytes = 4 << 10
	// maxRefusalBytes is the maximum size of the rest of a response to a request that was not run, for its connection to be
	// reused. Reading a longer one costs more than opening a connection.
	maxRefusalBytes = 4 << 10
	// refusalTimeout is the time within which that rest must arrive. It is less than the margin that the pool leaves
	// before the keep-alive timeout of the target, which begins once the target has written the response.
	refusalTimeout = 250 * time.Millisecond
)

// errNotSent is returned if no part of a request was sent to its target.
var errNotSent = errors.New("request was not sent")

// errStaleConn is returned if a target closed a reused connection before its response. It may have done so because the
// connection had been idle for too long when the target went on after a silence.
var errStaleConn = errors.New("target closed a reused connection")

// errInvalidStatus is returned for a response whose status code is that of no response. Whether the target has run the request is
// unknown.
var errInvalidStatus = errors.New("target responded with invalid status")

// exchange is one request and its response on one connection.
type exchange struct {
	gateway *Gateway
	target  fleet.Target
	conn    *connpool.Conn
	// reused reports whether conn had carried other requests before. It stays valid once conn is back in the pool, where another request
	// may take it.
	reused   bool
	response *http.Response
	head     ResponseHead
	// stopCloseOnCancel stops the closing of conn on cancellation; it returns false if that has already begun.
	stopCloseOnCancel func() bool
}

// send starts an exchange: it sends the request of an attempt and reads the head of the response, for which it waits at
// most headTimeout. newConn requests a new connection instead of one from the pool. An error that wraps errNotSent
// means that the target has not received the request.
func (g *Gateway) send(ctx context.Context, attempt *Attempt, newConn bool, headTimeout time.Duration) (*exchange, error) {
	begunAt, service := time.Now(), attempt.Target.Service
	slow := time.AfterFunc(slowDialTime, func() { g.recordLinkFailure(service) }) // must not hold the body of the call
	conn, err := g.options.Pool.Get(ctx, connpool.Use{
		Address: attempt.Target.Address, RequestID: attempt.Call.ID, New: newConn, Timeout: dispatch.ConnectTimeout(headTimeout),
	})
	slow.Stop()
	if err != nil {
		if ctx.Err() == nil {
			g.recordLinkFailure(service)
		}
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	connectTime := time.Since(begunAt)
	attempt.Timeout -= connectTime
	headTimeout -= connectTime
	x := g.newExchange(ctx, attempt.Target, conn)
	request := g.options.Codec.EncodeAttempt(attempt)
	sentAt := boottime.Now()
	if g.backsOff(attempt.Target.ID) {
		x.abort()
		return nil, errBackedOff
	}
	if err := x.roundTrip(request, attempt.Call, headTimeout); err != nil {
		if x.reused && closedByTarget(err) {
			err = fmt.Errorf("%w: %w", errStaleConn, err)
		}
		return nil, err
	}
	g.recordHead(attempt, x.head, sentAt)
	return x, nil
}

// newExchange returns an exchange on a connection, which is closed if ctx is cancelled before the exchange ends.
func (g *Gateway) newExchange(ctx context.Context, target fleet.Target, conn *connpool.Conn) *exchange {
	return &exchange{
		gateway: g, target: target, conn: conn, reused: conn.Reused,
		stopCloseOnCancel: context.AfterFunc(ctx, func() { conn.Close() }),
	}
}

// roundTrip sends the request with the body of the call and reads the head of the response, for which it waits at most timeout. After an
// error the connection is closed.
func (x *exchange) roundTrip(request *http.Request, call *Call, timeout time.Duration) error {
	if len(call.Body) > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(call.Body)), int64(len(call.Body))
	}
	x.setTimeout(timeout)
	err := x.writeRequest(request)
	if err == nil {
		err = x.readHead(request, call.ID)
	}
	if err != nil {
		x.abort()
	}
	return err
}

// countingWriter counts the bytes written to a connection.
type countingWriter struct {
	net.Conn
	written int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.written += n
	return n, err
}

// writeRequest sends the request. The error wraps errNotSent if no bytes were written to the connection.
func (x *exchange) writeRequest(request *http.Request) error {
	counter := &countingWriter{Conn: x.conn.Conn}
	out := bufio.NewWriterSize(counter, writeBufferBytes)
	err := request.Write(out)
	if err == nil {
		err = out.Flush()
	}
	if err != nil && counter.written == 0 {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	return err
}

// readHead reads the head of the final response with the given request id. It skips interim responses and responses to other
// requests. The id does not name the attempt: that no response to an earlier attempt is taken relies on the pool, which gives no
// connection to a request twice. A response that names no request is taken only on a connection that has carried no other, and
// ends its reuse.
func (x *exchange) readHead(request *http.Request, id string) error {
	for range 1 + maxSkippedResponses {
		x.conn.LimitReads(maxHeadBytes)
		response, err := http.ReadResponse(x.conn.Reader, request)
		x.conn.LimitReads(-1)
		if err != nil {
			return err
		}
		if httpstatus.IsInterim(response.StatusCode) {
			continue
		}
		if !httpstatus.IsFinal(response.StatusCode) {
			return fmt.Errorf("%w %d", errInvalidStatus, response.StatusCode)
		}
		head := x.gateway.options.Codec.DecodeResponseHead(response)
		x.recordIfLeaving(head, id)
		if head.RequestID == id || head.RequestID == "" && !x.reused {
			x.response, x.head = response, head
			return nil
		}
		log.Event("discarded response of another request", "request", id, "other", head.RequestID,
			"target", x.conn.RemoteAddr().String())
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)); err != nil {
			return err
		}
	}
	return errors.New("received only interim responses or responses to other requests")
}

// readBody reads the body of the response and returns the connection to the pool if it can be reused. The body counts
// for the memory of all bodies until the request q ends.
func (x *exchange) readBody(q *request, timeout time.Duration) ([]byte, error) {
	x.setTimeout(timeout)
	charged := &budgetReader{body: io.LimitReader(x.response.Body, maxBodyBytes+1), budget: &x.gateway.bodies}
	content, err := io.ReadAll(charged)
	q.bodyBytes.Add(charged.taken)
	if err != nil {
		x.abort()
		return nil, err
	}
	if len(content) > maxBodyBytes {
		x.abort()
		return nil, errors.New("response body is too large")
	}
	x.releaseConn()
	return content, nil
}

// setTimeout sets the deadline of the following reads and writes.
func (x *exchange) setTimeout(timeout time.Duration) {
	if err := x.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		x.conn.Close() // the next read or write returns the error
	}
}

// releaseConn returns the connection to the pool after a complete response, or closes it if it cannot be reused.
func (x *exchange) releaseConn() {
	if !x.stopCloseOnCancel() {
		x.conn.Close()
		return
	}
	x.reuseConn()
}

// reuseConn returns the connection to the pool after a complete response, once it is no longer closed on cancellation, or
// closes it if it may not carry another request.
func (x *exchange) reuseConn() {
	if !x.mayReuse() {
		x.conn.Close()
		return
	}
	x.gateway.options.Pool.Put(x.conn, x.head.KeepAlive)
}

// mayReuse reports whether the connection may carry another request after the complete response.
func (x *exchange) mayReuse() bool {
	return x.endsWithinConn() && x.head.RequestID != "" && !x.targetReplaced()
}

// releaseRefused ends an exchange whose response says that the request was not run. It returns the connection to the pool
// if the rest of the response is short and arrives soon, and closes it otherwise. It does not wait for that: the next attempt
// begins at once. A 421 response comes from another target, so that its connection is closed.
func (x *exchange) releaseRefused() {
	if !x.stopCloseOnCancel() || !x.mayReuse() || x.head.Status == http.StatusMisdirectedRequest ||
		x.response.ContentLength > maxRefusalBytes {
		x.conn.Close()
		return
	}
	if length := x.response.ContentLength; length >= 0 && length <= int64(x.conn.Reader.Buffered()) {
		x.discardRefusal()
		return
	}
	x.response.Request = nil // holds the body of the caller's request, whose memory is accounted for only until the request ends
	go x.discardRefusal()
}

// discardRefusal reads the rest of the response to a request that was not run, and returns the connection to the pool.
func (x *exchange) discardRefusal() {
	x.setTimeout(refusalTimeout)
	x.conn.LimitReads(maxRefusalBytes)
	_, err := io.Copy(io.Discard, x.response.Body)
	x.conn.LimitReads(-1)
	if err != nil {
		x.conn.Close()
		return
	}
	x.reuseConn()
}

// endsWithinConn reports whether the response ends before its connection does.
func (x *exchange) endsWithinConn() bool {
	framed := x.response.ContentLength >= 0 || len(x.response.TransferEncoding) > 0
	return framed && !x.response.Close
}

// abort closes the connection, which makes the target cancel the request.
func (x *exchange) abort() {
	x.stopCloseOnCancel()
	x.conn.Close()
}
