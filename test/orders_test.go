package test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
)

// TestSwitchLoadsModelVersion guards against engines that keep the old model version after a switch of the preset, and
// against a fleet that serves no completions after they have loaded the new one.
func TestSwitchLoadsModelVersion(t *testing.T) {
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "b": 1})
	f.waitVersion(1, "ab")
	preset := *f.preset
	preset.Name, preset.Revision = "next", 0
	preset.Models = slices.Clone(preset.Models)
	preset.Models[0].Version = "v2"
	a := f.byName["a1"]
	if status := a.callAdmin(http.MethodPost, adminapi.PresetsPath, preset, nil); status >= http.StatusBadRequest {
		t.Fatalf("preset was refused with status %d", status)
	}
	if status := a.switchTo("next", 1); status != http.StatusOK {
		t.Fatalf("switch has status %d", status)
	}
	for _, s := range threeStages {
		waitFor(t, "version v2 at "+s.id, func() bool { return f.loadReport(s.id).Version == "v2" })
	}
	waitFor(t, "a completion by version v2", func() bool {
		result := a.request(http.MethodPost, "/v1/completions", "", `{"model":"`+testModel+`","prompt":"x","max_tokens":4}`)
		return result.status == http.StatusOK
	})
	f.assertNoViolations()
}
