package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

// BodyMemoryUsed returns the bytes of response bodies that are buffered.
func (g *Gateway) BodyMemoryUsed() int64 { return g.bodies.used.Load() }

// BodyMemoryLimit returns Options.BodyMemory.
func (g *Gateway) BodyMemoryLimit() int64 { return g.bodies.limit }

// errBodyBudget is returned for a response whose body does not fit into what is left of the memory for bodies.
var errBodyBudget = errors.New("response bodies in progress exceed the memory for them")

// bodyBudget bounds the memory of the response bodies that are being buffered for all requests together. It answers
// targets that send bodies without end. It is safe for concurrent use.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// take adds n bytes and reports whether the limit allows them. If it does not, nothing is added.
func (b *bodyBudget) take(n int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// give returns n bytes taken before.
func (b *bodyBudget) give(n int64) { b.used.Add(-n) }

// budgetReader charges the bytes read from a body to a budget.
type budgetReader struct {
	body   io.Reader
	budget *bodyBudget
	taken  int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if !r.budget.take(int64(n)) {
		return 0, errBodyBudget
	}
	r.taken += int64(n)
	return n, err
}
