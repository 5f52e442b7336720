package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	contact      = 3 * time.Second // contactMs
	drainBound   = 2 * time.Second // drainMs
	configBound  = 2 * time.Second // configMs
	outerBound   = 5 * time.Second // outerMs
	allowedStray = 2               // requests of a rule that says "a request", as a margin for what is on its way
	lossTime     = 4500 * time.Millisecond
	lossShare    = 0.35
)

// runFeed: the open connections to the store go silent for good, while new ones work. Then a key is taken away and a
// server leaves. With DISRUPTION=lost in the environment a share of the store's answers is lost for some seconds instead.
func runFeed(r *run) (bool, error) {
	var err error
	if r.store, err = newStore(); err != nil {
		return false, err
	}
	var losing atomic.Bool
	r.store.answerLost = func() bool { return losing.Load() && rand.Float64() < lossShare }
	between, err := newProxy(r.store.address)
	if err != nil {
		return false, err
	}
	r.store.put("op", "config", manifest(1, []tenant{{"hule930", []string{"key1", "key2"}}}))
	zones := []string{"luzon-a", "luzon-b", "luzon-c"}
	var servers []*server
	for i, zone := range zones {
		s, err := newServer(r.store, r.record, &server{
			id: fmt.Sprintf("i-ledger%d", i), service: "ledger", zone: zone, slots: 6, work: 60 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	for i, zone := range zones {
		d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, memoryMB: memoryMB}
		if err := r.addDaemon(between.address(), d); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}

	var mu sync.Mutex
	type sent struct {
		key string
		o   outcome
	}
	calls := make(map[string]sent)
	var running sync.WaitGroup
	stop := make(chan struct{})
	for n, d := range r.daemons {
		clients := newPool(d.front)
		running.Go(func() {
			ticker := time.NewTicker(125 * time.Millisecond)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				name, key := fmt.Sprintf("f%d-%05d", n, i), []string{"key1", "key2"}[i%2]
				q := call{id: name, method: http.MethodGet, path: "/look/price", key: key, limit: 3 * time.Second}
				if i%4 < 2 {
					q.method, q.path, q.body = http.MethodPost, "/pay/order", body(600)
				}
				running.Go(func() {
					o := clients.do(q)
					r.record.writef("client sends %s %s with %s to %s and gets: %v", q.method, name, key, d.name, o)
					mu.Lock()
					defer mu.Unlock()
					calls[name] = sent{key, o}
				})
			}
		})
	}

	time.Sleep(6 * time.Second)
	switch {
	case r.trouble && os.Getenv("DISRUPTION") == "lost":
		r.record.sayf("the store loses %v of its answers for %v", lossShare, lossTime)
		losing.Store(true)
		time.Sleep(lossTime)
		losing.Store(false)
	case r.trouble:
		r.record.sayf("%d open connections between daemons and store go silent for good; new ones work", between.silence())
	}
	// All machines are in touch again, and the store is stable, when this has passed.
	time.Sleep(contact + time.Second)
	revoked := r.store.put("op", "config", manifest(2, []tenant{{"hule930", []string{"key2"}}}))
	r.record.sayf("the store confirms manifest 2, which takes key1 away")
	left := servers[0].leave()
	r.record.sayf("the store confirms that %s is draining", servers[0].id)
	time.Sleep(16 * time.Second)
	close(stop)
	running.Wait()

	lateRuns, lateSpan := 0, time.Duration(0)
	for name, c := range calls {
		if c.key != "key1" || c.o.sent.Sub(revoked) <= configBound+outerBound {
			continue
		}
		for _, s := range servers {
			if s.runsOf(name) > 0 {
				lateRuns++
				lateSpan = max(lateSpan, c.o.sent.Sub(revoked))
			}
		}
	}
	lateArrivals, drainSpan := 0, time.Duration(0)
	for name := range calls {
		if at, found := servers[0].arrivalOf(name); found && at.Sub(left) > drainBound {
			lateArrivals++
			drainSpan = max(drainSpan, at.Sub(left))
		}
	}
	r.record.sayf("CONFIG: %d requests with key1, sent later than configMs + outerMs (%v) after the confirmation, were run, the last one sent %v after it",
		lateRuns, configBound+outerBound, lateSpan.Round(time.Millisecond))
	r.record.sayf("DRAIN: %d requests reached %s later than drainMs (%v) after the confirmation, the last one %v after it",
		lateArrivals, servers[0].id, drainBound, drainSpan.Round(time.Millisecond))
	return lateRuns > allowedStray || lateArrivals > allowedStray, nil
}
