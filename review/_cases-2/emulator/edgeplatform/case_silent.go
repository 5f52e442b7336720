package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	contactTime = 3 * time.Second
	// servesLonger is how much longer than drainBound a leaving server serves.
	servesLonger = 2 * time.Second
	sendInterval = 100 * time.Millisecond
	// lookupClients and postingClients are the numbers of clients of each daemon, which send one request after the other.
	lookupClients, postingClients = 1, 4

	oldService, newService, deskService = "ledger-old", "ledger-new", "desk"
)

var zones = []string{"luzon-a", "luzon-b", "luzon-c"}

// manifest returns the operator's manifest with a route for lookups to the given service, and one for postings.
func manifest(version int, lookups string) map[string]any {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 3000, "goalMs": 300, "priority": 2,
			"service": service, "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 48}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("look", "idempotent", lookups, 2), route("post", "non_idempotent", deskService, 1)},
		"services": []any{service(oldService), service(newService), service(deskService)},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{"name": "ana", "apiKeys": []string{key}}},
	}
}

// silentStoreConnections plays rules CONFIG and DRAIN: the open connections to the store go silent once. When all machines are in
// touch again, the manifest changes, and a server leaves as planned.
func silentStoreConnections(e *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	p, err := newProxy(s.address)
	if err != nil {
		return false, err
	}
	seen := &runs{}
	s.put("op", "config", manifest(1, oldService))
	var leaving *plainServer
	for _, zone := range zones {
		for _, service := range []string{oldService, newService, deskService} {
			server, err := startPlain(e, s, seen, fmt.Sprintf("i-%s-%s", service, zone), service, zone)
			if err != nil {
				return false, err
			}
			if service == deskService {
				leaving = server
			}
		}
	}
	for _, zone := range zones {
		if _, err := e.startDaemon(zone, p.address); err != nil {
			return false, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	sent, stop := e.sendCalls()
	time.Sleep(5 * time.Second)
	if e.trouble {
		e.logf("disruption: %d open connections to the store go silent, new ones work", p.silence())
	} else {
		e.logf("no disruption")
	}
	time.Sleep(contactTime + 2*time.Second)
	s.put("op", "config", manifest(2, newService))
	leaving.leave(drainBound + servesLonger)
	confirmedAt := time.Now()
	e.logf("the store has confirmed manifest 2, by which /look/ goes to %s, and that %s is draining", newService, leaving.id)
	time.Sleep(24 * time.Second)
	stop()
	return e.checkChanges(seen, sent, leaving.id, confirmedAt), nil
}

// sentCall is a request that a client has sent.
type sentCall struct {
	at     time.Time
	daemon string
	status int
}

// sentCalls holds the requests that clients have sent, by id. It is safe for concurrent use.
type sentCalls struct {
	mu   sync.Mutex
	byID map[string]*sentCall
}

// sendCalls sends a lookup and a posting to each daemon at intervals, until stop is called.
func (e *environment) sendCalls() (sent *sentCalls, stop func()) {
	sent = &sentCalls{byID: make(map[string]*sentCall)}
	end := make(chan struct{})
	var running sync.WaitGroup
	for _, d := range e.daemons {
		for i := range lookupClients + postingClients {
			method, path := "GET", "/look/1"
			if i >= lookupClients {
				method, path = "POST", "/post/1"
			}
			running.Go(func() {
				client := newClient(3 * time.Second)
				for n := 0; ; n++ {
					id := fmt.Sprintf("%s-%s-%d-%04d", d.name, strings.ToLower(method), i, n)
					c := &sentCall{at: time.Now(), daemon: d.name}
					sent.mu.Lock()
					sent.byID[id] = c
					sent.mu.Unlock()
					e.logf("client sends %s %s as %s", method, path, id)
					a := send(client, d, call{id: id, method: method, path: path, timeout: 3 * time.Second})
					c.status = a.status
					e.logf("client got for %s: %v", id, a)
					select {
					case <-end:
						return
					case <-time.After(sendInterval):
					}
				}
			})
		}
	}
	return sent, func() { close(end); running.Wait() }
}

// checkChanges reports whether a request that was sent later than the bound after the confirmation has been run by the service to
// which only the older manifest sends it, or one has reached the server that leaves later than its bound.
func (e *environment) checkChanges(seen *runs, sent *sentCalls, leaving string, confirmedAt time.Time) bool {
	byOld, sentLate, atLeaving := make(map[string]int), make(map[string]int), make(map[string]int)
	lastOld, lastLeaving := time.Duration(0), time.Duration(0)
	for id, c := range sent.byID {
		if c.at.Sub(confirmedAt) > configBound && strings.Contains(id, "-get-") {
			sentLate[c.daemon]++
		}
	}
	lost := 0
	for _, r := range seen.all() {
		c := sent.byID[r.id]
		if after := c.at.Sub(confirmedAt); r.service == oldService && after > configBound {
			byOld[c.daemon]++
			lastOld = max(lastOld, after)
		}
		if after := r.at.Sub(confirmedAt); r.server == leaving && after > drainBound {
			atLeaving[c.daemon]++
			lastLeaving = max(lastLeaving, after)
			if c.status != 200 {
				lost++
				e.logf("result: posting %s was running at %s when that exited; the client got status %d", r.id, leaving, c.status)
			}
		}
	}
	for _, d := range e.daemons {
		e.logf("result: %s: %d of %d lookups sent more than %v after the confirmation were run by %s; %d postings reached %s more than %v after it",
			d.name, byOld[d.name], sentLate[d.name], configBound, oldService, atLeaving[d.name], leaving, drainBound)
	}
	if len(byOld) > 0 {
		e.logf("result: CONFIG is broken; the last such lookup was sent %.1f s after the confirmation", lastOld.Seconds())
	}
	if len(atLeaving) > 0 {
		e.logf("result: DRAIN is broken; the last such posting arrived %.1f s after the confirmation, %d postings were cut off", lastLeaving.Seconds(), lost)
	}
	if len(byOld) == 0 && len(atLeaving) == 0 {
		e.logf("result: CONFIG and DRAIN held")
	}
	return len(byOld) > 0 || len(atLeaving) > 0
}
