// Package engine emulates an inference engine that holds a range of model layers and serves the engine protocol of
// api/engineapi. Each generated token is a pure function of the tokens before it; see ExpectedAnswer. Faults are
// injected with SetFaults or a POST to FaultsPath.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
	"github.com/hyssophoist/hyssophoist/internal/emulator/lag"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
	"github.com/hyssophoist/hyssophoist/internal/logging"
)

var log = logging.For("emulator engine")

const (
	defaultMaxStreams    = 256
	defaultStepTimeout   = 10 * time.Second
	defaultImportTimeout = 300 * time.Millisecond
)

// Options configures an Engine.
type Options struct {
	// Target is the name of this engine in routes and traces.
	Target string
	// Model, Version and Adapter are loaded initially; an empty Version matches any.
	Model   string
	Version string
	Adapter string
	// Role is the initial role, a label in load reports.
	Role string
	// From and To are the layers [From, To) that are loaded initially.
	From, To int
	// ModelLayers is the number of layers of the whole model. If it is set, a route must end at this layer. A route always
	// begins at layer 0.
	ModelLayers int
	// Accelerator is the performance of the engine; the type DefaultAccelerator if its Name is empty.
	Accelerator Accelerator
	// MaxStreams bounds the concurrent streams that start at this engine; further ones are refused with status 429 and
	// engineapi.RunNotRun. The default is 256.
	MaxStreams int
	// DefaultLink is the link to each engine that Links, keyed by target, does not list.
	DefaultLink Link
	Links       map[string]Link
	// LoadLag is the delay until a load report becomes visible and LoadInterval the time between reports.
	LoadLag, LoadInterval time.Duration
	// CacheEventDelay is the delay until a cache event becomes visible and CacheEventLoss the fraction of events that is
	// dropped, from 0 to 1.
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// ChecksFencing makes the engine refuse an order whose fencing number is lower than the highest it accepted.
	ChecksFencing bool
	// PlatformURL is the base URL of the weight store. If it is empty, loading takes time but downloads nothing.
	PlatformURL string
	// StopInterval makes each token that is a multiple of it end the answer; 0 means that answers end only by length.
	// All engines of a route must use the same value.
	StopInterval int
	// StepTimeout bounds one call to the next engine and ImportTimeout the import of KV, both in system time. The
	// defaults are 10 s and 300 ms.
	StepTimeout, ImportTimeout time.Duration
	// Seed determines which cache events are dropped.
	Seed uint64
	// Clock is the time source of the engine; clock.System if nil. Request deadlines use system time.
	Clock clock.Clock
	// Transport carries calls to other engines and the platform; a new one if nil.
	Transport http.RoundTripper
}

// Engine is an emulated inference engine. It is an http.Handler and safe for concurrent use.
type Engine struct {
	options     Options
	accelerator Accelerator
	clock       clock.Clock
	client      *http.Client
	handler     http.Handler
	ctx         context.Context
	cancel      context.CancelFunc
	wake        chan struct{}
	stopped     chan struct{}
	loaders     sync.WaitGroup

	mu              sync.Mutex
	state           engineState
	pendingLoad     *weightLoad
	fencingNumber   uint64
	incarnation     *incarnation
	faults          Faults
	faultsChanged   chan struct{}
	streams         map[streamKey]context.CancelFunc
	reservedTokens  int // KV tokens reserved by the streams that started here
	queue           jobQueue
	jobSequence     uint64
	runningJobs     int
	tokensProcessed uint64
	kv              *kvStore
	prefixes        *prefixCache
	cacheEvents     cacheEventLog
	loadReports     *lag.History[engineapi.LoadReport]
	linkFreeAt      map[string]time.Time
}

type streamKey struct{ request, attempt string }

