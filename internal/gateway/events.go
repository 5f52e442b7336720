package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 256 << 10

var (
	// errTruncatedEvent is returned if a stream ends in the middle of an event.
	errTruncatedEvent = errors.New("stream ended in the middle of an event")
	errEventTooLarge  = errors.New("stream event is too large")
)

// event is one server-sent event (text/event-stream).
type event struct {
	// raw holds the bytes of the event as received, including the empty line that ends it. It is valid until the next
	// call of read.
	raw []byte
	// id is -1 if the event has none.
	id int64
	// comment reports whether the event has neither an id nor data, as those that only keep a connection open.
	comment bool
}

// eventReader reads events from a stream.
type eventReader struct {
	in     *bufio.Reader
	buffer []byte
}

// read returns the next complete event. At the end of the stream it returns io.EOF, or errTruncatedEvent within an
// event.
func (r *eventReader) read() (event, error) {
	r.buffer = r.buffer[:0]
	id, comment := int64(-1), true
	for {
		start := len(r.buffer)
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(r.buffer) > 0 {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		line := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(line) == 0 {
			return event{raw: r.buffer, id: id, comment: comment}, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			parsed, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("parse id of stream event: %w", err)
			}
			id, comment = parsed, false
		}
		if bytes.HasPrefix(line, []byte("data")) {
			comment = false
		}
	}
}

// readLine appends the next line, including its line ending, to the buffer.
func (r *eventReader) readLine() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.buffer = append(r.buffer, part...)
		if len(r.buffer) > maxEventBytes {
			return errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
