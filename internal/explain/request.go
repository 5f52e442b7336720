package explain

import (
	"regexp"
	"slices"
	"time"
)

const (
	// windowBefore and windowAfter bound the time before and after a request within which entries of its instances about
	// its targets and about the system are related to it. A target is suspected for four seconds at most.
	windowBefore = 4 * time.Second
	windowAfter  = 500 * time.Millisecond
)

// pathPattern matches a target in a path or a list of targets: a name with or without the layers that it runs.
var pathPattern = regexp.MustCompile(`([^\[\];>]+)(?:\[\d+-\d+\])?`)

// RelatedEntries returns the entries about the request with the given id, and what the instances that handled it logged
// around that time about its targets, the store, the configuration and themselves, in order of time.
func RelatedEntries(entries []Entry, id string) []Entry {
	namesRequest := func(e *Entry) bool { return e.Get("request") == id }
	instances := make(map[string]bool)
	targets := make(map[string]bool)
	var from, to time.Time // in year 0, before the zero time, so found tells whether they are set
	found := false
	for i := range entries {
		e := &entries[i]
		if !namesRequest(e) {
			continue
		}
		instances[e.Instance] = true
		for _, name := range targetsOf(e) {
			targets[name] = true
		}
		start := e.Time
		if duration, err := time.ParseDuration(e.Get("ms") + "ms"); err == nil {
			start = start.Add(-duration)
		}
		if !found || start.Before(from) {
			from = start
		}
		if !found || e.Time.After(to) {
			to = e.Time
		}
		found = true
	}
	var related []Entry
	for i := range entries {
		e := &entries[i]
		inWindow := !e.Time.Before(from.Add(-windowBefore)) && !e.Time.After(to.Add(windowAfter))
		if namesRequest(e) || inWindow && instances[e.Instance] && isContext(e, targets) {
			related = append(related, *e)
		}
	}
	slices.SortStableFunc(related, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return related
}

// isContext reports whether an entry is about one of the targets, or about something that concerns every request.
// Entries about other requests do not count unless they are about one of the targets.
func isContext(e *Entry, targets map[string]bool) bool {
	if e.Sentence == "request ended" {
		return false
	}
	if name := e.Get("target"); name != "" {
		return targets[name]
	}
	return e.Get("request") == ""
}

// targetsOf returns the targets that an entry names.
func targetsOf(e *Entry) (names []string) {
	if name := e.Get("target"); name != "" {
		names = append(names, name)
	}
	for _, key := range []string{"targets", "path"} {
		for _, match := range pathPattern.FindAllStringSubmatch(e.Get(key), -1) {
			names = append(names, match[1])
		}
	}
	return names
}
