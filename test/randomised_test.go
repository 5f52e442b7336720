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

// faultInjector injects random faults into a fleet.
type faultInjector struct {
	fleet        *fleet
	random       *rand.Rand
	actions      []string
	pausedDaemon *member
	pausedEngine *process
	outage       bool
	partitioned  bool
	leaveMarked  bool // whether second-a is marked as leaving
	lastVersions map[*member]uint64
}

// TestRandomisedFleet guards against failures under combinations of faults, which the tests of single faults miss.
// HYSSOPHOIST_SEED determines the faults, but not the timing of the processes. HYSSOPHOIST_STEPS sets the number of
// actions.
func TestRandomisedFleet(t *testing.T) {
	t.Parallel()
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, defaultFleetSteps)
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "b": 1, "c": 1})
	inj := &faultInjector{fleet: f, random: rand.New(rand.NewPCG(seed, 0)), lastVersions: make(map[*member]uint64)}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d, actions:\n%s", seed, steps, strings.Join(inj.actions, "\n"))
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
		inj.step()
		time.Sleep(time.Duration(100+inj.random.IntN(300)) * time.Millisecond)
		inj.checkVersions()
	}
	inj.endFaults()
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

// checkText checks that a stream has the complete expected text, or a prefix of it and an error.
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

func (inj *faultInjector) logAction(format string, args ...any) {
	inj.actions = append(inj.actions, fmt.Sprintf(format, args...))
}

// randomDaemon returns a random daemon that is not paused.
func (inj *faultInjector) randomDaemon() *member {
	for {
		if m := inj.fleet.members[inj.random.IntN(len(inj.fleet.members))]; m != inj.pausedDaemon {
			return m
		}
	}
}

// step performs one random action. If the fault of the action is already active, it ends that fault instead.
func (inj *faultInjector) step() {
	targets := []string{"first", "second-a", "second-b", "third", "ledger-1"}
	target := targets[inj.random.IntN(len(targets))]
	switch inj.random.IntN(9) {
	case 0:
		// A daemon that is alone in its zone and restarts without the platform does not become ready.
		inj.endOutage()
		inj.heal()
		m := inj.randomDaemon()
		inj.logAction("kill and restart %s", m.name)
		m.kill()
		m.start()
	case 1:
		if inj.pausedDaemon != nil {
			inj.resumeDaemon()
			return
		}
		inj.pausedDaemon = inj.randomDaemon()
		inj.logAction("pause %s", inj.pausedDaemon.name)
		inj.pausedDaemon.proc.signal(syscall.SIGSTOP)
	case 2:
		if inj.pausedEngine != nil {
			inj.resumeEngine()
			return
		}
		inj.pausedEngine = inj.fleet.engines[targets[inj.random.IntN(4)]]
		inj.logAction("pause engine %s", inj.pausedEngine.name)
		inj.pausedEngine.signal(syscall.SIGSTOP)
	case 3:
		inj.logAction("reset connections to %s", target)
		inj.fleet.proxies[target].Reset()
	case 4:
		inj.logAction("blackhole connections to %s", target)
		inj.fleet.proxies[target].Blackhole()
	case 5:
		if inj.outage {
			inj.endOutage()
			return
		}
		inj.outage = true
		outage := []string{"refuse", "drop", "hang"}[inj.random.IntN(3)]
		inj.logAction("outage of the platform: %s", outage)
		setFaults(inj.fleet.t, inj.fleet.platform, map[string]any{"outage": outage})
	case 6:
		if inj.partitioned {
			inj.heal()
			return
		}
		inj.partitioned = true
		zone := []string{"a", "b", "c"}[inj.random.IntN(3)]
		inj.logAction("partition zone %s", zone)
		inj.fleet.partition(zone)
	case 7:
		m := inj.randomDaemon()
		name := []string{"peak", "test"}[inj.random.IntN(2)]
		inj.logAction("switch to %s at %s: status %d", name, m.name, m.switchTo(name, m.status().Version))
	case 8:
		m := inj.randomDaemon()
		state := entity.LeaveMark
		if inj.leaveMarked {
			state = entity.JoinMark
		}
		marks := adminapi.Marks{ExpectedVersion: m.status().Version, Marks: []adminapi.Mark{{ID: "second-a", State: state}}}
		status := m.callAdmin(http.MethodPost, adminapi.MarksPath, marks, nil)
		inj.logAction("mark second-a %s at %s: status %d", state, m.name, status)
		if status == http.StatusOK {
			inj.leaveMarked = !inj.leaveMarked
		}
	}
}

func (inj *faultInjector) resumeDaemon() {
	if inj.pausedDaemon != nil {
		inj.logAction("resume %s", inj.pausedDaemon.name)
		inj.pausedDaemon.proc.signal(syscall.SIGCONT)
		inj.pausedDaemon = nil
	}
}

func (inj *faultInjector) resumeEngine() {
	if inj.pausedEngine != nil {
		inj.logAction("resume engine %s", inj.pausedEngine.name)
		inj.pausedEngine.signal(syscall.SIGCONT)
		inj.pausedEngine = nil
	}
}

func (inj *faultInjector) endOutage() {
	if inj.outage {
		inj.logAction("end the outage of the platform")
		setFaults(inj.fleet.t, inj.fleet.platform, map[string]any{"outage": ""})
		inj.outage = false
	}
}

func (inj *faultInjector) heal() {
	if inj.partitioned {
		inj.logAction("heal")
		inj.fleet.heal()
		inj.partitioned = false
	}
}

// endFaults ends all active faults.
func (inj *faultInjector) endFaults() {
	inj.resumeDaemon()
	inj.resumeEngine()
	inj.endOutage()
	inj.heal()
}

// checkVersions checks that no daemon reverts to an older configuration version.
func (inj *faultInjector) checkVersions() {
	for _, m := range inj.fleet.members {
		if m == inj.pausedDaemon {
			continue
		}
		version := m.status().Version
		if version < inj.lastVersions[m] {
			inj.fleet.t.Errorf("%s reverted from version %d to %d", m.name, inj.lastVersions[m], version)
		}
		inj.lastVersions[m] = version
	}
}
