package callerapi

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

func testConfiguration() *entity.Configuration {
	hash := sha256.Sum256([]byte("key"))
	return &entity.Configuration{Version: 1, Preset: entity.Preset{
		Models:   []entity.Model{{ID: "m", Layers: 4, MaxTokens: 100}},
		Services: []entity.Service{{ID: "s", Idempotent: []entity.Call{{Method: "GET", PathPrefix: "/read"}}}},
		Accounts: []entity.Account{{ID: "a", KeySHA256: []string{hex.EncodeToString(hash[:])}}},
		Limits:   entity.Limits{BodyBytes: 4096},
	}}
}

// fakeDispatcher responds to each completion with the given tokens and then the error. Without an error, the stream
// waits for its context to end.
type fakeDispatcher struct {
	tokens []engine.Token
	err    error
	calls  chan ServiceCall
	closed chan struct{}
}

func (f *fakeDispatcher) Complete(Completion) (Stream, error) {
	return &fakeStream{fakeDispatcher: f}, nil
}

func (f *fakeDispatcher) Call(_ context.Context, call ServiceCall) (*service.Response, error) {
	f.calls <- call
	return &service.Response{Status: http.StatusTeapot, Body: []byte("body")}, f.err
}

func (f *fakeDispatcher) Outcome(context.Context, entity.AccountID, entity.ServiceID, string) (*service.Response, error) {
	return nil, f.err
}

type fakeStream struct {
	*fakeDispatcher
	next int
}

func (s *fakeStream) ID() entity.RequestID { return "r" }

func (s *fakeStream) Close() { close(s.closed) }

func (s *fakeStream) Next(ctx context.Context) ([]engine.Token, error) {
	if s.next < len(s.tokens) {
		s.next++
		return s.tokens[s.next-1 : s.next], nil
	}
	if s.err == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, s.err
}

func newTestServer(t *testing.T, options Options, f *fakeDispatcher) *httptest.Server {
	f.calls, f.closed = make(chan ServiceCall, 1), make(chan struct{})
	options.Dispatcher = f
	if options.Configuration == nil {
		options.Configuration = testConfiguration
	}
	server := httptest.NewServer(New(options))
	t.Cleanup(server.Close)
	return server
}

var oneTokenResponse = fakeDispatcher{tokens: []engine.Token{{Text: " x", FinishReason: "stop"}}, err: io.EOF}

// send sends one request and returns the response and its body.
func send(t *testing.T, server *httptest.Server, method, path, body string,
	headers ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(content)
}

// assertErrorResponse checks that the response is the one that errkind defines for the kind.
func assertErrorResponse(t *testing.T, response *http.Response, body string, kind errkind.Kind) {
	t.Helper()
	var got ErrorBody
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatalf("status %d with body %q: %v", response.StatusCode, body, err)
	}
	want := errkind.ResponseFor(kind)
	run := map[errkind.RunOutcome]string{errkind.NotRun: RunNotRun, errkind.Unknown: RunUnknown}[want.Run]
	if got.Error.Code != kind || got.Error.Run != want.Run || got.Error.Message == "" {
		t.Errorf("error is %+v, want kind %s and run outcome %s", got.Error, kind, want.Run)
	}
	if response.StatusCode != want.Status || response.Header.Get(RunHeader) != run {
		t.Errorf("status is %d and %s is %q, want %d and %q", response.StatusCode, RunHeader,
			response.Header.Get(RunHeader), want.Status, run)
	}
	if (response.Header.Get("Retry-After") != "") != want.Retry {
		t.Errorf("Retry-After is %q, but retry is %t", response.Header.Get("Retry-After"), want.Retry)
	}
}

