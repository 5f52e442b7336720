// Package routing holds the configuration of an edge deployment (routes, services, client accounts and limits) and
// matches calls against it. It performs no I/O. A Configuration is safe for concurrent use once it is built.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// CallKind determines whether a call may run more than once.
type CallKind int

// The call kinds.
const (
	// NonIdempotent calls run at most once.
	NonIdempotent CallKind = iota
	// Idempotent calls may run more than once.
	Idempotent
	// Streaming calls are answered with a sequence of events. They run at most once unless their route is resumable.
	Streaming
)

// String returns the kind as it appears in logs and metrics.
func (k CallKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// Share is the weight of one service among those of a route.
type Share struct {
	Service entity.ServiceID
	Weight  float64
}

// Route determines the services for the calls of a host whose paths start with a prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   CallKind
	// Timeout bounds the time until the answer is complete; 0 means no limit.
	Timeout time.Duration
	// Objective is the maximum latency of an answer, or of its first event, that counts as on time.
	Objective time.Duration
	// GapObjective is the maximum pause between events of an answer that counts as on time.
	GapObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts bounds the number of targets on which one call may run.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// HasPrompt is set if calls carry a prompt for a model.
	HasPrompt bool
	// Resumable streams may continue on another target after their last event.
	Resumable bool
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Pick selects the service of one call by weight. point must be uniformly distributed in [0, 1). Pick reports false if
// the route has no service of positive weight.
func (r *Route) Pick(point float64) (entity.ServiceID, bool) {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := point * total
	for _, share := range r.Shares {
		if remaining < share.Weight {
			return share.Service, true
		}
		remaining -= share.Weight
	}
	return "", false
}

// Account is a client account.
type Account struct {
	ID entity.AccountID
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the requests of callers. A zero value means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a group of targets that serve the same calls.
type Service struct {
	ID entity.ServiceID
	// MaxConnections bounds the connections of one target from all callers together.
	MaxConnections int
	HealthPath     string
	// Engine is set if the targets are model engines.
	Engine *Engine
}

// Configuration is one version of the deployment's configuration.
type Configuration struct {
	Version  int64
	Services map[entity.ServiceID]*Service
	Limits   Limits

	// byHost maps each host, in lower case, to its routes, longest prefix first.
	byHost map[string][]*Route
	// priorities holds the distinct priorities of the routes to each service, in ascending order.
	priorities map[entity.ServiceID][]int
	// firstPriorities holds the distinct priorities of all accounts and routes, in ascending order.
	firstPriorities []int
	// accounts maps each API key to its account; it is nil if calls require no key.
	accounts map[string]Account
}

// New returns a configuration. accounts maps each API key to its account; it is nil if calls require no key.
func New(version int64, routes []*Route, services []*Service, accounts map[string]Account, limits Limits) *Configuration {
	c := &Configuration{
		Version: version, Limits: limits, accounts: accounts,
		Services: make(map[entity.ServiceID]*Service, len(services)), byHost: make(map[string][]*Route),
		priorities: make(map[entity.ServiceID][]int),
	}
	for _, account := range accounts {
		if account.HasPriority {
			c.firstPriorities = insertSorted(c.firstPriorities, account.Priority)
		}
	}
	for _, service := range services {
		c.Services[service.ID] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
		c.addPriority(route)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// addPriority adds the priority of a route to those of the services that it can select.
func (c *Configuration) addPriority(route *Route) {
	for _, share := range route.Shares {
		if share.Weight > 0 {
			c.priorities[share.Service] = insertSorted(c.priorities[share.Service], route.Priority)
			c.firstPriorities = insertSorted(c.firstPriorities, route.Priority)
		}
	}
}

// insertSorted inserts a value into a sorted slice unless it is there.
func insertSorted(sorted []int, value int) []int {
	i, found := slices.BinarySearch(sorted, value)
	if found {
		return sorted
	}
	return slices.Insert(sorted, i, value)
}

// Rank returns the position of a request among all that a service gets, 0 for the most urgent, and the number of positions.
// The priority of the account goes before that of the route, which is used for accounts without one. The number is 1 if all
// routes to the service have the same priority.
func (c *Configuration) Rank(service entity.ServiceID, account Account, route *Route) (rank, ranks int) {
	byRoute := c.priorities[service]
	if len(byRoute) < 2 {
		return 0, 1
	}
	first := route.Priority
	if account.HasPriority {
		first = account.Priority
	}
	rank = indexOf(c.firstPriorities, first)*len(byRoute) + indexOf(byRoute, route.Priority)
	return rank, len(c.firstPriorities) * len(byRoute)
}

// indexOf returns the index of the first of the priorities, in ascending order, that is not more urgent than the given one,
// or the last index.
func indexOf(priorities []int, priority int) int {
	i, _ := slices.BinarySearch(priorities, priority)
	return min(i, len(priorities)-1)
}

// Match returns the route of host with the longest prefix of path, or nil if none matches.
func (c *Configuration) Match(host, path string) *Route {
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Account returns the account of an API key. It reports false if the route requires a key and key is not a known one.
func (c *Configuration) Account(route *Route, key string) (Account, bool) {
	account, known := c.accounts[key]
	if known {
		return account, true
	}
	return Account{}, c.accounts == nil || route.Public
}
