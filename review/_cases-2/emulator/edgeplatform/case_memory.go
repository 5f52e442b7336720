package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The usual traffic of one machine, and what a burst multiplies it by. The body of a posting is a quarter of the limit in the manifest.
const (
	usualConnections = 1200
	usualPostings    = 62 // a second
	burstFactor      = 1.7
	burstTime        = 3 * time.Second
	bursts           = 8
	burstPause       = 2 * time.Second
	postingBytes     = 1 << 20
	postingWork      = time.Second
	postingLimit     = 3 * time.Second
	lookupPause      = 12 * time.Second

	memoryMB       = 284
	memoryInterval = 10 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	// allowedCuts is the number of requests that rule LOST allows to be cut.
	allowedCuts = 3
)

// memoryInBursts plays rule LOST: many users come at once. A process that exceeds its memory is killed, as the platform does it.
func memoryInBursts(e *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	seen := &runs{}
	s.put("op", "config", manifest(1, oldService))
	for _, zone := range zones {
		lookups, err := startPlain(e, s, seen, "i-"+oldService+"-"+zone, oldService, zone)
		if err != nil {
			return false, err
		}
		lookups.workTime = time.Millisecond
		postings, err := startPlain(e, s, seen, "i-"+deskService+"-"+zone, deskService, zone)
		if err != nil {
			return false, err
		}
		postings.workTime = postingWork
	}
	d, err := e.startDaemon(zones[0], s.address)
	if err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	t := &traffic{daemon: d, environment: e, end: make(chan struct{})}
	watch := make(chan struct{})
	go e.enforceMemory(d, t, watch)
	t.setShare(1)
	t.start()
	time.Sleep(10 * time.Second)
	for range bursts {
		if e.trouble {
			e.logf("disruption: %.1f times the usual traffic for %v", burstFactor, burstTime)
			t.setShare(burstFactor)
		}
		time.Sleep(burstTime)
		t.setShare(1)
		time.Sleep(burstPause)
	}
	close(t.end)
	t.running.Wait()
	close(watch)
	return e.checkCuts(seen, t), nil
}

// enforceMemory kills the daemon when it uses more than its memory, and starts it again.
func (e *environment) enforceMemory(d *daemon, t *traffic, end chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(memoryInterval):
		}
		used := residentKB(d)
		t.peak.Store(max(t.peak.Load(), used))
		if used <= memoryMB<<10 {
			continue
		}
		e.logf("%s uses %d KiB, more than its %d MiB, and is killed", d.name, used, memoryMB)
		t.kills.Add(1)
		d.kill()
		time.Sleep(restartDelay)
		if err := e.restart(d); err != nil {
			e.logf("%s does not start again: %v", d.name, err)
			return
		}
	}
}

// residentKB returns the resident memory of a daemon's process in KiB; 0 if it has none.
func residentKB(d *daemon) (kb int64) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			fmt.Sscan(rest, &kb)
		}
	}
	return kb
}

// traffic is the clients of one machine: some keep a connection open each and send a lookup on it now and then, others post.
type traffic struct {
	*environment
	daemon      *daemon
	end         chan struct{}
	running     sync.WaitGroup
	peak, kills atomic.Int64

	mu                    sync.Mutex
	connections, postings float64
	cut                   []string
	ends                  map[string]int
}

func (t *traffic) setShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections, t.postings = share*usualConnections, share*usualPostings
}

func (t *traffic) wanted() (connections int, postings float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.connections), t.postings
}

func (t *traffic) start() {
	t.ends = make(map[string]int)
	for i := range int(burstFactor * usualConnections) {
		t.running.Go(func() { t.lookUp(i) })
	}
	t.running.Go(t.post)
}

// pause waits and reports whether the traffic goes on.
func (t *traffic) pause(d time.Duration) bool {
	select {
	case <-t.end:
		return false
	case <-time.After(d):
		return true
	}
}

// lookUp is the client number i, which is there while so many are wanted.
func (t *traffic) lookUp(i int) {
	for n := 0; t.pause(50 * time.Millisecond); n++ {
		if connections, _ := t.wanted(); i >= connections {
			continue
		}
		t.keepConnection(i, n)
	}
}

func (t *traffic) keepConnection(i, n int) {
	conn, err := net.DialTimeout("tcp", t.daemon.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	for k := 0; ; k++ {
		_, err := fmt.Fprintf(conn, "GET /look/1 HTTP/1.1\r\nHost: %s\r\nX-Key: %s\r\nX-Deadline-Ms: 3000\r\nX-Request-Id: look-%d-%d-%d\r\n\r\n", host, key, i, n, k)
		if err != nil || !t.pause(lookupPause) {
			return
		}
		if connections, _ := t.wanted(); i >= connections {
			return
		}
	}
}

// post sends postings at the rate that is wanted.
func (t *traffic) post() {
	client := &http.Client{Timeout: postingLimit, Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 500, IdleConnTimeout: 4 * time.Second,
	}}
	body := bytes.Repeat([]byte("x"), postingBytes)
	for n := 0; ; n++ {
		_, rate := t.wanted()
		if !t.pause(time.Duration(float64(time.Second) / rate)) {
			return
		}
		t.running.Go(func() { t.postOne(client, fmt.Sprintf("post-%05d", n), body) })
	}
}

func (t *traffic) postOne(client *http.Client, id string, body []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+t.daemon.front+"/post/1", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Host, request.GetBody = host, nil
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Key": key, "X-Deadline-Ms": fmt.Sprint(postingLimit.Milliseconds()),
	} {
		request.Header.Set(name, value)
	}
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	t.logf("client sends %s", id)
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	end := "no answer, connection closed"
	switch {
	case err == nil:
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		end = fmt.Sprint("status ", response.StatusCode)
	case strings.Contains(err.Error(), "connection refused"):
		end = "no connection"
	case os.IsTimeout(err):
		end = "no answer in time"
	}
	t.logf("client got for %s: %s (kept connection: %v, error: %v)", id, end, kept, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends[end]++
	if end == "no answer, connection closed" && kept {
		t.cut = append(t.cut, id)
	}
}

// checkCuts reports whether more requests than allowed had been passed on to a server from a kept connection that then was closed
// without an answer.
func (e *environment) checkCuts(seen *runs, t *traffic) bool {
	ran := make(map[string]bool)
	for _, r := range seen.all() {
		ran[r.id] = true
	}
	cut := 0
	for _, id := range t.cut {
		if ran[id] {
			cut++
		}
	}
	e.logf("result: peak %d MiB of %d MiB; killed for its memory %d times; postings ended with %v", t.peak.Load()>>10, memoryMB, t.kills.Load(), t.ends)
	e.logf("result: %d postings had been passed on from kept connections that were closed without an answer", cut)
	if cut > allowedCuts {
		e.logf("result: LOST is broken")
		return true
	}
	e.logf("result: LOST held")
	return false
}
