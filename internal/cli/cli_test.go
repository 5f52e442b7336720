package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	admin "github.com/hyssophoist/hyssophoist/internal/adminapi"
	"github.com/hyssophoist/hyssophoist/internal/cli"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	"github.com/hyssophoist/hyssophoist/internal/configsync"
	emulator "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// startDaemon runs one agent and its administration API, and returns the address of the API and the platform.
func startDaemon(t *testing.T) (string, *emulator.Platform) {
	p := emulator.New(emulator.Options{})
	platformServer := httptest.NewServer(p)
	client := peer.NewClient(peer.ClientOptions{})
	agent := configsync.New(configsync.Options{
		Daemon: "d1", Zone: "z1", Address: "127.0.0.1:1", Client: client,
		Store: configstore.New(configstore.Options{Table: platform.NewClient(platform.ClientOptions{URL: platformServer.URL})}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = agent.Run(ctx); close(done) }()
	api := httptest.NewServer(admin.New(admin.Options{Backend: agent, Tokens: []string{"right"}, MaxBodyBytes: 4096}))
	t.Cleanup(func() {
		api.Close()
		cancel()
		<-done
		client.Close()
		platformServer.Close()
		p.Close()
	})
	return api.URL, p
}

func writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const preset = `{
	// the rules of an ordinary day
	"name": "day", "kind": "ordinary", "objective": "throughput",
	"targets": [{"id": "e1", "kind": "engine", "url": "http://127.0.0.1:1", "zone": "z1"}],
}`

// TestCommands guards against commands that fail, return a wrong exit code or do not say why a change was refused.
func TestCommands(t *testing.T) {
	address, p := startDaemon(t)
	good := writeFile(t, "day.jsonc", preset)
	misspelt := writeFile(t, "bad.jsonc", `{"name": "day", "targetz": []}`)
	large := writeFile(t, "large.jsonc", `{"name": "`+strings.Repeat("x", 5000)+`"}`)
	extra := writeFile(t, "e9.jsonc", `{"id": "e9", "kind": "engine", "url": "http://127.0.0.1:9", "zone": "z1"}`)
	tests := []struct {
		name  string
		line  string
		fault emulator.Faults
		code  int
		want  string // in the output or the error
	}{
		{"status at first", "status", emulator.Faults{}, cli.ExitOK, "no configuration is in force"},
		{"misspelt field", "presets create " + misspelt, emulator.Faults{}, cli.ExitUsage, "targetz"},
		{"missing file", "presets create nowhere", emulator.Faults{}, cli.ExitUsage, "nowhere"},
		{"body too large", "presets create " + large, emulator.Faults{}, cli.ExitRefused, "too_large"},
		{"create", "presets create " + good, emulator.Faults{}, cli.ExitOK, "preset day/1 stored"},
		{"unknown preset", "presets switch night", emulator.Faults{}, cli.ExitRefused, "not_found"},
		{"mark before a preset", "targets mark leave e1", emulator.Faults{}, cli.ExitRefused, "e1"},
		{"switch", "presets switch day --expect-version 0", emulator.Faults{LoseResponses: 1}, cli.ExitOK, "version 1 accepted"},
		{"late switch", "presets switch day --expect-version 0 --operator ida", emulator.Faults{}, cli.ExitConflict, "changed by eva"},
		{"mark leave", "targets mark leave e1 --expect-version 1", emulator.Faults{}, cli.ExitOK, "e1 marked leave"},
		{"mark unknown", "targets mark leave e7 --expect-version 2", emulator.Faults{}, cli.ExitRefused, "description"},
		{"mark described", "targets mark join e9 --description " + extra + " --expect-version 2", emulator.Faults{}, cli.ExitOK, "e9 marked join"},
		{"mark instance", "instances mark leave d1 --expect-version 3", emulator.Faults{}, cli.ExitOK, "version 4"},
		{"repeated", "targets leave e1 --change-id one --expect-version 4", emulator.Faults{}, cli.ExitOK, "version 5"},
		{"repeated again", "targets leave e1 --change-id one --expect-version 5", emulator.Faults{}, cli.ExitOK, "version 5"},
		{"audit", "audit --limit 3", emulator.Faults{}, cli.ExitOK, "mark e9 join"},
		{"show", "presets show day", emulator.Faults{}, cli.ExitOK, `"revision": 1`},
		{"list", "presets list", emulator.Faults{}, cli.ExitOK, "ordinary"},
		{"wrong token", "status --token wrong", emulator.Faults{}, cli.ExitRefused, "unauthorized"},
		{"wrong output", "status --output xml", emulator.Faults{}, cli.ExitUsage, "xml"},
		{"unknown flag", "status --colour", emulator.Faults{}, cli.ExitUsage, "colour"},
		{"no daemon", "status --admin http://127.0.0.1:1", emulator.Faults{}, cli.ExitUnreachable, "no valid response"},
		{"outage", "presets list", emulator.Faults{Outage: emulator.RefusingOutage}, cli.ExitUnreachable, "platform_unavailable"},
		{"completion", "completion bash", emulator.Faults{}, cli.ExitOK, "hyssophoistctl"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p.SetFaults(test.fault)
			var out bytes.Buffer
			arguments := append([]string{"--admin", address, "--token", "right", "--operator", "eva"}, strings.Fields(test.line)...)
			code := cli.Run(cli.Options{Out: &out, Err: &out}, arguments)
			if code != test.code || !strings.Contains(out.String(), test.want) {
				t.Errorf("exit code %d, want %d; output, want %q:\n%s", code, test.code, test.want, out.String())
			}
		})
	}
	waitForVersion(t, address, 5)
	var out bytes.Buffer
	cli.Run(cli.Options{Out: &out, Err: &out}, []string{"--admin", address, "--token", "right", "-o", "json", "targets", "list"})
	var targets adminapi.Targets
	if err := json.Unmarshal(out.Bytes(), &targets); err != nil || len(targets.Targets) != 2 || targets.Targets[0].Mark == nil {
		t.Errorf("targets as JSON: %v\n%s", err, out.String())
	}
}

func waitForVersion(t *testing.T, address string, version uint64) {
	t.Helper()
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var out bytes.Buffer
		var status adminapi.Status
		cli.Run(cli.Options{Out: &out, Err: &out}, []string{"--admin", address, "--token", "right", "-o", "json", "status"})
		if json.Unmarshal(out.Bytes(), &status) == nil && status.Version == version {
			return
		}
	}
	t.Fatalf("version %d is not in force", version)
}