// TestInvalidRequests guards against invalid requests that are accepted, are rejected with the wrong error kind, or
// stop the server.
func TestInvalidRequests(t *testing.T) {
	const completions, chat = "/v1/completions", "/v1/chat/completions"
	validBody := `{"model":"m","prompt":"hello"}`
	cases := []struct {
		name, method, path, body string
		header                   []string
		kind                     errkind.Kind
	}{
		{"truncated JSON", "POST", completions, `{"model":"m","prompt":"he`, nil, errkind.BadRequest},
		{"empty body", "POST", completions, "", nil, errkind.BadRequest},
		{"wrong type", "POST", completions, `{"model":7,"prompt":"x"}`, nil, errkind.BadRequest},
		{"two values", "POST", completions, validBody + validBody, nil, errkind.BadRequest},
		{"body too large", "POST", completions, validBody + strings.Repeat(" ", 5000), nil, errkind.TooLarge},
		{"headers too large", "POST", completions, validBody, []string{"X-Large", strings.Repeat("x", MaxHeaderBytes)}, errkind.TooLarge},
		{"unknown model", "POST", completions, `{"model":"x","prompt":"x"}`, nil, errkind.UnknownModel},
		{"unknown model of chat", "POST", chat, `{"model":"x","messages":[{"role":"user","content":"x"}]}`, nil, errkind.UnknownModel},
		{"unknown model by name", "GET", "/v1/models/x", "", nil, errkind.UnknownModel},
		{"wrong key", "POST", completions, validBody, []string{"Authorization", "Bearer other"}, errkind.Unauthorized},
		{"no key", "POST", completions, validBody, []string{"Authorization", ""}, errkind.Unauthorized},
		{"wrong scheme", "POST", completions, validBody, []string{"Authorization", "Basic key"}, errkind.Unauthorized},
		{"no prompt", "POST", completions, `{"model":"m"}`, nil, errkind.BadRequest},
		{"empty prompt", "POST", completions, `{"model":"m","prompt":""}`, nil, errkind.BadRequest},
		{"several prompts", "POST", completions, `{"model":"m","prompt":["a","b"]}`, nil, errkind.BadRequest},
		{"token out of range", "POST", completions, `{"model":"m","prompt":[-1]}`, nil, errkind.BadRequest},
		{"prompt is an object", "POST", completions, `{"model":"m","prompt":{}}`, nil, errkind.BadRequest},
		{"no tokens", "POST", completions, `{"model":"m","prompt":"x","max_tokens":0}`, nil, errkind.BadRequest},
		{"too many tokens", "POST", completions, `{"model":"m","prompt":"x","max_tokens":100}`, nil, errkind.BadRequest},
		{"prompt too long", "POST", completions, `{"model":"m","prompt":"` + strings.Repeat("x ", 101) + `"}`, nil, errkind.BadRequest},
		{"several choices", "POST", completions, `{"model":"m","prompt":"x","n":2}`, nil, errkind.BadRequest},
		{"stop sequences", "POST", completions, `{"model":"m","prompt":"x","stop":["a"]}`, nil, errkind.BadRequest},
		{"no messages", "POST", chat, `{"model":"m","messages":[]}`, nil, errkind.BadRequest},
		{"image in message", "POST", chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, errkind.BadRequest},
		{"timeout is not a number", "POST", completions, validBody, []string{TimeoutHeader, "soon"}, errkind.BadRequest},
		{"timeout is NaN", "POST", completions, validBody, []string{TimeoutHeader, "NaN"}, errkind.BadRequest},
		{"negative timeout", "POST", completions, validBody, []string{TimeoutHeader, "-1"}, errkind.BadRequest},
		{"unknown priority", "POST", completions, validBody, []string{PriorityHeader, "urgent"}, errkind.BadRequest},
		{"unknown path", "GET", "/v2/models", "", nil, errkind.NotFound},
		{"wrong method", "GET", completions, "", nil, errkind.BadRequest},
		{"unknown service", "GET", "/services/x/read", "", nil, errkind.UnknownService},
		{"unknown service of outcome", "GET", "/v1/outcomes/x/k", "", nil, errkind.UnknownService},
		{"dot segments", "GET", "/services/s/read/..%2Fwrite", "", nil, errkind.BadRequest},
		{"key with spaces", "POST", "/services/s/write", "", []string{IdempotencyKeyHeader, "a b"}, errkind.BadRequest},
		{"key too long", "POST", "/services/s/write", "", []string{IdempotencyKeyHeader, strings.Repeat("k", 257)}, errkind.BadRequest},
	}
	f := oneTokenResponse
	server := newTestServer(t, Options{}, &f)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, body := send(t, server, c.method, c.path, c.body, c.header...)
			assertErrorResponse(t, response, body, c.kind)
		})
	}
	if response, body := send(t, server, "POST", completions, validBody); response.StatusCode != http.StatusOK {
		t.Errorf("after invalid requests, a valid request has status %d: %s", response.StatusCode, body)
	}
}

// TestTruncatedBody guards against a request body shorter than its Content-Length that is taken for complete.
func TestTruncatedBody(t *testing.T) {
	f := oneTokenResponse
	server := newTestServer(t, Options{}, &f)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: 900\r\n\r\n{}")
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	assertErrorResponse(t, response, string(body), errkind.BadRequest)
}

// TestUnavailableDaemon guards against requests that are accepted while the daemon has no configuration or is stopping.
func TestUnavailableDaemon(t *testing.T) {
	f := oneTokenResponse
	server := newTestServer(t, Options{Configuration: func() *entity.Configuration { return nil }}, &f)
	response, body := send(t, server, "GET", "/v1/models", "")
	assertErrorResponse(t, response, body, errkind.NoConfiguration)
	server = newTestServer(t, Options{Stopping: func() bool { return true }}, &f)
	response, body = send(t, server, "GET", "/v1/models", "")
	assertErrorResponse(t, response, body, errkind.Stopping)
}

