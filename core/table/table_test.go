package table

import (
	"slices"
	"testing"
)

// TestAllKeepsInsertionOrderDuringDeletes guards against rows that are lost, repeated or reordered when rows are
// deleted during nested iterations or when deleted positions are compacted.
func TestAllKeepsInsertionOrderDuringDeletes(t *testing.T) {
	rows := New[int, int]()
	for i := range 10 {
		rows.Put(i, &i)
	}
	var visited []int
	for key := range rows.All {
		visited = append(visited, key)
		for other := range rows.All {
			if other%2 == 1 {
				rows.Delete(other)
			}
		}
	}
	if want := []int{0, 2, 4, 6, 8}; !slices.Equal(visited, want) {
		t.Errorf("visited %v, want %v", visited, want)
	}
	rows.Delete(0)
	rows.Delete(2)
	for range rows.All { // compacts
		break
	}
	if rows.Get(0) != nil || *rows.Get(8) != 8 || rows.Len() != 3 {
		t.Errorf("rows after compaction: len %d", rows.Len())
	}
}
