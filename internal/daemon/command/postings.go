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

// cleanupInterval is the mean time between two tries to delete expired postings.
const cleanupInterval = time.Minute

// postingsModule provides the runner of calls that are not idempotent.
var postingsModule = fx.Module("postings",
	fx.Provide(newPostings, func(p *postings) daemon.PostingRunner { return p }),
	fx.Invoke(func(p *postings, loop *daemon.Loop, control *controlplane.ControlPlane) {
		p.loop.Store(loop)
		p.control.Store(control)
	}),
)

// postings connects the posting store to the daemon. The loop and the control plane need it when they are made, so it
// gets them later.
type postings struct {
	runner  *postingstore.Runner
	loop    atomic.Pointer[daemon.Loop]
	control atomic.Pointer[controlplane.ControlPlane]
}

func newPostings(lifecycle fx.Lifecycle, options daemon.Options, table platform.TableStore,
	objects platform.ObjectStore, m *metrics.Metrics) (*postings, error) {
	p := &postings{}
	storeMetrics := postingstore.NewMetrics()
	for _, collector := range storeMetrics.Collectors() {
		if err := m.Registry.Register(collector); err != nil {
			return nil, err
		}
	}
	p.runner = postingstore.New(postingstore.Options{
		Daemon: options.Daemon, Incarnation: options.Incarnation, Seed: options.Incarnation, Table: table, Objects: objects,
		Claimants: postingstore.Peers{Caller: p, Address: p.address},
		Target:    p.target, Metrics: storeMetrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var cleanup sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			cleanup.Go(func() { p.runner.RunCleanup(ctx, cleanupInterval) })
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if left := p.runner.Drain(ctx); left > 0 {
				log.Errorf("%d outcomes of postings are not stored", left)
			}
			cancel()
			cleanup.Wait()
			return nil
		},
	})
	return p, nil
}

// Run implements daemon.PostingRunner.
func (p *postings) Run(ctx context.Context, call daemon.PostingCall) (*postingstore.Response, error) {
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
func (p *postings) Outcome(ctx context.Context, account entity.AccountID, service entity.ServiceID,
	key string) (*postingstore.Response, error) {
	return p.runner.Outcome(ctx, account, service, key)
}

func (p *postings) target(id entity.TargetID) (entity.Target, bool) {
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

// Call implements postingstore.Caller with the client of the control plane.
func (p *postings) Call(ctx context.Context, address, method string, args, reply any) error {
	control := p.control.Load()
	if control == nil {
		return errkind.WithRun(errkind.New(errkind.TargetFailed, "the control plane is not running"), errkind.NotRun)
	}
	return control.Client().Call(ctx, address, method, args, reply)
}

// address returns the address of a daemon's peer listener, if it is known.
func (p *postings) address(id entity.DaemonID) (string, bool) {
	control := p.control.Load()
	if control == nil {
		return "", false
	}
	for _, known := range control.Agent().Status().Daemons {
		if known.ID == string(id) && known.Address != "" {
			return known.Address, true
		}
	}
	return "", false
}
