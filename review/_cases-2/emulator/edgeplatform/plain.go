package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a server has run.
type run struct {
	id, server, service, tenant string
	at                          time.Time
}

// runs holds the runs at all servers. It is safe for concurrent use.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(added run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, added)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// plainServer is a stand-in of a server of a plain service.
type plainServer struct {
	id, service, zone, address string
	workTime                   time.Duration
	server                     *http.Server
	runs                       *runs
	record                     *record
	store                      *store
	entries                    int
}

func startPlain(e *environment, s *store, seen *runs, id, service, zone string) (*plainServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &plainServer{
		id: id, service: service, zone: zone, address: listener.Addr().String(), workTime: 60 * time.Millisecond, runs: seen,
		record: e.record, store: s,
	}
	p.server = &http.Server{Handler: p}
	go p.server.Serve(listener)
	p.report("ready")
	return p, nil
}

// leave reports that the server is draining, and ends it after the given time.
func (p *plainServer) leave(after time.Duration) {
	p.report("draining")
	p.record.logf("%s (%s) has reported that it is draining", p.id, p.service)
	time.AfterFunc(after, func() {
		p.record.logf("%s (%s) exits", p.id, p.service)
		p.server.Close()
	})
}

// report writes the server's entry.
func (p *plainServer) report(state string) {
	p.entries++
	p.store.put("servers", p.id, map[string]any{
		"service": p.service, "addr": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0,
		"seq": p.entries, "born": begunAt.UnixMilli(),
	})
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", p.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	p.runs.add(run{id: id, server: p.id, service: p.service, tenant: r.Header.Get("X-Tenant"), at: time.Now()})
	p.record.logf("%s (%s) runs %s", p.id, p.service, id)
	time.Sleep(p.workTime)
	w.Header().Set("X-Server-Stamp", "stamp."+p.id)
	fmt.Fprintf(w, "%s has run %s\n", p.id, id)
}
