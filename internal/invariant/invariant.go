// Package invariant reports violations of the program's invariants (section 2.1 of docs/design.md). A violation
// increments a counter and logs an error; tests install a hook that fails the test.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssophoist/hyssophoist/internal/logging"
)

// ID names an invariant.
type ID string

// The invariants of section 2.1 of docs/design.md, and Internal for consistency checks inside the program.
const (
	LayersOnce             ID = "I1" // each layer runs once, in order, for each token
	ResponseIntegrity      ID = "I2" // a caller gets the complete response to its own request
	NotRunIsAccurate       ID = "I3" // a request reported as not run was not run
	AtMostOnce             ID = "I4" // a non-idempotent request runs at most once
	NoWorkToLeavingTarget  ID = "I5" // a leaving target gets no new work after 3 s
	GracefulStop           ID = "I6" // a planned stop aborts no request
	MonotonicConfiguration ID = "I7" // a configuration is never replaced by an older one
	Internal               ID = "internal"
)

// Hook receives each violation. It must be safe for concurrent use.
type Hook func(id ID, message string)

var (
	hook    atomic.Pointer[Hook]
	log     = logging.For("invariant")
	counter = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hyssophoist_invariant_violations_total",
		Help: "Violations of the program's invariants, by invariant.",
	}, []string{"invariant"})
)

// Collector returns the counter of violations, for registration with a metrics registry.
func Collector() prometheus.Collector { return counter }

// SetHook installs a hook that is called on each violation, and returns a function that restores the previous one.
func SetHook(h Hook) (restore func()) {
	previous := hook.Swap(&h)
	return func() { hook.Store(previous) }
}

// TB is the subset of testing.TB that FailOnViolation uses.
type TB interface {
	Helper()
	Errorf(format string, args ...any)
	Cleanup(func())
}

// FailOnViolation makes every violation fail the test until the test ends.
func FailOnViolation(t TB) {
	t.Helper()
	t.Cleanup(SetHook(func(id ID, message string) { t.Errorf("invariant %s violated: %s", id, message) }))
}

// Check reports a violation of id if ok is false, and returns ok.
func Check(ok bool, id ID, format string, args ...any) bool {
	if !ok {
		ReportViolation(id, format, args...)
	}
	return ok
}

// ReportViolation reports a violation of id.
func ReportViolation(id ID, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	counter.WithLabelValues(string(id)).Inc()
	log.Errorf("%s violated: %s", id, message)
	if h := hook.Load(); h != nil {
		(*h)(id, message)
	}
}
