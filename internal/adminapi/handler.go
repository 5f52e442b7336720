// Package adminapi implements the HTTP API for operators.
package adminapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	"github.com/hyssophoist/hyssophoist/internal/logging"
)

const (
	// DefaultMaxBodyBytes limits the body of a request. A preset of 3,200 targets has about half a megabyte.
	DefaultMaxBodyBytes = 8 << 20

	// DefaultTimeout limits the handling of a request. It is long enough to determine the outcome of a change whose
	// response was lost twice.
	DefaultTimeout = 30 * time.Second

	maxOperatorBytes = 128
	maxChangeIDBytes = 128
)

var log = logging.For("adminapi")

// Backend provides the state that the API shows and changes; *configsync.Agent implements it.
type Backend interface {
	Status() adminapi.Status
	Targets() adminapi.Targets
	Instances() adminapi.Instances
	Presets(ctx context.Context) ([]configstore.PresetHead, error)
	Preset(ctx context.Context, ref rollout.PresetRef) (*entity.Preset, error)
	Resolve(ctx context.Context, ref rollout.PresetRef) (rollout.PresetRef, error)
	CreatePreset(ctx context.Context, preset configstore.NewPreset) (rollout.PresetRef, error)
	Submit(ctx context.Context, change rollout.Change) (*configstore.Accepted, error)
	Audit(ctx context.Context, before uint64, limit int) ([]configstore.AuditEntry, error)
}

// Options configures a Handler.
type Options struct {
	Backend Backend
	// Tokens lists the accepted administration tokens. If it is empty, every request that needs a token is rejected.
	Tokens []string
	// CheckPreset returns an error of kind errkind.BadRequest for an invalid preset. If nil, presets are not checked.
	CheckPreset func(*entity.Preset) error
	// Metrics, Healthy and Ready serve /metrics, /healthz and /readyz, which need no token. If Metrics is nil, there is
	// no /metrics; a nil Healthy or Ready counts as true.
	Metrics http.Handler
	Healthy func() bool
	Ready   func() bool
	// MaxBodyBytes and Timeout limit each request. They default to DefaultMaxBodyBytes and DefaultTimeout.
	MaxBodyBytes int64
	Timeout      time.Duration
}

// Handler serves the API. It does not limit header sizes and read times; the HTTP server must.
type Handler struct {
	options Options
	tokens  [][sha256.Size]byte
	router  *mux.Router
}

// New returns a handler with the given options.
func New(options Options) *Handler {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	h := &Handler{options: options, router: mux.NewRouter()}
	for _, token := range options.Tokens {
		if token != "" {
			h.tokens = append(h.tokens, sha256.Sum256([]byte(token)))
		}
	}
	h.route()
	return h
}

func (h *Handler) route() {
	h.router.HandleFunc("/healthz", probe(h.options.Healthy)).Methods(http.MethodGet)
	h.router.HandleFunc("/readyz", probe(h.options.Ready)).Methods(http.MethodGet)
	if h.options.Metrics != nil {
		h.router.Handle("/metrics", h.options.Metrics).Methods(http.MethodGet)
	}
	h.handle(http.MethodGet, adminapi.StatusPath, h.status)
	h.handle(http.MethodGet, adminapi.PresetsPath, h.presets)
	h.handle(http.MethodPost, adminapi.PresetsPath, h.createPreset)
	h.handle(http.MethodGet, adminapi.PresetsPath+"/{name}", h.preset)
	h.handle(http.MethodPost, adminapi.SwitchPath, h.switchPreset)
	h.handle(http.MethodGet, adminapi.TargetsPath, h.targets)
	h.handle(http.MethodGet, adminapi.InstancesPath, h.instances)
	h.handle(http.MethodPost, adminapi.MarksPath, h.setMarks)
	h.handle(http.MethodGet, adminapi.AuditPath, h.audit)
	h.router.NotFoundHandler = h.errorHandler(func(r *http.Request) error {
		return errkind.New(errkind.NotFound, "path %s does not exist", r.URL.Path)
	})
	h.router.MethodNotAllowedHandler = h.errorHandler(func(r *http.Request) error {
		return errkind.New(errkind.BadRequest, "method %s is not supported by %s", r.Method, r.URL.Path)
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func probe(state func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if state != nil && !state() {
			http.Error(w, "no", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}

func (h *Handler) errorHandler(reason func(*http.Request) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { writeError(w, reason(r)) })
}

// endpoint handles a request and returns the body of the successful response.
type endpoint func(r *http.Request) (any, error)

// handle registers an endpoint that requires a token and is subject to the limits of a request.
func (h *Handler) handle(method, path string, serve endpoint) {
	h.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if !h.authorized(r) {
			log.Warningf("%s %s from %s refused: wrong or missing token", r.Method, r.URL.Path, r.RemoteAddr)
			writeError(w, errkind.New(errkind.Unauthorized, "the administration token is missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, h.options.MaxBodyBytes)
		ctx, cancel := context.WithTimeout(r.Context(), h.options.Timeout)
		defer cancel()
		result, err := serve(r.WithContext(ctx))
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, result)
	}).Methods(method)
}

// authorized compares the bearer token with every accepted token in constant time, so that response times reveal
// nothing about the tokens.
func (h *Handler) authorized(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	hash := sha256.Sum256([]byte(token))
	found := 0
	for i := range h.tokens {
		found |= subtle.ConstantTimeCompare(hash[:], h.tokens[i][:])
	}
	return found == 1
}
