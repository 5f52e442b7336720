// Package callerapi implements the HTTP API for callers: OpenAI-compatible completions and models, calls of plain
// services, and the recorded outcomes of such calls.
package callerapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/logging"
)

// Request headers of callers.
const (
	// TimeoutHeader is the timeout of the request in seconds; fractions are allowed.
	TimeoutHeader = "Hyssophoist-Timeout"
	// PriorityHeader is the priority of the request: "low", "normal" or "high".
	PriorityHeader = "Hyssophoist-Priority"
	// IdempotencyKeyHeader identifies a call that is not idempotent. Calls with the same key run at most once in total.
	IdempotencyKeyHeader = "Idempotency-Key"
)

const (
	// DefaultMaxBodyBytes limits the body of a request if the preset sets no limit.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultTimeout is the timeout of a request for which neither the caller nor the preset sets one.
	DefaultTimeout = 10 * time.Minute
	// MaxTimeout is the longest timeout that a caller can request.
	MaxTimeout = 24 * time.Hour
	// DefaultWriteTimeout limits each write to a caller. A caller that reads nothing for this long is disconnected.
	DefaultWriteTimeout = 30 * time.Second

	// MaxHeaderBytes limits the size of the request line and headers. The limit of the HTTP server must be higher, since
	// the error response of the server itself has no error kind.
	MaxHeaderBytes = 32 << 10

	// bodyReadTimeout limits the time to read a request body. 4 MiB in 30 s is about 1 Mbit/s.
	bodyReadTimeout        = 30 * time.Second
	maxIdempotencyKeyBytes = 256
)

var log = logging.For("callerapi")

// Options configures a Handler.
type Options struct {
	// Configuration returns the configuration in force, or nil.
	Configuration func() *entity.Configuration
	Dispatcher    Dispatcher
	// Stopping reports whether new requests are rejected because the daemon is stopping. It may be nil.
	Stopping func() bool
	// WriteTimeout limits each write of a streamed response. It defaults to DefaultWriteTimeout.
	WriteTimeout time.Duration
}

// Handler serves the caller API.
type Handler struct {
	options Options
	router  *mux.Router
	keys    atomic.Pointer[keyIndex]
}

// New returns a handler with the given options.
func New(options Options) *Handler {
	if options.Stopping == nil {
		options.Stopping = func() bool { return false }
	}
	if options.WriteTimeout == 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	h := &Handler{options: options}
	// Paths within services are forwarded unchanged, so the router must neither decode nor clean them.
	h.router = mux.NewRouter().UseEncodedPath().SkipClean(true)
	h.router.HandleFunc("/v1/completions", h.authenticated(h.serveCompletion)).Methods(http.MethodPost)
	h.router.HandleFunc("/v1/chat/completions", h.authenticated(h.serveChat)).Methods(http.MethodPost)
	h.router.HandleFunc("/v1/models", h.authenticated(h.serveModels)).Methods(http.MethodGet)
	h.router.HandleFunc("/v1/models/{model}", h.authenticated(h.serveModel)).Methods(http.MethodGet)
	h.router.HandleFunc("/v1/outcomes/{service}/{key}", h.authenticated(h.serveOutcome)).Methods(http.MethodGet)
	h.router.PathPrefix("/services/{service}").HandlerFunc(h.authenticated(h.serveService))
	h.router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, errkind.New(errkind.NotFound, "no route for %s %s", r.Method, r.URL.Path))
	})
	h.router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, errkind.New(errkind.BadRequest, "method %s is not supported at %s", r.Method, r.URL.Path))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// requestInfo holds the account and the configuration of an authenticated request, and its time of arrival.
type requestInfo struct {
	account       entity.AccountID
	configuration *entity.Configuration
	arrivedAt     time.Time
}

type authenticatedHandler func(w http.ResponseWriter, r *http.Request, info requestInfo) error

