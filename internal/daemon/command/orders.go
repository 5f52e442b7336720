package command

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/daemon"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/metrics"
	"github.com/hyssophoist/hyssophoist/internal/orders"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// ordersModule brings the engines that this daemon polls to the state defined by the preset in force.
var ordersModule = fx.Module("orders",
	fx.Provide(
		newOrderManager,
		fx.Annotate(func(m *orders.Manager) daemon.LoadObserver { return orderObserver{m} },
			fx.ResultTags(`group:"load_observers"`)),
	),
	fx.Invoke(updateDesiredStates),
)

// assignmentInterval is the time between two checks of which targets this daemon polls.
const assignmentInterval = 2 * time.Second

// updateDesiredStates keeps the manager's desired states limited to the engines that this daemon polls. With all
// engines of a deployment of the design size (410 daemons, 3,200 targets), the manager would hold 3 MB instead of about
// 10 KB.
func updateDesiredStates(lifecycle fx.Lifecycle, m *orders.Manager, loop *daemon.Loop, pollSet daemon.PollSet) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			wg.Go(func() {
				ticker := time.NewTicker(assignmentInterval)
				defer ticker.Stop()
				for {
					m.SetDesired(assignedStates(loop.Configuration(), pollSet))
					select {
					case <-ctx.Done():
						return
					case <-ticker.C:
					}
				}
			})
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			wg.Wait()
			return nil
		},
	})
}

// assignedStates returns the desired states of the engines that this daemon polls.
func assignedStates(c *entity.Configuration, pollSet daemon.PollSet) []orders.Desired {
	if c == nil {
		return nil
	}
	return slices.DeleteFunc(orders.FromPreset(&c.Preset), func(d orders.Desired) bool { return !pollSet.PollsTarget(d.Target) })
}

// orderObserver forwards the load reports of the engines that this daemon polls to the manager.
type orderObserver struct{ manager *orders.Manager }

// ObserveLoad implements daemon.LoadObserver.
func (o orderObserver) ObserveLoad(report engineapi.LoadReport) { o.manager.RecordReport(report) }

func newOrderManager(lifecycle fx.Lifecycle, options daemon.Options, table platform.TableStore, engines *engine.Client,
	m *metrics.Metrics) (*orders.Manager, error) {
	orderMetrics := orders.NewMetrics()
	for _, collector := range orderMetrics.Collectors() {
		if err := m.Registry.Register(collector); err != nil {
			return nil, err
		}
	}
	manager := orders.New(orders.Options{
		Daemon: options.Daemon, Incarnation: options.Incarnation, Table: table, Engines: engines,
		Metrics: orderMetrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			wg.Go(func() { manager.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			wg.Wait()
			return nil
		},
	})
	return manager, nil
}
