package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	replacedZone  = "luzon-a"
	replacedTimes = 28
	recoverBound  = 12 * time.Second
	observeTime   = 16 * time.Second
)

// replacedMachines plays rule RECOVER: machines are replaced one after the other. Then all processes are killed while a model server
// is lost.
func replacedMachines(e *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	seen, engines := &runs{}, &fleet{engines: make(map[string]*engine)}
	s.put("op", "config", generationManifest())
	var all []*engine
	for i := range 3 {
		n, err := startEngine(e, s, engines, seen, fmt.Sprintf("i-engine-%d", i+1), "writer", replacedZone)
		if err != nil {
			return false, err
		}
		all = append(all, n)
	}
	for range 2 {
		if _, err := e.startDaemon(replacedZone, s.address); err != nil {
			return false, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	live := append([]*daemon(nil), e.daemons...)
	time.Sleep(5 * time.Second) // layers are loaded
	for range replacedTimes {
		if !e.trouble {
			break
		}
		added, err := e.startDaemon(replacedZone, s.address)
		if err != nil {
			return false, err
		}
		for !added.isReady() || !s.has("instances", added.name) {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		gone := live[0]
		live = append(live[1:], added)
		gone.kill()
		if err := gone.goDark(); err != nil {
			return false, err
		}
		e.logf("disruption: machine %s is removed for good, %s has taken its place", gone.name, added.name)
	}
	got := &outcomes{}
	stop := e.sendSteadily(live, got)
	time.Sleep(8 * time.Second)
	sentBefore, servedBefore := got.take()
	e.logf("result: before the final fault %d of %d requests were served", servedBefore, sentBefore)
	for _, d := range live {
		d.kill()
		e.logf("final fault: %s is killed", d.name)
	}
	for _, n := range all {
		if lacksReplica(n, all) {
			n.crash()
			break
		}
	}
	time.Sleep(time.Second)
	for _, d := range live {
		if err := e.restart(d); err != nil {
			return false, err
		}
	}
	for _, d := range live {
		for !d.isReady() {
			time.Sleep(20 * time.Millisecond)
		}
	}
	e.logf("all processes are back and ready")
	time.Sleep(recoverBound)
	got.take()
	time.Sleep(observeTime)
	sentAfter, servedAfter := got.take()
	stop()
	e.logf("result: later than %v after the machines were back %d of %d requests were served", recoverBound, servedAfter, sentAfter)
	if 4*servedAfter < sentAfter && 4*servedBefore >= sentBefore {
		e.logf("result: RECOVER is broken")
		return true, nil
	}
	e.logf("result: RECOVER held")
	return false, nil
}

// lacksReplica reports whether no other engine holds all layers of an engine.
func lacksReplica(n *engine, all []*engine) bool {
	for _, other := range all {
		if other != n && other.from <= n.from && other.to >= n.to {
			return false
		}
	}
	return n.to > n.from
}

// outcomes counts the requests that have ended. It is safe for concurrent use.
type outcomes struct {
	mu           sync.Mutex
	sent, served int
}

// take returns the counts and begins anew.
func (o *outcomes) take() (sent, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, served = o.sent, o.served
	o.sent, o.served = 0, 0
	return sent, served
}

// sendSteadily sends a request to each daemon at intervals.
func (e *environment) sendSteadily(daemons []*daemon, got *outcomes) (stop func()) {
	end := make(chan struct{})
	var running sync.WaitGroup
	for _, d := range daemons {
		running.Go(func() {
			client := newClient(streamTimeout)
			for n := 0; ; n++ {
				id := fmt.Sprintf("%s-%04d", d.name, n)
				e.logf("client sends %s", id)
				a := send(client, d, call{
					id: id, method: "POST", path: "/order-text/1", body: "text", timeout: streamTimeout, headers: map[string]string{
						"X-Model": "m", "X-Token-Counts": "800,16", "X-Length-Hint": "8", "X-Prefix-Hash": fmt.Sprintf("ab01:40,%x:760", n+1),
					},
				})
				e.logf("client got for %s: %v", id, a)
				got.mu.Lock()
				got.sent++
				if a.status == 200 && a.err == nil {
					got.served++
				}
				got.mu.Unlock()
				select {
				case <-end:
					return
				case <-time.After(sendInterval):
				}
			}
		})
	}
	return func() { close(end); running.Wait() }
}
