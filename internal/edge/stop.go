package edge

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/hyssophoist/hyssophoist/core/drain"
	"github.com/hyssophoist/hyssophoist/internal/callerconn"
	"github.com/hyssophoist/hyssophoist/internal/timing"
	"github.com/hyssophoist/hyssophoist/platform"
)

const (
	// stopMargin is the part of the grace time that is reserved for shutdown after draining.
	stopMargin = 400 * time.Millisecond
	// answerMargin is the part of stopMargin in which the callers of cancelled requests get an answer.
	answerMargin = 150 * time.Millisecond
	// relayedPollInterval is the time between two looks whether requests that other instances have relayed are in progress.
	relayedPollInterval = 20 * time.Millisecond
	// idleTimeoutFactor multiplies the idle timeout in the configuration: callers may go by an earlier or later configuration,
	// and a request that crosses the close of its connection has to be sent again.
	idleTimeoutFactor = 2
)

// listenForCallers is like listen, but tracks the connections, so that the daemon can stop without dropping requests.
func (d *Daemon) listenForCallers() error {
	config := callerListenConfig()
	listener, err := config.Listen(context.Background(), "tcp", d.settings.Front)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", d.settings.Front, err)
	}
	d.callers = callerconn.Track(listener.(*net.TCPListener), callerconn.Options{
		OnUnanswered:    d.recordUnanswered,
		IdleTimeout:     d.idleTimeout,
		ClosingResponse: func() []byte { return platform.Codec{}.ClosingResponse(time.Now()) },
		OnCrossed:       d.recordCrossed,
		Limits:          d.callerLimits(),
	})
	d.front.ConnState = d.callers.SetState
	d.front.ConnContext = withCaller
	d.gateway.OnPassOn(d.passOn)
	d.serve(d.front, d.callers)
	return nil
}

// idleTimeout returns how long connections of callers may stay idle, or 0 if the configuration does not say.
func (d *Daemon) idleTimeout() time.Duration {
	configuration := d.gateway.Configuration()
	if configuration == nil {
		return 0
	}
	return idleTimeoutFactor * configuration.Limits.IdleTimeout
}

// recordUnanswered records that the connection of a caller was closed without an answer to what it had sent.
func (d *Daemon) recordUnanswered(u callerconn.Unanswered) {
	d.metrics.UnansweredConnections.Inc()
	log.Event("connection closed without an answer", "remote", u.Remote, "received", u.Received, "unread", u.Unread,
		"ms", u.Waited.Milliseconds(), "stopping", d.draining.Load())
}

// recordCrossed records that a request was sent on an idle connection while the daemon closed it, and refused as not run.
func (d *Daemon) recordCrossed(c callerconn.Crossed) {
	d.metrics.CrossedConnections.Inc()
	log.Event("request crossed the close of its connection", "remote", c.Remote, "discarded", c.Discarded,
		"ms", c.Open.Milliseconds(), "stopping", d.draining.Load())
}

// drain reports the daemon as not ready and accepts connections until the balancer sends no more (see core/drain). It
// then refuses and closes those that carry no request, and waits for the requests in progress. Those that last until stopMargin
// before the end of the grace time are cancelled, so that their callers get an answer.
func (d *Daemon) drain() {
	now := time.Now()
	stop := drain.Stop{BegunAt: now, EndAt: now.Add(time.Duration(d.settings.StopGrace) - stopMargin)}
	d.draining.Store(true)
	d.gateway.StartDraining(stop)
	d.placer.Stop()
	log.Event("stopping", "daemon", d.settings.Daemon, "grace", time.Duration(d.settings.StopGrace))
	time.Sleep(time.Until(stop.AcceptUntil()))
	ctx, cancel := context.WithDeadline(context.Background(), stop.EndAt)
	defer cancel()
	err := d.callers.Finish(ctx)
	if err == nil {
		err = d.awaitRelayed(ctx)
	}
	if err == nil {
		return
	}
	log.Event("requests are cut off at the end of the grace time", "connections", d.callers.Count())
	d.gateway.CancelRequests()
	d.callers.FinishNow()
	ctx, cancel = context.WithTimeout(context.Background(), answerMargin)
	defer cancel()
	if err := d.callers.Wait(ctx); err != nil {
		log.Event("connections are closed at the end of the grace time", "connections", d.callers.Count())
	}
}

// awaitRelayed waits for the requests in progress that other instances have relayed; these relay no further ones to an instance
// that stops.
func (d *Daemon) awaitRelayed(ctx context.Context) error {
	for d.gateway.RelayedInProgress() > 0 && ctx.Err() == nil {
		timing.Sleep(ctx, relayedPollInterval)
	}
	return ctx.Err()
}
