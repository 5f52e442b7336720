package edge

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

const (
	cutDaemons = 4
	// defaultCuts is the number of cuts in a run.
	defaultCuts = 12
	// knownAfter is the time from the start of a cut after which its instance must serve again: contactMs of the platform is 3 s.
	knownAfter = time.Second
	// readTargets and streamTargets are the numbers of targets that the routes allow for one request.
	readTargets, streamTargets = 2, 2
)

// sentCall is a request of the soak with its result.
type sentCall struct {
	id, path string
	daemon   int
	sentAt   time.Time
	result
	// cut reports whether the links of its instance had been cut for knownAfter and stayed so, counted whether it counts for the
	// comparison: another instance was in touch all the while.
	cut, counted bool
}

// linkCutSoak cuts the links of instances at random while callers send requests.
type linkCutSoak struct {
	*isolatedDeployment
	random *rand.Rand

	mu sync.Mutex
	// cutSince is when the links of each instance were cut; zero while they are not. touchedAt is when a cut last began or ended.
	cutSince  [cutDaemons]time.Time
	touchedAt time.Time
	calls     []*sentCall
	events    []string
}

// TestRandomisedLinkCuts guards against requests that run too often, or are refused although they have run or another instance reaches
// the targets, while the links of instances to all targets are cut and come back. HYSSOPHOIST_SEED and HYSSOPHOIST_STEPS repeat the
// cuts of a run.
func TestRandomisedLinkCuts(t *testing.T) {
	t.Parallel()
	seed := testenv.Seed(t, 100)
	s := &linkCutSoak{isolatedDeployment: newIsolatedDeployment(t, cutDaemons), random: rand.New(rand.NewPCG(seed, 0))}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("HYSSOPHOIST_SEED=%d\n%s", seed, strings.Join(s.events, "\n"))
		}
	})
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for n := range 2 * cutDaemons {
		sending.Go(func() { s.send(n, rand.New(rand.NewPCG(seed, uint64(n+1))), stop) })
	}
	for range testenv.Steps(t, defaultCuts) {
		s.step()
	}
	s.restoreAll()
	time.Sleep(knownAfter)
	close(stop)
	sending.Wait()
	s.check()
}

// step begins or ends the cut of some instances, or has targets fail, and waits for a while.
func (s *linkCutSoak) step() {
	switch s.random.IntN(5) {
	case 0:
		s.restoreAll()
	case 1:
		target := s.plain[s.random.IntN(len(s.plain))]
		faults := []edgeplatform.TargetFaults{{FailStatus: 500}, {LoseResponses: true}, {Truncate: true}}[s.random.IntN(3)]
		s.log("target %s: %+v", target.ID, faults)
		target.SetFaults(faults)
		time.AfterFunc(time.Duration(300+s.random.IntN(700))*time.Millisecond, func() { target.SetFaults(edgeplatform.TargetFaults{}) })
	default:
		for _, index := range s.random.Perm(cutDaemons)[:1+s.random.IntN(cutDaemons)] {
			s.cutOne(index)
		}
	}
	time.Sleep(time.Duration(200+s.random.IntN(2000)) * time.Millisecond)
}

func (s *linkCutSoak) cutOne(index int) {
	mode := []cutMode{linksRefuse, linksHang}[s.random.IntN(2)]
	kind := s.random.IntN(3)
	existing := []func(*faultproxy.Proxy){(*faultproxy.Proxy).Reset, (*faultproxy.Proxy).Blackhole, func(*faultproxy.Proxy) {}}[kind]
	s.log("cut %d: mode %d, open connections %d", index, mode, kind)
	s.mu.Lock()
	if s.cutSince[index].IsZero() {
		s.cutSince[index], s.touchedAt = time.Now(), time.Now()
	}
	s.mu.Unlock()
	s.links[index].cut(mode, existing)
}

func (s *linkCutSoak) restoreAll() {
	s.log("all links are back")
	for _, links := range s.links {
		links.restore()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutSince, s.touchedAt = [cutDaemons]time.Time{}, time.Now()
}

func (s *linkCutSoak) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// send makes requests at one instance until stop is closed.
func (s *linkCutSoak) send(caller int, random *rand.Rand, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond):
		}
		c := &sentCall{
			id: fmt.Sprintf("cut-%d-%d", caller, n), path: []string{"/read/1", "/post/1", "/gen/1"}[random.IntN(3)],
			daemon: caller % cutDaemons, sentAt: time.Now(),
		}
		method := http.MethodPost
		if c.path == "/read/1" {
			method = http.MethodGet
		}
		c.cut, c.counted = s.state(c.daemon)
		c.result = s.call(s.daemons[c.daemon], method, c.path, c.id, "key-1", "body")
		s.mu.Lock()
		c.counted = c.counted && s.touchedAt.Before(c.sentAt.Add(-knownAfter))
		s.calls = append(s.calls, c)
		s.mu.Unlock()
	}
}

// state reports whether the links of an instance are cut, and whether those of another one are not.
func (s *linkCutSoak) state(daemon int) (cut, otherInTouch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index, since := range s.cutSince {
		otherInTouch = otherInTouch || index != daemon && since.IsZero()
	}
	return !s.cutSince[daemon].IsZero(), otherInTouch && time.Since(s.touchedAt) >= knownAfter
}

// check checks all requests after the end of the run.
func (s *linkCutSoak) check() {
	var sent, served [2]int
	for _, c := range s.calls {
		s.checkRuns(c)
		if c.path == "/gen/1" && c.status == http.StatusOK && c.err == nil {
			checkEvents(s.t, c.body)
		}
		if !c.counted {
			continue
		}
		group := 0
		if c.cut {
			group = 1
		}
		sent[group]++
		if c.status == http.StatusOK && c.err == nil {
			served[group]++
		}
	}
	s.t.Logf("%d requests; served while calm: in touch %d of %d, cut off %d of %d", len(s.calls), served[0], sent[0], served[1], sent[1])
	if failed := sent[1] - served[1]; failed > 10+sent[1]/50 && 3*served[1]*sent[0] < 2*served[0]*sent[1] {
		s.t.Errorf("instances without links serve less than two thirds of what the others do")
	}
}

// checkRuns checks that a request has run as often as its route and its answer allow.
func (s *linkCutSoak) checkRuns(c *sentCall) {
	limit := map[string]int{"/read/1": readTargets, "/post/1": 1, "/gen/1": streamTargets}[c.path]
	runs, targets := 0, 0
	for _, target := range slices.Concat(s.engines, s.plain) {
		here := 0
		for _, run := range target.Runs() {
			if run.RequestID == c.id {
				here++
			}
		}
		runs += here
		targets += min(here, 1)
	}
	if targets > limit || c.path == "/post/1" && runs > 1 {
		s.t.Errorf("%s %s: %d runs on %d targets, %d allowed; answer %d, %v", c.path, c.id, runs, targets, limit, c.status, c.err)
	}
	refused := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if slices.Contains(refused, c.status) && runs > 0 {
		s.t.Errorf("%s %s: refused with %d, has run %d times", c.path, c.id, c.status, runs)
	}
}
