package edge

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestRowsInOtherPartsHaveNoEffect guards against a draft of the configuration in another part of its table that is put in force, against
// targets that are listed in another part, and against a target that counts as removed because a row with its key is removed there.
func TestRowsInOtherPartsHaveNoEffect(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	encode := func(value any) []byte {
		content, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	draft := edgeplatform.Configuration{Version: 99, Account: "account-1", Keys: []string{"key-9"}, PostAttempts: 1}
	d.store.ChangePart("drafts", edgeplatform.Row{Table: "op", Key: "config", Value: encode(draft.Row())})
	other := edgeplatform.NewTarget("other", "ledger", "a", "", 0)
	t.Cleanup(other.Close)
	d.store.ChangePart("drafts", edgeplatform.Row{Table: "servers", Key: other.ID, Value: encode(other.Entry("ready"))})
	for _, target := range d.plain {
		d.store.ChangePart("drafts", edgeplatform.Row{Table: "servers", Key: target.ID, Removed: true})
	}
	d.checkServed(d.daemons, changeBound/2)
	if n := len(other.Arrivals()); n > 0 {
		t.Errorf("%d requests reached a target that is listed in another part", n)
	}
	d.configure(2, "key-1", "key-2")
	d.waitUntil("a later version is in force", func() bool { return daemon.gateway.Configuration().Version == 2 })
	if got := d.call(daemon, http.MethodGet, "/read/1", "draft", "key-9", ""); got.status != http.StatusUnauthorized {
		t.Errorf("a key of the draft: %+v", got)
	}
}
