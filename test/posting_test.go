package test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssophoist/hyssophoist/internal/emulator/service"
)

func post(t *testing.T, d *deployment, key, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.caller+"/services/ledger/postings",
		strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

// TestPostingRunsOnce guards against a posting that runs twice for one key, and against a key that is accepted for
// another posting.
func TestPostingRunsOnce(t *testing.T) {
	d := deploy(t, threeStages)
	const body = `{"account":"ana","amount":25}`
	for range 3 {
		status, content := post(t, d, "first", body)
		var response service.Response
		if err := json.Unmarshal([]byte(content), &response); err != nil || status != http.StatusOK {
			t.Fatalf("status %d: %s", status, content)
		}
		if response.Executions != 1 || response.Balance != 25 {
			t.Errorf("response is %+v, want one execution", response)
		}
	}
	status, content := post(t, d, "first", `{"account":"ana","amount":26}`)
	if status != http.StatusUnprocessableEntity || !strings.Contains(content, `"code":"key_reused"`) {
		t.Errorf("another posting under the same key has status %d: %s", status, content)
	}
	if _, content := get(t, d.caller+"/services/ledger/balances/ana"); !strings.Contains(content, `"balance":25`) {
		t.Errorf("balance after one posting: %s", content)
	}
	if status, content := get(t, d.caller+"/v1/outcomes/ledger/first"); status != http.StatusOK {
		t.Errorf("outcome has status %d: %s", status, content)
	}
	assertNoViolations(t, d)
}
