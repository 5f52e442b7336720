package tablecache

import (
	"testing"
	"time"
)

// exchange passes the content of one cache to another and returns what it changed.
func exchange(now time.Time, from, to *Cache) Change {
	return to.ApplyShared(now, *from.Since(now, to.State(now)))
}

// next returns the batch of a read that finds the version after that of the cache.
func next(c *Cache) Batch { return Batch{After: c.Version(), Version: c.Version() + 1} }

// TestRecovery guards against instances that do not learn when reads of the store succeeded again, after which entries
// that lapsed meanwhile are written again, and against a failure of one instance's own connection that counts as one of
// the store.
func TestRecovery(t *testing.T) {
	reader, member := loaded(), loaded()
	reader.RecordFailure(at(time.Second))
	reader.RecordFailure(at(1500 * time.Millisecond))
	if change := reader.ApplyRead(at(1900*time.Millisecond), next(reader)); !change.RecoveredAt.Equal(at(1900 * time.Millisecond)) {
		t.Errorf("the reader recovered at %v, want 1.9 s after the start", change.RecoveredAt.Sub(start))
	}
	for _, now := range []time.Time{at(2 * time.Second), at(3 * time.Second)} {
		if change := exchange(now, reader, member); !change.RecoveredAt.Equal(at(1900 * time.Millisecond)) {
			t.Errorf("the member learned of a recovery at %v, want 1.9 s after the start", change.RecoveredAt.Sub(start))
		}
	}

	reader, member = loaded(), loaded()
	reader.RecordFailure(at(time.Second))
	reader.ApplyShared(at(1500*time.Millisecond), next(reader))
	reader.ApplyRead(at(1900*time.Millisecond), next(reader))
	if change := exchange(at(2*time.Second), reader, member); !change.RecoveredAt.IsZero() {
		t.Errorf("a failure of one instance counts as an outage that ended at %v", change.RecoveredAt.Sub(start))
	}
}

// TestRecoverySurvivesReader guards against a new reader that does not know of the failed reads of the one before it, and
// so takes entries that lapsed in the outage for removed.
func TestRecoverySurvivesReader(t *testing.T) {
	reader, member, other := loaded(), loaded(), loaded()
	reader.RecordFailure(at(time.Second))
	if !reader.IsNews(at(time.Second), member.State(at(time.Second))) {
		t.Error("a failed read is no news")
	}
	exchange(at(time.Second), reader, member)
	if reader.IsNews(at(time.Second), member.State(at(time.Second))) {
		t.Error("a failed read that is known is news")
	}
	recovered := at(1900 * time.Millisecond)
	if change := member.ApplyRead(recovered, next(member)); !change.RecoveredAt.Equal(recovered) {
		t.Errorf("the new reader recovered at %v, want 1.9 s after the start", change.RecoveredAt.Sub(start))
	}
	if change := exchange(at(2*time.Second), member, other); !change.RecoveredAt.Equal(recovered) {
		t.Errorf("another member learned of a recovery at %v, want 1.9 s after the start", change.RecoveredAt.Sub(start))
	}
}

// TestRecoveryAfterOwnFailure guards against an outage that goes unnoticed because the instance could not read the store
// already before it, when others still could.
func TestRecoveryAfterOwnFailure(t *testing.T) {
	c := loaded()
	c.RecordFailure(at(time.Second))
	c.ApplyShared(at(2*time.Second), next(c))
	c.RecordFailure(at(3 * time.Second))
	c.ApplyRead(at(3500*time.Millisecond), next(c))
	if got := c.Since(at(4*time.Second), State{}); got.OutageAge != 500*time.Millisecond {
		t.Errorf("reads succeeded again %v ago, want 0.5s", got.OutageAge)
	}
}

