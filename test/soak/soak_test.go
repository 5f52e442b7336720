package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// connectionCallersPerDaemon is the number of connection callers of each kind.
	connectionCallersPerDaemon = 3
	// recoveryTime is the time after the last fault within which every daemon must serve every kind of request again.
	recoveryTime = 12 * time.Second
	// settleTime is the time without faults after which all bounds must hold again.
	settleTime = 3 * time.Second
	// releaseTime is how long after the end of a delay the bytes that a connection held back may still arrive.
	releaseTime = 100 * time.Millisecond
)

// regressions are seeds that once failed, with the number of faultKinds at that time and the cause of the failure.
var regressions = []struct {
	seed  uint64
	kinds int
	cause string
}{
	{1, 15, "a connection to the store went silent behind a proxy that answered keepalive probes; a revoked key was accepted for minutes"},
	{4, 15, "three of four connections were silent; the last configuration took more than 2 s to take effect"},
	{207, 15, "two daemons with silent connections kept each other from accepting the last configuration from the daemons that had it"},
	{8, 15, "SIGHUP terminated a process that had just started"},
	{940006, 21, "the check took requests that a blocked connection had held back for late ones: they arrived right after its end"},
	{920038, 21, "a stream that timed out before its first event got a closed connection in place of its answer"},
}

// TestRandomisedSoak guards against violated guarantees to callers and targets while faults overlap, such as postings
// that run twice, truncated streams that look complete, retries beyond the budget, and outdated keys that are
// still accepted. HYSSOPHOIST_SEED and HYSSOPHOIST_STEPS repeat the faults of a run.
func TestRandomisedSoak(t *testing.T) {
	runSoak(t, testenv.Seed(t, 100), int(testenv.Steps(t, defaultSteps)), faultKinds, nil)
}

// TestEntriesSoak is TestRandomisedSoak with half of the faults in the list of targets: late heartbeats and entries of other writers.
func TestEntriesSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak test takes half a minute for each seed")
	}
	kinds := append(slices.Clone(faultKinds), slices.Repeat(entryKinds, len(faultKinds)/len(entryKinds))...)
	runSoak(t, testenv.Seed(t, 60), int(testenv.Steps(t, defaultSteps)), kinds, nil)
}

// TestSoakRegressions repeats the faults of seeds that once failed.
func TestSoakRegressions(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak test takes half a minute for each seed")
	}
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Log(r.cause)
			runSoak(t, r.seed, defaultSteps, faultKinds[:r.kinds], nil)
		})
	}
}

// runSoak runs the given number of steps with faults of the given kinds. Faults of several kinds overlap.
// Generations have the given classes, unless these are nil.
func runSoak(t *testing.T, seed uint64, steps int, kinds []faultKind, classes []generationClass) {
	env := newEnvironment(t, seed, defaultDaemons, enginesPerZone, classes)
	c := &callers{env: env}
	f := &faultInjector{
		env: env, callers: c, random: rand.New(rand.NewPCG(seed, 0)), kinds: kinds, reserved: make(map[any]bool),
	}
	t.Cleanup(func() {
		if t.Failed() {
			f.mu.Lock()
			defer f.mu.Unlock()
			t.Logf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d, faults in the order in which they ended:\n%s",
				seed, steps, strings.Join(f.completed, "\n"))
		}
	})
	env.waitServing(t, "the start")
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	sending.Go(func() { c.run(ctx, callersPerDaemon*defaultDaemons, connectionCallersPerDaemon*defaultDaemons, seed) })
	for range steps {
		f.step()
		if len(kinds) == 1 {
			f.running.Wait()
		}
		time.Sleep(time.Duration(100+f.random.IntN(500)) * time.Millisecond)
	}
	f.running.Wait()
	env.waitServing(t, "the last fault")
	// A daemon that lost its connections has this long to catch up.
	time.Sleep(settleTime)
	if classes != nil {
		c.overloadWhileCalm(f.random)
		env.waitServing(t, "the last overload")
	}
	env.checkKeys(t)
	cancel()
	sending.Wait()
	// Requests that were refused must not run later either.
	time.Sleep(time.Second)
	c.check()
}

// waitServing waits until every daemon serves every kind of request.
func (env *environment) waitServing(t *testing.T, since string) {
	t.Helper()
	for _, d := range env.daemons {
		for _, class := range append([]generationClass{{"gen", accountKey, accountName}, {"post", accountKey, accountName},
			{"read", accountKey, accountName}}, env.classes...) {
			route, lastResult := class.route, ""
			served := false
			for end := time.Now().Add(recoveryTime); !served && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				s := env.probe(d, route, class.key)
				served = s.status == http.StatusOK && s.err == nil
				lastResult = fmt.Sprintf("status %d, %v", s.status, s.err)
			}
			if !served {
				t.Errorf("%s did not serve %s within %v of %s: %s", d.name, route, recoveryTime, since, lastResult)
			}
		}
	}
}

// probe sends one request over a new connection.
func (env *environment) probe(d *daemon, route, key string) *sentRequest {
	s := &sentRequest{
		id: fmt.Sprintf("probe-%s-%d", d.name, time.Now().UnixNano()), route: route, path: "/" + route + "/probe", body: "probe", daemon: d,
		timeout: callerTimeout,
	}
	transport := &http.Transport{DisableKeepAlives: true}
	(&callers{env: env}).sendWithKey(transport, s, key)
	return s
}

// checkKeys checks that every daemon applies the last configuration: its key is valid, an older one is not.
func (env *environment) checkKeys(t *testing.T) {
	t.Helper()
	env.mu.Lock()
	old := env.key
	env.mu.Unlock()
	env.configure("key-last")
	time.Sleep(configBound)
	for _, d := range env.daemons {
		if s := env.probe(d, "read", "key-last"); s.status == http.StatusUnauthorized || s.err != nil {
			t.Errorf("%s did not apply the last configuration: status %d, %v", d.name, s.status, s.err)
		}
		if s := env.probe(d, "read", old); s.status != http.StatusUnauthorized {
			t.Errorf("%s still accepts an older key: status %d, %v", d.name, s.status, s.err)
		}
	}
}
