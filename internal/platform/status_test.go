package platform_test

import (
	"testing"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/httpstatus/httpstatustest"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// TestInvalidStatusIsNoSuccess guards against an object that counts as read, or a write that counts as done, after a response whose
// status says nothing.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, status := range httpstatustest.Invalid {
		client := platform.NewClient(platform.ClientOptions{URL: "http://" + httpstatustest.Listen(t, status, "{}")})
		if content, err := client.GetObject(t.Context(), "o"); errkind.Of(err) != errkind.PlatformUnavailable {
			t.Errorf("%s: object %q, error %v", status, content, err)
		}
		if err := client.PutObject(t.Context(), "o", nil); errkind.Of(err) != errkind.OutcomeUnknown {
			t.Errorf("%s: write %v", status, err)
		}
	}
}
