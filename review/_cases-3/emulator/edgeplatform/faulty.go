package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// errorShare is the share of lookups that servers fail, as the site file has it.
const errorShare = 0.14

// lookupServer stands in for a server of a plain service that writes its responses byte by byte, so that it can be faulty.
type lookupServer struct {
	id, service, zone, addr string
	world                   *world
	born                    int64
	seq                     int64

	mu sync.Mutex
	// extra is the share of responses of which the server writes a second one later, broken off in its head.
	extra float64
}

func (w *world) startLookupServer(id, service, zone string) (*lookupServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &lookupServer{
		id: id, service: service, zone: zone, addr: listener.Addr().String(), world: w, born: time.Now().UnixMilli(),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	s.beat()
	go func() {
		for range time.Tick(heartbeat) {
			s.beat()
		}
	}()
	return s, nil
}

func (s *lookupServer) beat() {
	s.seq++
	s.world.store.put("servers", s.id, map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
		"seq": s.seq, "born": s.born,
	})
}

func (s *lookupServer) setExtra(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = share
}

func (s *lookupServer) getExtra() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.extra
}

// serve answers the requests of a connection one after the other.
func (s *lookupServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	second := "" // what is left of a second answer, written when the next response is due
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		if request.Header.Get("X-Expect-Instance") != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		s.world.mu.Lock()
		s.world.runs[id] = append(s.world.runs[id], run{what: request.Method})
		s.world.mu.Unlock()
		time.Sleep(time.Millisecond)
		status, text := http.StatusOK, "balance for "+id
		if rand.Float64() < errorShare {
			status, text = http.StatusInternalServerError, "no balance for "+id
		}
		stamp := fmt.Sprintf("%s.%s.%d", s.id, id, status)
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nDate: %s\r\nKeep-Alive: timeout=5\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n"+
			"Content-Length: %s\r\n\r\n", status, http.StatusText(status), time.Now().UTC().Format(http.TimeFormat), id, stamp,
			strconv.Itoa(len(text)))
		s.world.addAnswer(stamp, status, text)
		if second != "" {
			s.world.record("server %s writes additional bytes after its response before that to %s: %q", s.id, id, second)
		}
		if _, err := io.WriteString(conn, second+head+text); err != nil {
			return
		}
		second = ""
		if rand.Float64() < s.getExtra() {
			second = head[:1+rand.IntN(len(head)-1)]
		}
	}
}

// serverAnswer is a response that a server has written, in full, to a request.
type serverAnswer struct {
	status int
	body   string
}

// addAnswer records a response by its proof.
func (w *world) addAnswer(stamp string, status int, body string) {
	w.record("a server answers %d, proof %q, body %q", status, stamp, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[stamp] = serverAnswer{status: status, body: body}
}
