// Package quarantine finds parts of prompts that crash engines, so that no further requests with such a part are sent.
//
// A request that crashes its engine leaves the same trace as the sound requests that happened to be at that engine: an
// attempt that broke off. Three things tell them apart. A request that has got an event cannot have crashed its engine,
// and neither can any part of its prompt. A sound part is soon served again elsewhere, while one that crashes engines
// never is. And a sound part is at few of the crashes. A part is therefore quarantined when requests with it have
// crashed several engines in a row, without any request with it having been served in between, and no other part
// explains these crashes. Client accounts and routes are never blamed; neither is the last part of a prompt, which
// belongs to one request or session. The first part, which all requests of a route can share, is blamed only for
// crashes that no later part explains.
//
// Instances exchange their evidence, since each sees few of the crashes. The quarantine answers the load of engines that
// crash and load their layers again one after the other. The package does no I/O and reads no clock: callers pass the
// time in.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minCrashes is the number of crashes in a row for which a part is quarantined. A sound request, and the attempt
	// that follows, can be at two engines that crash.
	minCrashes = 3
	// minCrashesOfServed is the same for a part that was served less than recentService before the first crash: it may
	// crash engines only since a change of the weights, but while engines crash, all parts are served less often.
	minCrashesOfServed = 6
	recentService      = 10 * time.Second
	// sameCause is the time within which crashes count as one: engines of one rack fail together.
	sameCause = 50 * time.Millisecond
	// minDuration is how long a part is quarantined at least. It doubles with each further crash, up to maxDuration.
	minDuration = time.Minute
	maxDuration = 15 * time.Minute
	// maxDelay bounds the random time, as a multiple of the duration, for which an instance prolongs a quarantine. One
	// instance then tries such a request before the others and tells them how it ended.
	maxDelay = 2.0
	// forgetAfter is how long a part without further crashes is remembered.
	forgetAfter = time.Hour
	// shareTime is how long after a crash an instance tells the others of a part that is not blamed.
	shareTime = time.Minute
	// contestTime is how long an instance goes on to tell the others that a part that they suspect was served.
	contestTime = 5 * time.Second

	maxParts          = 4096
	maxCrashesPerPart = 16
	maxSharedParts    = 50
	maxSharedCrashes  = 8
)

// Evidence is what an instance tells the others about a part that may crash engines. Ages count from the time of the
// message, since clocks differ.
type Evidence struct {
	Part string
	// First reports whether a prompt at one of the crashes begins with the part.
	First   bool
	Crashes []CrashReport
	// Served reports whether a request with the part has got an event, ServedAge how long ago the last one did.
	Served    bool
	ServedAge time.Duration
}

// latest returns the age of the latest crash.
func (e Evidence) latest() time.Duration {
	if len(e.Crashes) == 0 {
		return 0
	}
	return e.Crashes[len(e.Crashes)-1].Age
}

// CrashReport is the crash of one process of an engine while a request with the part was at it that had got no event.
type CrashReport struct {
	// Engine identifies the process of the engine.
	Engine string
	Age    time.Duration
}

// Verdict tells that a part is now quarantined, or no longer.
type Verdict struct {
	Part        string
	Quarantined bool
	// Crashes is the number of crashes that count, Until the end of the quarantine at this instance.
	Crashes int
	Until   time.Time
}

// Outcome is what new evidence has changed.
type Outcome struct {
	// News reports whether there is a crash that was not known, which other instances should learn of soon.
	News bool
	// Verdicts holds the quarantines that begin or end.
	Verdicts []Verdict
}

// crash is the crash of one process of an engine.
type crash struct {
	engine string
	at     time.Time
}

// part is what an instance knows of a part of a prompt.
type part struct {
	id string
	// first reports whether a prompt at one of the crashes begins with the part.
	first bool
	// crashes holds the crashes since servedAt, oldest first; each is of another process of an engine.
	crashes []crash
	// servedAt is when a request with the part last got an event; zero if that is not known.
	servedAt time.Time
	// contestedAt is when this instance last dropped or heard of a crash before servedAt.
	contestedAt time.Time
	// delay is in [0, maxDelay).
	delay float64
}

// Table holds what an instance knows of the parts of recent prompts. It is not safe for concurrent use.
type Table struct {
	parts *simplelru.LRU[string, *part]
	// notable holds the parts with crashes and those that are contested.
	notable map[string]*part
	// blamed holds the parts with enough crashes for a quarantine that no other part explains, and the number of these.
	blamed map[*part]int
	random func() float64
}

// New returns an empty table. random returns numbers in [0, 1).
func New(random func() float64) *Table {
	t := &Table{notable: make(map[string]*part), random: random}
	var err error
	t.parts, err = simplelru.NewLRU(maxParts, func(id string, p *part) {
		delete(t.notable, id)
		delete(t.blamed, p)
	})
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return t
}

