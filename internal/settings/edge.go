package settings

import (
	"fmt"
	"os"
	"time"
)

// Edge is the settings file of an edge daemon, which serves callers on the users' platform.
type Edge struct {
	// Daemon is the unique id of this daemon; Zone is its availability zone.
	Daemon string `json:"daemon"`
	Zone   string `json:"zone"`
	// Front is the address for callers' requests, Ready for the platform's readiness checks, Peer for calls of other
	// daemons and Metrics for Prometheus metrics. Each is host:port with an IP address.
	Front   string `json:"front"`
	Ready   string `json:"ready"`
	Peer    string `json:"peer"`
	Metrics string `json:"metrics"`
	// Relay is the host:port for requests that other daemons relay because they reach no targets. A daemon without it neither
	// relays requests nor accepts any.
	Relay string `json:"relay,omitempty"`
	Store Store  `json:"store"`
	// MemoryMB is the memory limit of the process in megabytes, above which the platform kills it.
	MemoryMB int `json:"memory_mb"`
	// MaxFDs is the number of descriptors that the process may use, of which 200 are kept for files; 0 for the limit that the
	// process is started with.
	MaxFDs int `json:"max_fds,omitempty"`
	// CPUShare is the share of a processor core that the process gets; 0 if unknown. Instances with a greater share do
	// the work that one instance of a zone does for the others.
	CPUShare float64 `json:"cpu_share,omitempty"`
	// StopGrace is the time between the request to stop and the time at which the process is killed.
	StopGrace Duration `json:"stop_grace"`
	// DrainBound is the time after which no request may go to a target that has started to leave, ConfigurationBound
	// the time within which a new configuration must be in force.
	DrainBound         Duration `json:"drain_bound"`
	ConfigurationBound Duration `json:"configuration_bound"`
	// FirstStart is set when the whole deployment starts for the first time. The slack of Retries is then available at
	// once, since no earlier process can have used it.
	FirstStart bool `json:"first_start,omitempty"`
	// Retries limits the attempts after the first of each request that all daemons together send to a service.
	Retries Retries `json:"retries"`
	// Verbosity is the klog verbosity.
	Verbosity int `json:"verbosity,omitempty"`
}

// Retries is a limit on the retries in any interval of length Span: Ratio times the requests, plus Slack.
type Retries struct {
	// Ratio is the number of retries allowed per request, Slack the number allowed independently of the requests.
	Ratio float64  `json:"ratio"`
	Slack float64  `json:"slack"`
	Span  Duration `json:"span"`
}

// Store configures access to the platform's store.
type Store struct {
	// Address is host:port with an IP address.
	Address string `json:"address"`
	// Timeout bounds one call, not counting the time that it waits for changes; written as "2s" or "500ms".
	Timeout Duration `json:"timeout"`
}

// LoadEdge reads and checks the settings file of an edge daemon. The error is a Problems that lists every mistake with
// file, line and field, or the error of reading the file.
func LoadEdge(path string) (*Edge, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseEdge(path, content)
}

// ParseEdge decodes and checks the content of an edge daemon's settings file; file is the name to use in messages.
func ParseEdge(file string, content []byte) (*Edge, error) {
	var edge Edge
	doc := decode(file, content, &edge)
	if len(doc.problems) == 0 {
		checkEdge(doc, &edge)
	}
	if err := doc.err(); err != nil {
		return nil, err
	}
	return &edge, nil
}

const (
	// minMemoryMB is the least memory in which an edge daemon can run, in megabytes.
	minMemoryMB = 48
	// minFDs is the least number of descriptors with which an edge daemon can serve callers.
	minFDs = 256
)

func checkEdge(doc *document, e *Edge) {
	requireText(doc, "daemon", e.Daemon)
	requireText(doc, "zone", e.Zone)
	checkAddress(doc, "front", e.Front)
	checkAddress(doc, "ready", e.Ready)
	checkAddress(doc, "peer", e.Peer)
	checkAddress(doc, "metrics", e.Metrics)
	if e.Relay != "" {
		checkAddress(doc, "relay", e.Relay)
	}
	checkAddress(doc, "store.address", e.Store.Address)
	if e.Store.Timeout <= 0 {
		doc.report("store.timeout", "must be a positive duration")
	}
	if e.MemoryMB < minMemoryMB {
		doc.reportf("memory_mb", "must be at least %d", minMemoryMB)
	}
	if e.MaxFDs != 0 && e.MaxFDs < minFDs {
		doc.reportf("max_fds", "must be at least %d", minFDs)
	}
	if e.CPUShare < 0 {
		doc.report("cpu_share", "must not be negative")
	}
	if e.DrainBound <= 0 || e.ConfigurationBound <= 0 {
		doc.report("drain_bound", "this and configuration_bound must be positive durations")
	}
	if e.Retries.Ratio < 0 || e.Retries.Slack < 0 {
		doc.report("retries", "ratio and slack must not be negative")
	}
	if time.Duration(e.Retries.Span) < time.Second {
		doc.report("retries.span", "must be at least 1s")
	}
	if time.Duration(e.StopGrace) < time.Second {
		doc.report("stop_grace", "must be at least 1s")
	}
}
