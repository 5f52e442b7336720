package engine

import (
	"testing"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/httpstatus/httpstatustest"
)

// TestInvalidStatusIsNoSuccess guards against an order that counts as accepted, or a report that counts as read, after a response whose
// status says nothing.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, status := range httpstatustest.Invalid {
		client, url := NewClient(ClientOptions{}), "http://"+httpstatustest.Listen(t, status, "{}")
		if err := client.Order(t.Context(), url, engineapi.Order{}); err == nil {
			t.Errorf("%s: the order counts as accepted", status)
		}
		if _, err := client.Load(t.Context(), url); err == nil {
			t.Errorf("%s: the report counts as read", status)
		}
	}
}
