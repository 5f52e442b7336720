package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
)

// copyingTarget starts a target that answers the first request of each connection with a status, and the others with 200. It sends
// the first response again when the second request has arrived. The body of a response is the number of its request at the target.
func copyingTarget(t *testing.T, status int) fleet.Target {
	t.Helper()
	requests := new(atomic.Int32)
	address := listenEach(t, func(conn net.Conn) { serveCopies(conn, status, requests) })
	return fleet.Target{ID: "t", Service: "s", Address: address, Born: 1}
}

// serveCopies serves a connection of a copyingTarget until it is closed. requests counts the requests at the target.
func serveCopies(conn net.Conn, status int, requests *atomic.Int32) {
	defer conn.Close()
	reader, first := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if first != "" {
			_, _ = fmt.Fprint(conn, first) // an error is met by the response too
			status = http.StatusOK
		}
		body := fmt.Sprint(requests.Add(1))
		response := fmt.Sprintf("HTTP/1.1 %d %s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status),
			request.Header.Get("Id"), len(body), body)
		if _, err := fmt.Fprint(conn, response); err != nil {
			return
		}
		first = response
	}
}

// TestLateCopyOfResponseToEarlierAttempt guards against a late copy of the response to an attempt that is taken for the response to
// the next attempt of the same request: both name the same id.
func TestLateCopyOfResponseToEarlierAttempt(t *testing.T) {
	t.Parallel()
	for _, status := range []int{
		http.StatusOK, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusInternalServerError, http.StatusServiceUnavailable,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			g := New(Options{Codec: refusalCodec{}, Pool: connpool.New(), Engines: &fakeEngines{}, BodyMemory: 1 << 10})
			target := copyingTarget(t, status)
			g.dispatcher.Fleet.Put(target)
			for number := 1; number <= 2; number++ {
				x, err := g.send(context.Background(), &Attempt{Call: &Call{ID: "r"}, Target: target}, false, 5*time.Second)
				if err != nil {
					t.Fatalf("attempt %d: %v", number, err)
				}
				body, err := x.readBody(&request{Call: &Call{ID: "r"}, gateway: g}, 5*time.Second)
				if err != nil || string(body) != fmt.Sprint(number) {
					t.Errorf("attempt %d got the response to attempt %s (%v)", number, body, err)
				}
			}
		})
	}
}
