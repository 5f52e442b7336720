package edgeplatform

import "time"

// Constants of every Configuration: the host name of its routes and the number of layers of its model.
const (
	Host        = "x.example"
	ModelLayers = 8
)

// Configuration is an operator's configuration for tests: streams at /gen/ to the service llm, whose engines hold up to
// four layers each, and postings at /post/ and lookups at /read/ to the service ledger.
type Configuration struct {
	Version int
	// Account is the only client account, Keys are its API keys.
	Account string
	Keys    []string
	// PostAttempts is the maximum number of targets to which one posting is sent.
	PostAttempts int
	// StreamTimeout is the timeout of streams, 5 s if 0.
	StreamTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body, 4096 if 0.
	MaxBodyBytes int
}

// Row returns the value of the configuration row that the operator writes.
func (c Configuration) Row() map[string]any {
	gen := route("gen", "streaming", "llm", 2, true)
	if c.StreamTimeout > 0 {
		gen["timeoutMs"] = c.StreamTimeout.Milliseconds()
	}
	maxBodyBytes := 4096
	if c.MaxBodyBytes > 0 {
		maxBodyBytes = c.MaxBodyBytes
	}
	return map[string]any{
		"version": c.Version,
		"routes": []any{
			gen, route("post", "non_idempotent", "ledger", c.PostAttempts, false),
			route("read", "idempotent", "ledger", 2, false),
		},
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
		"tenants": []any{map[string]any{"name": c.Account, "apiKeys": c.Keys}},
	}
}

// route returns a route below Host. streams makes it sticky and resumable.
func route(name, kind, service string, attempts int, streams bool) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "prefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 5000, "goalMs": 500,
		"gapGoalMs": 200, "priority": 1, "service": service, "maxAttempts": attempts, "sticky": streams, "resumable": streams,
	}
}
