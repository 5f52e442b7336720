package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `{
	// The first daemon of zone a.
	"daemon": "d1",
	"zone": "a",
	"caller": {"address": "127.0.0.1:8080"},
	"admin": {"address": "127.0.0.1:8081"},
	"admin_tokens": ["dev-admin"],
	"platform": {"url": "http://127.0.0.1:7000", "timeout": "1500ms"},
}`

const validPreset = `{
	"name": "weekday", "kind": "ordinary", "objective": "throughput",
	"models": [{"id": "m", "layers": 4, "max_tokens": 100}],
	"services": [{"id": "ledger", "timeout_seconds": 2, "idempotent": [{"method": "GET", "path_prefix": "/"}]}],
	"targets": [
		{"id": "e1", "kind": "engine", "url": "http://127.0.0.1:9001", "zone": "a", "model": "m", "layers": {"from": 0, "to": 4}},
		{"id": "s1", "kind": "service", "url": "http://127.0.0.1:9002", "zone": "a", "service": "ledger"},
	],
	"accounts": [{"id": "acme", "weight": 1, "key_sha256": ["` + testHash + `"]}],
	"limits": {"queue_length": 100, "body_bytes": 1048576, "timeout_seconds": 30},
}`

const testHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestValidFilesAreAccepted(t *testing.T) {
	settings, err := Parse("daemon.json", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if time.Duration(settings.Platform.Timeout) != 1500*time.Millisecond {
		t.Errorf("platform.timeout = %v", time.Duration(settings.Platform.Timeout))
	}
	if _, err := ParsePreset("preset.json", []byte(validPreset)); err != nil {
		t.Fatal(err)
	}
}

// TestMistakesAreReportedWithLineAndField guards against mistakes that are accepted, or reported without their line or
// field.
func TestMistakesAreReportedWithLineAndField(t *testing.T) {
	settings := func(content string) error { _, err := Parse("f", []byte(content)); return err }
	preset := func(content string) error { _, err := ParsePreset("f", []byte(content)); return err }
	tests := []struct {
		name     string
		parse    func(string) error
		base     string
		old, new string
		want     string
	}{
		{"unknown field", settings, validSettings, `"zone":`, `"zoen":`, "f:4: zoen: unknown field"},
		{"missing field", settings, validSettings, `"zone": "a",`, ``, "f:1: zone: is required"},
		{"field twice", settings, validSettings, `"zone": "a"`, `"zone": "a", "zone": "b"`, "f:4: zone: field appears twice"},
		{"wrong unit", settings, validSettings, `"1500ms"`, `"1500"`, `f:8: platform.timeout: must be a duration with a unit`},
		{"number for duration", settings, validSettings, `"1500ms"`, `1500`, `f:8: platform.timeout: must be a duration with a unit`},
		{"wrong type", settings, validSettings, `"d1"`, `7`, "f:3: daemon: must be a string, not number"},
		{"missing file", settings, validSettings, `"zone"`, `"preset_file": "none.json", "zone"`, `f:4: preset_file: file "none.json" cannot be read`},
		{"host name", settings, validSettings, `127.0.0.1:8080`, `localhost:8080`, "f:5: caller.address: must be an IP address and port"},
		{"advertise without address", settings, validSettings, `"zone"`, `"peer": {"advertise": "127.0.0.1:9"}, "zone"`, "f:4: peer.address: must be an IP address and port"},
		{"syntax", settings, validSettings, `"zone": "a",`, `"zone" "a",`, "f:4: invalid"},
		{"truncated", settings, validSettings, "1500ms\"},\n}", `1500`, "f:8: "},
		{"unknown model", preset, validPreset, `"model": "m"`, `"model": "x"`, `f:6: targets[0].model: model "x" is not in models`},
		{"layer range", preset, validPreset, `"to": 4`, `"to": 5`, "f:6: targets[0].layers: range [0, 5)"},
		{"duplicate name", preset, validPreset, `"s1"`, `"e1"`, `f:7: targets[1].id: "e1" is already used by targets[0]`},
		{"unit in number", preset, validPreset, `"timeout_seconds": 30`, `"timeout_seconds": "30s"`, "f:10: limits.timeout_seconds: must be a number without a unit"},
		{"kind", preset, validPreset, `"ordinary"`, `"normal"`, "f:2: kind: must be one of"},
		{"key hash", preset, validPreset, testHash, "dev-key", "f:9: accounts[0].key_sha256[0]: must be a SHA-256 hash"},
		{"not an object", preset, validPreset, `{"queue_length": 100, "body_bytes": 1048576, "timeout_seconds": 30}`, `3`, "f:10: limits: must be an object"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(test.base, test.old) {
				t.Fatalf("base does not contain %q", test.old)
			}
			err := test.parse(strings.Replace(test.base, test.old, test.new, 1))
			var problems Problems
			if !errors.As(err, &problems) || len(problems) != 1 {
				t.Fatalf("error is not one problem: %v", err)
			}
			if !strings.HasPrefix(problems[0].String(), test.want) {
				t.Errorf("got  %s\nwant %s", problems[0], test.want)
			}
		})
	}
}

// TestPathsAreRelativeToTheSettingsFile guards against paths that are resolved from the working directory instead of
// the directory of the settings file.
func TestPathsAreRelativeToTheSettingsFile(t *testing.T) {
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "preset.json"), []byte(validPreset), 0o600); err != nil {
		t.Fatal(err)
	}
	content := strings.Replace(validSettings, `"zone"`, `"preset_file": "preset.json", "zone"`, 1)
	path := filepath.Join(directory, "daemon.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := filepath.Join(directory, "preset.json"); settings.PresetFile != want {
		t.Errorf("preset_file = %q, want %q", settings.PresetFile, want)
	}
}

// FuzzParse guards against panics, errors that are not a list of problems, and problems without a line or message.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(validPreset))
	f.Add([]byte(`{"peers":[{"address":"[::1]:1"}],}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, parse := range []func() error{
			func() error { _, err := Parse("f", content); return err },
			func() error { _, err := ParsePreset("f", content); return err },
		} {
			err := parse()
			var problems Problems
			if err != nil && !errors.As(err, &problems) {
				t.Fatalf("error is not a list of problems: %v", err)
			}
			for _, problem := range problems {
				if problem.Line < 1 || problem.Message == "" {
					t.Fatalf("problem without a line or message: %+v", problem)
				}
			}
		}
	})
}