// TestBadRequests guards against invalid requests that the API accepts or that stop its listener.
func TestBadRequests(t *testing.T) {
	address, _ := startDaemon(t)
	tests := []struct {
		name, method, path, token, operator, body string
		status                                    int
	}{
		{"no token", "GET", adminapi.StatusPath, "", "eva", "", 401},
		{"prefix of the token", "GET", adminapi.StatusPath, "righ", "eva", "", 401},
		{"no operator", "POST", adminapi.SwitchPath, "right", "", `{"name":"day"}`, 400},
		{"truncated", "POST", adminapi.SwitchPath, "right", "eva", `{"name":`, 400},
		{"unknown field", "POST", adminapi.SwitchPath, "right", "eva", `{"nam":"day"}`, 400},
		{"two values", "POST", adminapi.SwitchPath, "right", "eva", `{"name":"day"}{}`, 400},
		{"no marks", "POST", adminapi.MarksPath, "right", "eva", `{"expected_version":0}`, 400},
		{"wrong query", "GET", adminapi.AuditPath + "?limit=x", "right", "eva", "", 400},
		{"unknown path", "GET", "/admin/v1/nothing", "right", "eva", "", 404},
		{"wrong method", "DELETE", adminapi.StatusPath, "right", "eva", "", 400},
		{"health without a token", "GET", "/healthz", "", "", "", 200},
	}
	for _, test := range tests {
		request, err := http.NewRequest(test.method, address+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		if test.token != "" {
			request.Header.Set("Authorization", "Bearer "+test.token)
		}
		request.Header.Set(adminapi.OperatorHeader, test.operator)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", test.name, response.StatusCode, test.status)
		}
	}
}

// TestChangeWithoutResponseIsUnknown guards against reporting a change that was sent but not answered as not made.
func TestChangeWithoutResponseIsUnknown(t *testing.T) {
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer api.Close()
	var out bytes.Buffer
	code := cli.Run(cli.Options{Out: &out, Err: &out}, []string{"--admin", api.URL, "--token", "right", "presets", "switch", "day"})
	if code != cli.ExitUnknown || !strings.Contains(out.String(), "--change-id") {
		t.Errorf("exit code %d, want %d:\n%s", code, cli.ExitUnknown, out.String())
	}
}
