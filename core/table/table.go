// Package table provides the keyed table that holds the entities of the router.
package table

// Table maps keys to rows and iterates in insertion order, so that code that iterates over it makes the same decisions
// for the same inputs. Iteration over a Go map would not be reproducible.
// A Table is not safe for concurrent use.
type Table[K comparable, V any] struct {
	index      map[K]int
	keys       []K
	rows       []*V
	deleted    int // number of deleted positions in rows
	iterations int // number of iterations in progress
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{index: make(map[K]int)}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.index) }

// Get returns the row of key, or nil.
func (t *Table[K, V]) Get(key K) *V {
	position, ok := t.index[key]
	if !ok {
		return nil
	}
	return t.rows[position]
}

// Put stores row under key. A row that replaces another keeps its position in the iteration order.
func (t *Table[K, V]) Put(key K, row *V) {
	if position, ok := t.index[key]; ok {
		t.rows[position] = row
		return
	}
	t.index[key] = len(t.rows)
	t.keys = append(t.keys, key)
	t.rows = append(t.rows, row)
}

// Delete removes the row of key, if there is one. It may be called during All.
func (t *Table[K, V]) Delete(key K) {
	position, ok := t.index[key]
	if !ok {
		return
	}
	delete(t.index, key)
	t.rows[position] = nil
	t.deleted++
}

// All iterates over the rows in insertion order. Rows added during the iteration are visited too.
func (t *Table[K, V]) All(yield func(K, *V) bool) {
	t.compact()
	t.iterations++
	defer func() { t.iterations-- }()
	for i := 0; i < len(t.rows); i++ {
		if t.rows[i] == nil {
			continue
		}
		if !yield(t.keys[i], t.rows[i]) {
			return
		}
	}
}

// compact drops deleted positions once they outnumber the rows, which keeps the cost of All proportional to Len.
// It does nothing during an iteration, whose positions would shift.
func (t *Table[K, V]) compact() {
	if t.iterations > 0 || t.deleted <= len(t.index) {
		return
	}
	keys := make([]K, 0, len(t.index))
	rows := make([]*V, 0, len(t.index))
	for i, row := range t.rows {
		if row == nil {
			continue
		}
		t.index[t.keys[i]] = len(rows)
		keys = append(keys, t.keys[i])
		rows = append(rows, row)
	}
	t.keys, t.rows, t.deleted = keys, rows, 0
}
