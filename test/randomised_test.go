package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

const defaultFleetSteps = 25

// chaos draws faults for a fleet.
type faultInjector struct {
	fleet        *fleet
	random       *rand.Rand
	actions      []string
	pausedDaemon *member
	pausedEngine *process // engine
	outage       bool
	partitioned  bool
	leaveMarked  bool
	lastVersions map[*member]uint64 // last seen
}

// Guards against failures in combination that the tests of single failures miss. HYSSOPHOIST_SEED determines the
// faults, but not the timing of the processes, and HYSSOPHOIST_STEPS their number.
func TestRandomisedFleet(t *testing.T) {
	t.Parallel()
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, defaultFleetSteps)
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "b": 1, "c": 1})
	c := &faultInjector{fleet: f, random: rand.New(rand.NewPCG(seed, 0)), lastVersions: make(map[*member]uint64)}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d, actions:\n%s", seed, steps, strings.Join(c.actions, "\n"))
		}
	})
	f.waitVersion(1, "abc")
	f.createPreset("peak", entity.PeakPreset)
	h := &history{results: make(map[string][]callResult)}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range 3 {
		load.Go(func() { f.streamLoad(seed, i, stop) })
		load.Go(func() { f.postingLoad(seed, i, stop, h) })
	}
	for range steps {
		c.step()
		time.Sleep(time.Duration(100+c.random.IntN(300)) * time.Millisecond)
		c.checkVersions()
	}
	c.endFaults()
	close(stop)
	load.Wait()
	latest := uint64(0)
	for _, m := range f.members {
		latest = max(latest, m.status().Version)
	}
	f.waitVersion(latest, "abc")
	for _, m := range f.members {
		waitFor(t, "a posting at "+m.name, func() bool { return m.post("last-" + m.name).ok() })
		waitFor(t, "a completion at "+m.name, func() bool {
			r := m.streamPrompt("Explain the end.", 20, func(int) {})
			r.checkText(t, m)
			return r.err == nil
		})
	}
	succeeded, refused := h.checkExecutions(f)
	h.checkOutcomes(f)
	t.Logf("%d keys, %d succeeded, %d never run, version %d", len(h.results), succeeded, refused, latest)
	f.assertNoViolations()
}

// check checks that a stream has its whole own text, or a part of it and an error.
func (r streamResult) checkText(t *testing.T, m *member) {
	if !strings.HasPrefix(r.want, r.text) || r.err == nil && r.text != r.want {
		t.Errorf("a stream at %s has the text %q (error %v), want %q", m.name, r.text, r.err, r.want)
	}
}

func (f *fleet) streamLoad(seed uint64, number int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(100+number)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m := f.members[random.IntN(len(f.members))]
		m.streamPrompt(fmt.Sprintf("Explain item %d of part %d.", i, number), 20+random.IntN(60), func(int) {}).checkText(f.t, m)
	}
}

