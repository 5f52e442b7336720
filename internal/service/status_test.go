package service

import (
	"testing"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/httpstatus/httpstatustest"
)

// TestInvalidStatusIsNoResponse guards against a status that is forwarded to a caller, or stored as the outcome of a posting, although
// no response may have it.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range httpstatustest.Invalid {
		response, err := NewClient().Do(t.Context(), Call{URL: "http://" + httpstatustest.Listen(t, status, "{}"), Method: "POST"})
		if response != nil || errkind.Of(err) != errkind.TargetFailed || errkind.RunOf(err) != errkind.Unknown {
			t.Errorf("%s: response %+v, error %v", status, response, err)
		}
	}
}
