package edge

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/hyssophoist/hyssophoist/core/drain"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

// callerConn is a connection of a caller that sends the bytes of its requests itself.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, daemon *Daemon) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", daemon.settings.Front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &callerConn{Conn: c, reader: bufio.NewReader(c)}
}

// posting returns the bytes of a posting with the given id.
func posting(id string) string {
	const body = "amount=3"
	return fmt.Sprintf("POST /post/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\nX-Key: key-1\r\n"+
		"Content-Length: %d\r\n\r\n%s", edgeplatform.Host, id, len(body), body)
}

// write sends bytes. An error shows when the answer is read.
func (c *callerConn) write(content string) { _, _ = io.WriteString(c.Conn, content) }

// answer returns the status of the next complete response.
func (c *callerConn) answer() (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(waitLimit)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// checkAnswered fails the test unless the posting has run once and was answered, or was refused and has not run.
func (d *deployment) checkAnswered(t *testing.T, id string, status int, err error) {
	t.Helper()
	runs := len(d.runsOf(id))
	switch {
	case err != nil:
		t.Errorf("posting %s got no answer: %v, ran %d times", id, err, runs)
	case status == http.StatusOK && runs != 1, status == http.StatusServiceUnavailable && runs != 0:
		t.Errorf("posting %s got status %d and ran %d times", id, status, runs)
	case status != http.StatusOK && status != http.StatusServiceUnavailable:
		t.Errorf("posting %s got status %d", id, status)
	}
}

// TestRequestsOnOpenConnectionsAreAnsweredDuringStop guards against requests that are dropped once the balancer sends no more.
func TestRequestsOnOpenConnectionsAreAnsweredDuringStop(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		kept        bool // the connection has carried a request before
		bytesBefore int  // how much of the request is sent before the end of the balancer delay
	}{
		"new connection":                      {},
		"part of the head":                    {bytesBefore: 20},
		"kept connection, part of the head":   {kept: true, bytesBefore: 20},
		"kept connection, part of the body":   {kept: true, bytesBefore: len(posting("x")) - 3},
		"kept connection, next whole request": {kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range maxTries {
				if requestDuringStop(t, test.kept, test.bytesBefore) {
					return
				}
			}
			t.Error("the test never ran in time to send its request before the connection had been quiet for drain.Linger")
		})
	}
}

// maxTries is the number of tries of a test that must run in time for its check to hold.
const maxTries = 5

// requestDuringStop sends a request of which bytesBefore bytes are sent before the end of the balancer delay, and checks
// that it is answered. It reports false if it sent the request too late.
func requestDuringStop(t *testing.T, kept bool, bytesBefore int) (inTime bool) {
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	caller := dialCaller(t, daemon)
	if kept {
		caller.write(posting("first"))
		status, err := caller.answer()
		d.checkAnswered(t, "first", status, err)
	}
	begun := time.Now()
	go daemon.drain()
	time.Sleep(time.Until(begun.Add(drain.BalancerDelay - 50*time.Millisecond)))
	request := posting("second")
	caller.write(request[:bytesBefore])
	inTime = bytesBefore > 0 && time.Since(begun) < drain.BalancerDelay
	time.Sleep(time.Until(begun.Add(drain.BalancerDelay + 100*time.Millisecond)))
	caller.write(request[bytesBefore:])
	if inTime = inTime || time.Since(begun) < drain.BalancerDelay+drain.Linger; !inTime {
		return false
	}
	status, err := caller.answer()
	d.checkAnswered(t, "second", status, err)
	return true
}

// TestRandomisedRequestsAroundDrainDelay guards against requests that are dropped because they arrive at the moment at
// which a stopping daemon closes connections.
func TestRandomisedRequestsAroundDrainDelay(t *testing.T) {
	t.Parallel()
	const callers = 40
	const spread = 300 * time.Millisecond
	random := rand.New(rand.NewPCG(testenv.Seed(t, 1), 0))
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	var running sync.WaitGroup
	defer running.Wait()
	stopAt := time.Now().Add(500 * time.Millisecond)
	for n := range callers {
		id := fmt.Sprintf("r-%d", n)
		caller := dialCaller(t, daemon)
		if kept := n%2 == 0; kept {
			caller.write(posting("first-" + id))
			status, err := caller.answer()
			d.checkAnswered(t, "first-"+id, status, err)
		}
		request := posting(id)
		before := 1 + random.IntN(len(request)-1)
		at := stopAt.Add(drain.BalancerDelay - spread/2 + time.Duration(random.Int64N(int64(spread))))
		pause := time.Duration(random.IntN(int(20 * time.Millisecond)))
		running.Go(func() {
			time.Sleep(time.Until(at))
			caller.write(request[:before])
			late := time.Since(stopAt) >= drain.BalancerDelay+drain.Linger
			time.Sleep(pause)
			caller.write(request[before:])
			status, err := caller.answer()
			if late && err != nil && len(d.runsOf(id)) == 0 {
				return // the test did not run in time, and the connection had been quiet
			}
			d.checkAnswered(t, id, status, err)
		})
	}
	time.Sleep(time.Until(stopAt))
	daemon.drain()
}

