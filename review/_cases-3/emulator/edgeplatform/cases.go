package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// refusedAfterRun: one of eight servers runs postings and fails a share of them with 503, without X-Not-Executed.
func refusedAfterRun(w *world, trouble bool) (int, error) {
	if err := w.set(3, 8, []string{"ledger"}, "post:non_idempotent:ledger"); err != nil {
		return unable, err
	}
	grey := w.servers[0]
	if trouble {
		grey.setGrey(0.4, http.StatusServiceUnavailable)
		w.record("server %s is grey from now on: it fails 0.4 of its requests after they have run", grey.id)
	}
	var mu sync.Mutex
	lied, twice, served := 0, 0, 0
	every(10*time.Millisecond, 600, func(i int) {
		payment := fmt.Sprintf("payment %d", i)
		first := w.send(w.daemons[i%3], http.MethodPost, "/post/payments", payment, 3000*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if first.status == http.StatusOK {
			served++
		}
		if !promises(first.status) || len(w.runsOf(first.id)) == 0 {
			return
		}
		lied++
		w.record("BROKEN: %s is answered %d, which promises that it has not run, and server %s has run it", first.id, first.status,
			w.runsOf(first.id)[0].server.id)
		// The client trusts the promise and sends the payment again, as PROTOCOL.md says.
		second := w.send(w.daemons[(i+1)%3], http.MethodPost, "/post/payments", payment, 3000*time.Millisecond)
		if len(w.runsOf(second.id)) > 0 {
			twice++
			w.record("payment %d has been booked twice, as %s and %s", i, first.id, second.id)
		}
	})
	w.record("%d of 600 payments served at once; %d answered with a promise although they had run; %d booked twice", served, lied, twice)
	if lied > 0 {
		return broken, nil
	}
	return held, nil
}

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// foreignEntry: another writer writes an entry without version, coldLeftMs, seq and born for a server of another service.
func foreignEntry(w *world, trouble bool) (int, error) {
	if err := w.set(3, 3, []string{"ledger", "letters"}, "post:non_idempotent:ledger", "letter:idempotent:letters"); err != nil {
		return unable, err
	}
	victim := w.servers[4]
	time.AfterFunc(2*time.Second, func() {
		if !trouble {
			return
		}
		entry := map[string]any{"service": "ledger", "addr": victim.addr, "zone": victim.zone, "slots": 6, "state": "ready"}
		w.store.put("servers", victim.id, entry)
		w.record("another writer writes servers/%s: %v", victim.id, entry)
	})
	every(6*time.Millisecond, 900, func(i int) {
		if i%4 != 0 {
			w.send(w.daemons[i%3], http.MethodPost, "/post/payments", fmt.Sprintf("payment %d", i), 3000*time.Millisecond)
			return
		}
		w.send(w.daemons[i%3], http.MethodGet, "/letter/1", "", 3000*time.Millisecond)
	})
	foreign := w.foreignRuns()
	w.record("%d payments were run by servers of the service letters, to which no manifest allows them to go", foreign)
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}

// foreignRuns returns the number of payments that servers of the service letters have run.
func (w *world) foreignRuns() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, runs := range w.runs {
		for _, r := range runs {
			if r.server.service == "letters" && r.what == "POST /post/payments" {
				n++
			}
		}
	}
	return n
}

// extraAnswer: three of five servers write a second answer to some lookups, late and broken off, for eight times 5 s.
func extraAnswer(w *world, trouble bool) (int, error) {
	var servers []*lookupServer
	for i := range 5 {
		s, err := w.startLookupServer(fmt.Sprintf("i-ledger-%d", i+1), "ledger", string(rune('a'+i%3)))
		if err != nil {
			return unable, err
		}
		servers = append(servers, s)
	}
	if err := w.set(3, 0, nil, "look:idempotent:ledger"); err != nil {
		return unable, err
	}
	setExtra := func(share float64) {
		for _, s := range servers[:3] {
			s.setExtra(share)
		}
		w.record("servers 1 to 3 write a second answer, late and broken off, to a share of %.2f", share)
	}
	var mu sync.Mutex
	successes, failures := 0, 0
	for range 8 {
		if trouble {
			setExtra(0.03)
		}
		every(2*time.Millisecond, 2400, func(i int) {
			r := w.send(w.daemons[i%3], http.MethodGet, "/look/1", "", 3000*time.Millisecond)
			if r.err != nil || r.stamp == "" {
				return
			}
			w.mu.Lock()
			given := w.answers[r.stamp]
			w.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status < 300 && given.status >= 300:
				successes++
			case r.status >= 300 && given.status != r.status:
				failures++
			default:
				return
			}
			w.record("BROKEN: %s is answered %d, where its server had answered %d with this proof", r.id, r.status, given.status)
		})
		setExtra(0)
		time.Sleep(time.Second)
	}
	w.record("%d lookups got a success where their server had answered with a failure, %d the reverse", successes, failures)
	if successes+failures > 0 {
		return broken, nil
	}
	return held, nil
}

