package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	promptTokens  = 20000
	answerTokens  = 8
	streamTimeout = 20 * time.Second

	enginesPerZone, daemonsPerZone = 4, 3

	garbleTimes             = 8
	garbleTime, garblePause = 6500 * time.Millisecond, 2 * time.Second
)

// generationManifest returns the operator's manifest with one route for streams that may not be resumed.
func generationManifest() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "order-text", "host": host, "prefix": "/order-text/", "routeKind": "streaming", "timeoutMs": 20000, "goalMs": 500,
			"gapGoalMs": 200, "priority": 1, "service": "writer", "maxAttempts": 2, "public": false, "sticky": true, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": "writer", "healthPath": "/healthz", "maxConns": 1038, "engine": map[string]any{
				"slots": engineSlots, "kvTokenBytes": tokenBytes, "stride": 2, "step_ms": 2, "per_seq_ms": 0.003, "context_per_k": 0.004,
				"read_per_s": 2000000, "pairs_per_m": 0.1, "chunk": 512, "loads_at_once": 6, "layers": modelLayers, "layerMb": layerMB,
				"actBytes": 1000, "linkMbps": 100000, "pipeMbps": 7900, "report_lag_ms": reportLag.Milliseconds(), "stall_ms": 2500,
				"usual":  map[string]any{"prompt": promptTokens, "answer": answerTokens},
				"models": []any{map[string]any{"name": "m", "loadS": loadTime.Seconds()}},
				"kinds":  []any{map[string]any{"name": "small", "sizeMb": cardMB, "pace": 1, "readFactor": 1}},
				"delays": []any{},
			},
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{"name": "ana", "apiKeys": []string{key}}},
	}
}

// lateSecondAnswer plays rules TWICE and REFUSED: servers send a few of their answers a second time, late.
func lateSecondAnswer(e *environment) (broken bool, err error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	seen, engines := &runs{}, &fleet{engines: make(map[string]*engine)}
	s.put("op", "config", generationManifest())
	var all []*engine
	for i := range enginesPerZone * len(zones) {
		n, err := startEngine(e, s, engines, seen, fmt.Sprintf("i-engine-%d", i+1), "writer", zones[i%len(zones)])
		if err != nil {
			return false, err
		}
		all = append(all, n)
	}
	for i := range daemonsPerZone * len(zones) {
		if _, err := e.startDaemon(zones[i%len(zones)], s.address); err != nil {
			return false, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // layers are loaded
	answers := &answers{got: make(map[string]answer)}
	stop := e.sendGenerations(answers)
	time.Sleep(3 * time.Second)
	for range garbleTimes {
		if e.trouble {
			e.garble(all)
		}
		time.Sleep(garbleTime)
		for _, n := range all {
			n.garbles.Store(false)
		}
		e.logf("no disruption now")
		time.Sleep(garblePause)
	}
	stop()
	time.Sleep(time.Second)
	return e.checkRuns(seen, answers), nil
}

// garble makes engines that hold the first layers, which answer, send few of their answers a second time.
func (e *environment) garble(all []*engine) {
	for _, n := range all {
		n.mu.Lock()
		answers := n.from == 0 && n.to > 0
		n.mu.Unlock()
		if answers {
			n.garbles.Store(true)
			e.logf("disruption: %s sends one answer in %d a second time, late", n.id, chosenAnswers)
		}
	}
}

// answers holds what the client got by request. It is safe for concurrent use.
type answers struct {
	mu  sync.Mutex
	got map[string]answer
}

// clientsPerDaemon send one request after the other to their daemon.
const clientsPerDaemon = 4

func (e *environment) sendGenerations(got *answers) (stop func()) {
	end := make(chan struct{})
	var running sync.WaitGroup
	for _, d := range e.daemons {
		for c := range clientsPerDaemon {
			running.Go(func() {
				client := newClient(streamTimeout)
				for n := 0; ; n++ {
					id := fmt.Sprintf("%s-%d-%04d", d.name, c, n)
					prompt := promptTokens/2 + rand.IntN(promptTokens)
					e.logf("client sends %s", id)
					a := send(client, d, call{
						id: id, method: "POST", path: "/order-text/1", body: "text", timeout: streamTimeout, headers: map[string]string{
							"X-Model": "m", "X-Token-Counts": fmt.Sprintf("%d,%d", prompt, 2*answerTokens),
							"X-Length-Hint": fmt.Sprint(answerTokens), "X-Prefix-Hash": fmt.Sprintf("ab01:40,%x:%d", rand.Uint32(), prompt-40),
						},
					})
					e.logf("client got for %s: %v", id, a)
					got.mu.Lock()
					got.got[id] = a
					got.mu.Unlock()
					select {
					case <-end:
						return
					case <-time.After(time.Duration(rand.IntN(60)) * time.Millisecond):
					}
				}
			})
		}
	}
	return func() { close(end); running.Wait() }
}

// checkRuns reports whether a request has run more than once, or has run although it was refused as not run.
func (e *environment) checkRuns(seen *runs, got *answers) (broken bool) {
	byID := make(map[string][]string)
	for _, r := range seen.all() {
		byID[r.id] = append(byID[r.id], r.server)
	}
	twice, refused, served := 0, 0, 0
	for id, a := range got.got {
		ran := byID[id]
		if a.status == 200 && a.err == nil {
			served++
		}
		if len(ran) > 1 {
			twice++
			e.logf("result: %s has run on %s; the client got %v", id, strings.Join(ran, " and on "), a)
		}
		if (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && len(ran) > 0 {
			refused++
			e.logf("result: %s has run on %s, and the client was told with %d that it has not", id, strings.Join(ran, " and on "), a.status)
		}
	}
	e.logf("result: %d requests, %d served; %d ran more than once (TWICE), %d ran and were refused as not run (REFUSED)", len(got.got),
		served, twice, refused)
	return twice > 0 || refused > 0
}
