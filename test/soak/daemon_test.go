package soak

import (
	"encoding/json"
	"fmt"
	"iter"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

const (
	stopGrace = 5 * time.Second
	// nearGraceEnd is how long after SIGTERM the grace time is nearly over, so that requests may be cut off.
	nearGraceEnd = stopGrace * 5 / 6
	drainBound   = 2 * time.Second
	configBound  = 2 * time.Second
	// retrySlack is small, so that the test reaches the limit of the retry budget.
	retrySlack = 60
	retryRatio = 0.2
	retrySpan  = 10 * time.Second
	// startupTime is how long the Go runtime takes to start and the program to begin to handle signals.
	startupTime = 200 * time.Millisecond
	// killSlack is how long before the recorded time of a signal a caller may see the process end.
	killSlack = 50 * time.Millisecond
)

// daemon is an edge daemon in a process of its own, which can be stopped and restarted.
type daemon struct {
	t            *testing.T
	name         string
	settings     settings.Edge
	settingsFile string
	// storeProxy is the proxy between the daemon and the platform's store.
	storeProxy *faultproxy.Proxy
	// pauses holds the times during which the process was suspended, and storeFaults those during which the connections to
	// the store were blocked or became silent.
	pauses, storeFaults faultLog

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// startedAt is when the process was started, hangupAt when SIGHUP was last sent.
	startedAt, hangupAt time.Time
	// terminating is set from sending SIGKILL or SIGTERM to the process until its restart.
	terminating bool
	// killTimes and stopTimes hold when SIGKILL and SIGTERM were sent.
	killTimes, stopTimes []time.Time
	// processes holds the time of each process from its start to its exit; the last one may not have ended.
	processes []period
	logFile   *os.File
}

// period is a time during which a fault was present.
type period struct{ from, to time.Time }

// faultLog holds the times during which a fault was present. It is safe for concurrent use.
type faultLog struct {
	mu      sync.Mutex
	periods []period
}

// record records that the fault was present since from.
func (l *faultLog) record(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.periods = append(l.periods, period{from, time.Now()})
}

func (l *faultLog) all() []period {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.periods)
}

// overlap reports whether the fault was present at some time between from and to.
func (l *faultLog) overlap(from, to time.Time) bool {
	return slices.ContainsFunc(l.all(), func(p period) bool { return p.from.Before(to) && p.to.After(from) })
}

// lastAddress is the number of the last loopback address that was given to a daemon of this test process.
var lastAddress atomic.Int32