// candidates returns the parts of a prompt that can be blamed: all but the last, which no other request shares.
func candidates(prompt []string) []string { return prompt[:max(0, len(prompt)-1)] }

func (t *Table) get(id string) *part {
	p, found := t.parts.Get(id)
	if !found {
		p = &part{id: id, delay: maxDelay * t.random()}
		t.parts.Add(id, p)
	}
	return p
}

// RecordCrash records that a process of an engine crashed while a request with the prompt was at it that had got no
// event.
func (t *Table) RecordCrash(now time.Time, prompt []string, engine string) Outcome {
	return t.change(now, candidates(prompt), func(i int, p *part) (news bool) {
		p.first = p.first || i == 0
		return p.addCrash(crash{engine, now})
	})
}

// RecordServed records that a request with the prompt has got an event, which clears its parts.
func (t *Table) RecordServed(now time.Time, prompt []string) Outcome {
	return t.change(now, candidates(prompt), func(_ int, p *part) (news bool) {
		p.addService(now, now)
		return false
	})
}

// Merge adds the evidence of another instance.
func (t *Table) Merge(now time.Time, evidence []Evidence) Outcome {
	evidence = evidence[:min(len(evidence), maxSharedParts)]
	ids := make([]string, len(evidence))
	for i, e := range evidence {
		ids[i] = e.Part
	}
	return t.change(now, ids, func(i int, p *part) (news bool) { return p.merge(now, evidence[i]) })
}

func (p *part) merge(now time.Time, e Evidence) (news bool) {
	p.first = p.first || e.First
	if e.Served {
		p.addService(now, now.Add(-e.ServedAge))
	}
	for _, report := range e.Crashes[:min(len(e.Crashes), maxSharedCrashes)] {
		if at := now.Add(-report.Age); at.After(p.servedAt) {
			news = p.addCrash(crash{report.Engine, at}) || news
		} else {
			p.contestedAt = now
		}
	}
	return news
}

// change applies a change to each of the parts. The change gets the index of the part and reports whether there was
// news.
func (t *Table) change(now time.Time, ids []string, apply func(int, *part) (news bool)) (outcome Outcome) {
	before := t.quarantined(now)
	relevant := false
	for i, id := range ids {
		p := t.get(id)
		count := p.count()
		outcome.News = apply(i, p) || outcome.News
		relevant = relevant || max(count, p.count()) >= minCrashes
		if p.isNotable(now) {
			t.notable[id] = p
		} else {
			delete(t.notable, id)
		}
	}
	if !relevant {
		return outcome
	}
	t.blame()
	after := t.quarantined(now)
	for _, other := range before {
		if !slices.Contains(after, other) {
			outcome.Verdicts = append(outcome.Verdicts, Verdict{Part: other.id})
		}
	}
	for _, other := range after {
		if !slices.Contains(before, other) {
			outcome.Verdicts = append(outcome.Verdicts, Verdict{
				Part: other.id, Quarantined: true, Crashes: t.blamed[other], Until: t.until(other),
			})
		}
	}
	return outcome
}

// blame finds the parts that are to blame for crashes: first those at most crashes, first parts of prompts last. A part
// is blamed if enough of its crashes are not explained by a part before it.
func (t *Table) blame() {
	var suspects []*part
	for _, p := range t.notable {
		if p.count() >= p.required() {
			suspects = append(suspects, p)
		}
	}
	slices.SortFunc(suspects, func(a, b *part) int {
		switch {
		case a.first && !b.first:
			return 1
		case b.first && !a.first:
			return -1
		}
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.id, b.id))
	})
	t.blamed = make(map[*part]int)
	explained := make(map[string]bool)
	for _, p := range suspects {
		crashes := countSeparate(p.crashes, explained)
		if crashes < p.required() {
			continue
		}
		t.blamed[p] = crashes
		for _, c := range p.crashes {
			explained[c.engine] = true
		}
	}
}

// addCrash adds a crash of a process unless it is known or older than all that are remembered. Reports that have come
// through several instances are late.
func (p *part) addCrash(c crash) (news bool) {
	if i := slices.IndexFunc(p.crashes, func(known crash) bool { return known.engine == c.engine }); i >= 0 {
		if c.at.Before(p.crashes[i].at) {
			p.crashes[i].at = c.at
		}
	} else {
		p.crashes = append(p.crashes, c)
		news = true
	}
	slices.SortFunc(p.crashes, func(a, b crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.engine, b.engine))
	})
	if surplus := len(p.crashes) - maxCrashesPerPart; surplus > 0 {
		p.crashes = p.crashes[surplus:]
	}
	return news && slices.Contains(p.crashes, c)
}

