package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

const (
	stopGrace   = 5 * time.Second
	drainBound  = 2 * time.Second
	configBound = 2 * time.Second
	// repetitionSlack is small, so that the soak reaches the limit of repetitions.
	retrySlack = 60
	retryRatio = 0.2
	retrySpan  = 10 * time.Second
	// startupTime is the time in which the Go runtime starts and the program begins to handle signals.
	startupTime = 200 * time.Millisecond
	// killSlack is the time by which a caller may see the end of a process before the signal is noted.
	killSlack = 50 * time.Millisecond
)

// daemon is an edge daemon that may be stopped and started again.
type daemon struct {
	t            *testing.T
	name         string
	settings     settings.Edge
	settingsFile string
	// store is the proxy between the daemon and the platform's store.
	storeProxy *faultproxy.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// started is when the process was started, hungUp when a hangup signal was last sent.
	startedAt, hangupAt time.Time
	// ending says that the process was told to end.
	terminating bool
	// kills and stops hold when a process was told to end at once, and when gracefully.
	killTimes, stopTimes []time.Time
	logFile              *os.File
}

// addresses numbers the daemons of this process, each of which has a loopback address of its own.
var lastAddress atomic.Int32

// newDaemon prepares a daemon with a loopback address of its own.
func newDaemon(t *testing.T, number int, zone, store string, seed uint64) *daemon {
	t.Helper()
	proxy, err := faultproxy.New(faultproxy.Options{Target: store, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, lastAddress.Add(1)%254)
	d := &daemon{t: t, name: fmt.Sprintf("edge-%s-%d", zone, number), storeProxy: proxy}
	d.settings = settings.Edge{
		Daemon: d.name, Zone: zone, Front: ip + ":8000", Ready: ip + ":8001", Peer: ip + ":8002", Metrics: ip + ":8003",
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

// logDirectory returns where the logs of daemons go: HYSSOPHOIST_SOAK_LOGS, or a directory that is removed after the test.
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
		err = os.WriteFile(d.settingsFile, append([]byte("// written by the soak\n"), content...), 0o600)
	}
	if err != nil {
		d.t.Error(err)
	}
}

func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(binary, "edge", "--settings", d.settingsFile)
	cmd.Stdout, cmd.Stderr = d.logFile, d.logFile
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	d.settings.FirstStart = false
	d.terminating, d.startedAt = false, time.Now()
	go func(exited chan struct{}) {
		err := cmd.Wait()
		close(exited)
		d.handleExit(err)
	}(d.exited)
}

// ended starts a process again that has ended by itself, as the platform does. That is a failure, but for a hangup signal
// that comes before the program can handle signals.
func (d *daemon) handleExit(err error) {
	d.mu.Lock()
	asked, early := d.terminating, d.hangupAt.Sub(d.startedAt) < startupTime
	d.mu.Unlock()
	if asked {
		return
	}
	if !early {
		d.t.Errorf("%s ended by itself: %v", d.name, err)
	}
	d.start()
}

// end sends a signal that ends the process.
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

// mayCut says whether a request that was in progress from one time to another may have been cut off: its process was killed,
// or the grace time of a planned stop was nearly over.
func (d *daemon) mayHaveInterrupted(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	within := func(at time.Time) bool { return !at.Before(from) && !at.After(to.Add(killSlack)) }
	if slices.ContainsFunc(d.killTimes, within) {
		return true
	}
	return slices.ContainsFunc(d.stopTimes, func(at time.Time) bool { return within(at.Add(stopGrace * 5 / 6)) })
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // the process may have ended
	}
}

// wait reports whether the process ends within limit.
func (d *daemon) waitExit(limit time.Duration) bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}
