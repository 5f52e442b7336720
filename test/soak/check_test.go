package soak

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

const (
	// deadlineSlack is how long after its deadline a request may still end.
	deadlineSlack = time.Second
	// crossingTime is how long before the end of its connection a request may have been sent that crosses it.
	crossingTime = 200 * time.Millisecond
	// closedBody is the body of the response on a connection that a stopping daemon closes while it is idle.
	closedBody = `{"error":"connection_closed"}`
)

// targetRun is a request that a target has run.
type targetRun struct {
	edgeplatform.Run
	target *target
}

// check compares the responses to callers with the requests that targets ran.
func (c *callers) check() {
	runs := make(map[string][]targetRun)
	arrived := make(map[string]bool)
	for _, t := range c.env.targets {
		for _, a := range t.Arrivals() {
			arrived[a.RequestID] = true
		}
		for _, r := range t.Runs() {
			runs[r.RequestID] = append(runs[r.RequestID], targetRun{r, t})
		}
	}
	requestsByID := make(map[string]*sentRequest, len(c.requests))
	counts := make(map[string]int)
	for _, s := range c.requests {
		requestsByID[s.id] = s
		c.checkOutcome(s, runs[s.id])
		c.checkAnswered(s, arrived[s.id])
		c.checkNotCut(s, runs[s.id])
		result := strconv.Itoa(s.status)
		if s.err != nil {
			result = "transport error"
		}
		counts[s.route+" "+result]++
	}
	for id, list := range runs {
		for _, r := range list {
			c.checkRun(requestsByID[id], r)
		}
	}
	c.checkPriorities()
	c.checkMemory(requestsByID)
	c.checkRetryBudget()
	c.checkConfigurations()
	c.checkDepartures()
	c.checkFencing()
	c.env.t.Logf("%d requests, %d of them crossed the end of their connection, %d streams of silent engines ended when their "+
		"callers would leave: %v", len(c.requests), c.crossed, c.left, counts)
}

// checkOutcome checks one request: one that may run once does, and no request runs if it was refused; a response is complete and
// belongs to its request.
func (c *callers) checkOutcome(s *sentRequest, runs []targetRun) {
	t := c.env.t
	if s.once && len(runs) > 1 {
		t.Errorf("request %s to %s, which may run once, ran %d times", s.id, s.path, len(runs))
	}
	refused := s.refused()
	crossed := s.status == http.StatusRequestTimeout
	if (refused || crossed) && len(runs) > 0 {
		t.Errorf("request %s was refused with status %d but ran", s.id, s.status)
	}
	if crossed && (s.responseBody != closedBody || !s.daemon.wasStopping(s.sentAt, s.endedAt)) {
		t.Errorf("request %s got status %d and body %q from %s", s.id, s.status, s.responseBody, s.daemon.name)
	}
	if refused && s.retryAfter == "" {
		t.Errorf("request %s was refused without Retry-After", s.id)
	}
	if s.status >= 400 && s.status < 500 && !crossed {
		t.Errorf("request %s, which every configuration allows, got status %d", s.id, s.status)
	}
	if s.status == http.StatusOK && s.stamp == "" {
		t.Errorf("request %s succeeded without an X-Server-Stamp header", s.id)
	}
	if s.status == http.StatusOK && s.err == nil && s.route != "gen" && s.responseBody != "answer to "+s.id {
		t.Errorf("request %s got the wrong response body %q", s.id, s.responseBody)
	}
	if s.status == http.StatusOK && s.route == "gen" {
		c.checkStream(s)
	}
	// A daemon responds to each request that it has forwarded, even during a graceful shutdown and if the target does
	// not respond. It aborts begun streams that fail instead, so that they do not look complete.
	forwarded := len(runs) > 0 && (s.route != "gen" || s.status == 0)
	if forwarded && s.err != nil && !s.timedOut() && !s.daemon.mayInterrupt(s.sentAt, s.endedAt) {
		t.Errorf("request %s was forwarded, but its connection ended without a response: %v", s.id, s.err)
	}
	if took := s.endedAt.Sub(s.sentAt); took > s.timeout+deadlineSlack && !errors.Is(s.err, os.ErrDeadlineExceeded) {
		t.Errorf("request %s took %v", s.id, took)
	}
}

// checkAnswered checks that a request of a connection caller got a complete response, unless it crossed the end of its
// connection, was a stream at the end of a grace time, or its daemon was killed or suspended. A request that the daemon
// has read in whole has not crossed. For streams whose response has begun see checkNotCut.
func (c *callers) checkAnswered(s *sentRequest, arrived bool) {
	answered := s.err == nil || s.route == "gen" && s.status != 0
	if s.writtenAt.IsZero() || answered || s.daemon.wasDisturbed(s.sentAt, s.endedAt) {
		return
	}
	wait := s.endedAt.Sub(s.writtenAt)
	if !arrived && wait < crossingTime && !s.daemon.loggedUnanswered(s.localAddress, s.size) {
		c.crossed++
		c.env.t.Logf("request %s, sent to %s at %s, crossed the end of its connection %v later: %v",
			s.id, s.daemon.name, s.writtenAt.Format("05.000"), wait, s.err)
		return
	}
	if s.route == "gen" && s.daemon.endedGrace(s.sentAt, s.endedAt) {
		return
	}
	c.env.t.Errorf("request %s, sent whole to %s at %s, got no answer in %v: %v (status %d, arrived at a target: %t)",
		s.id, s.daemon.name, s.writtenAt.Format("05.000"), wait, s.err, s.status, arrived)
}