// lateBeat: a heartbeat of a server gets no answer and is performed 5 s later, when the server is draining.
func lateBeat(w *world, trouble bool) (int, error) {
	const (
		drainBound = 2 * time.Second
		contact    = 3 * time.Second
		late       = 5 * time.Second
		// disrupted is how long the store loses answers, from just before the heartbeat on.
		disrupted = 200 * time.Millisecond
	)
	if err := w.set(3, 3, []string{"ledger"}, "post:non_idempotent:ledger"); err != nil {
		return unable, err
	}
	leaving := w.servers[1]
	lost := leaving.delayNextBeat(late, trouble)
	reported := time.Time{}
	var mu sync.Mutex
	go func() {
		time.Sleep(time.Until((<-lost).Add(disrupted + contact + 100*time.Millisecond)))
		leaving.setState("draining")
		leaving.beat()
		mu.Lock()
		defer mu.Unlock()
		reported = time.Now()
		w.record("the store accepts that server %s is draining", leaving.id)
	}()
	every(15*time.Millisecond, 600, func(i int) {
		w.send(w.daemons[i%3], http.MethodPost, "/post/payments", fmt.Sprintf("payment %d", i), 3000*time.Millisecond)
	})
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	// The daemons acknowledge the change when they stop to use the server, at the latest.
	acknowledged, tooLate := reported, 0
	for _, a := range w.arrivals {
		if a.server == leaving && a.at.After(reported) && a.at.Before(reported.Add(time.Second)) {
			acknowledged = a.at
		}
	}
	for _, a := range w.arrivals {
		if a.server == leaving && a.at.After(acknowledged.Add(drainBound)) {
			tooLate++
			fmt.Fprintf(w.log, "BROKEN: request %s reaches server %s %.2f s after the daemons stopped to use it\n",
				a.id, leaving.id, a.at.Sub(acknowledged).Seconds())
		}
	}
	w.mu.Unlock()
	w.record("%d requests reached the draining server too late", tooLate)
	if tooLate > 0 {
		return broken, nil
	}
	return held, nil
}

// foreignEngine: another writer writes an entry of an engine without version, coldLeftMs, seq and born, with layers that the
// model does not have. Later an engine is emptied and taken away, as planned work.
func foreignEngine(w *world, trouble bool) (int, error) {
	for i := range 9 {
		if _, err := w.startEngine(fmt.Sprintf("i-llm-%d", i+1), string(rune('a'+i%3))); err != nil {
			return unable, err
		}
	}
	if err := w.set(6, 3, []string{"ledger"}, "post:non_idempotent:ledger", "gen:streaming:llm"); err != nil {
		return unable, err
	}
	var leaving *engine
	for end := time.Now().Add(15 * time.Second); leaving == nil; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return unable, errors.New("the engines of zone a hold no layers")
		}
		leaving = w.onlyHolder("a")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		entry := map[string]any{
			"service": "llm", "addr": "127.0.0.1:9", "zone": "a", "slots": 8, "state": "ready", "routeKind": engineKind,
			"layers": map[string]any{"from": modelLayers, "target": modelLayers + 2, "version": 1},
		}
		w.store.put("servers", "x-1", entry)
		w.record("another writer writes servers/x-1: %v", entry)
	}
	var mu sync.Mutex
	answered, unanswered := [2]int{}, [2]int{}
	time.AfterFunc(3*time.Second, func() { w.onlyHolder("a").leave() })
	every(25*time.Millisecond, 720, func(i int) {
		r := w.send(w.daemons[i%len(w.daemons)], http.MethodPost, "/post/payments", fmt.Sprintf("payment %d", i), 3000*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		half := 0
		if i >= 120 {
			half = 1
		}
		if r.status == 0 {
			unanswered[half]++
		} else {
			answered[half]++
		}
	})
	w.record("payments with an answer and without one: %d and %d in the first 3 s, %d and %d in the 15 s after the engine began to leave",
		answered[0], unanswered[0], answered[1], unanswered[1])
	over := 0
	for _, d := range w.daemons {
		d.mu.Lock()
		w.record("the processes of %s have ended by themselves %d times", d.name, d.ends)
		if d.ends >= 3 {
			over++
		}
		d.mu.Unlock()
	}
	// Two machines are more than a tenth of six.
	if over >= 2 {
		return broken, nil
	}
	return held, nil
}