func (f *fleet) postingLoad(seed uint64, number int, stop <-chan struct{}, h *history) {
	random := rand.New(rand.NewPCG(seed, uint64(200+number)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		key := fmt.Sprintf("load-%d-%d", number, i)
		first := random.IntN(len(f.members))
		var callers sync.WaitGroup
		for j := range 1 + random.IntN(2) {
			callers.Go(func() { h.add(key, f.members[(first+j)%len(f.members)].post(key)) })
		}
		callers.Wait()
	}
}

func (c *faultInjector) logAction(format string, args ...any) {
	c.actions = append(c.actions, fmt.Sprintf(format, args...))
}

// awake returns a daemon that is not frozen.
func (c *faultInjector) randomDaemon() *member {
	for {
		if m := c.fleet.members[c.random.IntN(len(c.fleet.members))]; m != c.pausedDaemon {
			return m
		}
	}
}

// step performs one action. Actions that a state forbids are replaced by the end of that state.
func (c *faultInjector) step() {
	targets := []string{"first", "second-a", "second-b", "third", "ledger-1"}
	target := targets[c.random.IntN(len(targets))]
	switch c.random.IntN(9) {
	case 0:
		// A daemon that restarts alone in its zone without the platform stays not ready.
		c.endOutage()
		c.heal()
		m := c.randomDaemon()
		c.logAction("kill and restart %s", m.name)
		m.kill()
		m.start()
	case 1:
		if c.pausedDaemon != nil {
			c.resumeDaemon()
			return
		}
		c.pausedDaemon = c.randomDaemon()
		c.logAction("stop %s", c.pausedDaemon.name)
		c.pausedDaemon.proc.signal(syscall.SIGSTOP)
	case 2:
		if c.pausedEngine != nil {
			c.resumeEngine()
			return
		}
		c.pausedEngine = c.fleet.engines[targets[c.random.IntN(4)]]
		c.logAction("stop engine %s", c.pausedEngine.name)
		c.pausedEngine.signal(syscall.SIGSTOP)
	case 3:
		c.logAction("cut connections to %s", target)
		c.fleet.proxies[target].Reset()
	case 4:
		c.logAction("silence connections to %s", target)
		c.fleet.proxies[target].Blackhole()
	case 5:
		if c.outage {
			c.endOutage()
			return
		}
		c.outage = true
		outage := []string{"refuse", "drop", "hang"}[c.random.IntN(3)]
		c.logAction("outage of the platform: %s", outage)
		setFaults(c.fleet.t, c.fleet.platform, map[string]any{"outage": outage})
	case 6:
		if c.partitioned {
			c.heal()
			return
		}
		c.partitioned = true
		zone := []string{"a", "b", "c"}[c.random.IntN(3)]
		c.logAction("partition zone %s", zone)
		c.fleet.partition(zone)
	case 7:
		m := c.randomDaemon()
		name := []string{"peak", "test"}[c.random.IntN(2)]
		c.logAction("switch to %s at %s: status %d", name, m.name, m.switchTo(name, m.status().Version))
	case 8:
		m := c.randomDaemon()
		state := entity.LeaveMark
		if c.leaveMarked {
			state = entity.JoinMark
		}
		marks := adminapi.Marks{ExpectedVersion: m.status().Version, Marks: []adminapi.Mark{{ID: "second-a", State: state}}}
		status := m.callAdmin(http.MethodPost, adminapi.MarksPath, marks, nil)
		c.logAction("mark second-a %s at %s: status %d", state, m.name, status)
		if status == http.StatusOK {
			c.leaveMarked = !c.leaveMarked
		}
	}
}

func (c *faultInjector) resumeDaemon() {
	if c.pausedDaemon != nil {
		c.logAction("continue %s", c.pausedDaemon.name)
		c.pausedDaemon.proc.signal(syscall.SIGCONT)
		c.pausedDaemon = nil
	}
}

func (c *faultInjector) resumeEngine() {
	if c.pausedEngine != nil {
		c.logAction("continue engine %s", c.pausedEngine.name)
		c.pausedEngine.signal(syscall.SIGCONT)
		c.pausedEngine = nil
	}
}

func (c *faultInjector) endOutage() {
	if c.outage {
		c.logAction("end of the outage")
		setFaults(c.fleet.t, c.fleet.platform, map[string]any{"outage": ""})
		c.outage = false
	}
}

func (c *faultInjector) heal() {
	if c.partitioned {
		c.logAction("heal")
		c.fleet.heal()
		c.partitioned = false
	}
}

// end ends all states.
func (c *faultInjector) endFaults() {
	c.resumeDaemon()
	c.resumeEngine()
	c.endOutage()
	c.heal()
}

// checkVersions checks that no daemon goes back to an older configuration.
func (c *faultInjector) checkVersions() {
	for _, m := range c.fleet.members {
		if m == c.pausedDaemon {
			continue
		}
		version := m.status().Version
		if version < c.lastVersions[m] {
			c.fleet.t.Errorf("%s went back from version %d to %d", m.name, c.lastVersions[m], version)
		}
		c.lastVersions[m] = version
	}
}
