package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// callerDeadline is how long a caller waits.
const callerDeadline = 3 * time.Second

// sent is a request of a caller and its outcome.
type sent struct {
	id, route, path, body string
	daemon                *daemon
	at, ended             time.Time
	status                int
	stamp, retryAfter     string
	answer                string
	err                   error
}

// callers sends requests to the daemons over connections that it keeps until they end.
type callers struct {
	w  *world
	mu sync.Mutex
	// all holds every request that was sent.
	all []*sent
}

// run sends requests from n callers until ctx ends.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { c.caller(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	running.Wait()
}

func (c *callers) caller(ctx context.Context, number int, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	d := c.w.daemons[number%len(c.w.daemons)]
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("r-%d-%d", number, n)
		s := &sent{id: id, daemon: d, body: "body of " + id}
		s.route = []string{"gen", "post", "read"}[random.IntN(3)]
		s.path = fmt.Sprintf("/%s/%d?x=a%%2Fb", s.route, n)
		c.send(transport, s)
		c.mu.Lock()
		c.all = append(c.all, s)
		c.mu.Unlock()
		if s.err != nil || s.status >= http.StatusInternalServerError {
			// Another daemon, as behind a balancer; the new connection is kept again.
			d = c.w.daemons[random.IntN(len(c.w.daemons))]
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

func (c *callers) send(transport *http.Transport, s *sent) { c.sendWith(transport, s, accountKey) }

// sendWith sends one request; the library's own repetition is off since the body cannot be read again.
func (c *callers) sendWith(transport *http.Transport, s *sent, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	body := io.NopCloser(strings.NewReader(s.body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.daemon.settings.Front+s.path, body)
	if err != nil {
		c.w.t.Error(err)
		return
	}
	request.ContentLength = int64(len(s.body))
	request.Host = edgeplatform.Host
	request.Header.Set("X-Request-Id", s.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	request.Header.Set("X-Key", key)
	request.Header.Set("X-Tenant", "forged")
	s.at = time.Now()
	defer func() { s.ended = time.Now() }()
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.err = err
		return
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	s.stamp, s.retryAfter = response.Header.Get("X-Server-Stamp"), response.Header.Get("Retry-After")
	if id := response.Header.Get("X-Request-Id"); id != s.id && s.status < http.StatusInternalServerError {
		c.w.t.Errorf("request %s got the answer of %q", s.id, id)
	}
	content, err := io.ReadAll(response.Body)
	s.answer, s.err = string(content), err
}

// events returns the ids of the events of a stream.
func events(body string) (ids []int) {
	for scanner := bufio.NewScanner(strings.NewReader(body)); scanner.Scan(); {
		if text, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			id, err := strconv.Atoi(text)
			if err != nil {
				id = -1
			}
			ids = append(ids, id)
		}
	}
	return ids
}
