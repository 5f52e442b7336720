package dispatch

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/layerpath"
	"github.com/hyssophoist/hyssophoist/core/linkshare"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// crossings returns the links between zones over which the stages pass the prompt on, in order.
func crossings(stages []Stage) (links []linkshare.Link) {
	for i := 1; i < len(stages); i++ {
		from, to := stages[i-1].Target.Zone, stages[i].Target.Zone
		if from != to {
			links = append(links, linkshare.Link{From: from, To: to})
		}
	}
	return links
}

// chooseOpenStages returns the cheapest stages of d.nodes that cover layers, without those that pass a link of which this
// instance's share is used up.
func (d *Dispatcher) chooseOpenStages(now time.Time, layers entity.LayerRange, costs layerpath.Costs,
	transfer time.Duration) []Stage {
	stages := d.chooseStages(layers, d.nodes, costs)
	if d.linksAllow(now, crossings(stages), transfer, false) {
		return stages
	}
	for {
		closed := d.Links.Closed(now)
		costs.Closed = func(from, to entity.ZoneID) bool { return closed[linkshare.Link{From: from, To: to}] }
		stages = d.chooseStages(layers, d.nodes, costs)
		if d.linksAllow(now, crossings(stages), transfer, false) {
			return stages
		}
	}
}

// linksAllow reports whether a prompt that occupies each of the links for the time transfer may pass all of them. begun
// reports whether its generation has begun.
func (d *Dispatcher) linksAllow(now time.Time, links []linkshare.Link, transfer time.Duration, begun bool) bool {
	allowed := true
	for _, link := range links {
		allowed = d.Links.Allows(now, link, transfer, begun) && allowed
	}
	return allowed
}

// takeLinks counts a prompt that passes the links.
func (d *Dispatcher) takeLinks(now time.Time, links []linkshare.Link, transfer time.Duration) {
	for _, link := range links {
		d.Links.Take(now, link, transfer)
	}
}

// transferTime returns how long a prompt occupies a link between zones.
func transferTime(engine *routing.Engine, size GenerationSize) time.Duration {
	return time.Duration(linkTime(engine, size) * float64(time.Second))
}

// OwnLoads returns the load of this instance on engines, and the links that it shares.
func (d *Dispatcher) OwnLoads(now time.Time) loadshare.Loads {
	loads := d.Fleet.OwnLoads(now)
	for _, link := range d.Links.Wanted(now) {
		loads.AddLink(link)
	}
	return loads
}

// SetOtherLoads sets the loads of all other instances; instances is the number of instances in the zone.
func (d *Dispatcher) SetOtherLoads(now time.Time, loads loadshare.Loads, instances int) {
	d.Fleet.SetOtherLoads(now, loads, instances)
	d.Links.SetOthers(now, loads.Links())
}
