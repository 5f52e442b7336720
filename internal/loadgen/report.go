package loadgen

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Refusal counts failed requests with the same error kind and the same run value, which tells whether the request may
// have been executed.
type Refusal struct {
	Kind  string `json:"kind"`
	Run   string `json:"run"`
	Count int    `json:"count"`
}

// Quantiles summarises durations in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Report is the result of one run.
type Report struct {
	Requests int `json:"requests"`
	// Whole counts responses that are complete according to the protocol; Wrong counts those of them whose text differs
	// from the expected one.
	Whole int `json:"whole"`
	Wrong int `json:"wrong"`
	// Dropped counts requests that were not sent because too many were in progress.
	Dropped  int       `json:"dropped"`
	Refusals []Refusal `json:"refusals"`
	Tokens   int       `json:"tokens"`
	// Seconds is the time from the first request to the end of the last.
	Seconds         float64 `json:"seconds"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// GoodputPercent is the percentage of sent requests with a complete and correct response.
	GoodputPercent float64   `json:"goodput_percent"`
	FirstToken     Quantiles `json:"first_token"`
	TokenGap       Quantiles `json:"token_gap"`
	Latency        Quantiles `json:"latency"`

	mu         sync.Mutex
	refusals   map[Refusal]int
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	latency    *hdrhistogram.Histogram
}

// Range and precision of the histograms: 1 µs to 10 min with 3 significant digits.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

func newReport() *Report {
	return &Report{
		refusals:   make(map[Refusal]int),
		firstToken: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		tokenGap:   hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		latency:    hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
}

func (r *Report) add(outcome result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	r.Tokens += outcome.tokens
	if outcome.tokens > 0 {
		record(r.firstToken, outcome.firstToken)
	}
	for _, gap := range outcome.gaps {
		record(r.tokenGap, gap)
	}
	if !outcome.whole {
		r.refusals[Refusal{Kind: outcome.errorKind, Run: outcome.run}]++
		return
	}
	r.Whole++
	record(r.latency, outcome.total)
	if outcome.wrong {
		r.Wrong++
	}
}

// record adds d to histogram. It cannot fail, since it clamps the value to the range of the histogram.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (r *Report) countDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Dropped++
}

func (r *Report) finish(elapsed time.Duration) {
	r.Seconds = elapsed.Seconds()
	r.TokensPerSecond = float64(r.Tokens) / r.Seconds
	if r.Requests > 0 {
		r.GoodputPercent = 100 * float64(r.Whole-r.Wrong) / float64(r.Requests)
	}
	r.FirstToken = quantiles(r.firstToken)
	r.TokenGap = quantiles(r.tokenGap)
	r.Latency = quantiles(r.latency)
	for refusal := range maps.Keys(r.refusals) {
		refusal.Count = r.refusals[Refusal{Kind: refusal.Kind, Run: refusal.Run}]
		r.Refusals = append(r.Refusals, refusal)
	}
	slices.SortFunc(r.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Run, b.Run))
	})
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		P50: millis(histogram.ValueAtQuantile(50)),
		P95: millis(histogram.ValueAtQuantile(95)),
		P99: millis(histogram.ValueAtQuantile(99)),
		Max: millis(histogram.Max()),
	}
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as aligned text.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\t%d\n", r.Requests)
	fmt.Fprintf(table, "whole\t%d\n", r.Whole)
	fmt.Fprintf(table, "wrong\t%d\n", r.Wrong)
	fmt.Fprintf(table, "not sent\t%d\n", r.Dropped)
	fmt.Fprintf(table, "goodput\t%.1f %%\n", r.GoodputPercent)
	fmt.Fprintf(table, "tokens/s\t%.1f\n", r.TokensPerSecond)
	for _, row := range []struct {
		name  string
		times Quantiles
	}{{"first token", r.FirstToken}, {"token gap", r.TokenGap}, {"latency", r.Latency}} {
		q := row.times
		fmt.Fprintf(table, "%s\tp50 %.1f ms\tp95 %.1f ms\tp99 %.1f ms\tmax %.1f ms\n", row.name, q.P50, q.P95, q.P99, q.Max)
	}
	for _, refusal := range r.Refusals {
		fmt.Fprintf(table, "%s (%s)\t%d\n", refusal.Kind, refusal.Run, refusal.Count)
	}
	return table.Flush()
}