// TestReturn guards against an outage that no failed read has shown, because the reader was killed or the instance
// was paused, and against one that only instances without a connection to the store have seen.
func TestReturn(t *testing.T) {
	for name, test := range map[string]struct {
		run  func(c *Cache) Change
		want time.Duration // after the start; 0 if there was no outage
	}{
		"reads without a gap": {func(c *Cache) Change {
			c.ApplyRead(at(1500*time.Millisecond), next(c))
			return c.ApplyRead(at(3*time.Second), next(c))
		}, 0},
		"gap between two reads": {func(c *Cache) Change {
			c.ApplyRead(at(time.Second), next(c))
			return c.ApplyRead(at(4*time.Second), next(c))
		}, 4 * time.Second},
		"call held by the store": {func(c *Cache) Change {
			batch := next(c)
			batch.Held = 18 * time.Second
			return c.ApplyRead(at(19*time.Second), batch)
		}, 0},
		"call canceled for another reason": {func(c *Cache) Change {
			c.RecordReachable(at(9 * time.Second))
			return c.ApplyRead(at(10*time.Second), next(c))
		}, 0},
		"another instance came back first": {func(c *Cache) Change {
			other := loaded()
			other.ApplyRead(at(4*time.Second), next(other))
			other.ApplyRead(at(5*time.Second), next(other))
			return exchange(at(5*time.Second), other, c)
		}, 4 * time.Second},
		"another instance read all the while": {func(c *Cache) Change {
			other := loaded()
			for second := 1; second <= 5; second++ {
				other.ApplyRead(at(time.Duration(second)*time.Second), next(other))
			}
			return exchange(at(5*time.Second), other, c)
		}, 0},
		"another instance read all the while, known later": {func(c *Cache) Change {
			other := loaded()
			for second := 1; second <= 4; second++ {
				other.ApplyRead(at(time.Duration(second)*time.Second), next(other))
			}
			c.ApplyRead(at(4*time.Second), next(c))
			return exchange(at(4*time.Second), other, c)
		}, 0},
		"another instance was cut off": {func(c *Cache) Change {
			other := loaded()
			for second := 1; second <= 4; second++ {
				c.ApplyRead(at(time.Duration(second)*time.Second), next(c))
			}
			other.ApplyRead(at(4*time.Second), next(other))
			return exchange(at(4*time.Second), other, c)
		}, 0},
		"another instance has only started": {func(c *Cache) Change {
			other := &Cache{Bound: testBound}
			other.ApplyRead(at(4*time.Second), Batch{Full: true, Version: 3})
			return exchange(at(5*time.Second), other, c)
		}, 4 * time.Second},
		"this instance has only started": {func(*Cache) Change {
			started := &Cache{Bound: testBound}
			return started.ApplyRead(at(time.Second), Batch{Full: true, Version: 3})
		}, 0},
		"this instance has only started, another one not": {func(c *Cache) Change {
			started := &Cache{Bound: testBound}
			c.ApplyRead(at(4*time.Second), next(c))
			return exchange(at(5*time.Second), c, started)
		}, 4 * time.Second},
		"store restored": {func(c *Cache) Change {
			return c.ApplyRead(at(time.Second), Batch{Full: true, Version: 1 << 60})
		}, time.Second},
		"store restored, known late": {func(c *Cache) Change {
			other := loaded()
			other.ApplyRead(at(time.Second), Batch{Full: true, Version: 1 << 60})
			other.ApplyRead(at(1500*time.Millisecond), next(other))
			return exchange(at(1500*time.Millisecond), other, c)
		}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			returned := test.run(loaded()).ReturnedAt
			switch {
			case test.want == 0 && !returned.IsZero():
				t.Errorf("an outage that ended %v after the start, want none", returned.Sub(start))
			case test.want != 0 && returned.Sub(start) != test.want:
				t.Errorf("the store came back %v after the start, want %v", returned.Sub(start), test.want)
			}
		})
	}
}

// TestChangeAfter guards against a removal that counts from the time at which this instance learned of it.
func TestChangeAfter(t *testing.T) {
	c := loaded()
	c.ApplyShared(at(time.Second), Batch{After: 2, Version: 2, Age: 300 * time.Millisecond})
	if change := c.ApplyRead(at(1500*time.Millisecond), next(c)); !change.After.Equal(at(700 * time.Millisecond)) {
		t.Errorf("the rows have changed since %v after the start, want 0.7s", change.After.Sub(start))
	}
}
