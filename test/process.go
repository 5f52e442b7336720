// Package test holds the integration tests and their helpers, which deploy real processes on loopback addresses.
package test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

const (
	testKey   = "test-key"
	testModel = "model"
	// waitTimeout bounds every wait for an event. It is long enough that only a missing event reaches it.
	waitTimeout = 2 * time.Minute
)

// binary is the path of hyssophoistd, which TestMain builds.
var binary string

// process is a running process of the binary.
type process struct {
	t         *testing.T
	name      string
	cmd       *exec.Cmd
	readyLine string // line of standard output that reports the process as ready
	exited    chan struct{}
}

// startProcess starts the binary, waits for its ready line, and kills the process at the end of the test.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.cmd.Stderr = &testLogWriter{t: t, name: name}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if strings.Contains(lines.Text(), "ready") {
				select {
				case line <- lines.Text():
				default:
				}
			}
		}
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	})
	select {
	case p.readyLine = <-line:
	case <-p.exited:
		t.Fatalf("%s exited before it was ready", name)
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not become ready", name)
	}
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// waitExit waits until the process has exited and returns its exit code.
func (p *process) waitExit() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

var addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// address returns the nth address of the ready line, counted from 0.
func (p *process) address(n int) string {
	p.t.Helper()
	found := addressPattern.FindAllString(p.readyLine, -1)
	if n >= len(found) {
		p.t.Fatalf("ready line %q of %s has %d addresses", p.readyLine, p.name, len(found))
	}
	return found[n]
}

// testLogWriter writes the standard error of a process to the test log.
type testLogWriter struct {
	t    *testing.T
	name string
}

func (w *testLogWriter) Write(text []byte) (int, error) {
	w.t.Logf("%s: %s", w.name, strings.TrimSpace(string(text)))
	return len(text), nil
}

// engineSpec describes one emulated engine of a deployment.
type engineSpec struct {
	id     string
	layers entity.LayerRange
}

// threeStages lists the engines of a chain of three stages, the second of which has two engines.
var threeStages = []engineSpec{
	{"first", entity.LayerRange{From: 0, To: 8}},
	{"second-a", entity.LayerRange{From: 8, To: 16}},
	{"second-b", entity.LayerRange{From: 8, To: 16}},
	{"third", entity.LayerRange{From: 16, To: 24}},
}

// deployment is one daemon with its emulated targets, each in its own process.
type deployment struct {
	t       *testing.T
	engines map[string]*process
	service *process
	daemon  *process
	caller  string // base URL of the caller API
	admin   string // base URL of the administration API
}

// deploy starts the engines, a service, a platform and a daemon, and waits until the daemon is ready.
func deploy(t *testing.T, engines []engineSpec) *deployment {
	t.Helper()
	d := &deployment{t: t, engines: make(map[string]*process)}
	preset := testPreset()
	for _, s := range engines {
		p := startProcess(t, s.id, "emulate", "engine", "--target", s.id, "--model", testModel, "--model-layers", "24",
			"--layers", fmt.Sprintf("%d-%d", s.layers.From, s.layers.To))
		d.engines[s.id] = p
		preset.Targets = append(preset.Targets, entity.Target{
			ID: entity.TargetID(s.id), Kind: entity.EngineTarget, URL: "http://" + p.address(0), Zone: "a",
			Model: testModel, Layers: s.layers,
		})
	}
	d.service = startProcess(t, "ledger-1", "emulate", "service", "--target", "ledger-1")
	preset.Targets = append(preset.Targets, entity.Target{
		ID: "ledger-1", Kind: entity.ServiceTarget, URL: "http://" + d.service.address(0), Zone: "a", Service: "ledger",
	})
	platform := startProcess(t, "platform", "emulate", "platform")
	directory := t.TempDir()
	presetFile := filepath.Join(directory, "preset.json")
	writeJSON(t, presetFile, preset)
	settingsFile := filepath.Join(directory, "settings.json")
	writeJSON(t, settingsFile, settings.Settings{
		Daemon: "daemon-1", Zone: "a", AdminTokens: []string{"admin"}, PresetFile: presetFile,
		Caller: settings.Listener{Address: "127.0.0.1:0"}, Admin: settings.Listener{Address: "127.0.0.1:0"},
		Peer:     settings.Listener{Address: "127.0.0.1:0"},
		Platform: settings.Platform{URL: "http://" + platform.address(0)},
	})
	d.daemon = startProcess(t, "daemon", "serve", "--settings", settingsFile)
	d.caller, d.admin = "http://"+d.daemon.address(0), "http://"+d.daemon.address(1)
	waitFor(t, "the daemon to become ready", func() bool {
		status, _ := get(t, d.admin+"/readyz")
		return status == http.StatusOK
	})
	return d
}

func testPreset() *entity.Preset {
	hash := sha256.Sum256([]byte(testKey))
	return &entity.Preset{
		Name: "test", Kind: entity.OrdinaryPreset, Revision: 1, Objective: entity.RecoveryObjective,
		Models: []entity.Model{{ID: testModel, Layers: 24, MaxTokens: 8192}},
		Services: []entity.Service{{
			ID: "ledger", TimeoutSeconds: 60, Idempotent: []entity.Call{{Method: "GET", PathPrefix: "/"}},
		}},
		Accounts: []entity.Account{{ID: "tester", KeySHA256: []string{hex.EncodeToString(hash[:])}, Weight: 1}},
		Limits:   entity.Limits{QueueLength: 100, BodyBytes: 1 << 20, TimeoutSeconds: waitTimeout.Seconds()},
	}
}

func (d *deployment) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(d.caller+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
}

func writeJSON(t *testing.T, path string, value any) {
	t.Helper()
	content, err := json.Marshal(value)
	if err == nil {
		err = os.WriteFile(path, content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("waited %s for %s", waitTimeout, event)
}

// assertNoViolations checks that the metrics of the daemon report no violated invariant.
func assertNoViolations(t *testing.T, d *deployment) {
	t.Helper()
	_, metrics := get(t, d.admin+"/metrics")
	if strings.Contains(metrics, "hyssophoist_invariant_violations_total{") {
		t.Errorf("the daemon reports violated invariants:\n%s", metrics)
	}
}
