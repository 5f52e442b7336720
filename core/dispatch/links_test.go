package dispatch

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/linkshare"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
)

// splitDispatcher returns a dispatcher of which each zone holds one half of the layers, so that all paths cross zones.
func splitDispatcher() *Dispatcher {
	d := testDispatcher()
	d.Fleet.Get("a1").Draining, d.Fleet.Get("b0").Draining = true, true
	return d
}

// TestSaturatedLinkRefusesPaths guards against generations that are sent over a link between zones whose queue is longer
// than their callers wait.
func TestSaturatedLinkRefusesPaths(t *testing.T) {
	const perSecond, seconds, maxWait = 200, 10, 2 * time.Second
	d, service := splitDispatcher(), testService()
	size := GenerationSize{Prompt: 800, Answer: 150}
	transfer := transferTime(service.Engine, size)
	free, sent, longest := start, 0, time.Duration(0)
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		path := d.ChoosePath(now, service, size, nil)
		if path == nil {
			continue
		}
		sent++
		if free.Before(now) {
			free = now
		}
		longest = max(longest, free.Sub(now))
		free = free.Add(transfer)
		d.Release(path)
	}
	if longest >= maxWait {
		t.Errorf("a prompt waits %v for the link", longest)
	}
	if used := float64(sent) * transfer.Seconds() / seconds; used < 0.5 {
		t.Errorf("%.2f of the link used", used)
	}
	t.Logf("%d of %d sent, longest wait %v", sent, perSecond*seconds, longest)
}

// TestPathAvoidsSaturatedLink guards against callers that are refused although there is a dearer path within a zone.
func TestPathAvoidsSaturatedLink(t *testing.T) {
	d, service := testDispatcher(), testService()
	size := GenerationSize{Prompt: 800, Answer: 150}
	d.Fleet.RecordFailure(start, "a1")
	d.Fleet.RecordFailure(start, "b0")
	if got := pathTargets(d.ChoosePath(start, service, size, nil)); got != "a0b1" {
		t.Fatalf("path %s, want one that crosses zones", got)
	}
	d.Links.Take(start, linkshare.Link{From: "a", To: "b"}, time.Minute)
	if got := pathTargets(d.ChoosePath(start, service, size, nil)); got != "a0a1" {
		t.Errorf("path %s, want one within the zone", got)
	}
}

// TestRerouteAvoidsSaturatedLink guards against reroutes that send the tokens so far over a saturated link.
func TestRerouteAvoidsSaturatedLink(t *testing.T) {
	d, service := testDispatcher(), testService()
	size := GenerationSize{Prompt: 800, Answer: 150}
	path, faulty := d.ChoosePath(start, service, size, nil), map[entity.TargetID]bool{"a1": true}
	if d.Reroute(start, service, path, faulty, nil, true) == nil {
		t.Fatal("no reroute across zones")
	}
	d.Links.Take(start, linkshare.Link{From: "a", To: "b"}, time.Minute)
	if rerouted := d.Reroute(start, service, path, faulty, nil, true); rerouted != nil {
		t.Errorf("rerouted to %s", pathTargets(rerouted))
	}
}

// TestInstancesShareLinks guards against instances that each use a link as if they were the only one.
func TestInstancesShareLinks(t *testing.T) {
	d, service := splitDispatcher(), testService()
	if path := d.ChoosePath(start, service, GenerationSize{Prompt: 800, Answer: 150}, nil); path == nil {
		t.Fatal("no path")
	}
	link := linkshare.Link{From: "a", To: "b"}
	links := d.OwnLoads(start).Links()
	if len(links) != 1 || links[link] != 1 {
		t.Errorf("instance tells of %v", links)
	}
	others := loadshare.Loads{}
	others.AddLink(link)
	d.SetOtherLoads(start, others, 2)
	if got := d.Links.Contenders(link); got != 2 {
		t.Errorf("%d instances share the link, want 2", got)
	}
}

// TestCoveredWithinZone guards against layers that are missing in each zone and are taken for full engines.
func TestCoveredWithinZone(t *testing.T) {
	service, size := testService(), GenerationSize{Prompt: 800, Answer: 150}
	d := testDispatcher()
	full := loadshare.Load{Sequences: 100, Cache: 4 * 25000}
	d.SetOtherLoads(start, loadshare.Loads{"a0": full, "a1": full, "b0": full, "b1": full}, 2)
	if d.ChoosePath(start, service, size, nil) != nil || !d.Covered(start, service, size) {
		t.Error("full engines do not count as full")
	}
	if splitDispatcher().Covered(start, service, size) {
		t.Error("a zone without all layers counts as full")
	}
}
