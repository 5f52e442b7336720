package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/hyssophoist/hyssophoist/core/errkind"
)

const (
	// smallBodyBytes is the size up to which a body counts as small. Small bodies have memory of their own, so that
	// they never wait for large ones.
	smallBodyBytes = 64 << 10
	// smallBodyRatio is the part of the memory for request bodies that is kept for small ones.
	smallBodyRatio = 1.0 / 16
	// maxBodyMemoryWait bounds the wait for memory for a body, which is free again when other requests end. A caller with
	// little time waits for bodyMemoryShare of it, so that it can be served afterwards.
	maxBodyMemoryWait = 500 * time.Millisecond
	bodyMemoryShare   = 0.4
	// minBodyTime is the least time for a body to arrive, so that a caller with little time left gets a refusal rather than a
	// closed connection.
	minBodyTime = 250 * time.Millisecond
	// firstBodyBuffer is the size of the first buffer for a body of unknown length.
	firstBodyBuffer = 4 << 10
)

const (
	// discardTime bounds the time for the next discardStepBytes of the body of a request that is refused: its caller may never send
	// them. A caller that sends 13 KB a second reads the refusal after its body, on an open connection.
	discardTime      = 5 * time.Second
	discardStepBytes = 64 << 10
)

// errBodyEvicted is returned for a request body that lost its memory to another one since it had stalled.
var errBodyEvicted = errors.New("the body stalled while others waited for memory")

// errNoBodyMemory is returned for a request body that does not fit into the memory for the bodies of all requests.
var errNoBodyMemory = errors.New("bodies of requests in progress use up the memory for them")

// requestBodyMemory bounds the memory of the bodies of all requests in progress together: they are kept until their
// requests end, since a further attempt sends them again. It is safe for concurrent use.
type requestBodyMemory struct {
	small, large bodyPool
	used         atomic.Int64

	mu sync.Mutex
	// arriving holds the reservations of bodies that are arriving, evicting reports whether evictWhileAwaited runs.
	arriving map[*bodyReservation]struct{}
	evicting bool
}

// bodyPool is the memory for the bodies of a kind, in bytes.
type bodyPool struct {
	free  *semaphore.Weighted
	limit int64
	// awaited is the number of bytes for which reservations wait. Guarded by requestBodyMemory.mu.
	awaited int64
}

func newBodyPool(limit int64) bodyPool {
	return bodyPool{free: semaphore.NewWeighted(limit), limit: limit}
}

func newRequestBodyMemory(limit int64) *requestBodyMemory {
	small := int64(smallBodyRatio * float64(limit))
	return &requestBodyMemory{
		small: newBodyPool(small), large: newBodyPool(limit - small), arriving: make(map[*bodyReservation]struct{}),
	}
}

// RequestBodyMemoryUsed returns the bytes reserved for the bodies of requests in progress.
func (g *Gateway) RequestBodyMemoryUsed() int64 { return g.requestBodies.used.Load() }

// RequestBodyMemoryLimit returns Options.RequestBodyMemory.
func (g *Gateway) RequestBodyMemoryLimit() int64 { return g.options.RequestBodyMemory }

// bodyReservation is the memory that one request has taken for its body.
type bodyReservation struct {
	memory *requestBodyMemory
	// small and large are the bytes taken from the pools. They are written by the request with memory.mu held.
	small, large int64
	// waited is the time that the request has waited for memory.
	waited  time.Duration
	arrival arrivingBody
}

// grow extends the reservation to size bytes, for which it waits until ctx ends. Small bodies use memory for large ones only
// if some is free at once.
func (r *bodyReservation) grow(ctx context.Context, size int64) error {
	return r.growFor(ctx, size, size)
}

// growFor is grow for a buffer of bufferSize bytes, which decides whether the body counts as small, while size bytes are
// needed with the buffer that it replaces.
func (r *bodyReservation) growFor(ctx context.Context, bufferSize, size int64) error {
	if bufferSize > smallBodyBytes || r.large > 0 {
		return r.growLarge(ctx, size)
	}
	if r.tryTake(&r.memory.small, &r.small, size) {
		return nil
	}
	if r.tryTake(&r.memory.large, &r.large, size) {
		r.memory.release(&r.memory.small, &r.small)
		return nil
	}
	return r.take(ctx, &r.memory.small, &r.small, size)
}

