// Package edgeapi defines the wire types that an edge daemon serves to operators on the listener of its metrics.
package edgeapi

import (
	"github.com/hyssophoist/hyssophoist/core/dispatch"
)

// RoutePath returns RouteExplanation for a GET request with the parameters below, or adminapi.ErrorBody with an error status.
const RoutePath = "/debug/route"

// Query parameters of RoutePath. The request to explain is given by RouteParameter, or by HostParameter and PathParameter.
const (
	HostParameter  = "host"
	PathParameter  = "path"
	RouteParameter = "route"
	// ServiceParameter selects one of the services of the route; without it, the one of the greatest weight is explained.
	ServiceParameter = "service"
	// AccountParameter is the id of a client account, not an API key.
	AccountParameter = "account"
	// PromptTokensParameter and AnswerTokensParameter are the size of a generation; the usual one if absent or 0.
	PromptTokensParameter = "prompt_tokens"
	AnswerTokensParameter = "answer_tokens"
)

// RouteExplanation says where a request would go at the time of the answer, and why.
type RouteExplanation struct {
	Daemon string `json:"daemon"`
	Zone   string `json:"zone"`
	Route  string `json:"route"`
	// Kind is "idempotent", "non-idempotent" or "streaming".
	Kind string `json:"kind"`
	// Service is empty if the route has no service of positive weight. Services holds the services of the route if there is
	// more than one.
	Service  string         `json:"service"`
	Services []ServiceShare `json:"services,omitempty"`
	Account  string         `json:"account,omitempty"`
	// Priority is that of the account if it has one, else that of the route; 0 is the most urgent. Rank is the position of the
	// request among the Ranks combinations of such a priority and one of a route to the service; 0 is the most urgent.
	Priority int `json:"priority"`
	Rank     int `json:"rank"`
	Ranks    int `json:"ranks"`

	ConfigurationVersion int64       `json:"configuration_version"`
	SharedLoads          SharedLoads `json:"shared_loads"`

	// Generation is set for a streaming route whose service has engines, Plain for a route of another kind.
	Generation *dispatch.GenerationExplanation `json:"generation,omitempty"`
	Plain      *dispatch.PlainExplanation      `json:"plain,omitempty"`
	// ShedShare is the part of the generations of this rank that is refused at once, as overloaded, because the service is.
	ShedShare float64 `json:"shed_share"`
	// Isolated reports whether this instance has lost its links to the targets of the service. It then relays the request to one of
	// RelayPeers other instances, and the targets and paths say nothing.
	Isolated   bool `json:"isolated"`
	RelayPeers int  `json:"relay_peers,omitempty"`
	// Refused reports whether there is no path or target now. A generation waits for a path for up to a second before it is
	// refused. Refusal is what a refusal would say, also if Refused is false.
	Refused bool    `json:"refused"`
	Refusal Refusal `json:"refusal"`
}

// ServiceShare is one service of a route.
type ServiceShare struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// SharedLoads describes the loads that other instances have shared.
type SharedLoads struct {
	// AgeSeconds is the time since they were last shared; -1 if they never were.
	AgeSeconds float64 `json:"age_seconds"`
	// Valid is false if they are too old to be used; the load of others is then derived from that of the instance.
	Valid bool `json:"valid"`
}

// Refusal is the response to a request that is refused.
type Refusal struct {
	// Kind is an error kind of core/errkind.
	Kind   string `json:"kind"`
	Status int    `json:"status"`
	// RetryAfterSeconds is the base of the Retry-After header, to which a random part of up to one half is added. Callers whose
	// remaining time is short get less.
	RetryAfterSeconds float64 `json:"retry_after_seconds"`
}
