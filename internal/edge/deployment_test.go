package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

const (
	streamEvents = 20
	modelLayers  = edgeplatform.ModelLayers
	waitLimit    = 10 * time.Second
)

// deployment is a small emulated platform with one or more edge daemons.
type deployment struct {
	t       *testing.T
	store   *edgeplatform.Store
	engines []*edgeplatform.Target
	plain   []*edgeplatform.Target
	daemons []*Daemon
	// stops holds a function for each daemon that stops it without draining.
	stops []func()
}

// newDeployment starts a store with a configuration, two engines in each of two zones, which can each hold 4 of 8
// layers, and two targets of a service without layers. Tests start daemons with addDaemon.
func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, store: edgeplatform.NewStore()}
	t.Cleanup(d.store.Close)
	for i := range 4 {
		zone := []string{"a", "b"}[i/2]
		engine := edgeplatform.NewTarget(fmt.Sprintf("engine-%d", i), "llm", zone, "small", streamEvents)
		d.engines = append(d.engines, engine)
		t.Cleanup(engine.Close)
	}
	for i := range 2 {
		target := edgeplatform.NewTarget(fmt.Sprintf("plain-%d", i), "ledger", "a", "", 0)
		d.plain = append(d.plain, target)
		t.Cleanup(target.Close)
	}
	d.configure(1, "key-1")
	for _, target := range append(d.engines, d.plain...) {
		d.register(target, "ready")
	}
	return d
}

// register writes the target's entry with the given state to the list of targets.
func (d *deployment) register(target *edgeplatform.Target, state string) {
	d.t.Helper()
	if err := d.store.Put("servers", target.ID, target.Entry(state)); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) configure(version int, keys ...string) {
	d.t.Helper()
	configuration := edgeplatform.Configuration{Version: version, Account: "account-1", Keys: keys, PostAttempts: 1}
	if err := d.store.Put("op", "config", configuration.Row()); err != nil {
		d.t.Fatal(err)
	}
}

// daemonsStarted counts the daemons started by this process.
var daemonsStarted atomic.Int32

// uniqueLoopbackIP returns a loopback address for one daemon that no other daemon and no other test process uses.
// Picking free ports on 127.0.0.1 failed occasionally because another test took the port before the daemon listened on
// it.
func uniqueLoopbackIP(number int32) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(process>>8)%250, process%256, 1+number%250)
}

func (d *deployment) addDaemon(zone string) *Daemon {
	d.t.Helper()
	daemon := d.startDaemon(d.daemonSettings(zone))
	d.waitUntil("daemon is ready", func() bool { return daemon.notReadyReason() == "" })
	return daemon
}

// daemonSettings returns settings for the next daemon, with addresses of its own.
func (d *deployment) daemonSettings(zone string) *settings.Edge {
	ip := uniqueLoopbackIP(daemonsStarted.Add(1))
	return &settings.Edge{
		Daemon: fmt.Sprintf("edge-%d", len(d.daemons)), Zone: zone, Front: ip + ":8000", Ready: ip + ":8001",
		Peer: ip + ":8002", Metrics: ip + ":8003", Relay: ip + ":8004", MemoryMB: 100, StopGrace: settings.Duration(5 * time.Second),
		FirstStart: true,
		DrainBound: settings.Duration(2 * time.Second), ConfigurationBound: settings.Duration(2 * time.Second),
		Retries: settings.Retries{Ratio: 0.2, Slack: 2000, Span: settings.Duration(10 * time.Second)},
		Store:   settings.Store{Address: d.store.Address(), Timeout: settings.Duration(time.Second)},
	}
}