// growLarge is grow with the memory for large bodies.
func (r *bodyReservation) growLarge(ctx context.Context, size int64) error {
	if err := r.take(ctx, &r.memory.large, &r.large, size); err != nil {
		return err
	}
	r.memory.release(&r.memory.small, &r.small)
	return nil
}

// tryTake is take without a wait.
func (r *bodyReservation) tryTake(pool *bodyPool, taken *int64, size int64) bool {
	missing := size - *taken
	if missing > 0 && !pool.free.TryAcquire(missing) {
		return false
	}
	r.memory.set(taken, size)
	return true
}

// take extends what is taken from one of the pools to size bytes.
func (r *bodyReservation) take(ctx context.Context, pool *bodyPool, taken *int64, size int64) error {
	missing := size - *taken
	if missing == 0 {
		return nil
	}
	if size > pool.limit {
		return errNoBodyMemory
	}
	if !pool.free.TryAcquire(missing) {
		defer r.beginWait(pool, missing)()
		if pool.free.Acquire(ctx, missing) != nil {
			return errNoBodyMemory
		}
	}
	r.memory.set(taken, size)
	return nil
}

// shrink reduces the reservation to size bytes.
func (r *bodyReservation) shrink(size int64) {
	r.memory.shrink(&r.memory.small, &r.small, size)
	r.memory.shrink(&r.memory.large, &r.large, size)
}

// give returns the memory of the reservation.
func (r *bodyReservation) give() {
	r.memory.release(&r.memory.small, &r.small)
	r.memory.release(&r.memory.large, &r.large)
}

// release returns to a pool what was taken from it.
func (m *requestBodyMemory) release(pool *bodyPool, taken *int64) {
	m.shrink(pool, taken, 0)
}

// shrink returns to a pool what was taken from it beyond size bytes.
func (m *requestBodyMemory) shrink(pool *bodyPool, taken *int64, size int64) {
	excess := *taken - size
	if excess <= 0 {
		return
	}
	m.set(taken, size)
	pool.free.Release(excess)
}

// set records that size bytes are taken from a pool.
func (m *requestBodyMemory) set(taken *int64, size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used.Add(size - *taken)
	*taken = size
}

// readBody reads the body of the caller's request, at most limit bytes unless limit is 0. If there is no memory for it
// within maxBodyMemoryWait, the rest is discarded, so that the caller reads the refusal on an open connection.
func (q *request) readBody(limit int64) (errkind.Kind, bool) {
	if limit > 0 && q.Request.ContentLength > limit {
		return errkind.TooLarge, false
	}
	body := q.limitedBody(limit)
	q.body.beginArrival(func() { q.setReadDeadline(time.Unix(1, 0)) })
	content, err := q.readReserved(&progressReader{Reader: body, reservation: &q.body}, limit)
	if !q.body.endArrival() {
		q.body.give()
		q.lastErr = errBodyEvicted
		return errkind.Overloaded, false
	}
	if errors.Is(err, errNoBodyMemory) {
		q.body.give()
		q.lastErr = err
		if err = q.discard(body); err == nil {
			return errkind.Overloaded, false
		}
	}
	if err == nil {
		q.Body = content
		return "", true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.TooLarge, false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		q.lastErr = err
		return errkind.DeadlineInfeasible, false
	}
	return errkind.BadRequest, false
}

// limitBodyTime limits the time for the body to arrive to that of the caller. The memory for it is reserved before it arrives.
func (q *request) limitBodyTime() {
	if q.Request.ContentLength != 0 {
		q.setReadDeadline(q.bodyDeadline())
	}
}

// bodyDeadline returns when the body must have arrived.
func (q *request) bodyDeadline() time.Time {
	timeout := maxTimeout
	if q.Timeout > 0 {
		timeout = min(timeout, max(minBodyTime, q.Timeout))
	}
	return q.arrivedAt.Add(timeout)
}

