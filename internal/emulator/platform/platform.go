// Package platform emulates the platform with the protocol of api/platformapi: a linearizable transactional table
// service, an object store, an instance list whose changes become visible after a delay, and a rate-limited weight
// store. Faults are set with SetFaults or at FaultsPath.
package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
	"github.com/hyssophoist/hyssophoist/internal/emulator/lag"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

const (
	defaultListLimit   = 1000
	defaultWeightBytes = 64 << 10
	retryAfterSeconds  = "1"
)

// Options configures a Platform.
type Options struct {
	// Instances is the initial instance list.
	Instances []platformapi.Instance
	// InstanceLag is the delay until a change of the instance list is visible.
	InstanceLag time.Duration
	// ReadsPerSecond and WritesPerSecond bound the calls of the table service, object store and instance list, with
	// bursts of a quarter of a second. A call above the limit gets status 429. 0 means no limit.
	ReadsPerSecond, WritesPerSecond float64
	// WeightsPerSecond bounds the rate of downloads from the weight store; 0 means no limit.
	WeightsPerSecond float64
	// WeightBytes is the size of each object of the weight store, in bytes; 64 KiB if 0.
	WeightBytes int
	// WeightBytesPerSecond is the speed of one download; 0 means no limit.
	WeightBytesPerSecond float64
	// Seed determines which responses are lost when Faults.LoseShare is set.
	Seed uint64
	// Clock is the clock of the platform; clock.System if nil.
	Clock clock.Clock
}

// Platform is an emulated platform. It is an http.Handler and safe for concurrent use.
type Platform struct {
	options Options
	clock   clock.Clock
	handler http.Handler
	ctx     context.Context
	cancel  context.CancelFunc
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter

	mu            sync.Mutex
	tables        map[string]*table
	objects       map[string][]byte
	instances     *lag.History[[]platformapi.Instance]
	faults        Faults
	faultsChanged chan struct{}
	random        *rand.Rand
	counts        Counts
}

// New returns a platform without rows or objects.
func New(options Options) *Platform {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.WeightBytes == 0 {
		options.WeightBytes = defaultWeightBytes
	}
	p := &Platform{
		options:       options,
		clock:         options.Clock,
		reads:         newLimiter(options.ReadsPerSecond),
		writes:        newLimiter(options.WritesPerSecond),
		weights:       newLimiter(options.WeightsPerSecond),
		tables:        map[string]*table{},
		objects:       map[string][]byte{},
		instances:     lag.NewHistory(options.Clock.Now(), options.Instances, options.InstanceLag, 0),
		faultsChanged: make(chan struct{}),
		random:        rand.New(rand.NewPCG(options.Seed, 0)),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	router := wire.NewRouter()
	read, write := p.guardRead, p.guardWrite
	router.HandleFunc(platformapi.TablesPath+"/{table}/rows/{key}", read(p.serveRow)).Methods(http.MethodGet)
	router.HandleFunc(platformapi.TablesPath+"/{table}/rows", read(p.serveRows)).Methods(http.MethodGet)
	router.HandleFunc(platformapi.TransactionsPath, write(p.transact)).Methods(http.MethodPost)
	router.HandleFunc(platformapi.ObjectsPath+"/{key}", read(p.serveGetObject)).Methods(http.MethodGet)
	router.HandleFunc(platformapi.ObjectsPath+"/{key}", write(p.putObject)).Methods(http.MethodPut)
	router.HandleFunc(platformapi.InstancesPath, read(p.serveInstances)).Methods(http.MethodGet)
	router.HandleFunc(platformapi.WeightsPath+"/{model}/{version}", p.serveWeights).Methods(http.MethodGet)
	router.HandleFunc(FaultsPath, p.serveFaults).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc(InstancesControlPath, p.serveSetInstances).Methods(http.MethodPut)
	router.HandleFunc(CountsPath, p.serveCounts).Methods(http.MethodGet)
	p.handler = router
	return p
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/4)))
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.handler.ServeHTTP(w, r) }

// Close drops hanging calls and delayed writes. Delayed writes do not take effect.
func (p *Platform) Close() { p.cancel() }

// SetInstances replaces the instance list. The change becomes visible after Options.InstanceLag.
func (p *Platform) SetInstances(instances []platformapi.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.Record(p.clock.Now(), append([]platformapi.Instance{}, instances...))
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	name, key := wire.Var(r, "table"), wire.Var(r, "key")
	p.mu.Lock()
	row, ok := p.tables[name].get(key)
	p.mu.Unlock()
	if !ok {
		wire.WriteError(w, http.StatusNotFound, "table %q has no row %q", name, key)
		return
	}
	wire.WriteWithETag(w, r, row)
}

func (p *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := defaultListLimit
	if text := query.Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 0 {
			wire.WriteError(w, http.StatusBadRequest, "limit %q is not a number of rows", text)
			return
		}
		if parsed > 0 {
			limit = min(parsed, defaultListLimit)
		}
	}
	p.mu.Lock()
	rows := p.tables[wire.Var(r, "table")].list(query.Get("prefix"), query.Get("after"), limit)
	p.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, platformapi.Rows{Rows: rows})
}

// transact handles POST TransactionsPath, behind guardWrite.
func (p *Platform) transact(_ *http.Request, body []byte) (status int, response any) {
	var transaction platformapi.Transaction
	if err := json.Unmarshal(body, &transaction); err != nil {
		return http.StatusBadRequest, platformapi.ErrorBody{Error: "decode transaction: " + err.Error()}
	}
	versions, conflict := p.commit(transaction.Writes)
	if conflict != nil {
		return http.StatusConflict, conflict
	}
	return http.StatusOK, platformapi.TransactionResult{Versions: versions}
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	key := wire.Var(r, "key")
	p.mu.Lock()
	object, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		wire.WriteError(w, http.StatusNotFound, "no object %q", key)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object)
}

// putObject handles PUT ObjectsPath/{key}, behind guardWrite.
func (p *Platform) putObject(r *http.Request, body []byte) (status int, response any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[wire.Var(r, "key")] = body
	return http.StatusOK, struct{}{}
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	instances, _, _ := p.instances.Visible(p.clock.Now())
	p.mu.Unlock()
	wire.WriteWithETag(w, r, platformapi.Instances{Instances: instances})
}

func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	if !p.weights.AllowN(p.clock.Now(), 1) {
		p.refuseRateLimited(w)
		return
	}
	if p.options.WeightBytesPerSecond > 0 {
		seconds := float64(p.options.WeightBytes) / p.options.WeightBytesPerSecond
		if p.clock.Sleep(r.Context(), time.Duration(seconds*float64(time.Second))) != nil {
			return
		}
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, p.options.WeightBytes))
}
