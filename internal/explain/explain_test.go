package explain

import (
	"bytes"
	"strings"
	"testing"
)

// sampleLog is an excerpt from the log of a simulated day: a stream was rerouted once and interrupted when its second
// engine was lost.
const sampleLog = `I1204 11:38:10.000001   21947 edge.go:161] "edge: started" daemon="edge-a-1" zone="a"
I1204 11:38:14.100000   21947 observers.go:31] "edge: configuration in force" version=9 row=55 store=55
I1204 11:38:14.200000   21947 inspect.go:97] "gateway: engine does not answer" target="i-2" born=17 error="dial tcp 10.0.0.2:80: connect: connection refused"
I1204 11:38:14.200100   21947 inspect.go:97] "gateway: engine does not answer" target="i-9" born=17 error="no route"
I1204 11:38:14.210000   21947 reroute.go:140] "gateway: reroute ordered" request="aa01" outcome="rerouted" kept=true path="i-1[0-4]>i-3[4-8]" blocking="" error=""
not a structured line
I1204 11:38:14.300000   21947 gateway.go:403] "gateway: request ended" request="bb02" result="ok" status="200" ms=10 targets="i-2"
I1204 11:38:15.000000   21947 gateway.go:403] "gateway: request ended" request="aa01" result="outcome_unknown" status="200" ms=900 sends=1 targets="i-1[0-4]>i-2[4-8]" reason="no progress, engine \"i-3\" is at fault"
I1204 11:38:15.100000   21947 placer.go:288] "placer: lease changed" held=true fencing=4 wanted=true
I1204 11:38:25.000000   21947 placer.go:288] "placer: lease changed" held=false fencing=0 wanted=false
`

// TestExplainRequest guards against output for a request that lacks the decisions about it, or what its instance logged
// at the time about its targets and the system, or that contains entries of other requests and targets.
func TestExplainRequest(t *testing.T) {
	var out bytes.Buffer
	command := NewCommand()
	command.SetIn(strings.NewReader(sampleLog))
	command.SetOut(&out)
	command.SetArgs([]string{"aa01"})
	if err := command.Execute(); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{
		"configuration in force", "engine does not answer target=i-2", "* 11:38:14.210", "* 11:38:15.000", "lease changed held=true",
	}
	if len(lines) != len(want) {
		t.Fatalf("got %d lines, want %d:\n%s", len(lines), len(want), out.String())
	}
	for i, text := range want {
		if !strings.Contains(lines[i], text) {
			t.Errorf("line %d is %q, want %q in it", i, lines[i], text)
		}
	}
	if !strings.Contains(lines[3], `reason=no progress, engine "i-3" is at fault`) {
		t.Errorf("the reason is not unquoted: %s", lines[3])
	}
}

// TestParseInstanceName guards against mixing up the lines of several instances in one file: a name before a line
// identifies its instance.
func TestParseInstanceName(t *testing.T) {
	line := `  33.5053 edge-b-2 I0902 02:14:03.505048   11203 gateway.go:337] "gateway: target suspected" target="i-1" for="500ms"`
	entry, ok := Parse("file", line)
	if !ok || entry.Instance != "edge-b-2" || entry.Part != "gateway" || entry.Get("for") != "500ms" {
		t.Errorf("parsed %+v, %v", entry, ok)
	}
	if entry, ok := Parse("file", strings.TrimSpace(line[strings.Index(line, "I0902"):])); !ok || entry.Instance != "file" {
		t.Errorf("parsed %+v, %v", entry, ok)
	}
}

// TestUnknownRequest guards against empty output without an error for a request that no line names.
func TestUnknownRequest(t *testing.T) {
	command := NewCommand()
	command.SilenceUsage, command.SilenceErrors = true, true
	command.SetIn(strings.NewReader(sampleLog))
	command.SetArgs([]string{"cc03"})
	if err := command.Execute(); err == nil {
		t.Error("no error for an unknown request")
	}
}