// limitDiscardTime limits the time for the next part of the body of a request that is refused.
func (q *request) limitDiscardTime() {
	if q.Request.ContentLength == 0 {
		return
	}
	deadline := q.bodyDeadline()
	if limit := time.Now().Add(discardTime); limit.Before(deadline) {
		deadline = limit
	}
	q.setReadDeadline(deadline)
}

func (q *request) setReadDeadline(deadline time.Time) {
	if err := http.NewResponseController(q.writer).SetReadDeadline(deadline); err != nil {
		log.Debugf("no read deadline for request %s: %v", q.ID, err)
	}
}

// timedBody is the body of a request with limitBodyTime. At its end it removes the limit, since the server goes on reading from
// the connection to detect a disconnected caller.
type timedBody struct {
	io.Reader
	request *request
}

// Read implements io.Reader.
func (b timedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.setReadDeadline(time.Time{})
	}
	return n, err
}

// limitedBody returns the body of the caller's request, of which at most limit bytes can be read unless limit is 0.
func (q *request) limitedBody(limit int64) io.Reader {
	body := q.Request.Body
	if limit > 0 {
		body = http.MaxBytesReader(q.writer, body, limit)
	}
	if q.Request.ContentLength == 0 {
		return body
	}
	return timedBody{Reader: body, request: q}
}

// discardBody reads the body of a request that is refused, so that the caller reads the refusal on an open connection.
func (q *request) discardBody(limit int64) error {
	return q.discard(q.limitedBody(limit))
}

// discard reads the rest of a body. It fails if the next discardStepBytes take longer than discardTime.
func (q *request) discard(body io.Reader) error {
	for {
		q.limitDiscardTime()
		_, err := io.CopyN(io.Discard, body, discardStepBytes)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readReserved reads a body into memory that it reserves first.
func (q *request) readReserved(body io.Reader, limit int64) ([]byte, error) {
	length := q.Request.ContentLength
	if length < 0 {
		return q.readChunked(body, limit)
	}
	if err := q.growBody(length, length); err != nil {
		return nil, err
	}
	content := make([]byte, length)
	_, err := io.ReadFull(body, content)
	return content, err
}

// growBody extends the memory for the body to size bytes, for a buffer of bufferSize bytes.
func (q *request) growBody(bufferSize, size int64) error {
	ctx, cancel := context.WithTimeout(q.Request.Context(), q.bodyMemoryWait()-q.body.waited)
	defer cancel()
	begunAt := time.Now()
	err := q.body.growFor(ctx, bufferSize, size)
	q.body.waited += time.Since(begunAt)
	return err
}

// bodyMemoryWait returns how long the request waits for memory for its body.
func (q *request) bodyMemoryWait() time.Duration {
	if q.Timeout == 0 {
		return maxBodyMemoryWait
	}
	return min(maxBodyMemoryWait, time.Duration(bodyMemoryShare*float64(q.Timeout)))
}

// readChunked reads a body of unknown length into a buffer that grows with it, to limit bytes at most unless limit is 0. While
// it grows, the memory for the old and the new buffer is reserved.
func (q *request) readChunked(body io.Reader, limit int64) ([]byte, error) {
	var content []byte
	for {
		if len(content) == cap(content) {
			if limit > 0 && int64(len(content)) >= limit {
				return content, expectEnd(body)
			}
			size := max(firstBodyBuffer, 2*cap(content))
			if limit > 0 {
				size = int(min(int64(size), limit))
			}
			if err := q.growBody(int64(size), int64(size+cap(content))); err != nil {
				return nil, err
			}
			content = append(make([]byte, 0, size), content...)
			q.body.shrink(int64(size))
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
		// A read ends when what has arrived is decoded, which for very small chunks takes much time for few bytes. Other requests
		// run in between.
		runtime.Gosched()
	}
}

// expectEnd reads the end of a body that has reached its limit. The limit itself is checked by the body.
func expectEnd(body io.Reader) error {
	_, err := io.ReadFull(body, make([]byte, 1))
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
