package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// soundSilence is the longest time for which a sound target may send nothing.
const soundSilence = 1600 * time.Millisecond

// unreachableAddress returns an address at which connections are neither accepted nor refused: the queue of its listener
// is full.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	listen, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(listen) })
	if err := syscall.Bind(listen, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(listen, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(listen)
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		caller, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { syscall.Close(caller) })
		if err := syscall.Connect(caller, bound); err != nil && err != syscall.EINPROGRESS {
			t.Fatal(err)
		}
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// otherPlainTarget is the state of the second target of the service without layers in a test.
type otherPlainTarget struct {
	removed, unreachable bool
	faults               edgeplatform.TargetFaults
	// silentFrom is when it falls silent for soundSilence, from the start of the request; 0 for never.
	silentFrom time.Duration
}

// preferFirstPlainTarget makes daemons of zone a choose the first target of the service without layers first, and gives
// the second one its state. It is called before daemons are started.
func (d *deployment) preferFirstPlainTarget(other otherPlainTarget) {
	d.t.Helper()
	second := d.plain[1]
	second.Zone = "b"
	second.SetFaults(other.faults)
	if other.unreachable {
		second.Advertise(unreachableAddress(d.t))
	}
	d.register(second, "ready")
	if other.removed {
		d.store.Remove("servers", second.ID)
	}
}

// TestSilentTargetLosesNoPlainCall guards against plain calls that are given up because their target, which is sound, sends
// nothing for a second or so, although no other target can serve them.
func TestSilentTargetLosesNoPlainCall(t *testing.T) {
	t.Parallel()
	const post, read = http.MethodPost, http.MethodGet
	for name, test := range map[string]struct {
		method    string
		limit     time.Duration
		silentFor time.Duration
		inBody    bool // the target falls silent in the middle of the body
		latency   time.Duration
		noRetries bool
		other     otherPlainTarget
	}{
		"posting, no other target":                {method: post, other: otherPlainTarget{removed: true}},
		"posting, other target free, short limit": {method: post, limit: 1800 * time.Millisecond},
		"posting, no retry left":                  {method: post, noRetries: true},
		"posting, within the body":                {method: post, inBody: true},
		"lookup, no other target":                 {method: read, other: otherPlainTarget{removed: true}},
		"lookup, no retry left":                   {method: read, noRetries: true},
		"lookup, other target free":               {method: read, limit: time.Second, silentFor: 900 * time.Millisecond},
		"lookup, other target falls silent later": {
			method: read, limit: 2 * time.Second, other: otherPlainTarget{silentFrom: 700 * time.Millisecond},
		},
		"lookup, other target refuses": {
			method: read, other: otherPlainTarget{faults: edgeplatform.TargetFaults{Refuse: true}},
		},
		"lookup, other target asks for time": {
			method: read, other: otherPlainTarget{faults: edgeplatform.TargetFaults{RefuseFor: time.Second}},
		},
		"lookup, other target breaks off": {
			method: read, other: otherPlainTarget{faults: edgeplatform.TargetFaults{LoseResponses: true}},
		},
		"lookup, other target hangs": {
			method: read, other: otherPlainTarget{faults: edgeplatform.TargetFaults{Hang: true}},
		},
		"lookup, other target unreachable": {method: read, other: otherPlainTarget{unreachable: true}},
		"lookup, within the body, other target refuses": {
			method: read, inBody: true, other: otherPlainTarget{faults: edgeplatform.TargetFaults{Refuse: true}},
		},
		"lookup, within the body, other target unreachable": {
			method: read, inBody: true, other: otherPlainTarget{unreachable: true},
		},
		"lookup, all targets take long": {
			method: read, limit: 2 * time.Second, silentFor: time.Millisecond, latency: 1300 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.preferFirstPlainTarget(test.other)
			daemon := d.plainDaemon(test.noRetries, test.other.removed)
			limit, silentFor := test.limit, test.silentFor
			if limit == 0 {
				limit = 3 * time.Second
			}
			if silentFor == 0 {
				silentFor = soundSilence
			}
			faults := edgeplatform.TargetFaults{SilentFor: silentFor}
			if test.inBody {
				faults = edgeplatform.TargetFaults{SilentInBody: silentFor}
			}
			d.plain[0].SetFaults(faults)
			for _, target := range d.plain {
				target.Latency = test.latency
			}
			if test.other.silentFrom > 0 {
				time.AfterFunc(test.other.silentFrom, func() { d.plain[1].Silence(soundSilence) })
			}
			begun := time.Now()
			got := d.plainCall(daemon, test.method, "x", limit)
			if got.status != http.StatusOK || got.err != nil {
				t.Errorf("after %v: %+v, runs %+v", time.Since(begun), got, d.runsOf("x"))
			}
			if runs := d.runsOf("x"); test.method == post && len(runs) != 1 || len(runs) > 2 {
				t.Errorf("runs %+v", runs)
			}
		})
	}
}

// plainDaemon starts a daemon and waits until it knows the targets of the service without layers.
func (d *deployment) plainDaemon(noRetries, oneTarget bool) *Daemon {
	d.t.Helper()
	s := d.daemonSettings("a")
	if noRetries {
		s.Retries.Ratio, s.Retries.Slack = 0, 0
	}
	daemon := d.startDaemon(s)
	want := "plain-0 plain-1"
	if oneTarget {
		want = "plain-0"
	}
	d.waitUntil("daemon is ready and knows the targets", func() bool {
		return daemon.notReadyReason() == "" && daemon.plainTargetsInService() == want
	})
	return daemon
}

// plainCall sends a posting or, with the method GET, a lookup that may take the time limit.
func (d *deployment) plainCall(daemon *Daemon, method, id string, limit time.Duration) result {
	d.t.Helper()
	path, body := "/read/1", ""
	if method == http.MethodPost {
		path, body = "/post/1", "x"
	}
	header := map[string]string{"X-Deadline-Ms": strconv.FormatInt(limit.Milliseconds(), 10)}
	return d.callWithHeader(daemon, method, path, id, "key-1", body, header)
}
