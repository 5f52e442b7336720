package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxFiles    = 4200 // maxFds of the settings
	totalRate10 = 701  // requests in 10 seconds of the sheet
	minClients  = 7    // "seven clients or more"
)

// runIdle: users come one after the other, each with one request, and leave their connection open until the daemon closes
// it. All machines but one are then lost for good, so that the last one takes all users.
func runIdle(r *run) (bool, error) {
	var err error
	if r.store, err = newStore(); err != nil {
		return false, err
	}
	r.store.put("op", "config", manifest(1, []tenant{{"hule930", []string{"key1"}}}))
	zones := []string{"luzon-a", "luzon-b", "luzon-c"}
	for i, zone := range zones {
		if _, err := newServer(r.store, r.record, &server{
			id: fmt.Sprintf("i-ledger%d", i), service: "ledger", zone: zone, slots: 6, work: 15 * time.Millisecond,
		}); err != nil {
			return false, err
		}
	}
	for i := range 6 {
		d := &daemon{
			name: fmt.Sprintf("edge-%s-%d", zones[i/2], i+1), zone: zones[i/2], memoryMB: memoryMB, limitMemory: true,
			maxFiles: maxFiles, keepProbe: true,
		}
		if err := r.addDaemon(r.store.address, d); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	begin := time.Now()
	const (
		length = 92 * time.Second
		lossAt = 6 * time.Second
	)
	last := r.daemons[0]
	if r.trouble {
		time.AfterFunc(lossAt, func() {
			for _, d := range r.daemons[1:] {
				d.kill()
				r.record.sayf("machine of %s is removed for good", d.name)
			}
		})
	}
	var mu sync.Mutex
	var tries, answers []time.Time // of new connections to the last daemon
	open, most, closedByDaemon, refused, unanswered := 0, 0, 0, 0, 0
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second * 10 / totalRate10)
	defer ticker.Stop()
	var unready []time.Time
	for i := 0; time.Since(begin) < length; i++ {
		<-ticker.C
		var inRotation []*daemon
		for _, d := range r.daemons {
			if d.takesClients() {
				inRotation = append(inRotation, d)
			}
		}
		if len(inRotation) == 0 {
			unready = append(unready, time.Now())
			continue
		}
		d, name := inRotation[i%len(inRotation)], fmt.Sprintf("u%05d", i)
		running.Go(func() {
			note := func(list *[]time.Time) {
				if d == last {
					mu.Lock()
					*list = append(*list, time.Now())
					mu.Unlock()
				}
			}
			note(&tries)
			c, err := dial(d.front)
			if err != nil {
				r.record.writef("user %s cannot connect to %s: %v", name, d.name, err)
				return
			}
			defer c.Close()
			o := c.do(call{id: name, method: http.MethodGet, path: "/look/balance", key: "key1", limit: 3 * time.Second})
			r.record.writef("user %s sends a request to %s and gets: %v", name, d.name, o)
			mu.Lock()
			if d == last && !o.bytes {
				unanswered++
			}
			if d == last && o.whole && o.status != http.StatusOK {
				refused++
			}
			mu.Unlock()
			if !o.whole || o.closes {
				return
			}
			note(&answers)
			mu.Lock()
			if d == last {
				open++
				most = max(most, open)
			}
			mu.Unlock()
			// The user stays until the daemon closes the connection, or the run ends.
			_ = c.SetDeadline(begin.Add(length + time.Second))
			_, err = c.reader.ReadByte()
			mu.Lock()
			defer mu.Unlock()
			if d == last {
				open--
				if err == io.EOF {
					closedByDaemon++
				}
			}
		})
	}
	running.Wait()
	longest, during, from := time.Duration(0), 0, time.Time{}
	previous := begin
	for _, at := range append(answers, begin.Add(length)) {
		n := 0
		for _, try := range tries {
			if try.After(previous) && try.Before(at) {
				n++
			}
		}
		if at.Sub(previous) > longest && n >= minClients {
			longest, during, from = at.Sub(previous), n, previous
		}
		previous = at
	}
	r.record.sayf("%s: %d users came, at most %d idle connections were open (idleTimeoutMs %d), the daemon closed %d; %d users got another "+
		"status than 200, %d no answer", last.name, len(tries), most, idleLimit.Milliseconds(), closedByDaemon, refused, unanswered)
	if longest > 0 {
		r.record.sayf("the longest time in which it took no new connection was %v, from %.1f s on, while %d users tried and it said "+
			"that it is ready", longest.Round(time.Millisecond), from.Sub(begin).Seconds(), during)
	} else {
		r.record.sayf("it took new connections all the time")
	}
	r.record.sayf("ready: %d users came while no daemon said that it is ready", len(unready))
	return longest > contact, nil
}
