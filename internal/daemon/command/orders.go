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

// ordersModule brings the engines that this daemon polls to the state that the preset in force states.
var ordersModule = fx.Module("orders",
	fx.Provide(
		newOrders,
		fx.Annotate(func(m *orders.Manager) daemon.LoadObserver { return orderObserver{m} },
			fx.ResultTags(`group:"load_observers"`)),
	),
	fx.Invoke(followAssignment),
)

// assignmentInterval is the time between two checks of which targets this daemon polls.
const assignmentInterval = 2 * time.Second

// followAssignment keeps the manager's desired states those of the engines that this daemon polls. With all engines of the
// design size the manager would hold 3 MB instead of some 10 KB.
func followAssignment(lifecycle fx.Lifecycle, m *orders.Manager, loop *daemon.Loop, polls daemon.PollSet) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() {
				ticker := time.NewTicker(assignmentInterval)
				defer ticker.Stop()
				for {
					m.SetDesired(assignedStates(loop.Configuration(), polls))
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
			running.Wait()
			return nil
		},
	})
}

// assignedStates returns the desired states of the engines that this daemon polls.
func assignedStates(c *entity.Configuration, polls daemon.PollSet) []orders.Desired {
	if c == nil {
		return nil
	}
	return slices.DeleteFunc(orders.FromPreset(&c.Preset), func(d orders.Desired) bool { return !polls.Target(d.Target) })
}

// orderObserver passes the load reports of the engines that this daemon polls to the manager.
type orderObserver struct{ manager *orders.Manager }

// ObserveLoad implements daemon.LoadObserver.
func (o orderObserver) ObserveLoad(report engineapi.LoadReport) { o.manager.RecordReport(report) }

func newOrders(lifecycle fx.Lifecycle, options daemon.Options, table platform.TableStore, engines *engine.Client,
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
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { manager.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
	return manager, nil
}
