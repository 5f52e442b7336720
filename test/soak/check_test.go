package soak

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// deadlineSlack is the time after its deadline within which a request must have ended.
const deadlineSlack = time.Second

// run is a request that a target has run.
type targetRun struct {
	edgeplatform.Run
	target *target
}

// check compares what callers got with what targets ran.
func (c *callers) check() {
	runs := make(map[string][]targetRun)
	for _, t := range c.env.targets {
		for _, r := range t.Runs() {
			runs[r.RequestID] = append(runs[r.RequestID], targetRun{r, t})
		}
	}
	known := make(map[string]*sentRequest, len(c.requests))
	counts := make(map[string]int)
	for _, s := range c.requests {
		known[s.id] = s
		c.checkOutcome(s, runs[s.id])
		result := strconv.Itoa(s.status)
		if s.err != nil {
			result = "cut off"
		}
		counts[s.route+" "+result]++
	}
	for id, list := range runs {
		for _, r := range list {
			c.checkRun(known[id], r)
		}
	}
	c.checkRetryBudget()
	c.env.t.Logf("%d requests: %v", len(c.requests), counts)
}

// checkOutcome checks one request: at most one run of a posting, none of a refused one, and whole answers of its own.
func (c *callers) checkOutcome(s *sentRequest, runs []targetRun) {
	t := c.env.t
	if s.route == "post" && len(runs) > 1 {
		t.Errorf("posting %s ran %d times", s.id, len(runs))
	}
	refused := s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests
	if refused && s.route == "post" && len(runs) > 0 {
		t.Errorf("posting %s was refused with %d and ran", s.id, s.status)
	}
	if refused && s.retryAfter == "" {
		t.Errorf("request %s was refused without Retry-After", s.id)
	}
	if s.status >= 400 && s.status < 500 {
		t.Errorf("request %s, which every configuration allows, got %d", s.id, s.status)
	}
	if s.status == http.StatusOK && s.stamp == "" {
		t.Errorf("request %s got a success without a target's mark", s.id)
	}
	if s.status == http.StatusOK && s.err == nil && s.route != "gen" && s.responseBody != "answer to "+s.id {
		t.Errorf("request %s got %q", s.id, s.responseBody)
	}
	if s.status == http.StatusOK && s.route == "gen" {
		c.checkStream(s)
	}
	// Also in a planned stop, and when the target says nothing, a daemon answers what it has passed on. Streams are cut off so
	// that they do not look whole.
	passedOn := len(runs) > 0 && s.route != "gen"
	if passedOn && s.err != nil && !errors.Is(s.err, context.DeadlineExceeded) && !s.daemon.mayHaveInterrupted(s.sentAt, s.endedAt) {
		t.Errorf("request %s was passed on and its connection ended without an answer: %v", s.id, s.err)
	}
	if took := s.endedAt.Sub(s.sentAt); took > callerTimeout+deadlineSlack {
		t.Errorf("request %s took %v", s.id, took)
	}
}

// checkStream checks that a stream has each event once and in order, and all of them if it looks whole.
func (c *callers) checkStream(s *sentRequest) {
	ids := eventIDs(s.responseBody)
	for i, id := range ids {
		if id != i {
			c.env.t.Errorf("stream %s has event %d where %d is due", s.id, id, i)
			return
		}
	}
	if s.err == nil && len(ids) != streamEvents {
		c.env.t.Errorf("stream %s looks whole with %d of %d events", s.id, len(ids), streamEvents)
	}
}

// checkRun checks that a run is of a request that was sent, as it was sent, by the account of its key, and that the path of
// a stream runs each layer once and in order.
func (c *callers) checkRun(s *sentRequest, r targetRun) {
	t := c.env.t
	if s == nil {
		if !strings.HasPrefix(r.RequestID, "probe-") {
			t.Errorf("%s ran request %q, which nobody sent", r.target.ID, r.RequestID)
		}
		return
	}
	if r.Path != s.path || r.Body != s.body || r.Tenant != accountName {
		t.Errorf("request %s ran as %+v", s.id, r.Run)
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
			c.env.t.Errorf("stream %s has the path %q", id, hops)
			return
		}
		engines, next = append(engines, address), end
	}
	if next != modelLayers {
		c.env.t.Errorf("stream %s has the path %q, which ends at layer %d", id, hops, next)
	}
}

// checkRepetitions checks the limit of arrivals beyond the first of each request, for each service and in any span.
func (c *callers) checkRetryBudget() {
	for _, service := range []string{"llm", "ledger"} {
		var repeated, first []time.Time
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
				repeated = append(repeated, a.At)
			}
			seen[a.RequestID] = true
		}
		for _, s := range c.requests {
			if (s.route == "gen") == (service == "llm") {
				first = append(first, s.sentAt)
			}
		}
		sort.Slice(first, func(i, j int) bool { return first[i].Before(first[j]) })
		for i, begin := range repeated {
			within := count(repeated[i:], begin, begin.Add(retrySpan))
			// The requests of this span or of the one before it pay, whichever are more.
			paid := max(count(first, begin, begin.Add(retrySpan)), count(first, begin.Add(-retrySpan), begin))
			if limit := retryRatio*float64(paid) + retrySlack; float64(within) > limit {
				c.env.t.Errorf("%d repetitions to %s within %v, the limit is %v", within, service, retrySpan, limit)
				break
			}
		}
	}
}

// count counts the times in [from, to) of a sorted list.
func count(times []time.Time, from, to time.Time) int {
	after := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(at) })
	}
	return after(to) - after(from)
}