// newDaemon starts a daemon with a loopback address of its own.
func newDaemon(t *testing.T, number int, zone, storeAddress string, seed uint64) *daemon {
	t.Helper()
	proxy, err := faultproxy.New(faultproxy.Options{Target: storeAddress, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, lastAddress.Add(1)%254)
	d := &daemon{t: t, name: fmt.Sprintf("edge-%s-%d", zone, number), storeProxy: proxy}
	d.settings = settings.Edge{
		Daemon: d.name, Zone: zone, Front: ip + ":8000", Ready: ip + ":8001", Peer: ip + ":8002", Metrics: ip + ":8003",
		Relay:    ip + ":8004",
		MemoryMB: 128, StopGrace: settings.Duration(stopGrace), FirstStart: true,
		DrainBound: settings.Duration(drainBound), ConfigurationBound: settings.Duration(configBound),
		Retries: settings.Retries{Ratio: retryRatio, Slack: retrySlack, Span: settings.Duration(retrySpan)},
		Store:   settings.Store{Address: proxy.Address(), Timeout: settings.Duration(time.Second)},
	}
	directory := t.TempDir()
	d.settingsFile = filepath.Join(directory, "edge.json")
	if d.logFile, err = os.Create(filepath.Join(logDirectory(t), d.name+".log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.signal(syscall.SIGCONT)
		d.terminate(syscall.SIGKILL)
		d.waitExit(stopGrace)
		d.logFile.Close()
	})
	d.writeSettings()
	d.start()
	return d
}

// logDirectory returns the directory for the daemons' logs: one in HYSSOPHOIST_SOAK_LOGS, or if that is not set, one that
// is removed after the test.
func logDirectory(t *testing.T) string {
	t.Helper()
	directory := os.Getenv("HYSSOPHOIST_SOAK_LOGS")
	if directory == "" {
		return t.TempDir()
	}
	directory = filepath.Join(directory, t.Name())
	if err := os.MkdirAll(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	return directory
}

func (d *daemon) writeSettings() {
	content, err := json.Marshal(d.settings)
	if err == nil {
		err = os.WriteFile(d.settingsFile, append([]byte("// written by the soak test\n"), content...), 0o600)
	}
	if err != nil {
		d.t.Error(err)
	}
}

func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(buildOfProcess(len(d.processes)), "edge", "--settings", d.settingsFile)
	cmd.Stdout, cmd.Stderr = d.logFile, d.logFile
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	d.settings.FirstStart = false
	d.terminating, d.startedAt = false, time.Now()
	d.processes = append(d.processes, period{from: d.startedAt})
	number := len(d.processes) - 1
	go func(exited chan struct{}) {
		err := cmd.Wait()
		d.mu.Lock()
		d.processes[number].to = time.Now()
		d.mu.Unlock()
		close(exited)
		d.handleExit(err)
	}(d.exited)
}

// buildOfProcess returns the path of the program that a daemon runs as its process with this number, counted from 0. With
// HYSSOPHOIST_SOAK_OTHER_BUILD, the path of a hyssophoistd of another version, all daemons begin with that one, and change between it
// and the present one at each start, so that both run side by side.
func buildOfProcess(number int) string {
	if other := os.Getenv("HYSSOPHOIST_SOAK_OTHER_BUILD"); other != "" && number%2 == 0 {
		return other
	}
	return binary
}

// handleExit restarts a process that has exited on its own, as the platform does. Such an exit fails the test, unless
// SIGHUP was sent before the program could handle signals.
func (d *daemon) handleExit(err error) {
	d.mu.Lock()
	expected, earlyHangup := d.terminating, d.hangupAt.Sub(d.startedAt) < startupTime
	d.mu.Unlock()
	if expected {
		return
	}
	if !earlyHangup {
		d.t.Errorf("%s exited unexpectedly: %v", d.name, err)
	}
	d.start()
}

// terminate sends SIGKILL or SIGTERM to the process and records the time.
func (d *daemon) terminate(s syscall.Signal) {
	d.mu.Lock()
	d.terminating = true
	if s == syscall.SIGKILL {
		d.killTimes = append(d.killTimes, time.Now())
	} else {
		d.stopTimes = append(d.stopTimes, time.Now())
	}
	d.mu.Unlock()
	d.signal(s)
}

// mayInterrupt reports whether the daemon may have interrupted a request that was in progress between from and to:
// the process was killed, or the grace time of a graceful shutdown was nearly over.
func (d *daemon) mayInterrupt(from, to time.Time) bool {
	return d.wasKilled(from, to) || d.endedGrace(from, to)
}

// wasDisturbed reports whether the process was killed or suspended between from and to.
func (d *daemon) wasDisturbed(from, to time.Time) bool {
	return d.wasKilled(from, to) || d.pauses.overlap(from, to)
}

// wasKilled reports whether the process was killed between from and to.
func (d *daemon) wasKilled(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return anyWithin(d.killTimes, 0, from, to)
}

// endedGrace reports whether the grace time of a graceful shutdown was nearly over between from and to.
func (d *daemon) endedGrace(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return anyWithin(d.stopTimes, nearGraceEnd, from, to)
}

// wasStopping reports whether the daemon was in a graceful shutdown at a time between from and to.
func (d *daemon) wasStopping(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.stopTimes, func(at time.Time) bool {
		return !at.After(to) && !at.Add(time.Duration(d.settings.StopGrace)).Before(from)
	})
}

// anyWithin reports whether any of the given times, each with delay added, is between from and to.
func anyWithin(times []time.Time, delay time.Duration, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool {
		at = at.Add(delay)
		return !at.Before(from) && !at.After(to.Add(killSlack))
	})
}

// loggedUnanswered reports whether the daemon has logged that it closed the connection of a caller without an answer after
// it had read size bytes or more.
func (d *daemon) loggedUnanswered(caller string, size int) bool {
	for line := range d.logLines() {
		_, fields, _ := strings.Cut(line, "connection closed without an answer\" ")
		received := 0
		_, err := fmt.Sscanf(fields, fmt.Sprintf("remote=%q received=%%d", caller), &received)
		if err == nil && received >= size {
			return true
		}
	}
	return false
}

// logLines returns the lines that the processes of the daemon have logged.
func (d *daemon) logLines() iter.Seq[string] {
	content, err := os.ReadFile(d.logFile.Name())
	if err != nil {
		d.t.Error(err)
	}
	return strings.Lines(string(content))
}

// suspend suspends the process for the given duration.
func (d *daemon) suspend(duration time.Duration) {
	defer d.pauses.record(time.Now())
	d.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	d.signal(syscall.SIGCONT)
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // the process may have ended
	}
}

// waitExit reports whether the process exits within timeout.
func (d *daemon) waitExit(timeout time.Duration) bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