// authenticated wraps a handler with the checks that all requests have in common. If the handler returns an error, an
// error response is written, so a handler that has begun to write must return nil.
func (h *Handler) authenticated(handle authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrivedAt := time.Now()
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(arrivedAt.Add(bodyReadTimeout)) // cleared when the body has been read
		_ = controller.SetWriteDeadline(time.Time{})                   // set again before each write
		if size := headerBytes(r); size > MaxHeaderBytes {
			writeError(w, errkind.New(errkind.TooLarge, "the headers have %d bytes, want at most %d", size, MaxHeaderBytes))
			return
		}
		account, configuration, err := h.authenticate(r)
		if err != nil {
			writeError(w, err)
			return
		}
		limit := configuration.Preset.Limits.BodyBytes
		if limit <= 0 {
			limit = DefaultMaxBodyBytes
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		if err := handle(w, r, requestInfo{
			account: account, configuration: configuration, arrivedAt: arrivedAt,
		}); err != nil {
			writeError(w, err)
		}
	}
}

func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// keyIndex holds the decoded key hashes of one configuration, each with its account at the same index.
type keyIndex struct {
	configuration *entity.Configuration
	hashes        [][sha256.Size]byte
	accounts      []entity.AccountID
}

func (h *Handler) keyIndexFor(configuration *entity.Configuration) *keyIndex {
	if index := h.keys.Load(); index != nil && index.configuration == configuration {
		return index
	}
	index := &keyIndex{configuration: configuration}
	for _, account := range configuration.Preset.Accounts {
		for _, hexHash := range account.KeySHA256 {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(hexHash)); err != nil || n != len(hash) {
				log.Errorf("ignored a key hash of account %s: not a SHA-256 digest in hexadecimal", account.ID)
				continue
			}
			index.hashes = append(index.hashes, hash)
			index.accounts = append(index.accounts, account.ID)
		}
	}
	h.keys.Store(index)
	return index
}

// authenticate returns the account of the bearer key and the configuration against which the request is checked.
func (h *Handler) authenticate(r *http.Request) (entity.AccountID, *entity.Configuration, error) {
	if h.options.Stopping() {
		return "", nil, withRetryAfter(errkind.New(errkind.Stopping, "this daemon is stopping"), time.Second)
	}
	configuration := h.options.Configuration()
	if configuration == nil {
		return "", nil, withRetryAfter(errkind.New(errkind.NoConfiguration, "no configuration is in force"), time.Second)
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", nil, errkind.New(errkind.Unauthorized, "the request has no bearer key")
	}
	// All hashes are compared, each in constant time, so that the response time does not reveal how much of a key matches.
	sum := sha256.Sum256([]byte(key))
	index := h.keyIndexFor(configuration)
	found := -1
	for i := range index.hashes {
		equal := subtle.ConstantTimeCompare(sum[:], index.hashes[i][:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", nil, errkind.New(errkind.Unauthorized, "the bearer key is not valid")
	}
	return index.accounts[found], configuration, nil
}

// requestDeadline returns the deadline of a request. The timeout is the first that is set: the header of the request,
// serviceTimeout, the preset's timeout, DefaultTimeout. serviceTimeout is 0 for completions.
func requestDeadline(r *http.Request, info requestInfo, serviceTimeout time.Duration) (time.Time, error) {
	timeout := serviceTimeout
	if timeout <= 0 {
		timeout = time.Duration(info.configuration.Preset.Limits.TimeoutSeconds * float64(time.Second))
	}
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if value := r.Header.Get(TimeoutHeader); value != "" {
		seconds, err := strconv.ParseFloat(value, 64)
		// The comparison is also false for NaN.
		if err != nil || !(seconds > 0 && seconds <= MaxTimeout.Seconds()) {
			return time.Time{}, errkind.New(errkind.BadRequest,
				"header %s is %q, want a number of seconds above 0 and at most %g", TimeoutHeader, value, MaxTimeout.Seconds())
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	return info.arrivedAt.Add(timeout), nil
}

func requestPriority(r *http.Request) (entity.Priority, error) {
	switch value := r.Header.Get(PriorityHeader); value {
	case "low":
		return entity.LowPriority, nil
	case "", "normal":
		return entity.NormalPriority, nil
	case "high":
		return entity.HighPriority, nil
	default:
		return 0, errkind.New(errkind.BadRequest, "header %s is %q, want low, normal or high", PriorityHeader, value)
	}
}
