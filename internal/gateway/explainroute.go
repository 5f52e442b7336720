package gateway

import (
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/api/edgeapi"
	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/retrydelay"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// maxExplainedServices bounds the services of a route that an explanation lists.
const maxExplainedServices = 20

// RouteQuery describes a request to explain. The route is given by its name, or by the host and the path of the request.
type RouteQuery struct {
	Route, Host, Path string
	// Service and Account are optional.
	Service entity.ServiceID
	Account entity.AccountID
	// PromptTokens and AnswerTokens are the size of a generation, 0 if unknown.
	PromptTokens, AnswerTokens int
}

// ExplainRoute returns where a request would go now, and why. It sends nothing, and reserves and counts nothing. The error
// has the kind NoConfiguration, or NotFound for an unknown route, service or account.
func (g *Gateway) ExplainRoute(query RouteQuery) (*edgeapi.RouteExplanation, error) {
	configuration := g.configuration.Load()
	if configuration == nil {
		return nil, errkind.New(errkind.NoConfiguration, "no configuration has been received")
	}
	q := &request{gateway: g, configuration: configuration}
	if query.Route != "" {
		q.route = configuration.RouteByName(query.Route)
	} else {
		path, _, _ := strings.Cut(query.Path, "?")
		q.route = configuration.Match(hostWithoutPort(query.Host), path)
	}
	if q.route == nil {
		return nil, errkind.New(errkind.NotFound, "no route matches")
	}
	if query.Account != "" {
		account, ok := configuration.AccountByID(query.Account)
		if !ok {
			return nil, errkind.New(errkind.NotFound, "no account with an API key has this name")
		}
		q.account = account
	}
	service, err := explainedService(q.route, query.Service)
	if err != nil {
		return nil, err
	}
	q.service = configuration.Services[service]
	explanation := &edgeapi.RouteExplanation{
		Zone: string(g.options.Zone), Route: q.route.Name, Kind: q.route.Kind.String(), Service: string(service),
		Services: servicesOf(q.route), Account: string(q.account.ID), Priority: q.priority(),
		ConfigurationVersion: configuration.Version,
	}
	explanation.Rank, explanation.Ranks = configuration.Rank(service, q.account, q.route)
	q.explain(query, explanation)
	return explanation, nil
}

// explainedService returns the service with the given id, or that of the greatest weight if the id is empty; the result is
// empty if none has a positive weight.
func explainedService(route *routing.Route, id entity.ServiceID) (entity.ServiceID, error) {
	best := routing.Share{}
	for _, share := range route.Shares {
		if share.Weight > best.Weight && (id == "" || share.Service == id) {
			best = share
		}
	}
	if id != "" && best.Service == "" {
		return "", errkind.New(errkind.NotFound, "the route does not use this service")
	}
	return best.Service, nil
}

// servicesOf returns the services of a route if there is more than one.
func servicesOf(route *routing.Route) (services []edgeapi.ServiceShare) {
	if len(route.Shares) < 2 {
		return nil
	}
	for _, share := range route.Shares[:min(len(route.Shares), maxExplainedServices)] {
		services = append(services, edgeapi.ServiceShare{Service: string(share.Service), Weight: share.Weight})
	}
	return services
}

// explain evaluates the choice for the request, and the refusal that it would get.
func (q *request) explain(query RouteQuery, explanation *edgeapi.RouteExplanation) {
	generation := q.route.Kind == routing.Streaming
	refusal, after := errkind.NoCapacity, time.Duration(0)
	// servable reports whether the service is one that can serve requests of this kind.
	servable := q.service != nil && (!generation || q.service.Engine != nil)
	g := q.gateway
	g.mu.Lock()
	now := boottime.Now()
	age, valid := g.dispatcher.Fleet.SharedLoadAge(now)
	switch {
	case !servable:
		explanation.Refused = true
	case generation:
		size := dispatch.EstimateGeneration(q.service.Engine, query.PromptTokens, query.AnswerTokens, 0)
		explained := g.dispatcher.ExplainGeneration(now, q.service, size)
		explanation.Generation, explanation.Refused = &explained, explained.Path == nil
	default:
		explained := g.dispatcher.ExplainPlain(now, q.service.ID)
		explanation.Plain = &explained
		explanation.Refused = len(explained.Targets) == 0 || explained.Targets[0].Order == 0
		if !explanation.Refused { // then only targets can refuse the call
			refusal = errkind.Overloaded
		}
	}
	if servable {
		if left, all := g.dispatcher.AllBackOff(now, q.service, generation); all {
			refusal, after = errkind.Overloaded, left
		}
	}
	if q.service != nil && generation && explanation.Ranks > 1 {
		estimator := g.retryDelays[q.service.ID]
		if estimator == nil {
			estimator = &retrydelay.Estimator{}
		}
		after = max(after, estimator.Base(now, explanation.Rank))
		if overload := g.shedders[q.service.ID]; overload != nil {
			explanation.ShedShare = overload.controller.ShedShare(explanation.Rank)
		}
	}
	g.mu.Unlock()
	explanation.SharedLoads = edgeapi.SharedLoads{AgeSeconds: age.Seconds(), Valid: valid}
	if age < 0 {
		explanation.SharedLoads.AgeSeconds = -1
	}
	if servable && g.isolated(q.service.ID) {
		explanation.Isolated, explanation.RelayPeers = true, g.countRelayPeers()
		explanation.Refused, refusal, after = explanation.RelayPeers == 0, errkind.NoCapacity, 0
	}
	if !g.takes(longestTime(q.route)) {
		explanation.Refused, refusal, after = true, errkind.Stopping, 0
	}
	explanation.Refusal = edgeapi.Refusal{
		Kind: string(refusal), Status: errkind.ResponseFor(refusal).Status,
		RetryAfterSeconds: max(retryAfterBase(refusal), after).Seconds(),
	}
}

// longestTime returns the longest time for which a request of a route is served.
func longestTime(route *routing.Route) time.Duration {
	if route.Timeout > 0 {
		return min(maxTimeout, route.Timeout)
	}
	return maxTimeout
}
