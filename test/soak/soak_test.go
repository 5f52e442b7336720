package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

const (
	defaultSteps     = 40
	defaultDaemons   = 4
	enginesPerZone   = 3
	callersPerDaemon = 3
	// recovery is the time after the last fault within which every daemon serves every kind of request again.
	recoveryTime = 12 * time.Second
	// contactTime is the time without faults after which all bounds hold again.
	settleTime = 3 * time.Second
)

// regressions are seeds that once failed, with their cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "a connection to the store went silent behind a proxy that answered keepalive probes; a revoked key was taken for minutes"},
	{4, "three of four connections were silent; the last configuration was in force after more than 2 s"},
	{207, "two daemons with silent connections kept each other from believing those that knew the last configuration"},
	{8, "a hangup signal ended a process that had just started"},
}

// TestRandomisedSoak guards the promises to callers and targets while faults overlap. HYSSOPHOIST_SEED and HYSSOPHOIST_STEPS
// repeat a run.
func TestRandomisedSoak(t *testing.T) {
	runSoak(t, testenv.Seed(t, 100), int(testenv.Steps(t, defaultSteps)))
}

// TestSoakRegressions repeats the faults of seeds that once failed.
func TestSoakRegressions(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak takes half a minute for each seed")
	}
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Log(r.cause)
			runSoak(t, r.seed, defaultSteps)
		})
	}
}

func runSoak(t *testing.T, seed uint64, steps int) {
	w := newEnvironment(t, seed, defaultDaemons, enginesPerZone)
	f := &faultInjector{env: w, random: rand.New(rand.NewPCG(seed, 0)), reserved: make(map[any]bool)}
	t.Cleanup(func() {
		if t.Failed() {
			f.mu.Lock()
			defer f.mu.Unlock()
			t.Logf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d, faults as they ended:\n%s", seed, steps, strings.Join(f.completed, "\n"))
		}
	})
	w.waitServing(t, "the start")
	c := &callers{env: w}
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	calling.Go(func() { c.run(ctx, callersPerDaemon*defaultDaemons, seed) })
	for range steps {
		f.step()
		time.Sleep(time.Duration(100+f.random.IntN(500)) * time.Millisecond)
	}
	f.running.Wait()
	w.waitServing(t, "the last fault")
	// A daemon whose connections were lost has this long to be up to date again.
	time.Sleep(settleTime)
	w.checkKeys(t)
	cancel()
	calling.Wait()
	// Requests that were refused must not run later either.
	time.Sleep(time.Second)
	c.check()
}

// waitServed waits until every daemon serves every kind of request.
func (w *environment) waitServing(t *testing.T, since string) {
	t.Helper()
	for _, d := range w.daemons {
		for _, route := range []string{"gen", "post", "read"} {
			last := ""
			served := false
			for end := time.Now().Add(recoveryTime); !served && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				s := w.probe(d, route, accountKey)
				served = s.status == http.StatusOK && s.err == nil
				last = fmt.Sprintf("status %d, %v", s.status, s.err)
			}
			if !served {
				t.Errorf("%s does not serve %s within %v of %s: %s", d.name, route, recoveryTime, since, last)
			}
		}
	}
}

// probe sends one request over a connection of its own.
func (w *environment) probe(d *daemon, route, key string) *sentRequest {
	s := &sentRequest{
		id: fmt.Sprintf("probe-%d", time.Now().UnixNano()), route: route, path: "/" + route + "/probe", body: "probe", daemon: d,
	}
	transport := &http.Transport{DisableKeepAlives: true}
	(&callers{env: w}).sendWithKey(transport, s, key)
	return s
}

// checkKeys checks that the configuration in force is the last one at every daemon: its key is valid, an older one is not.
func (w *environment) checkKeys(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	old := w.key
	w.mu.Unlock()
	w.configure("key-last")
	time.Sleep(configBound)
	for _, d := range w.daemons {
		if s := w.probe(d, "read", "key-last"); s.status == http.StatusUnauthorized || s.err != nil {
			t.Errorf("%s does not know the last configuration: status %d, %v", d.name, s.status, s.err)
		}
		if s := w.probe(d, "read", old); s.status != http.StatusUnauthorized {
			t.Errorf("%s still takes an older key: status %d, %v", d.name, s.status, s.err)
		}
	}
}
