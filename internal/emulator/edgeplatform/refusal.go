package edgeplatform

import (
	"net/http"
	"strconv"
	"time"
)

// refuseForTime refuses all requests, also those for reports and orders, while TargetFaults.RefuseFor is set.
func (t *Target) refuseForTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.mu.Lock()
		wait := t.faults.RefuseFor
		if wait > 0 {
			t.arrivals = append(t.arrivals, Arrival{RequestID: r.Header.Get("X-Request-Id"), At: time.Now()})
		}
		t.mu.Unlock()
		if wait <= 0 {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		refuse(w, "")
	})
}
