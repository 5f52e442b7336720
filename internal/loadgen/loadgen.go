// Package loadgen sends a seeded workload to the caller API of a deployment and reports the results as seen by callers.
package loadgen

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Options configures one run.
type Options struct {
	// URLs are the base URLs of the caller APIs; each request uses one chosen at random.
	URLs []string
	// Keys are the bearer tokens; each request uses one chosen at random by Weights (equal weights if empty).
	Keys    []string
	Weights []float64
	// Model is the model of completions. Service, if set, receives the fraction ServiceShare of all requests.
	Model        string
	Service      string
	ServiceShare float64
	// PostingShare is the fraction of service calls that are postings: POST requests, each with its own idempotency key.
	// The others are lookups.
	PostingShare float64
	// Rate is the open-loop arrival rate in requests per second. If it is 0, the run is a closed loop: Concurrency callers
	// each send one request at a time.
	Rate        float64
	Concurrency int
	// Duration is the time during which requests start; those in progress then finish.
	Duration time.Duration
	// ShortWords and LongWords are the lengths of short and long prompts in words; LongShare is the fraction of long ones.
	ShortWords int
	LongWords  int
	LongShare  float64
	// MaxTokens is the maximum length of each response in tokens.
	MaxTokens int
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// Seed makes the sequence of requests repeatable.
	Seed uint64
	// Expected returns the complete expected response to a prompt. If it is nil, responses are not compared.
	Expected func(prompt string, maxTokens int) string
}

// DefaultOptions returns a small workload that a daemon in development mode can serve.
func DefaultOptions() Options {
	return Options{
		URLs:       []string{"http://127.0.0.1:8080"},
		Keys:       []string{"dev-key"},
		Rate:       10,
		Duration:   10 * time.Second,
		ShortWords: 20,
		LongWords:  400,
		LongShare:  0.2,
		MaxTokens:  32,
		Timeout:    30 * time.Second,
		Seed:       1,
	}
}

// validate returns an error if the options are incomplete or inconsistent.
func (o *Options) validate() error {
	switch {
	case len(o.URLs) == 0:
		return errors.New("at least one URL is required")
	case len(o.Keys) == 0:
		return errors.New("at least one key is required")
	case o.Rate <= 0 && o.Concurrency <= 0:
		return errors.New("a rate or a concurrency greater than 0 is required")
	case o.Duration <= 0:
		return errors.New("the duration must be greater than 0")
	case o.Model == "" && o.ServiceShare < 1:
		return errors.New("a model is required unless all requests are service calls")
	case o.ServiceShare > 0 && o.Service == "":
		return errors.New("a service is required if the service share is greater than 0")
	case len(o.Weights) > 0 && len(o.Weights) != len(o.Keys):
		return errors.New("the numbers of weights and keys differ")
	}
	return nil
}

// maxInProgress bounds the requests in progress of an open-loop run, so that a system that has stopped responding
// cannot exhaust the memory of this process.
const maxInProgress = 5000

// runner is the state of one run.
type runner struct {
	options Options
	client  *http.Client
	report  *Report
	random  *rand.Rand
	mu      sync.Mutex // guards random
	group   sync.WaitGroup
	slots   chan struct{} // semaphore of the requests in progress of an open loop
}

// Run sends the workload and returns the report after the last request has ended. When ctx ends, no more requests are
// started.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	defer transport.CloseIdleConnections()
	r := &runner{
		options: options,
		client:  &http.Client{Transport: transport},
		report:  newReport(),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		slots:   make(chan struct{}, maxInProgress),
	}
	start := time.Now()
	if options.Rate > 0 {
		r.openLoop(ctx)
	} else {
		r.closedLoop(ctx)
	}
	r.group.Wait()
	r.report.finish(time.Since(start))
	return r.report, nil
}

func (r *runner) openLoop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	limiter := rate.NewLimiter(rate.Limit(r.options.Rate), 1)
	for limiter.Wait(ctx) == nil {
		select {
		case r.slots <- struct{}{}:
		default:
			r.report.countDropped()
			continue
		}
		next := r.nextCall()
		r.group.Go(func() {
			defer func() { <-r.slots }()
			r.send(next)
		})
	}
}

func (r *runner) closedLoop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	for range r.options.Concurrency {
		r.group.Go(func() {
			for ctx.Err() == nil {
				r.send(r.nextCall())
			}
		})
	}
	r.group.Wait()
}

// call is one generated request.
type call struct {
	url, key string
	prompt   string // empty for service calls
	posting  bool
	id       string // resource of a service call and idempotency key of a posting
}

func (r *runner) nextCall() call {
	r.mu.Lock()
	defer r.mu.Unlock()
	generated := call{
		url: r.options.URLs[r.random.IntN(len(r.options.URLs))],
		key: r.options.Keys[weightedIndex(r.random, r.options.Weights, len(r.options.Keys))],
		id:  strconv.FormatUint(r.random.Uint64(), 36),
	}
	if r.random.Float64() < r.options.ServiceShare {
		generated.posting = r.random.Float64() < r.options.PostingShare
		return generated
	}
	words := r.options.ShortWords
	if r.random.Float64() < r.options.LongShare {
		words = r.options.LongWords
	}
	generated.prompt = newPrompt(r.random, words)
	return generated
}

func weightedIndex(random *rand.Rand, weights []float64, n int) int {
	var total float64
	for _, weight := range weights {
		total += weight
	}
	if total <= 0 {
		return random.IntN(n)
	}
	remaining := random.Float64() * total
	for i, weight := range weights {
		remaining -= weight
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}

// sharedPrefixWords is the length in words of the prefix that all prompts share, which exercises prefix caches.
const sharedPrefixWords = 16

func newPrompt(random *rand.Rand, words int) string {
	var text strings.Builder
	for i := range words {
		if i < sharedPrefixWords {
			text.WriteString("shared" + strconv.Itoa(i) + " ")
			continue
		}
		text.WriteString("word" + strconv.Itoa(random.IntN(10_000)) + " ")
	}
	return strings.TrimSpace(text.String())
}

func (r *runner) send(next call) {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.Timeout+time.Second)
	defer cancel()
	if next.prompt == "" {
		r.report.add(r.callService(ctx, next))
		return
	}
	r.report.add(r.requestCompletion(ctx, next))
}
