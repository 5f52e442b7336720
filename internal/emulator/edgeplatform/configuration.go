package edgeplatform

import (
	"fmt"
	"time"
)

// Constants of every Configuration: the host name of its routes and the number of layers of its model.
const (
	Host        = "x.example"
	ModelLayers = 8
)

// Account is a client account with a priority of its own.
type Account struct {
	Name, Key string
	Priority  int
}

// Configuration is an operator's configuration for tests: streams at /gen/, and streams that may not be resumed at
// /gen-once/, to the service llm, whose engines hold up to four layers each, and postings at /post/ and lookups at /read/
// to the service ledger.
type Configuration struct {
	Version int
	// Account is the only client account, Keys are its API keys.
	Account string
	Keys    []string
	// StreamPriorities adds a route for streams of each of these priorities N at /gen-N/. The route at /gen/ has priority 1.
	StreamPriorities []int
	// Accounts are further client accounts.
	Accounts []Account
	// PostAttempts is the maximum number of targets to which one posting is sent.
	PostAttempts int
	// StreamTimeout is the timeout of streams, 5 s if 0.
	StreamTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body, 4096 if 0.
	MaxBodyBytes int
}

// Row returns the value of the configuration row that the operator writes.
func (c Configuration) Row() map[string]any {
	once := c.streamRoute("gen-once", 1)
	once["resumable"] = false
	routes := []any{c.streamRoute("gen", 1), once}
	for _, priority := range c.StreamPriorities {
		routes = append(routes, c.streamRoute(fmt.Sprintf("gen-%d", priority), priority))
	}
	routes = append(routes,
		route("post", "non_idempotent", "ledger", c.PostAttempts, false), route("read", "idempotent", "ledger", 2, false))
	tenants := []any{map[string]any{"name": c.Account, "apiKeys": c.Keys}}
	for _, a := range c.Accounts {
		tenants = append(tenants, map[string]any{"name": a.Name, "apiKeys": []string{a.Key}, "priority": a.Priority})
	}
	maxBodyBytes := 4096
	if c.MaxBodyBytes > 0 {
		maxBodyBytes = c.MaxBodyBytes
	}
	return map[string]any{
		"version": c.Version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "ledger", "maxConns": 50},
			map[string]any{"name": "llm", "maxConns": 50, "engine": map[string]any{
				"slots": 8, "kvTokenBytes": 8000, "stride": 2, "step_ms": 1, "per_seq_ms": 0.01, "context_per_k": 0.01,
				"read_per_s": 100000, "chunk": 512, "loads_at_once": 4, "layers": ModelLayers, "layerMb": 100,
				"actBytes": 1000, "pipeMbps": 1000, "usual": map[string]any{"prompt": 100, "answer": 40},
				"models": []any{map[string]any{"name": "m", "loadS": 1}},
				"kinds":  []any{map[string]any{"name": "small", "sizeMb": 450, "pace": 1, "readFactor": 1}},
			}},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 8192, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000,
		},
		"tenants": tenants,
	}
}

// streamRoute returns a route for streams.
func (c Configuration) streamRoute(name string, priority int) map[string]any {
	r := route(name, "streaming", "llm", 2, true)
	r["priority"] = priority
	if c.StreamTimeout > 0 {
		r["timeoutMs"] = c.StreamTimeout.Milliseconds()
	}
	return r
}

// route returns a route below Host. streams makes it sticky and resumable.
func route(name, kind, service string, attempts int, streams bool) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "prefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 5000, "goalMs": 500,
		"gapGoalMs": 200, "priority": 1, "service": service, "maxAttempts": attempts, "sticky": streams, "resumable": streams,
	}
}
