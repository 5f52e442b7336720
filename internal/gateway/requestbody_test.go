package gateway

import (
	"context"
	"testing"
	"time"
)

// TestEmptyBodyWaitsForNoMemory guards against requests without a body that are refused because bodies use up the memory.
func TestEmptyBodyWaitsForNoMemory(t *testing.T) {
	memory := newRequestBodyMemory(smallBodyBytes / smallBodyRatio)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := bodyReservation{memory: memory}
	if err := first.grow(ctx, smallBodyBytes); err != nil {
		t.Fatal(err)
	}
	go func() {
		waiting := bodyReservation{memory: memory}
		_ = waiting.grow(ctx, smallBodyBytes) // it gets no memory before the test ends
	}()
	time.Sleep(50 * time.Millisecond)
	emptyCtx, cancelEmpty := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancelEmpty()
	empty := bodyReservation{memory: memory}
	if err := empty.grow(emptyCtx, 0); err != nil {
		t.Errorf("empty body: %v", err)
	}
}
