package gateway

import (
	"net/http"

	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// RecordLeaving records that a target has said in a response that it leaves. It then gets no further requests, while
// those in progress go on.
func (g *Gateway) RecordLeaving(target fleet.Target) { g.recordLeaving(target, "") }

// recordLeaving is RecordLeaving for a response to a request with an id.
func (g *Gateway) recordLeaving(target fleet.Target, requestID string) {
	g.mu.Lock()
	changed := g.dispatcher.Fleet.RecordLeaving(boottime.Now(), target.ID, target.Born)
	g.mu.Unlock()
	if !changed {
		return
	}
	log.Event("target leaves by its own response", "target", target.ID, "born", target.Born, "address", target.Address,
		"request", requestID)
}

// CountLeaving returns the number of targets that leave according to the list, and according to their own responses.
func (g *Gateway) CountLeaving() (byList, byResponse int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Fleet.CountLeaving()
}

// recordIfLeaving records whether the target that wrote a response announces that it is leaving. A 421 response comes from
// another target with the same address.
func (x *exchange) recordIfLeaving(head ResponseHead, requestID string) {
	if !head.Leaving || x.target.ID == "" { // another instance only passes on what its target says
		return
	}
	if head.Status != http.StatusMisdirectedRequest {
		x.gateway.recordLeaving(x.target, requestID)
		return
	}
	x.gateway.mu.Lock()
	writer, found := x.gateway.dispatcher.Fleet.OtherAt(x.target.Address, x.target.ID)
	x.gateway.mu.Unlock()
	if found {
		x.gateway.recordLeaving(writer, requestID)
	}
}

// targetReplaced reports whether the connection may lead to a process that has been replaced or leaves, so that it must
// not carry another request.
func (x *exchange) targetReplaced() bool {
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	return x.gateway.dispatcher.Fleet.Replaced(x.target)
}
