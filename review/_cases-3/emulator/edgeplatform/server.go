package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// server stands in for a server of a plain service. It runs each request that names it, once it has a free slot.
type server struct {
	id, service, zone, addr string
	world                   *world
	workTime                time.Duration
	born                    int64

	mu    sync.Mutex
	seq   int64
	state string
	// grey makes the server fail a share of the requests that it has run, with greyStatus, while its health check is good.
	grey       float64
	greyStatus int
	slots      chan struct{}
	// delay is how much later the store performs the next heartbeat, which gets no answer; lost gets the time of that heartbeat.
	delay time.Duration
	lost  chan time.Time
}

func (w *world) startServer(id, service, zone string) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, addr: listener.Addr().String(), world: w, workTime: 60 * time.Millisecond,
		born: time.Now().UnixMilli(), state: "ready", slots: make(chan struct{}, 6),
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.serve)) }()
	s.beat()
	go func() {
		for range time.Tick(heartbeat) {
			s.mu.Lock()
			gone := s.state == "gone"
			s.mu.Unlock()
			if gone {
				return
			}
			s.tick()
		}
	}()
	w.servers = append(w.servers, s)
	return s, nil
}

// entry returns the server's next entry in the list of servers.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 6, "state": s.state, "coldLeftMs": 0,
		"seq": s.seq, "born": s.born,
	}
}

// beat writes the server's entry.
func (s *server) beat() { s.world.store.put("servers", s.id, s.entry()) }

// delayNextBeat makes the store answer the next heartbeat not at all and perform it after delay, if trouble is set. It returns
// a channel with the time of that heartbeat.
func (s *server) delayNextBeat(delay time.Duration, trouble bool) <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = make(chan time.Time, 1)
	if trouble {
		s.delay = delay
	}
	return s.lost
}

// tick writes the heartbeat that is due. It has no condition.
func (s *server) tick() {
	s.mu.Lock()
	delay, lost := s.delay, s.lost
	s.delay, s.lost = 0, nil
	s.mu.Unlock()
	if lost != nil {
		lost <- time.Now()
	}
	if delay == 0 {
		s.beat()
		return
	}
	entry := s.entry()
	s.world.record("the store gives no answer to the heartbeat of %s with seq %v", s.id, entry["seq"])
	time.AfterFunc(delay, func() {
		s.world.store.put("servers", s.id, entry)
		s.world.record("the store performs that heartbeat: seq %v, state %v", entry["seq"], entry["state"])
	})
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *server) setGrey(share float64, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grey, s.greyStatus = share, status
}

// stamp returns the proof of a response.
func (s *server) stamp(id string, status int) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(s.id+id+strconv.Itoa(status))))[:16]
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=5")
	refuse := func(status int) {
		s.world.record("server %s refuses request %s with %d, not run", s.id, id, status)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	expected := r.Header.Get("X-Expect-Instance")
	s.world.addArrival(s, id, expected)
	switch {
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		refuse(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.world.addRun(s, id, r.Method+" "+r.RequestURI, string(body))
	time.Sleep(s.workTime)
	status, text := http.StatusOK, "done "+id
	s.mu.Lock()
	if s.grey > 0 && rand.Float64() < s.grey {
		status, text = s.greyStatus, "failed after the booking of "+id
	}
	s.mu.Unlock()
	if status != http.StatusOK {
		s.world.record("server %s has run request %s and answers %d, without X-Not-Executed", s.id, id, status)
	}
	w.Header().Set("X-Server-Stamp", s.stamp(id, status))
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,6", len(s.slots)))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.Copy(w, strings.NewReader(text))
}