// TestLongRequestsAreRefusedLateInStop guards against requests that a stopping daemon takes and then cuts off.
func TestLongRequestsAreRefusedLateInStop(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	stopped := make(chan struct{})
	go func() { daemon.drain(); close(stopped) }()
	begun := time.Now()
	d.waitUntil("not ready", func() bool { return daemon.notReadyReason() != "" })
	if got := d.stream(daemon, "early"); got.status != http.StatusOK || got.err != nil {
		t.Errorf("stream while the balancer sends: %+v", got)
	}
	const headPart = 20
	requests := map[string]string{
		"late-stream":  strings.Replace(posting("late-stream"), "/post/1", "/gen/1", 1),
		"late-posting": posting("late-posting"),
	}
	callers := make(map[string]*callerConn)
	for id, request := range requests {
		requests[id] = strings.Replace(request, "X-Deadline-Ms: 1000", "X-Deadline-Ms: 4000", 1)
		callers[id] = dialCaller(t, daemon)
		callers[id].write(requests[id][:headPart])
	}
	time.Sleep(time.Until(begun.Add(drain.BalancerDelay + drain.Linger + 50*time.Millisecond)))
	for id, caller := range callers {
		caller.write(requests[id][headPart:])
		status, err := caller.answer()
		if status != http.StatusServiceUnavailable || len(d.runsOf(id)) > 0 {
			t.Errorf("%s, which may last 4 s, with 1.8 s left: status %d, %v, runs %+v", id, status, err, d.runsOf(id))
		}
	}
	select {
	case <-stopped:
	case <-time.After(waitLimit):
		t.Error("the daemon did not stop")
	}
}

// TestRequestAtEndOfGraceTimeGetsAnswer guards against a connection that ends without an answer because its request lasts
// longer than the grace time.
func TestRequestAtEndOfGraceTimeGetsAnswer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	for _, target := range append(d.engines, d.plain...) {
		target.SetFaults(edgeplatform.TargetFaults{Hang: true})
	}
	results := make(chan result, 2)
	header := map[string]string{"X-Deadline-Ms": "20000"}
	for _, path := range []string{"/post/1", "/gen/1"} {
		go func() { results <- d.callWithHeader(daemon, http.MethodPost, path, "long"+path, "key-1", "x", header) }()
	}
	d.waitUntil("both run", func() bool { return len(d.runsOf("long/post/1")) > 0 && len(d.runsOf("long/gen/1")) > 0 })
	go daemon.drain()
	for range cap(results) {
		if got := <-results; got.err != nil || got.status < 500 || got.status == http.StatusServiceUnavailable {
			t.Errorf("request that has run and did not end in time: %+v", got)
		}
	}
}

// TestRequestThatCrossesCloseIsRefused guards against requests that end without an answer and without a trace because
// they were sent while a stopping daemon closed their idle connection.
func TestRequestThatCrossesCloseIsRefused(t *testing.T) {
	t.Parallel()
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemon("a")
			caller := dialCaller(t, daemon)
			if kept {
				caller.write(posting("first"))
				status, err := caller.answer()
				d.checkAnswered(t, "first", status, err)
			}
			go daemon.drain()
			_, _ = caller.reader.Peek(1) // returns once the daemon has closed the connection, which this caller has not noticed
			caller.write(posting("crossing"))
			status, err := caller.answer()
			if runs := d.runsOf("crossing"); status != http.StatusRequestTimeout || len(runs) > 0 {
				t.Errorf("status %d, %v, runs %+v", status, err, runs)
			}
			d.waitUntil("crossing request is counted", func() bool {
				return testutil.ToFloat64(daemon.metrics.CrossedConnections) == 1
			})
		})
	}
}
