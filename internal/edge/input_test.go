package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawCall writes text to a new connection and returns the status codes of up to the given number of responses, fewer if
// the daemon closes the connection or does not respond in time.
func rawCall(t *testing.T, address, text string, maxResponses int) (statuses []int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n")); err != nil {
		return nil // the daemon closed the connection before all data was sent
	}
	reader := bufio.NewReader(conn)
	for range maxResponses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return statuses
		}
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

// TestBadInput guards against malformed requests that reach a target, or that get a success status or 503.
func TestBadInput(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	const headers = "Host: x.example\nX-Request-Id: bad\nX-Key: key-1\n"
	for name, text := range map[string]string{
		"no protocol":    "POST /post/1\n" + headers + "\n",
		"no host":        "POST /post/1 HTTP/1.1\nX-Request-Id: bad\nX-Key: key-1\n\n",
		"space in name":  "POST /post/1 HTTP/1.1\n" + headers + "X Y: 1\n\n",
		"bad length":     "POST /post/1 HTTP/1.1\n" + headers + "Content-Length: -1\n\n",
		"two lengths":    "POST /post/1 HTTP/1.1\n" + headers + "Content-Length: 1\nContent-Length: 2\n\nab",
		"unknown coding": "POST /post/1 HTTP/1.1\n" + headers + "Transfer-Encoding: x\n\n",
		"header bomb":    "POST /post/1 HTTP/1.1\n" + headers + "X-Bomb: " + strings.Repeat("x", 2*maxHeaderBytes) + "\n\n",
		"bad chunk":      "POST /post/1 HTTP/1.1\n" + headers + "Transfer-Encoding: chunked\n\nzz\n\n",
	} {
		for _, status := range rawCall(t, daemon.settings.Front, text, 1) {
			if status < http.StatusBadRequest || status == http.StatusServiceUnavailable {
				t.Errorf("%s: status %d", name, status)
			}
		}
		if runs := d.runsOf("bad"); len(runs) > 0 {
			t.Fatalf("%s: ran as %+v", name, runs)
		}
	}
}

// TestSmuggledRequest guards against request smuggling: bytes of a body must not be parsed as a request, even if the
// request has both Content-Length and chunked encoding.
func TestSmuggledRequest(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	inner := "POST /post/1 HTTP/1.1\nHost: x.example\nX-Request-Id: inner\nX-Key: key-1\nContent-Length: 0\n\n"
	length := len(strings.ReplaceAll(inner, "\n", "\r\n"))
	outer := "POST /post/1 HTTP/1.1\nHost: x.example\nX-Request-Id: outer%d\nX-Key: key-1\n"
	rawCall(t, daemon.settings.Front, fmt.Sprintf(outer, 1)+fmt.Sprintf("Content-Length: %d\n\n%s", length, inner), 1)
	rawCall(t, daemon.settings.Front, fmt.Sprintf(outer, 2)+
		fmt.Sprintf("Content-Length: 4\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", length, inner), 1)
	if runs := d.runsOf("inner"); len(runs) > 0 {
		t.Errorf("a request inside a body was executed: %+v", runs)
	}
}

// TestPipelinedRequests guards against pipelined requests that are executed more than once or not answered.
func TestPipelinedRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	text := ""
	for i := range 3 {
		text += fmt.Sprintf("GET /read/%d HTTP/1.1\nHost: x.example\nX-Request-Id: pipe%d\nX-Key: key-1\n\n", i, i)
	}
	statuses := rawCall(t, daemon.settings.Front, text, 3)
	if len(statuses) != 3 {
		t.Fatalf("status codes %v, want three", statuses)
	}
	for i, status := range statuses {
		if runs := d.runsOf(fmt.Sprintf("pipe%d", i)); status != http.StatusOK || len(runs) != 1 {
			t.Errorf("request %d: status %d, %d runs", i, status, len(runs))
		}
	}
}
