package edgeplatform

import "net/http"

// announceLeaving adds the header Server-Leaving to all responses because of TargetFaults.Leaving.
func (t *Target) announceLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.mu.Lock()
		leaving := t.faults.Leaving
		t.mu.Unlock()
		if leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		next.ServeHTTP(w, r)
	})
}
