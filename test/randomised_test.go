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
type chaos struct {
	f           *fleet
	random      *rand.Rand
	actions     []string
	frozen      *member
	stopped     *process // engine
	outage      bool
	partitioned bool
	leaving     bool
	versions    map[*member]uint64 // last seen
}

// Guards against failures in combination that the tests of single failures miss. HYSSOPHOIST_SEED determines the
// faults, but not the timing of the processes, and HYSSOPHOIST_STEPS their number.
func TestRandomisedFleet(t *testing.T) {
	t.Parallel()
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, defaultFleetSteps)
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "b": 1, "c": 1})
	c := &chaos{f: f, random: rand.New(rand.NewPCG(seed, 0)), versions: make(map[*member]uint64)}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d, actions:\n%s", seed, steps, strings.Join(c.actions, "\n"))
		}
	})
	f.waitVersion(1, "abc")
	f.createPreset("peak", entity.PeakPreset)
	h := &history{answers: make(map[string][]answer)}
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
	c.end()
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
			r.check(t, m)
			return r.err == nil
		})
	}
	succeeded, refused := h.check(f)
	h.checkOutcomes(f)
	t.Logf("%d keys, %d succeeded, %d never run, version %d", len(h.answers), succeeded, refused, latest)
	f.assertNoViolations()
}

// check checks that a stream has its whole own text, or a part of it and an error.
func (r streamResult) check(t *testing.T, m *member) {
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
		m.streamPrompt(fmt.Sprintf("Explain item %d of part %d.", i, number), 20+random.IntN(60), func(int) {}).check(f.t, m)
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

func (c *chaos) note(format string, args ...any) {
	c.actions = append(c.actions, fmt.Sprintf(format, args...))
}

// awake returns a daemon that is not frozen.
func (c *chaos) awake() *member {
	for {
		if m := c.f.members[c.random.IntN(len(c.f.members))]; m != c.frozen {
			return m
		}
	}
}

// step performs one action. Actions that a state forbids are replaced by the end of that state.
func (c *chaos) step() {
	targets := []string{"first", "second-a", "second-b", "third", "ledger-1"}
	target := targets[c.random.IntN(len(targets))]
	switch c.random.IntN(9) {
	case 0:
		// A daemon that restarts alone in its zone without the platform stays not ready.
		c.endOutage()
		c.heal()
		m := c.awake()
		c.note("kill and restart %s", m.name)
		m.kill()
		m.start()
	case 1:
		if c.frozen != nil {
			c.thaw()
			return
		}
		c.frozen = c.awake()
		c.note("stop %s", c.frozen.name)
		c.frozen.proc.signal(syscall.SIGSTOP)
	case 2:
		if c.stopped != nil {
			c.resume()
			return
		}
		c.stopped = c.f.engines[targets[c.random.IntN(4)]]
		c.note("stop engine %s", c.stopped.name)
		c.stopped.signal(syscall.SIGSTOP)
	case 3:
		c.note("cut connections to %s", target)
		c.f.proxies[target].Reset()
	case 4:
		c.note("silence connections to %s", target)
		c.f.proxies[target].Blackhole()
	case 5:
		if c.outage {
			c.endOutage()
			return
		}
		c.outage = true
		outage := []string{"refuse", "drop", "hang"}[c.random.IntN(3)]
		c.note("outage of the platform: %s", outage)
		fault(c.f.t, c.f.plat, map[string]any{"outage": outage})
	case 6:
		if c.partitioned {
			c.heal()
			return
		}
		c.partitioned = true
		zone := []string{"a", "b", "c"}[c.random.IntN(3)]
		c.note("partition zone %s", zone)
		c.f.partition(zone)
	case 7:
		m := c.awake()
		name := []string{"peak", "test"}[c.random.IntN(2)]
		c.note("switch to %s at %s: status %d", name, m.name, m.switchTo(name, m.status().Version))
	case 8:
		m := c.awake()
		state := entity.LeaveMark
		if c.leaving {
			state = entity.JoinMark
		}
		marks := adminapi.Marks{ExpectedVersion: m.status().Version, Marks: []adminapi.Mark{{ID: "second-a", State: state}}}
		status := m.call(http.MethodPost, adminapi.MarksPath, marks, nil)
		c.note("mark second-a %s at %s: status %d", state, m.name, status)
		if status == http.StatusOK {
			c.leaving = !c.leaving
		}
	}
}

func (c *chaos) thaw() {
	if c.frozen != nil {
		c.note("continue %s", c.frozen.name)
		c.frozen.proc.signal(syscall.SIGCONT)
		c.frozen = nil
	}
}

func (c *chaos) resume() {
	if c.stopped != nil {
		c.note("continue engine %s", c.stopped.name)
		c.stopped.signal(syscall.SIGCONT)
		c.stopped = nil
	}
}

func (c *chaos) endOutage() {
	if c.outage {
		c.note("end of the outage")
		fault(c.f.t, c.f.plat, map[string]any{"outage": ""})
		c.outage = false
	}
}

func (c *chaos) heal() {
	if c.partitioned {
		c.note("heal")
		c.f.heal()
		c.partitioned = false
	}
}

// end ends all states.
func (c *chaos) end() {
	c.thaw()
	c.resume()
	c.endOutage()
	c.heal()
}

// checkVersions checks that no daemon goes back to an older configuration.
func (c *chaos) checkVersions() {
	for _, m := range c.f.members {
		if m == c.frozen {
			continue
		}
		version := m.status().Version
		if version < c.versions[m] {
			c.f.t.Errorf("%s went back from version %d to %d", m.name, c.versions[m], version)
		}
		c.versions[m] = version
	}
}
