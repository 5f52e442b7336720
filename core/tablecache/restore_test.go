package tablecache

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

// storeCopy is the content of a restorableStore.
type storeCopy struct {
	counter uint64
	// rows holds the rows by key, with the count of transactions of each; history holds all changes.
	rows    map[string]copiedRow
	history []copiedRow
}

type copiedRow struct {
	key, value string
	counter    uint64
	deleted    bool
}

func (c storeCopy) clone() storeCopy {
	return storeCopy{counter: c.counter, rows: maps.Clone(c.rows), history: slices.Clone(c.history)}
}

// restorableStore is a table in a store that comes back from older copies of its content.
type restorableStore struct {
	storeCopy
	era    uint64
	writes int
	copies []storeCopy
	// contents holds the rows at each version, and replacedAt when the next one took its place.
	contents   map[rowversion.Version]map[string]string
	replacedAt map[rowversion.Version]time.Time
}

func newRestorableStore() *restorableStore {
	s := &restorableStore{
		storeCopy: storeCopy{rows: make(map[string]copiedRow)}, era: 1,
		contents: make(map[rowversion.Version]map[string]string), replacedAt: make(map[rowversion.Version]time.Time),
	}
	s.copies = []storeCopy{s.clone()}
	s.record()
	return s
}

func (s *restorableStore) version() rowversion.Version { return rowversion.New(s.era, s.counter) }

func (s *restorableStore) record() {
	content := make(map[string]string)
	for key, row := range s.rows {
		content[key] = row.value
	}
	s.contents[s.version()] = content
}

func (s *restorableStore) write(now time.Time, key string, deleted bool) {
	s.replacedAt[s.version()] = now
	s.counter++
	s.writes++
	row := copiedRow{key: key, value: fmt.Sprint(s.writes), counter: s.counter, deleted: deleted}
	s.history = append(s.history, row)
	if s.rows[key] = row; deleted {
		delete(s.rows, key)
	}
	s.record()
}

func (s *restorableStore) restore(now time.Time, content storeCopy) {
	s.replacedAt[s.version()] = now
	s.storeCopy = content.clone()
	s.era++
	s.record()
}

func (s *restorableStore) encode(row copiedRow) Row {
	return Row{Key: row.key, Version: rowversion.New(s.era, row.counter), Value: []byte(row.value), Deleted: row.deleted}
}

// read returns what the client of the store reads for a cache: changes, or the whole table.
func (s *restorableStore) read(c *Cache) Batch {
	after := c.Version()
	if !c.Loaded() || after.Era() != s.era || after.Counter() > s.counter {
		batch := Batch{Full: true, Version: s.version()}
		for _, row := range s.rows {
			batch.Rows = append(batch.Rows, s.encode(row))
		}
		return batch
	}
	batch := Batch{After: after, Version: s.version()}
	for _, row := range s.history {
		if row.counter > after.Counter() {
			batch.Rows = append(batch.Rows, s.encode(row))
		}
	}
	return batch
}

// reader is a cache with the contents that an observer of its changes knows.
type reader struct {
	cache    Cache
	observed map[string]string
}

func (r *reader) observe(change Change) {
	if change.Replaced {
		r.observed = make(map[string]string)
	}
	for _, row := range change.Rows {
		if r.observed[row.Key] = string(row.Value); row.Deleted {
			delete(r.observed, row.Key)
		}
	}
}

// TestRandomisedRestores guards against copies that mix the eras of a store that was restored, stay in an earlier one or
// go back to it, while batches of all eras are passed between instances in any order.
func TestRandomisedRestores(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, 200_000)
	random := rand.New(rand.NewPCG(seed, 0))
	for done := uint64(0); done < steps; done += runLength {
		if problem := runRestores(random); problem != "" {
			t.Fatalf("%s\nHYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d", problem, seed, steps)
		}
	}
}

func runRestores(random *rand.Rand) (problem string) {
	store := newRestorableStore()
	readers := []*reader{{}, {}, {}, {}}
	var pending []message
	now := start
	for range runLength {
		now = now.Add(time.Duration(1+random.IntN(200)) * time.Millisecond)
		i := random.IntN(len(readers))
		r := readers[i]
		switch random.IntN(10) {
		case 0, 1, 2:
			store.write(now, string(rune('a'+random.IntN(6))), random.IntN(3) == 0)
		case 3:
			store.copies = append(store.copies, store.clone())
		case 4:
			if random.IntN(4) == 0 {
				store.restore(now, store.copies[max(0, len(store.copies)-1-random.IntN(3))])
			}
		case 5, 6:
			r.observe(r.cache.ApplyRead(now, store.read(&r.cache)))
		case 7, 8:
			other := readers[random.IntN(len(readers))]
			if batch := other.cache.Since(now, r.cache.State(now)); batch != nil {
				pending = append(pending, message{to: i, batch: *batch, sentAt: now})
			}
		default:
			if m, found := takeMessage(random, now, &pending); found {
				readers[m.to].observe(readers[m.to].cache.ApplyShared(now, m.batch))
			}
		}
		for n, r := range readers {
			if problem := checkReader(store, r); problem != "" {
				return fmt.Sprintf("reader %d: %s", n, problem)
			}
		}
	}
	for n, r := range readers {
		r.observe(r.cache.ApplyRead(now, store.read(&r.cache)))
		if !maps.Equal(r.observed, store.contents[store.version()]) {
			return fmt.Sprintf("reader %d has %v after its last read, want %v", n, r.observed, store.contents[store.version()])
		}
	}
	return ""
}

// checkReader returns how a reader's rows differ from the table at the version of its cache, or "" if they do not.
func checkReader(store *restorableStore, r *reader) string {
	if !r.cache.Loaded() {
		return ""
	}
	version := r.cache.Version()
	if want := store.contents[version]; !maps.Equal(r.observed, want) {
		return fmt.Sprintf("observed %v, want %v at version %v", r.observed, want, version)
	}
	if at, replaced := store.replacedAt[version]; replaced && at.Before(r.cache.ConfirmedAt()) {
		return fmt.Sprintf("version %v counts as complete %v after it was replaced", version, r.cache.ConfirmedAt().Sub(at))
	}
	return ""
}

// TestBatchOfEarlierEraDoesNotConfirm guards against a copy that never gets too old because an instance that does not know
// the eras of the store confirms it.
func TestBatchOfEarlierEraDoesNotConfirm(t *testing.T) {
	var c Cache
	c.ApplyRead(start, Batch{Full: true, Version: rowversion.New(2, 5)})
	confirmedAt := c.ConfirmedAt()
	c.ApplyShared(start.Add(time.Second), Batch{After: rowversion.New(1, 90), Version: rowversion.New(1, 95)})
	if !c.ConfirmedAt().Equal(confirmedAt) {
		t.Errorf("the copy counts as confirmed %v later", c.ConfirmedAt().Sub(confirmedAt))
	}
}
