package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/quarantine"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

var errQuarantined = errors.New("requests with this part of the prompt crash engines")

// CrashEvidence implements loadshare.View.
func (g *Gateway) CrashEvidence() []quarantine.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Evidence(boottime.Now())
}

// MergeCrashEvidence implements loadshare.View.
func (g *Gateway) MergeCrashEvidence(evidence []quarantine.Evidence) (news bool) {
	if len(evidence) == 0 {
		return false
	}
	g.mu.Lock()
	outcome := g.quarantine.Merge(boottime.Now(), evidence)
	g.mu.Unlock()
	g.applyVerdicts(outcome.Verdicts, "")
	return outcome.News
}

// OnCrash sets a function that is called when requests of this instance have shown that an engine has crashed. It is
// not an option since what tells other instances is made after the gateway. It must be called before the gateway serves.
func (g *Gateway) OnCrash(f func()) { g.onCrash = f }

// QuarantinedParts returns the number of parts of prompts that are quarantined.
func (g *Gateway) QuarantinedParts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Count(boottime.Now())
}

// TickQuarantine forgets old evidence on crashes.
func (g *Gateway) TickQuarantine() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Tick(boottime.Now())
}

// applyVerdicts logs the verdicts after a request of this instance, or after a message of another one if requestID is
// empty, and cancels the attempts that they concern.
func (g *Gateway) applyVerdicts(verdicts []quarantine.Verdict, requestID string) {
	for _, v := range verdicts {
		if v.Quarantined {
			log.Event("prompt part quarantined", "part", v.Part, "crashes", v.Crashes, "request", requestID,
				"for", v.Until.Sub(boottime.Now()).Round(time.Millisecond))
		} else {
			log.Event("prompt part no longer quarantined", "part", v.Part, "request", requestID)
		}
	}
	if slices.ContainsFunc(verdicts, func(v quarantine.Verdict) bool { return v.Quarantined }) {
		g.cancelQuarantined()
	}
}

// cancelQuarantined cancels the attempts with a quarantined part that have got no event: their engines may not have
// begun to answer, and then do not crash.
func (g *Gateway) cancelQuarantined() {
	for _, c := range g.takeQuarantined() {
		log.Event("attempt cancelled", "request", c.request, "part", c.part, "path", formatPath(c.path))
	}
}

// cancelledAttempt is an attempt that was cancelled because of a part of its prompt.
type cancelledAttempt struct {
	request, part string
	path          *dispatch.Path
}

// takeQuarantined cancels the attempts of cancelQuarantined and returns them, so that they are logged without the lock.
func (g *Gateway) takeQuarantined() (cancelled []cancelledAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	for s := range g.streams {
		if s.eventForwarded.Load() {
			continue // the request cannot crash an engine
		}
		if part, found := g.quarantine.Quarantined(now, s.PromptParts); found {
			s.cancelAttempt()
			cancelled = append(cancelled, cancelledAttempt{request: s.ID, part: part, path: s.path})
		}
	}
	return cancelled
}

// quarantined reports whether the request has a part that is quarantined, so that it must not be sent.
func (s *stream) quarantined() bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	part, found := s.gateway.quarantine.Quarantined(boottime.Now(), s.PromptParts)
	if found {
		s.lastErr, s.lastKind = errQuarantined, errkind.CrashesTarget
		log.Routine("request not sent", "request", s.ID, "part", part, "sends", s.sends, "runs", s.runs)
	}
	return found
}

// mayCrashEngines reports whether a further attempt of a stream that has got no event could crash another engine.
func (s *stream) mayCrashEngines() bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	return s.events == 0 && s.runs > 0 && s.gateway.quarantine.Suspected(s.PromptParts)
}

// recordServed records that the stream has got its first event.
func (s *stream) recordServed() {
	s.gateway.mu.Lock()
	outcome := s.gateway.quarantine.RecordServed(boottime.Now(), s.PromptParts)
	s.gateway.mu.Unlock()
	s.gateway.applyVerdicts(outcome.Verdicts, s.ID)
}

// recordCrash records that the first engine of the path has crashed if the connection to it broke off before the stream
// got any event, and the engine no longer answers or has started again. A partition that breaks the connections of an instance
// must not make it blame prompts: the other instances, which still reach the engines, would refuse them too.
func (s *stream) recordCrash(ctx context.Context, err error) {
	if s.events > 0 || len(s.PromptParts) < 2 || !closedByTarget(err) {
		return
	}
	engine := s.currentPath().Stages[0].Target
	if !s.gateway.inspector.hasCrashed(ctx, engine) {
		return
	}
	s.gateway.mu.Lock()
	process := string(engine.ID) + "/" + strconv.FormatInt(engine.Born, 10)
	outcome := s.gateway.quarantine.RecordCrash(boottime.Now(), s.PromptParts, process)
	s.gateway.mu.Unlock()
	log.Event("engine crashed before the first event", "target", engine.ID, "born", engine.Born, "request", s.ID,
		"parts", strings.Join(s.PromptParts, ","))
	s.gateway.applyVerdicts(outcome.Verdicts, s.ID)
	if outcome.News && s.gateway.onCrash != nil {
		s.gateway.onCrash()
	}
}

// closedByTarget reports whether the error of an exchange means that the target closed the connection.
func closedByTarget(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// hasCrashed reports whether an engine gives no report now although its zone is reachable, or one of a later process.
func (i *inspector) hasCrashed(ctx context.Context, target fleet.Target) bool {
	report, err := i.inspectSince(ctx, target, time.Now())
	result := reportResult{report: report, err: err}
	return result.isOfLater(target) || result.noAnswer() && i.gateway.reachesZone(ctx, target)
}
