package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const modelName = "m0"

// clientConn is a connection of a client to a daemon, which it keeps open for many requests.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   int
	since  time.Time // when the last answer ended
}

func dial(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), since: time.Now()}, nil
}

// call is one client attempt.
type call struct {
	id, method, path, key string
	headers               []string
	body                  []byte
	limit                 time.Duration
}

// outcome is what the client sees of a call.
type outcome struct {
	status int
	body   string
	stamp  string
	// kept reports whether the connection had carried a request before; bytes whether any byte of an answer came;
	// whole whether a complete answer came; closes whether the daemon closes the connection after it.
	kept, bytes, whole, closes bool
	sent                       time.Time
	err                        error
}

func (o outcome) String() string {
	switch {
	case o.whole:
		return fmt.Sprintf("answered %d", o.status)
	case o.bytes:
		return fmt.Sprintf("answer %d broke off: %v", o.status, o.err)
	}
	return fmt.Sprintf("no answer: %v", o.err)
}

// do sends a call on the connection and reads its answer.
func (c *clientConn) do(q call) (o outcome) {
	o.kept = c.used > 0
	c.used++
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\n",
		q.method, q.path, host, q.id, q.limit.Milliseconds(), q.key)
	for _, h := range q.headers {
		head.WriteString(h + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	_ = c.SetDeadline(time.Now().Add(q.limit))
	o.sent = time.Now()
	buffers := net.Buffers{[]byte(head.String()), q.body}
	if _, o.err = buffers.WriteTo(c.Conn); o.err != nil {
		return o
	}
	if _, o.err = c.reader.Peek(1); o.err != nil {
		return o
	}
	o.bytes = true
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if o.err = err; err != nil {
		return o
	}
	o.status, o.stamp, o.closes = answer.StatusCode, answer.Header.Get("X-Server-Stamp"), answer.Close
	content, err := io.ReadAll(answer.Body)
	o.body, o.err, o.whole = string(content), err, err == nil
	c.since = time.Now()
	return o
}

// pool holds the idle connections of the clients of one daemon.
type pool struct {
	address string
	idle    chan *clientConn
}

func newPool(address string) *pool {
	return &pool{address: address, idle: make(chan *clientConn, 1000)}
}

// do sends a call on a kept connection, or on a new one if none is idle.
func (p *pool) do(q call) outcome {
	var c *clientConn
	for c == nil {
		select {
		case c = <-p.idle:
			if time.Since(c.since) > idleLimit*4/5 {
				c.Close()
				c = nil
			}
		default:
			var err error
			if c, err = dial(p.address); err != nil {
				return outcome{err: err}
			}
		}
	}
	o := c.do(q)
	if !o.whole || o.closes {
		c.Close()
		return o
	}
	p.idle <- c
	return o
}

// The manifest of the small deployment. Its limits are those of the users' pages.
const (
	host      = "ficu95.example"
	bodyLimit = 4194304
	idleLimit = 15 * time.Second
	layers    = 80

	contact    = 3 * time.Second // contactMs
	drainBound = 2 * time.Second // drainMs
)

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

func manifest(version int, tenants []tenant) map[string]any {
	route := func(name, prefix, kind, service string, attempts, timeoutMs int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "goalMs": 500,
			"priority": 1, "service": service, "maxAttempts": attempts, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-draft", "/draft/", "streaming", "writer", 2, 20000,
				map[string]any{"sticky": true, "resumable": true, "gapGoalMs": 200}),
			route("r-pay", "/pay/", "non_idempotent", "ledger", 1, 3000, nil),
			route("r-look", "/look/", "idempotent", "ledger", 2, 3000, nil),
		},
		"services": []any{
			map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "writer", "healthPath": "/healthz", "maxConns": 1038, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 192, "kvCapacity": 100000, "kvTokenBytes": 459000, "linkMbps": 480000.0, "stride": 2,
					"models":  []any{map[string]any{"name": modelName, "pace": 1.0, "loadS": 14.0, "warmS": 1.0}},
					"step_ms": 0.85, "per_seq_ms": 0.00297, "context_per_k": 0.00398, "read_per_s": 252000.0,
					"pairs_per_m": 0.129, "chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 6, "delays": []any{},
					"usual":  map[string]any{"prompt": 772, "answer": 154},
					"layers": layers, "layerMb": 1750, "actBytes": 16384, "pipeMbps": 7900,
					// A card that holds the whole model, so that one engine serves a request by itself.
					"kinds": []any{map[string]any{"name": "whole", "sizeMb": 250000, "pace": 3.1, "readFactor": 3.2}},
				}},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 3000,
			"idleTimeoutMs": idleLimit.Milliseconds(),
		},
		"tenants": tenants,
	}
}

// body returns a body of n bytes.
func body(n int) []byte { return bytes.Repeat([]byte("d"), n) }
