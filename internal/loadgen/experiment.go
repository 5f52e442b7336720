package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/tailscale/hujson"
)

// Action is an HTTP request that changes the system under test, such as one that sets a fault at an emulator's control
// endpoint.
type Action struct {
	Method string          `json:"method"`
	URL    string          `json:"url"`
	Body   json.RawMessage `json:"body,omitempty"`
	// Header holds request headers, such as the administration token.
	Header map[string]string `json:"header,omitempty"`
}

// Phase is one step of an experiment: its actions run first, then its load.
type Phase struct {
	Name    string   `json:"name"`
	Actions []Action `json:"actions,omitempty"`
	// Seconds is the time during which requests start. Rate and Concurrency are as in Options.
	Seconds     float64 `json:"seconds"`
	Rate        float64 `json:"rate,omitempty"`
	Concurrency int     `json:"concurrency,omitempty"`
}

// Experiment is a sequence of phases with a common workload.
type Experiment struct {
	Name   string  `json:"name"`
	Phases []Phase `json:"phases"`
}

// PhaseReport is the result of one phase.
type PhaseReport struct {
	Phase  string  `json:"phase"`
	Report *Report `json:"report"`
}

// LoadExperiment reads an experiment file: JSON with comments. Unknown fields are errors.
func LoadExperiment(path string) (*Experiment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	standard, err := hujson.Standardize(content)
	if err != nil {
		return nil, fmt.Errorf("parse experiment %q: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var experiment Experiment
	if err := decoder.Decode(&experiment); err != nil {
		return nil, fmt.Errorf("parse experiment %q: %w", path, err)
	}
	if len(experiment.Phases) == 0 {
		return nil, fmt.Errorf("experiment %q has no phases", path)
	}
	return &experiment, nil
}

// RunExperiment runs the phases in order with the workload of options. Each phase overrides the rate, concurrency and
// duration. RunExperiment returns the reports of the completed phases and the first error.
func RunExperiment(ctx context.Context, experiment *Experiment, options Options) ([]PhaseReport, error) {
	var reports []PhaseReport
	for i, phase := range experiment.Phases {
		for _, action := range phase.Actions {
			if err := perform(ctx, action); err != nil {
				return reports, fmt.Errorf("phase %q: %w", phase.Name, err)
			}
		}
		options.Rate, options.Concurrency = phase.Rate, phase.Concurrency
		options.Duration = time.Duration(phase.Seconds * float64(time.Second))
		options.Seed += uint64(i) // each phase sends different requests
		report, err := Run(ctx, options)
		if err != nil {
			return reports, fmt.Errorf("phase %q: %w", phase.Name, err)
		}
		reports = append(reports, PhaseReport{Phase: phase.Name, Report: report})
	}
	return reports, ctx.Err()
}

// actionTimeout bounds each action.
const actionTimeout = 10 * time.Second

func perform(ctx context.Context, action Action) error {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, action.Method, action.URL, bytes.NewReader(action.Body))
	if err != nil {
		return fmt.Errorf("action %s %s: %w", action.Method, action.URL, err)
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range action.Header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("action %s %s: %w", action.Method, action.URL, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("action %s %s: status %s", action.Method, action.URL, response.Status)
	}
	return nil
}

// WriteExperimentText writes one line for each phase.
func WriteExperimentText(w io.Writer, reports []PhaseReport) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "phase\trequests\tgoodput %\twrong\ttokens/s\tp95 first token ms\tp95 token gap ms")
	for _, row := range reports {
		r := row.Report
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%d\t%.1f\t%.1f\t%.1f\n", row.Phase, r.Requests, r.GoodputPercent, r.Wrong,
			r.TokensPerSecond, r.FirstToken.P95, r.TokenGap.P95)
	}
	return table.Flush()
}

// WriteExperimentJSON writes the reports of all phases as one JSON array.
func WriteExperimentJSON(w io.Writer, reports []PhaseReport) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(reports)
}
