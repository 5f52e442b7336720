package standin

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	ledgerServers  = 12
	rounds         = 4
	removalsEach   = 3 // a share of 0.25 of the servers
	cutTime        = 5500 * time.Millisecond
	perDaemonMilli = 85 * time.Millisecond // 11.7 requests a second
)

// runRemoved: one machine is partitioned from the store for some seconds, while the other one of its zone is not. Servers
// that never report draining leave: their entries are removed.
func runRemoved(r *run) (bool, error) {
	var err error
	if r.store, err = newStore(); err != nil {
		return false, err
	}
	r.store.put("op", "config", manifest(1, []tenant{{"hule930", []string{"key1"}}}))
	var servers []*server
	for i := range ledgerServers {
		s, err := newServer(r.store, r.record, &server{
			id: fmt.Sprintf("i-ledger%02d", i), service: "ledger", zone: "luzon-a", slots: 6, work: 15 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	var paths []*proxy
	for i := range 2 {
		path, err := newProxy(r.store.address)
		if err != nil {
			return false, err
		}
		paths = append(paths, path)
		d := &daemon{name: fmt.Sprintf("edge-luzon-a-%d", i+1), zone: "luzon-a", memoryMB: memoryMB}
		if err := r.addDaemon(path.address(), d); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	calm := r.daemons[1] // the machine that is in touch all the time
	var mu sync.Mutex
	var order []string // requests to calm, as they were sent
	failed := 0
	var running sync.WaitGroup
	stop := make(chan struct{})
	for n, d := range r.daemons {
		clients := newPool(d.front)
		running.Go(func() {
			ticker := time.NewTicker(perDaemonMilli)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				name := fmt.Sprintf("g%d-%05d", n, i)
				if d == calm {
					mu.Lock()
					order = append(order, name)
					mu.Unlock()
				}
				q := call{id: name, method: http.MethodPost, path: "/pay/due", key: "key1", limit: 600 * time.Millisecond, body: body(600)}
				running.Go(func() {
					o := clients.do(q)
					r.record.writef("client sends %s to %s and gets: %v", name, d.name, o)
					mu.Lock()
					defer mu.Unlock()
					if !o.whole || o.status != http.StatusOK {
						failed++
					}
				})
			}
		})
	}
	// busiest returns the server in service that got most of the last requests to calm.
	busiest := func() *server {
		mu.Lock()
		recent := append([]string(nil), order[max(0, len(order)-20):]...)
		mu.Unlock()
		var best *server
		most := -1
		for _, s := range servers {
			s.mu.Lock()
			state := s.state
			s.mu.Unlock()
			if state != "ready" {
				continue
			}
			n := 0
			for _, name := range recent {
				if _, found := s.arrivalOf(name); found {
					n++
				}
			}
			if n > most {
				best, most = s, n
			}
		}
		return best
	}
	gone := make(map[*server]time.Time)
	time.Sleep(5 * time.Second)
	for round := range rounds {
		if r.trouble {
			r.record.sayf("%s is partitioned from the store", r.daemons[0].name)
			paths[0].cut.Store(true)
		}
		begin := time.Now()
		for n := range removalsEach {
			time.Sleep(time.Until(begin.Add(2*time.Second + time.Duration(n)*600*time.Millisecond)))
			s := busiest()
			if s == nil {
				return false, errors.New("no server is left")
			}
			s.mu.Lock()
			s.state = "gone" // it writes no entries any more, and goes on serving
			s.mu.Unlock()
			gone[s] = r.store.remove("servers", s.id)
			r.record.sayf("the store confirms that the entry of %s is removed", s.id)
		}
		time.Sleep(time.Until(begin.Add(cutTime)))
		paths[0].cut.Store(false)
		r.record.sayf("round %d ends", round+1)
		time.Sleep(5 * time.Second)
		// Other servers start in the place of those that have left.
		for n := range removalsEach {
			s, err := newServer(r.store, r.record, &server{
				id: fmt.Sprintf("i-ledger%02d", ledgerServers+round*removalsEach+n), service: "ledger", zone: "luzon-a", slots: 6,
				work: 15 * time.Millisecond,
			})
			if err != nil {
				return false, err
			}
			servers = append(servers, s)
		}
	}
	close(stop)
	running.Wait()
	late, latest := 0, time.Duration(0)
	for s, left := range gone {
		for _, name := range order {
			if at, found := s.arrivalOf(name); found && at.Sub(left) > drainBound {
				late++
				latest = max(latest, at.Sub(left))
				r.record.sayf("%s reaches %s by %s %v after the confirmation that it is gone", name, s.id, calm.name,
					at.Sub(left).Round(time.Millisecond))
			}
		}
	}
	r.record.sayf("DRAIN: %d requests reached servers by %s, which was in touch, later than drainMs (%v) after the confirmation, the "+
		"latest %v after it; %d requests failed", late, calm.name, drainBound, latest.Round(time.Millisecond), failed)
	return late > 0, nil
}
