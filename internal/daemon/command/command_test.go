package command

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/invariant"
)

// output collects the output of a command. It is safe for concurrent use.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (o *output) Write(content []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(content)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

func execute(ctx context.Context, out io.Writer, args ...string) error {
	root := New()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(io.Discard)
	return root.ExecuteContext(ctx)
}

// curlCommand matches the curl commands that dev mode prints. The groups are the URL, the headers and the body; a
// command with a body is a POST.
var curlCommand = regexp.MustCompile(`curl -sN? (\S+)((?: -H '[^']*')*)(?: -d '([^']*)')?`)

// Guards against a development mode that prints commands that fail, or that does not stop when its context ends.
func TestDevModePrintsWorkingCommands(t *testing.T) {
	invariant.FailOnViolation(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out := &output{}
	ended := make(chan error, 1)
	go func() {
		ended <- execute(ctx, out, "dev", "--caller-address", "127.0.0.1:0", "--admin-address", "127.0.0.1:0")
	}()
	for deadline := time.Now().Add(time.Minute); !strings.Contains(out.String(), "/metrics\n"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("after a minute the output is %q", out.String())
		}
	}
	if count := strings.Count(out.String(), "ready:"); count != 1 {
		t.Errorf("%d ready lines in %q", count, out.String())
	}
	commands := curlCommand.FindAllStringSubmatch(out.String(), -1)
	if len(commands) < 6 {
		t.Fatalf("%d commands in %q", len(commands), out.String())
	}
	for _, command := range commands {
		method := http.MethodGet
		if command[3] != "" {
			method = http.MethodPost
		}
		request, err := http.NewRequestWithContext(ctx, method, command[1], strings.NewReader(command[3]))
		if err != nil {
			t.Fatal(err)
		}
		for _, header := range regexp.MustCompile(`'([^:']+): ([^']*)'`).FindAllStringSubmatch(command[2], -1) {
			request.Header.Set(header[1], header[2])
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK || err != nil || len(body) == 0 {
			t.Errorf("%s gives status %d, error %v: %s", command[0], response.StatusCode, err, body)
		}
	}
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("dev mode ended with %v", err)
		}
	case <-time.After(time.Minute):
		t.Fatal("dev mode did not end")
	}
}

// Guards against mistakes of the operator that are accepted or reported without their cause.
func TestOperatorMistakesAreReported(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte("{\n  \"daemon\": \"d\",\n  \"zonne\": \"a\"\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"check", "--settings", file}, "settings.json:3"},
		{[]string{"serve", "--settings", file}, "zonne"},
		{[]string{"serve", "--settings", file + ".missing"}, "no such file"},
		{[]string{"serve"}, "required flag"},
		{[]string{"dev", "--admin-address", "127.0.0.1:0", "--caller-address", taken.Addr().String()}, "address already in use"},
	}
	for _, c := range cases {
		err := execute(t.Context(), io.Discard, c.args...)
		if err == nil || !strings.Contains(err.Error(), c.want) || len(err.Error()) > 500 {
			t.Errorf("%v gives %v, want a short error with %q", c.args, err, c.want)
		}
	}
}