// incarnation is the period between two crashes; its context ends with the next crash.
type incarnation struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a running engine.
func New(options Options) *Engine {
	setDefaults(&options)
	e := &Engine{
		options:     options,
		accelerator: options.Accelerator,
		clock:       options.Clock,
		client:      &http.Client{Transport: options.Transport},
		wake:        make(chan struct{}, 1),
		stopped:     make(chan struct{}),
		state: engineState{
			model: options.Model, version: options.Version, adapter: options.Adapter,
			role: options.Role, from: options.From, to: options.To,
		},
		faults:        Faults{Speed: 1},
		faultsChanged: make(chan struct{}),
		streams:       map[streamKey]context.CancelFunc{},
		kv:            newKVStore(options.Accelerator.KVTokens),
		prefixes:      newPrefixCache(options.Accelerator.PrefixBlocks),
		cacheEvents:   cacheEventLog{random: rand.New(rand.NewPCG(options.Seed, 0))},
		linkFreeAt:    map[string]time.Time{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.incarnation = e.newIncarnation()
	e.loadReports = lag.NewHistory(e.clock.Now(), e.loadReport(), options.LoadLag, options.LoadInterval)
	router := wire.NewRouter()
	router.HandleFunc(engineapi.StreamsPath, e.serveStream).Methods(http.MethodPost)
	router.HandleFunc(engineapi.StreamsPath+"/{request}/{attempt}", e.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc(engineapi.ActivationsPath, e.serveActivation).Methods(http.MethodPost)
	router.HandleFunc(engineapi.LoadPath, e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc(engineapi.CacheEventsPath, e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc(engineapi.OrdersPath, e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc(engineapi.KVPath+"/{request}", e.serveExport).Methods(http.MethodGet)
	router.HandleFunc(engineapi.KVPath+"/{request}", e.serveImport).Methods(http.MethodPut)
	router.HandleFunc(FaultsPath, e.serveFaults).Methods(http.MethodGet, http.MethodPost)
	e.handler = router
	go e.runBatches()
	return e
}

func setDefaults(options *Options) {
	if options.Accelerator.Name == "" {
		options.Accelerator, _ = AcceleratorNamed(DefaultAccelerator)
	}
	if options.MaxStreams == 0 {
		options.MaxStreams = defaultMaxStreams
	}
	if options.StepTimeout == 0 {
		options.StepTimeout = defaultStepTimeout
	}
	if options.ImportTimeout == 0 {
		options.ImportTimeout = defaultImportTimeout
	}
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.Transport == nil {
		options.Transport = &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	}
}

func (e *Engine) newIncarnation() *incarnation {
	ctx, cancel := context.WithCancel(e.ctx)
	return &incarnation{ctx: ctx, cancel: cancel}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, controlPrefix) {
		if e.isCrashed() || e.awaitResume(r.Context()) != nil {
			wire.DropConnection()
		}
	}
	e.handler.ServeHTTP(w, r)
}

// Close cancels all streams and weight loads and waits for the goroutines of the engine.
func (e *Engine) Close() {
	e.cancel()
	<-e.stopped
	e.loaders.Wait()
	e.client.CloseIdleConnections()
}

// loadReport returns the current load. The caller holds e.mu or has the only reference to e.
func (e *Engine) loadReport() engineapi.LoadReport {
	return engineapi.LoadReport{
		Target: e.options.Target, Queued: e.queue.Len(), Running: e.runningJobs,
		KVUsed:          float64(e.kv.usedTokens) / float64(max(e.kv.capacity, 1)),
		TokensProcessed: e.tokensProcessed, Model: e.state.model, Adapter: e.state.adapter, Version: e.state.version,
		Role: e.state.role, From: e.state.from, To: e.state.to, Accelerator: e.accelerator.Name,
		FencingNumber: e.fencingNumber,
	}
}

// recordLoad records the current load for later reports. The caller holds e.mu.
func (e *Engine) recordLoad() { e.loadReports.Record(e.clock.Now(), e.loadReport()) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.clock.Now()
	report, measured, sequence := e.loadReports.Visible(now)
	e.mu.Unlock()
	report.Sequence, report.AgeMS = sequence, now.Sub(measured).Milliseconds()
	wire.WriteJSON(w, http.StatusOK, report)
}
