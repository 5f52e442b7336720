package command

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/controlplane"
	"github.com/hyssophoist/hyssophoist/internal/daemon"
	"github.com/hyssophoist/hyssophoist/internal/metrics"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/postingstore"
)

// cleanupInterval is the mean time between two attempts to delete expired postings.
const cleanupInterval = time.Minute

// postingsModule provides the daemon.PostingRunner, which runs calls that are not idempotent.
var postingsModule = fx.Module("postings",
	fx.Provide(newPostingRunner, func(p *postingRunner) daemon.PostingRunner { return p }),
	fx.Invoke(func(p *postingRunner, loop *daemon.Loop, control *controlplane.ControlPlane) {
		p.loop.Store(loop)
		p.control.Store(control)
	}),
)

// postingRunner connects the posting store to the daemon. Its loop and control fields are set after construction, since
// the loop and the control plane need the postingRunner for their own construction.
type postingRunner struct {
	runner  *postingstore.Runner
	loop    atomic.Pointer[daemon.Loop]
	control atomic.Pointer[controlplane.ControlPlane]
}

func newPostingRunner(lifecycle fx.Lifecycle, options daemon.Options, table platform.TableStore, objects platform.ObjectStore,
	m *metrics.Metrics) (*postingRunner, error) {
	p := &postingRunner{}
	storeMetrics := postingstore.NewMetrics()
	for _, collector := range storeMetrics.Collectors() {
		if err := m.Registry.Register(collector); err != nil {
			return nil, err
		}
	}
	p.runner = postingstore.New(postingstore.Options{
		Daemon: options.Daemon, Incarnation: options.Incarnation, Seed: options.Incarnation, Table: table, Objects: objects,
		StatusClient: postingstore.PeerStatusClient{Caller: p, Address: p.peerAddress},
		Target:       p.findTarget, Metrics: storeMetrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var cleanup sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			cleanup.Go(func() { p.runner.RunCleanup(ctx, cleanupInterval) })
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if unstored := p.runner.Drain(ctx); unstored > 0 {
				log.Errorf("failed to store %d posting outcomes before shutdown", unstored)
			}
			cancel()
			cleanup.Wait()
			return nil
		},
	})
	return p, nil
}

// Run implements daemon.PostingRunner.
func (p *postingRunner) Run(ctx context.Context, call daemon.PostingCall) (*postingstore.Response, error) {
	return p.runner.Run(ctx, postingstore.Call{
		Account: call.Account, Service: call.Service, Key: call.Key, RequestHash: call.RequestHash,
		Attempt: call.Attempt, Target: call.Target,
		Send: func(ctx context.Context, fencing uint64) (*postingstore.Response, error) {
			return call.SendTo(ctx, call.Target, fencing)
		},
		SendTo: call.SendTo,
	})
}

// Outcome implements daemon.PostingRunner.
func (p *postingRunner) Outcome(ctx context.Context, account entity.AccountID, service entity.ServiceID,
	key string) (*postingstore.Response, error) {
	return p.runner.Outcome(ctx, account, service, key)
}

// findTarget looks up a target of the configuration in force.
func (p *postingRunner) findTarget(id entity.TargetID) (entity.Target, bool) {
	loop := p.loop.Load()
	if loop == nil || loop.Configuration() == nil {
		return entity.Target{}, false
	}
	for _, target := range daemon.Targets(loop.Configuration()) {
		if target.ID == id {
			return target, true
		}
	}
	return entity.Target{}, false
}

// Call implements postingstore.Caller. It uses the client of the control plane.
func (p *postingRunner) Call(ctx context.Context, address, method string, args, reply any) error {
	control := p.control.Load()
	if control == nil {
		return errkind.WithRun(errkind.New(errkind.TargetFailed, "control plane is not running"), errkind.NotRun)
	}
	return control.Client().Call(ctx, address, method, args, reply)
}

// peerAddress returns the address of a daemon's peer listener, or false if it is unknown.
func (p *postingRunner) peerAddress(id entity.DaemonID) (string, bool) {
	control := p.control.Load()
	if control == nil {
		return "", false
	}
	for _, peer := range control.Agent().Status().Daemons {
		if peer.ID == string(id) && peer.Address != "" {
			return peer.Address, true
		}
	}
	return "", false
}