// startDaemon starts a daemon, which the test stops at its end unless it has stopped it before. Options replace parts of it.
func (d *deployment) startDaemon(s *settings.Edge, options ...fx.Option) *Daemon {
	d.t.Helper()
	var daemon *Daemon
	app := fx.New(Module, fx.Supply(s), fx.Populate(&daemon), fx.Options(options...),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Start(context.Background()); err != nil {
		d.t.Fatal(err)
	}
	stop := sync.OnceFunc(func() {
		if err := app.Stop(context.Background()); err != nil {
			d.t.Log(err)
		}
	})
	d.t.Cleanup(stop)
	d.daemons = append(d.daemons, daemon)
	d.stops = append(d.stops, stop)
	return daemon
}

// addDaemonAndAwaitPlacement starts a daemon and waits until the engines of each zone hold the whole model and the
// daemon has read this from their entries.
func (d *deployment) addDaemonAndAwaitPlacement() *Daemon {
	daemon := d.addDaemon("a")
	for _, group := range [][]*edgeplatform.Target{d.engines[:2], d.engines[2:]} {
		d.waitUntil("zone holds the model", func() bool { return countHeldLayers(group) == modelLayers })
	}
	for _, engine := range d.engines {
		d.register(engine, "ready")
	}
	d.waitUntil("the daemon knows the layers of all engines", func() bool { return daemon.knownLayers() == 2*modelLayers })
	return daemon
}

// knownLayers sums up the layers that engines hold according to the daemon.
func (d *Daemon) knownLayers() (layers int) {
	d.gateway.WithFleet(func(f *fleet.Fleet) {
		for _, state := range f.All {
			layers += state.Layers.Len()
		}
	})
	return layers
}

// plainTargetsInService returns the ids of the targets of the service without layers that may get requests, in order.
func (d *Daemon) plainTargetsInService() string {
	var ids []string
	d.gateway.WithFleet(func(f *fleet.Fleet) {
		for id, state := range f.All {
			if state.Card == "" && state.InService(boottime.Now()) {
				ids = append(ids, string(id))
			}
		}
	})
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// countHeldLayers returns how many distinct layers are held by at least one of the engines.
func countHeldLayers(engines []*edgeplatform.Target) int {
	var layers [modelLayers]bool
	for _, engine := range engines {
		from, to, _ := engine.Layers()
		for layer := from; layer < to; layer++ {
			layers[layer] = true
		}
	}
	count := 0
	for _, holds := range layers {
		if holds {
			count++
		}
	}
	return count
}

func (d *deployment) waitUntil(what string, done func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	d.t.Fatalf("timed out after %v waiting until %s", waitLimit, what)
}

// result is the response to a caller.
type result struct {
	status     int
	body       string
	retryAfter string
	stamp      string
	err        error
}

func (d *deployment) call(daemon *Daemon, method, path, id, key, body string) result {
	d.t.Helper()
	return d.callWithHeader(daemon, method, path, id, key, body, nil)
}

// callWithHeader is call with additional request headers.
func (d *deployment) callWithHeader(daemon *Daemon, method, path, id, key, body string, header map[string]string) result {
	d.t.Helper()
	request, err := http.NewRequest(method, "http://"+daemon.settings.Front+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = edgeplatform.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("X-Key", key)
	request.Header.Set("X-Tenant", "forged")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, body: string(content), retryAfter: response.Header.Get("Retry-After"),
		stamp: response.Header.Get("X-Server-Stamp"), err: err,
	}
}

// start makes a request in the background. Its result follows on the channel.
func (d *deployment) start(request func() result) <-chan result {
	got := make(chan result, 1)
	go func() { got <- request() }()
	return got
}

func (d *deployment) stream(daemon *Daemon, id string) result {
	return d.call(daemon, http.MethodPost, "/gen/1", id, "key-1", "prompt")
}

// checkEvents fails the test unless body contains each event exactly once and in order.
func checkEvents(t *testing.T, body string) {
	t.Helper()
	next := 0
	for scanner := bufio.NewScanner(strings.NewReader(body)); scanner.Scan(); {
		if text, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			if text != fmt.Sprint(next) {
				t.Fatalf("event %s, want %d", text, next)
			}
			next++
		}
	}
	if next != streamEvents {
		t.Fatalf("%d events, want %d", next, streamEvents)
	}
}

// checkWholeStream fails the test unless the result is that of a whole stream.
func (d *deployment) checkWholeStream(got result) {
	d.t.Helper()
	if got.status != http.StatusOK || got.err != nil {
		d.t.Fatalf("stream: %+v", got)
	}
	checkEvents(d.t, got.body)
}

// runsOf returns the runs of a request at all targets.
func (d *deployment) runsOf(id string) (runs []edgeplatform.Run) {
	for _, target := range append(d.engines, d.plain...) {
		for _, run := range target.Runs() {
			if run.RequestID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// runsThrough returns the runs of a stream on paths that contain the engine.
func (d *deployment) runsThrough(engine *edgeplatform.Target, id string) (runs []edgeplatform.Run) {
	for _, run := range d.runsOf(id) {
		if strings.Contains(run.Hops, engine.Address()+"=") {
			runs = append(runs, run)
		}
	}
	return runs
}
