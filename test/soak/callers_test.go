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

const (
	// callerTimeout is how long a caller waits for a response, longCallerTimeout for a stream while groups of targets are
	// silent.
	callerTimeout     = 3 * time.Second
	longCallerTimeout = 4500 * time.Millisecond
	// callerPatience is how long a caller waits for the next event of a stream.
	callerPatience = 2 * time.Second
)

// sentRequest is a request of a caller and its outcome.
type sentRequest struct {
	id, route, path, body string
	daemon                *daemon
	// once reports whether the request may run only once.
	once bool
	// class is that of a generation, if there are several. tokens is the stated length of its prompt; 0 if it states none.
	class  *generationClass
	tokens int
	// timeout is how long the caller waits for the response.
	timeout         time.Duration
	sentAt, endedAt time.Time
	// writtenAt is when the last byte was written; zero if it was not, or by a caller that uses http.Transport.
	writtenAt time.Time
	// localAddress and size are the address of the caller and the number of bytes sent; set by connection callers.
	localAddress      string
	size              int
	status            int
	stamp, retryAfter string
	responseBody      string
	err               error
	// receivedAt is when the last part of the response arrived.
	receivedAt time.Time
}

// callers sends requests to the daemons over persistent connections.
type callers struct {
	env *environment
	mu  sync.Mutex
	// requests holds every request that was sent.
	requests []*sentRequest
	// probes holds every probe of a key.
	probes []keyProbe
	// crossed counts the requests without an answer that crossed the end of their connection, left the streams of silent
	// engines that ended when their callers would leave.
	crossed, left int
	// calm is the time during which an overload is the only fault.
	calm period
}

// run sends requests until ctx ends: from n callers that use http.Transport, and from connection callers, each kind in
// the given number.
func (c *callers) run(ctx context.Context, n, connectionCallers int, seed uint64) {
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { c.runCaller(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	for i := range connectionCallers {
		for use := range connectionUses {
			number := i*int(connectionUses) + int(use)
			random := rand.New(rand.NewPCG(seed, uint64(n+number)))
			caller := &connectionCaller{callers: c, name: fmt.Sprintf("c-%d", number), use: use, random: random}
			running.Go(func() { caller.run(ctx) })
		}
	}
	for i, d := range c.env.daemons {
		running.Go(func() { c.probeKeys(ctx, d, rand.New(rand.NewPCG(seed, uint64(1000+i)))) })
	}
	running.Wait()
}

// newRequest returns the next request of a caller to d.
func (c *callers) newRequest(caller string, n int, d *daemon, random *rand.Rand) *sentRequest {
	id := fmt.Sprintf("%s-%d", caller, n)
	s := &sentRequest{id: id, daemon: d, body: "body of " + id, timeout: callerTimeout}
	s.route = []string{"gen", "post", "read"}[random.IntN(3)]
	s.once = s.route == "post"
	prefix := s.route
	if s.route == "gen" && c.env.classes == nil && random.IntN(2) == 0 {
		prefix, s.once = "gen-once", true
	}
	if s.route == "gen" && c.env.classes != nil {
		s.class = &c.env.classes[random.IntN(len(c.env.classes))]
		prefix = s.class.route
	}
	s.path = fmt.Sprintf("/%s/%d?x=a%%2Fb", prefix, n)
	if s.route == "gen" && c.env.groupsSilent.Load() > 0 {
		s.timeout = longCallerTimeout
	}
	return s
}

func (c *callers) add(s *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, s)
}

func (c *callers) runCaller(ctx context.Context, number int, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	d := c.env.daemons[number%len(c.env.daemons)]
	for n := 0; ctx.Err() == nil; n++ {
		s := c.newRequest(fmt.Sprintf("r-%d", number), n, d, random)
		c.send(transport, s)
		c.add(s)
		if s.err != nil || s.status >= http.StatusInternalServerError || s.status == http.StatusRequestTimeout {
			// A load balancer would choose another daemon. The connection to it is persistent, too.
			d = c.env.daemons[random.IntN(len(c.env.daemons))]
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

func (c *callers) send(transport *http.Transport, s *sentRequest) {
	c.sendWithKey(transport, s, s.callerClass().key)
}

// sendWithKey sends one request with the given key. Its body cannot be read again, so net/http does not retry it.
func (c *callers) sendWithKey(transport *http.Transport, s *sentRequest, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	request, err := s.encode(ctx, key)
	if err != nil {
		c.env.t.Error(err)
		return
	}
	s.sentAt = time.Now()
	defer func() { s.endedAt = time.Now() }()
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.err = err
		return
	}
	c.receive(s, response)
}

// encode returns the HTTP request for s with the given key.
func (s *sentRequest) encode(ctx context.Context, key string) (*http.Request, error) {
	body := io.NopCloser(strings.NewReader(s.body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.daemon.settings.Front+s.path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(s.body))
	request.Host = edgeplatform.Host
	request.Header.Set("X-Request-Id", s.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(s.timeout.Milliseconds(), 10))
	request.Header.Set("X-Key", key)
	request.Header.Set("X-Tenant", "forged")
	if s.tokens > 0 {
		request.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", s.tokens, overloadAnswer))
	}
	return request, nil
}

// receive reads the response to s.
func (c *callers) receive(s *sentRequest, response *http.Response) {
	defer response.Body.Close()
	s.status = response.StatusCode
	s.stamp, s.retryAfter = response.Header.Get("X-Server-Stamp"), response.Header.Get("Retry-After")
	id := response.Header.Get("X-Request-Id")
	if id != s.id && s.status < http.StatusInternalServerError && s.status != http.StatusRequestTimeout {
		c.env.t.Errorf("request %s got the response to %q", s.id, id)
	}
	s.receivedAt = time.Now()
	content, err := io.ReadAll(receivedReader{response.Body, &s.receivedAt})
	s.responseBody, s.err = string(content), err
}

// receivedReader records when it last read something.
type receivedReader struct {
	io.Reader
	at *time.Time
}

func (r receivedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		*r.at = time.Now()
	}
	return n, err
}

// eventIDs returns the ids of the events in a stream, -1 for an id that is not a number.
func eventIDs(body string) (ids []int) {
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