// TestErrorBeforeFirstTokenSetsStatus guards against headers that are sent before the first token, since an error would
// then be reported with status 200.
func TestErrorBeforeFirstTokenSetsStatus(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		for _, kind := range errkind.Kinds() {
			f := fakeDispatcher{err: errkind.New(kind, "refused")}
			server := newTestServer(t, Options{}, &f)
			response, body := send(t, server, "POST", "/v1/completions", `{"model":"m","prompt":"x","stream":`+stream+`}`)
			assertErrorResponse(t, response, body, kind)
		}
	}
}

// TestErrorAfterFirstToken guards against a stream that ends without reporting its error, and against an incomplete
// response without streaming that is sent as a success.
func TestErrorAfterFirstToken(t *testing.T) {
	f := fakeDispatcher{tokens: []engine.Token{{Text: " x"}}, err: errkind.New(errkind.TargetFailed, "all attempts failed")}
	server := newTestServer(t, Options{}, &f)
	response, body := send(t, server, "POST", "/v1/completions", `{"model":"m","prompt":"x","stream":true}`)
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	if response.StatusCode != http.StatusOK || len(events) != 2 || strings.Contains(body, "[DONE]") {
		t.Fatalf("status %d with events %q", response.StatusCode, events)
	}
	var last ErrorBody
	if err := json.Unmarshal([]byte(strings.TrimPrefix(events[1], "data: ")), &last); err != nil {
		t.Fatal(err)
	}
	if last.Error.Code != errkind.TargetFailed || last.Error.Run != errkind.Unknown {
		t.Errorf("last event is %+v", last.Error)
	}
	server = newTestServer(t, Options{}, &f)
	response, body = send(t, server, "POST", "/v1/completions", `{"model":"m","prompt":"x"}`)
	assertErrorResponse(t, response, body, errkind.TargetFailed)
}

// TestCallerDisconnectsOrStalls guards against a request that continues after its caller has disconnected, and against
// a caller that never reads and thereby blocks a handler forever.
func TestCallerDisconnectsOrStalls(t *testing.T) {
	// 64 MiB is more than the socket buffers of both ends hold.
	largeResponse := slices.Repeat([]engine.Token{{Text: strings.Repeat("x", 1<<20)}}, 64)
	cases := []struct {
		name        string
		tokens      []engine.Token
		disconnects bool
	}{
		{"disconnects before the first token", nil, true},
		{"disconnects after a token", []engine.Token{{Text: "x"}}, true},
		{"reads nothing", largeResponse, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := fakeDispatcher{tokens: c.tokens}
			server := newTestServer(t, Options{WriteTimeout: 100 * time.Millisecond}, &f)
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			body := `{"model":"m","prompt":"x","stream":true}`
			fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"+
				"Content-Length: %d\r\n\r\n%s", len(body), body)
			if c.disconnects {
				connection.Close()
			}
			select {
			case <-f.closed:
			case <-time.After(time.Minute):
				t.Fatal("the stream was not closed")
			}
		})
	}
}

// TestServiceCall guards against calls that are forwarded with the wrong path or wrongly treated as idempotent, and
// against a response without the idempotency key of the call.
func TestServiceCall(t *testing.T) {
	f := oneTokenResponse
	server := newTestServer(t, Options{}, &f)
	cases := []struct {
		method, path, sent string
		idempotent         bool
	}{
		{"GET", "/read/a%2Fb?x=1", "/read/a%2Fb?x=1", true},
		{"GET", "/reader", "/reader", false},
		{"POST", "/read", "/read", false},
		{"GET", "", "/", false},
	}
	for _, c := range cases {
		f.err = nil
		response, _ := send(t, server, c.method, "/services/s"+c.path, "body")
		call := <-f.calls
		if call.Path != c.sent || call.Idempotent != c.idempotent || call.Account != "a" || string(call.Body) != "body" {
			t.Errorf("%s %s is forwarded as %+v", c.method, c.path, call)
		}
		if key := response.Header.Get(IdempotencyKeyHeader); (key == "") != c.idempotent || key != call.Key {
			t.Errorf("%s %s has key %q, the response %q", c.method, c.path, call.Key, key)
		}
		if response.StatusCode != http.StatusTeapot {
			t.Errorf("status %d is not the one that the service returned", response.StatusCode)
		}
	}
}

// FuzzDecode guards against a decoder that panics, accepts a request without a model or prompt, or returns an error of
// another kind than BadRequest.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"hello","max_tokens":3}`, `{"model":"m","prompt":[1,2]}`, `{"model":"m","prompt":["x"]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true}`, `[`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, decode := range []func([]byte) (*decodedRequest, error){decodeCompletion, decodeChat} {
			request, err := decode(content)
			if err != nil {
				if kind := errkind.Of(err); kind != errkind.BadRequest {
					t.Errorf("error kind is %s", kind)
				}
				continue
			}
			if request.model == "" || len(request.prompt) == 0 || request.maxTokens < 0 {
				t.Errorf("accepted %+v", request)
			}
		}
	})
}
