package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"
)

// eventBufferBytes is the size of the buffer for the events of a stream. Longer events are read in parts.
const eventBufferBytes = 2 << 10

// errTimedOut is returned if the first event of a stream arrives when the request has timed out.
var errTimedOut = errors.New("first event arrived after the request had timed out")

// forwardEvents forwards events to the caller until the stream ends. Only complete events are forwarded.
func (s *stream) forwardEvents(x *exchange) error {
	events := eventReader{in: bufio.NewReaderSize(x.response.Body, eventBufferBytes)}
	for {
		e, err := events.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if e.id >= 0 && s.lastEventID >= 0 && e.id != s.lastEventID+1 {
			return fmt.Errorf("received event %d after event %d", e.id, s.lastEventID)
		}
		if err := s.forwardEvent(x, e); err != nil {
			return err
		}
	}
}

// forwardEvent writes one event to the caller, and before the first event the head of the response.
func (s *stream) forwardEvent(x *exchange, e event) error {
	// An engine that has stalled may go on sending comments.
	if !e.comment {
		s.recordArrival()
	}
	if err := s.writeHead(x); err != nil {
		return err
	}
	if err := s.writeEvent(e); err != nil {
		return err
	}
	if !e.comment {
		s.events++
	}
	if e.id >= 0 {
		s.lastEventID = e.id
	}
	return nil
}

// writeEvent writes one event to the caller.
func (s *stream) writeEvent(e event) error {
	s.watchdog.beginWrite()
	defer s.watchdog.endWrite()
	if _, err := s.writer.Write(e.raw); err != nil {
		return err
	}
	return s.controller.Flush()
}

// recordArrival records the arrival of an event, which shows that the engines of the path make progress.
func (s *stream) recordArrival() {
	now := time.Now()
	s.watchdog.recordArrival()
	s.eventForwarded.Store(true)
	s.attemptProgressed.Store(true)
	s.forwardedAt.Store(int64(s.gateway.age()))
	if s.events == 0 {
		s.firstEventDelay = now.Sub(s.arrivedAt)
		if s.overdue(s.firstEventDelay) {
			s.recordLate()
		}
		s.setCountsEnded(false)
		s.recordServed()
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventTime))
	}
	s.lastEventTime = now
}

// writeHead writes the head of the response unless an earlier call has, or the stream has timed out before its first event.
func (s *stream) writeHead(x *exchange) error {
	if s.headWritten.Load() {
		return nil
	}
	if !s.beginStream() {
		return errTimedOut
	}
	s.headWritten.Store(true)
	s.recordAdmission()
	copyHeader(s.writer.Header(), x.head.Header)
	s.closeWhileStopping()
	s.writer.WriteHeader(x.head.Status)
	return nil
}