// checkNotCut checks that a stream whose response has begun is complete, unless an engine on its path had a fault, its
// daemon was killed or suspended, or the grace time of the daemon ended. A silence of its engines is no fault: it lets a
// stream end only once its caller would leave.
func (c *callers) checkNotCut(s *sentRequest, runs []targetRun) {
	cut := s.route == "gen" && s.status == http.StatusOK && s.err != nil
	if !cut || s.daemon.wasDisturbed(s.sentAt, s.endedAt) || s.daemon.endedGrace(s.sentAt, s.endedAt) {
		return
	}
	silent := false
	for _, r := range runs {
		for _, t := range c.env.targets {
			onPath := strings.Contains(r.Hops, t.Address()+"=")
			if onPath && t.faults.overlap(s.sentAt.Add(-deadlineSlack), s.endedAt) {
				return
			}
			silent = silent || onPath && t.silences.overlap(s.sentAt, s.endedAt)
		}
	}
	idle, took := s.endedAt.Sub(s.receivedAt), s.endedAt.Sub(s.sentAt)
	if silent && (s.timedOut() || idle >= callerPatience || took >= s.timeout) {
		c.left++
		return
	}
	c.env.t.Errorf("stream %s, sent to %s at %s, was cut after %v, %v after the last of %d events, without a fault of its engines "+
		"(silent: %t): %v", s.id, s.daemon.name, s.sentAt.Format("05.000"), took, idle, len(eventIDs(s.responseBody)), silent, s.err)
}

// timedOut reports whether the caller stopped waiting for the response.
func (s *sentRequest) timedOut() bool {
	return errors.Is(s.err, context.DeadlineExceeded) || errors.Is(s.err, os.ErrDeadlineExceeded)
}

// checkStream checks that a stream has each event once and in order, and has all events if it ended without an error.
func (c *callers) checkStream(s *sentRequest) {
	ids := eventIDs(s.responseBody)
	for i, id := range ids {
		if id != i {
			c.env.t.Errorf("stream %s has event %d, want event %d", s.id, id, i)
			return
		}
	}
	if s.err == nil && len(ids) != streamEvents {
		c.env.t.Errorf("stream %s ended without an error after %d of %d events", s.id, len(ids), streamEvents)
	}
}

// checkRun checks that a target ran a request that was sent, with the path and body that were sent and for the account
// of the key, and that the path of a stream covers each layer once and in order.
func (c *callers) checkRun(s *sentRequest, r targetRun) {
	t := c.env.t
	if s == nil {
		if !strings.HasPrefix(r.RequestID, "probe-") {
			t.Errorf("%s ran request %q, which no caller sent", r.target.ID, r.RequestID)
		}
		return
	}
	if r.Path != s.path || r.Body != s.body || r.Tenant != s.callerClass().account {
		t.Errorf("request %s ran with another path, body or account than it was sent with: %+v", s.id, r.Run)
	}
	if s.route == "gen" {
		c.checkHops(s.id, r.Hops)
	}
}

func (c *callers) checkHops(id, hops string) {
	next := 0
	var engines []string
	for hop := range strings.SplitSeq(hops, ",") {
		address, layers, _ := strings.Cut(hop, "=")
		from, to, _ := strings.Cut(layers, "-")
		first, err := strconv.Atoi(from)
		end, endErr := strconv.Atoi(to)
		if err != nil || endErr != nil || first != next || end <= first || slices.Contains(engines, address) {
			c.env.t.Errorf("stream %s has the invalid path %q", id, hops)
			return
		}
		engines, next = append(engines, address), end
	}
	if next != modelLayers {
		c.env.t.Errorf("stream %s has the path %q, which ends at layer %d", id, hops, next)
	}
}

// checkRetryBudget checks that the arrivals at targets beyond the first of each request stay within the retry budget,
// for each service and in any interval of length retrySpan.
func (c *callers) checkRetryBudget() {
	for _, service := range []string{"llm", "ledger"} {
		var retries, requests []time.Time
		seen := make(map[string]bool)
		var arrivals []edgeplatform.Arrival
		for _, t := range c.env.targets {
			if t.Service == service {
				arrivals = append(arrivals, t.Arrivals()...)
			}
		}
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
		for _, a := range arrivals {
			if seen[a.RequestID] {
				retries = append(retries, a.At)
			}
			seen[a.RequestID] = true
		}
		for _, s := range c.requests {
			if (s.route == "gen") == (service == "llm") {
				requests = append(requests, s.sentAt)
			}
		}
		for _, probe := range c.probes {
			if service == "ledger" && probe.accepted() {
				requests = append(requests, probe.sentAt)
			}
		}
		sort.Slice(requests, func(i, j int) bool { return requests[i].Before(requests[j]) })
		for i, start := range retries {
			retryCount := count(retries[i:], start, start.Add(retrySpan))
			// The budget is retrySlack plus retryRatio times the requests in this interval or in the one before it, whichever
			// are more.
			requestCount := max(count(requests, start, start.Add(retrySpan)), count(requests, start.Add(-retrySpan), start))
			if limit := retryRatio*float64(requestCount) + retrySlack; float64(retryCount) > limit {
				c.env.t.Errorf("%d retries to %s within %v, the limit is %v", retryCount, service, retrySpan, limit)
				break
			}
		}
	}
}

// count returns how many times of a sorted list are in [from, to).
func count(times []time.Time, from, to time.Time) int {
	firstNotBefore := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(at) })
	}
	return firstNotBefore(to) - firstNotBefore(from)
}
