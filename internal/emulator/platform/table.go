package platform

import (
	"sort"
	"strings"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
)

// table holds rows and their sorted keys. The methods get and list accept a nil table.
type table struct {
	rows map[string]platformapi.Row
	keys []string
}

func (t *table) get(key string) (platformapi.Row, bool) {
	if t == nil {
		return platformapi.Row{}, false
	}
	row, ok := t.rows[key]
	return row, ok
}

// list returns up to limit rows whose keys begin with prefix and are greater than after, in key order.
func (t *table) list(prefix, after string, limit int) []platformapi.Row {
	out := []platformapi.Row{}
	if t == nil {
		return out
	}
	first := sort.SearchStrings(t.keys, prefix)
	if after >= prefix && after != "" {
		first = sort.Search(len(t.keys), func(i int) bool { return t.keys[i] > after })
	}
	for _, key := range t.keys[first:] {
		if len(out) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		out = append(out, t.rows[key])
	}
	return out
}

func (t *table) put(row platformapi.Row) {
	if _, ok := t.rows[row.Key]; !ok {
		i := sort.SearchStrings(t.keys, row.Key)
		t.keys = append(t.keys, "")
		copy(t.keys[i+1:], t.keys[i:])
		t.keys[i] = row.Key
	}
	t.rows[row.Key] = row
}

func (t *table) remove(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	i := sort.SearchStrings(t.keys, key)
	t.keys = append(t.keys[:i], t.keys[i+1:]...)
}

// commit applies all writes and returns the new row versions. If a row does not have the expected version, it applies
// none and returns the first such row as a conflict.
func (p *Platform) commit(writes []platformapi.Write) ([]uint64, *platformapi.Conflict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, write := range writes {
		row, _ := p.tables[write.Table].get(write.Key)
		if row.Version != write.Expect {
			row.Table, row.Key = write.Table, write.Key
			return nil, &platformapi.Conflict{Row: row}
		}
	}
	versions := make([]uint64, len(writes))
	for i, write := range writes {
		t := p.tables[write.Table]
		if t == nil {
			t = &table{rows: map[string]platformapi.Row{}}
			p.tables[write.Table] = t
		}
		if write.Delete {
			t.remove(write.Key)
			continue
		}
		versions[i] = write.Expect + 1
		t.put(platformapi.Row{Table: write.Table, Key: write.Key, Version: versions[i], Value: write.Value})
	}
	return versions, nil
}
