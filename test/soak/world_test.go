package soak

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
)

const (
	modelLayers       = edgeplatform.ModelLayers
	streamEvents      = 30
	heartbeatInterval = 50 * time.Millisecond
	// plainWork is the time that plain targets work on a request, as the users' do.
	serviceWorkTime = 60 * time.Millisecond
	// lapse is how long the entry of a silent target stays in the list.
	entryTTL = 1500 * time.Millisecond
	// accountKey is valid in every configuration; rotated keys come and go.
	accountKey  = "key-always"
	accountName = "account-1"
)

// target is a stand-in of an engine or a plain service behind a proxy.
type target struct {
	*edgeplatform.Target
	proxy *faultproxy.Proxy

	mu    sync.Mutex
	state string // in the list of targets: "ready", "draining" or "" for none
}

// world is a deployment: the store, targets in zones, and daemons.
type environment struct {
	t       *testing.T
	store   *edgeplatform.Store
	targets []*target
	daemons []*daemon

	mu sync.Mutex
	// version and key are of the configuration in force.
	version int
	key     string
}

// newWorld starts two zones, each with daemons instances, engines engines and one plain target.
func newEnvironment(t *testing.T, seed uint64, daemons, engines int) *environment {
	w := &environment{t: t, store: edgeplatform.NewStore()}
	t.Cleanup(w.store.Close)
	for i := range 2 * engines {
		w.addTarget(fmt.Sprintf("engine-%d", i), "llm", zoneName(i/engines), "small", seed+uint64(i))
	}
	for i := range 3 {
		w.addTarget(fmt.Sprintf("plain-%d", i), "ledger", zoneName(i%2), "", seed+100+uint64(i))
	}
	w.configure("key-0")
	ctx, cancel := context.WithCancel(context.Background())
	var beating sync.WaitGroup
	beating.Go(func() { w.publishTargets(ctx) })
	t.Cleanup(func() {
		cancel()
		beating.Wait()
	})
	for i := range daemons {
		w.daemons = append(w.daemons, newDaemon(t, i, zoneName(i%2), w.store.Address(), seed+200+uint64(i)))
	}
	return w
}

func zoneName(i int) string { return []string{"a", "b"}[i] }

func (w *environment) addTarget(id, service, zone, card string, seed uint64) {
	made := edgeplatform.NewTarget(id, service, zone, card, streamEvents)
	made.Latency = serviceWorkTime
	w.t.Cleanup(made.Close)
	proxy, err := faultproxy.New(faultproxy.Options{Target: made.Address(), Seed: seed})
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(proxy.Close)
	made.Advertise(proxy.Address())
	w.targets = append(w.targets, &target{Target: made, proxy: proxy, state: "ready"})
}

// beat keeps the list of targets up to date, as the targets' heartbeats do.
func (w *environment) publishTargets(ctx context.Context) {
	listed := make(map[string]string)
	for ctx.Err() == nil {
		for _, t := range w.targets {
			t.mu.Lock()
			state := t.state
			t.mu.Unlock()
			entry := ""
			if state != "" {
				entry = fmt.Sprint(t.Entry(state))
			}
			if listed[t.ID] == entry {
				continue
			}
			listed[t.ID] = entry
			if state == "" {
				w.store.Remove("servers", t.ID)
			} else if err := w.store.Put("servers", t.ID, t.Entry(state)); err != nil {
				w.t.Error(err)
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// configure puts a new version in force, in which accountKey and key are valid.
func (w *environment) configure(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	w.key = key
	configuration := edgeplatform.Configuration{
		Version: w.version, Account: accountName, Keys: []string{accountKey, key}, PostAttempts: 2,
	}
	if err := w.store.Put("op", "config", configuration.Row()); err != nil {
		w.t.Error(err)
	}
}
