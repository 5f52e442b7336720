package explain

import (
	"regexp"
	"slices"
	"time"
)

const (
	// before and after bound the time around a request within which beliefs of its instances belong to its story. A target is
	// suspected for four seconds at most.
	windowBefore = 4 * time.Second
	windowAfter  = 500 * time.Millisecond
)

// pathPattern matches the targets of a path or trail: names with or without the layers that they run.
var pathPattern = regexp.MustCompile(`([^\[\];>]+)(?:\[\d+-\d+\])?`)

// Story returns the entries about the request with the given id, and what the instances that handled it came to believe around
// that time about its targets, the store, the configuration and themselves, in order of time.
func RelatedEntries(entries []Entry, id string) []Entry {
	namesRequest := func(e *Entry) bool { return e.Get("request") == id }
	instances := make(map[string]bool)
	targets := make(map[string]bool)
	var from, to time.Time // without a year, so that they lie before the zero time
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

// belief says whether an entry tells what its instance believes of one of the targets, or of something that concerns every
// request. Lines about other requests are left out unless they are about one of the targets.
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
