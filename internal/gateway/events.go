package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

var (
	// errTornEvent says that a stream ended in the middle of an event.
	errTruncatedEvent = errors.New("the stream ended in the middle of an event")
	errEventTooLong   = errors.New("an event of the stream is too long")
)

// event is one event of a stream (text/event-stream).
type event struct {
	// raw is the event as it was received, with the empty line that ends it. It is valid until the next call of read.
	raw []byte
	// id is -1 if the event has none.
	id int64
}

// eventReader reads events from a stream.
type eventReader struct {
	in     *bufio.Reader
	buffer []byte
}

// read returns the next whole event, io.EOF at the end of the stream, or errTornEvent if the stream ended within an event.
func (r *eventReader) read() (event, error) {
	r.buffer = r.buffer[:0]
	id := int64(-1)
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
			return event{raw: r.buffer, id: id}, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			parsed, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("an event has an id that is not a number: %w", err)
			}
			id = parsed
		}
	}
}

// line appends the next line, with its end, to the buffer.
func (r *eventReader) readLine() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.buffer = append(r.buffer, part...)
		if len(r.buffer) > maxEventBytes {
			return errEventTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