// addService drops the crashes before a service at the given time.
func (p *part) addService(now, at time.Time) {
	if at.After(p.servedAt) {
		p.servedAt = at
	}
	crashes := len(p.crashes)
	p.crashes = slices.DeleteFunc(p.crashes, func(c crash) bool { return !c.at.After(p.servedAt) })
	if len(p.crashes) < crashes {
		p.contestedAt = now
	}
}

// count returns the number of crashes that count as separate.
func (p *part) count() int { return countSeparate(p.crashes, nil) }

// countSeparate returns the number of crashes that count as separate, without those of explained processes.
func countSeparate(crashes []crash, explained map[string]bool) (count int) {
	var last time.Time
	for _, c := range crashes {
		if !explained[c.engine] && (count == 0 || c.at.Sub(last) >= sameCause) {
			count, last = count+1, c.at
		}
	}
	return count
}

// required returns the number of crashes for which the part is quarantined.
func (p *part) required() int {
	if !p.servedAt.IsZero() && len(p.crashes) > 0 && p.crashes[0].at.Sub(p.servedAt) < recentService {
		return minCrashesOfServed
	}
	return minCrashes
}

// until returns the end of the quarantine of a part; zero if there is none.
func (t *Table) until(p *part) time.Time {
	crashes, blamed := t.blamed[p]
	if !blamed {
		return time.Time{}
	}
	duration := min(maxDuration, minDuration<<min(crashes-p.required(), 8))
	return p.crashes[len(p.crashes)-1].at.Add(time.Duration(float64(duration) * (1 + p.delay)))
}

func (t *Table) isQuarantined(now time.Time, p *part) bool { return now.Before(t.until(p)) }

// quarantined returns the quarantined parts in no particular order.
func (t *Table) quarantined(now time.Time) (parts []*part) {
	for p := range t.blamed {
		if t.isQuarantined(now, p) {
			parts = append(parts, p)
		}
	}
	return parts
}

func (p *part) isNotable(now time.Time) bool {
	return p.crashedWithin(now, forgetAfter) || p.contested(now)
}

func (p *part) crashedWithin(now time.Time, span time.Duration) bool {
	return len(p.crashes) > 0 && now.Sub(p.crashes[len(p.crashes)-1].at) < span
}

func (p *part) contested(now time.Time) bool {
	return !p.contestedAt.IsZero() && now.Sub(p.contestedAt) < contestTime
}

// isShared reports whether messages to other instances include a part.
func (t *Table) isShared(now time.Time, p *part) bool {
	return t.blamed[p] > 0 || p.crashedWithin(now, shareTime) || p.contested(now)
}

// Quarantined returns a part of the prompt that is quarantined. A request with such a part must not be sent.
func (t *Table) Quarantined(now time.Time, prompt []string) (id string, found bool) {
	return t.find(prompt, func(p *part) bool { return t.isQuarantined(now, p) })
}

// Suspected reports whether one more crash may quarantine a part of the prompt. A request with such a part gets no
// further attempt after its engine has crashed.
func (t *Table) Suspected(prompt []string) bool {
	_, found := t.find(prompt, func(p *part) bool { return !p.first && p.count() >= p.required()-1 || t.blamed[p] > 0 })
	return found
}

func (t *Table) find(prompt []string, matches func(*part) bool) (string, bool) {
	if len(t.notable) == 0 {
		return "", false
	}
	for _, id := range candidates(prompt) {
		if p := t.notable[id]; p != nil {
			t.parts.Get(id) // keeps it from being evicted
			if matches(p) {
				return id, true
			}
		}
	}
	return "", false
}

// Tick forgets parts without recent crashes.
func (t *Table) Tick(now time.Time) {
	for id, p := range t.notable {
		if !p.isNotable(now) {
			p.crashes = nil
			delete(t.notable, id)
			delete(t.blamed, p)
		}
	}
}

// Count returns the number of quarantined parts.
func (t *Table) Count(now time.Time) int { return len(t.quarantined(now)) }

// Evidence returns what to tell other instances, the parts with most crashes first, of these the latest.
func (t *Table) Evidence(now time.Time) (evidence []Evidence) {
	for _, p := range t.notable {
		if !t.isShared(now, p) {
			continue
		}
		e := Evidence{Part: p.id, First: p.first, Served: !p.servedAt.IsZero()}
		if e.Served {
			e.ServedAge = now.Sub(p.servedAt)
		}
		for _, c := range p.crashes[max(0, len(p.crashes)-maxSharedCrashes):] {
			e.Crashes = append(e.Crashes, CrashReport{Engine: c.engine, Age: now.Sub(c.at)})
		}
		evidence = append(evidence, e)
	}
	slices.SortFunc(evidence, func(a, b Evidence) int {
		return cmp.Or(
			cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.latest(), b.latest()), cmp.Compare(a.Part, b.Part))
	})
	return evidence[:min(len(evidence), maxSharedParts)]
}
