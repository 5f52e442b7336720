package standin

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	memoryMB = 284
	// ratePerDaemon is the sheet's rate (70.1 requests a second) over its 6 machines.
	ratePerDaemon = 11.7
	burstFactor   = 1.7
	burstTime     = 3 * time.Second
)

// runMemory: many users come at once, with bodies that the manifest allows, and the processes exceed their memory.
func runMemory(r *run) (bool, error) {
	var err error
	if r.store, err = newStore(); err != nil {
		return false, err
	}
	r.store.put("op", "config", manifest(1, []tenant{{"hule930", []string{"key1"}}}))
	var engines []*server
	for i := range 4 {
		engine, err := newServer(r.store, r.record, &server{
			id: fmt.Sprintf("i-writer%d", i), service: "writer", zone: "luzon-a", card: "whole", slots: 192, events: 77,
			firstEvent: 400 * time.Millisecond, gap: streamGap,
		})
		if err != nil {
			return false, err
		}
		engines = append(engines, engine)
	}
	for i := range 2 {
		d := &daemon{name: fmt.Sprintf("edge-luzon-a-%d", i+1), zone: "luzon-a", memoryMB: memoryMB, limitMemory: true}
		if err := r.addDaemon(r.store.address, d); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	if err := awaitStream(r); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	lost, brokenOff, answered, unanswered, refused := 0, 0, 0, 0, 0
	begin := time.Now()
	const length = 60 * time.Second
	for n, d := range r.daemons {
		clients := newPool(d.front)
		running.Go(func() {
			for i := 0; time.Since(begin) < length; i++ {
				rate := ratePerDaemon
				if at := time.Since(begin) % (20 * time.Second); r.trouble && at >= 8*time.Second && at < 8*time.Second+burstTime {
					rate *= burstFactor
				}
				time.Sleep(time.Duration(float64(time.Second) / rate))
				if !d.takesClients() {
					continue // the platform sends no clients
				}
				name := fmt.Sprintf("m%d-%05d", n, i)
				running.Go(func() {
					r.record.writef("client sends %s to %s", name, d.name)
					o := clients.do(call{
						id: name, method: "POST", path: "/draft/letter", key: "key1", limit: 20 * time.Second, body: body(bodyLimit),
						headers: []string{"X-Model: " + modelName, "X-Token-Counts: 800,154", "X-Prefix-Hash: 5c1e07a2:40," + name + ":760"},
					})
					r.record.writef("client gets for %s: %v (kept connection: %t)", name, o, o.kept)
					passedOn := false
					for _, engine := range engines {
						_, arrived := engine.arrivalOf(name)
						passedOn = passedOn || arrived
					}
					mu.Lock()
					defer mu.Unlock()
					switch {
					case o.whole && o.status == 200:
						answered++
					case o.whole:
						refused++
					case o.bytes:
						brokenOff++
					default:
						unanswered++
						if o.kept && passedOn {
							lost++
						}
					}
				})
			}
		})
	}
	running.Wait()
	ended := 0
	for _, d := range r.daemons {
		r.record.sayf("daemon %s: peak %d MB of %d MB, ended %d times over its memory, %d times otherwise", d.name,
			d.peakKB/1024, d.memoryMB, d.memoryEnds, d.otherEnds)
		if d.otherEnds > 0 {
			return false, errors.New("a daemon ended for another reason")
		}
		ended += d.memoryEnds
	}
	r.record.sayf("requests: %d served, %d with another status, %d streams broken off, %d without an answer; of these %d were passed on "+
		"to a sound server from a kept connection", answered, refused, brokenOff, unanswered, lost)
	return ended > 0 && lost > 3, nil
}

// awaitStream waits until a stream is served.
func awaitStream(r *run) error {
	for i := range 40 {
		served := true
		for _, d := range r.daemons {
			o := newPool(d.front).do(call{
				id: fmt.Sprintf("warm-%s-%d", d.name, i), method: "POST", path: "/draft/letter", key: "key1", limit: 20 * time.Second,
				headers: []string{"X-Model: " + modelName, "X-Token-Counts: 800,154", "X-Prefix-Hash: 5c1e07a2:40,77:760"},
			})
			served = served && o.whole && o.status == 200
		}
		if served {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return errors.New("no stream was served within the first seconds")
}

const streamGap = 45 * time.Millisecond
