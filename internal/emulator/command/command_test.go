package command

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds the wait for an event. It is long because the machine may be busy.
const testTimeout = 30 * time.Second

// TestReadyLineAndStop guards against an emulator that does not print the address on which it listens or does not stop
// on SIGTERM.
func TestReadyLineAndStop(t *testing.T) {
	cases := map[string][]string{
		"/v1/load":      {"engine", "--target", "e1", "--layers", "0-4", "--accelerator", "embedded", "--link", "e2=1e6,250"},
		"/balances/a":   {"service", "--target", "s1"},
		"/v1/instances": {"platform"},
	}
	for path, args := range cases {
		t.Run(args[0], func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			reader, writer := io.Pipe()
			command := New()
			command.SetArgs(args)
			command.SetOut(writer)
			ended := make(chan error, 1)
			go func() { ended <- command.ExecuteContext(ctx) }()
			line, err := bufio.NewReader(reader).ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			_, address, _ := strings.Cut(strings.TrimSpace(line), " ready at ")
			response, err := http.Get(address + path)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("line %q, response %v, error %v", line, response, err)
			}
			response.Body.Close()
			if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := <-ended; err != nil || ctx.Err() != nil {
				t.Errorf("ended with %v, context %v", err, ctx.Err())
			}
		})
	}
}

// TestInvalidFlags guards against invalid flags that are accepted and cause a failure later.
func TestInvalidFlags(t *testing.T) {
	for _, args := range [][]string{
		{"engine", "--layers", "4-4"}, {"engine", "--layers", "x"}, {"engine", "--speed", "0"}, {"engine", "--accelerator", "x"},
		{"engine", "--link", "e2=1"}, {"engine", "--link", "=1,1"}, {"engine", "--time-factor", "-1"}, {"platform", "--time-factor", "0"},
		{"service", "extra"},
	} {
		command := New()
		command.SetArgs(args)
		command.SetOut(io.Discard)
		command.SetErr(io.Discard)
		if command.Execute() == nil {
			t.Errorf("%q was accepted", args)
		}
	}
}
