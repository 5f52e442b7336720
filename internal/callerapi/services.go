package callerapi

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

const servicesPath = "/services/"

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request, info requestInfo) error {
	name := pathVariable(r, "service")
	svc := findService(info.configuration, name)
	if svc == nil {
		return errkind.New(errkind.UnknownService, "service %q does not exist", name)
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	call := ServiceCall{
		Account: info.account, Service: svc.ID, Method: r.Method, Header: r.Header.Clone(), Body: body,
	}
	if call.Priority, err = requestPriority(r); err != nil {
		return err
	}
	if call.Deadline, err = requestDeadline(r, info, time.Duration(svc.TimeoutSeconds*float64(time.Second))); err != nil {
		return err
	}
	unescapedPath, err := setServicePath(r, &call)
	if err != nil {
		return err
	}
	call.Idempotent = isIdempotent(svc, r.Method, unescapedPath)
	if !call.Idempotent {
		if err := setIdempotencyKey(r, &call); err != nil {
			return err
		}
		// The key is set before the call, so that an error response carries it too.
		w.Header().Set(IdempotencyKeyHeader, call.Key)
	}
	response, err := h.options.Dispatcher.Call(r.Context(), call)
	if err != nil {
		return err
	}
	writeServiceResponse(w, r, response)
	return nil
}

func findService(configuration *entity.Configuration, id string) *entity.Service {
	for i := range configuration.Preset.Services {
		if configuration.Preset.Services[i].ID == entity.ServiceID(id) {
			return &configuration.Preset.Services[i]
		}
	}
	return nil
}

// setServicePath sets the path of the call and returns that path unescaped and without the query. Paths with empty or
// dot segments are rejected: the service could resolve them to a path other than the one that is matched against the
// list of idempotent calls.
func setServicePath(r *http.Request, call *ServiceCall) (string, error) {
	pathInService := func(path string) string {
		rest := strings.TrimPrefix(path, servicesPath)
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			return rest[slash:]
		}
		return "/"
	}
	unescapedPath := pathInService(r.URL.Path)
	segments := strings.Split(unescapedPath[1:], "/")
	for i, segment := range segments {
		if segment == "." || segment == ".." || segment == "" && i < len(segments)-1 {
			return "", badRequest("the path has an empty segment, \".\" or \"..\"")
		}
	}
	call.Path = pathInService(r.URL.EscapedPath())
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	return unescapedPath, nil
}

// isIdempotent reports whether a call matches the service's list of idempotent calls. Path prefixes match only complete
// segments.
func isIdempotent(svc *entity.Service, method, path string) bool {
	for _, pattern := range svc.Idempotent {
		rest, found := strings.CutPrefix(path, pattern.PathPrefix)
		atBoundary := rest == "" || strings.HasSuffix(pattern.PathPrefix, "/") || rest[0] == '/'
		if found && atBoundary && pattern.Method == method {
			return true
		}
	}
	return false
}

// setIdempotencyKey sets the key and the request hash of a call that is not idempotent. A missing key is generated. The
// hash covers what a repeated call with the same key must have in common with the first.
func setIdempotencyKey(r *http.Request, call *ServiceCall) error {
	call.Key = r.Header.Get(IdempotencyKeyHeader)
	if call.Key == "" {
		call.Key = uuid.NewString()
		call.Header.Set(IdempotencyKeyHeader, call.Key)
	}
	if len(call.Key) > maxIdempotencyKeyBytes {
		return badRequest("header %s has %d bytes, want at most %d", IdempotencyKeyHeader, len(call.Key),
			maxIdempotencyKeyBytes)
	}
	for _, char := range []byte(call.Key) {
		if char <= ' ' || char > '~' {
			return badRequest("header %s must consist of printable ASCII characters without spaces", IdempotencyKeyHeader)
		}
	}
	hash := sha256.New()
	for _, part := range []string{call.Method, call.Path, r.Header.Get("Content-Type"), string(call.Body)} {
		_, _ = io.WriteString(hash, strconv.Itoa(len(part))+":"+part) // never fails
	}
	call.RequestHash = hex.EncodeToString(hash.Sum(nil))
	return nil
}

func writeServiceResponse(w http.ResponseWriter, r *http.Request, response *service.Response) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	if r.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	setWriteDeadline(w)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // the server detects a disconnected caller
}

// Outcome is the response body of GET /v1/outcomes/{service}/{key} for a call that has run.
type Outcome struct {
	Service string      `json:"service"`
	Key     string      `json:"key"`
	Status  int         `json:"status"`
	Header  http.Header `json:"header"`
	// Body is the body of the recorded response, in base64.
	Body []byte `json:"body"`
}

func (h *Handler) serveOutcome(w http.ResponseWriter, r *http.Request, info requestInfo) error {
	name, key := pathVariable(r, "service"), pathVariable(r, "key")
	if findService(info.configuration, name) == nil {
		return errkind.New(errkind.UnknownService, "service %q does not exist", name)
	}
	response, err := h.options.Dispatcher.Outcome(r.Context(), info.account, entity.ServiceID(name), key)
	if err != nil {
		return err
	}
	if response == nil {
		return errkind.New(errkind.NotFound, "service %q has no outcome for key %q", name, key)
	}
	writeJSON(w, http.StatusOK, Outcome{
		Service: name, Key: key, Status: response.Status, Header: response.Header, Body: response.Body,
	})
	return nil
}
