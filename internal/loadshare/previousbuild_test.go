package loadshare

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/lease"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/internal/leasestore"
)

// previousBuild holds what the build before (commit 78939cb) writes: each message as gob, and as JSON for comparison, and rows of the
// store as JSON. TestPreviousBuild writes new files to the folder that HYSSOPHOIST_WRITE_MESSAGES names; run it at the
// commit of a production build with this file added.
const previousBuild = "testdata/previous-build"

// messages are those that instances send each other over net/rpc.
func messages() []any {
	return []any{
		new(ShareArgs), new(ShareReply), new(PushArgs), new(PushReply), new(ZoneArgs), new(ZoneReply), new(TableBatches),
	}
}

// fill sets all fields to values other than zero. next numbers them.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", *next))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next % 256))
	default:
		v.SetInt(int64(*next))
	}
}

// jsonOf returns the JSON form of a value, decoded without its type.
func jsonOf(t *testing.T, value any) (text []byte, decoded any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(text, &decoded)
	}
	if err != nil {
		t.Fatal(err)
	}
	return text, decoded
}

// missing returns the path of the first value of want that got does not have; empty if it has them all. got may have more fields.
func missing(want, got any, path string) string {
	fields, isObject := want.(map[string]any)
	if !isObject {
		if reflect.DeepEqual(want, got) {
			return ""
		}
		list, isList := want.([]any)
		other, ok := got.([]any)
		if !isList || !ok || len(list) != len(other) {
			return fmt.Sprintf("%s: %v, want %v", path, got, want)
		}
		for i := range list {
			if m := missing(list[i], other[i], fmt.Sprint(path, "[", i, "]")); m != "" {
				return m
			}
		}
		return ""
	}
	object, ok := got.(map[string]any)
	for name, value := range fields {
		if !ok || object[name] == nil {
			return path + "." + name
		}
		if m := missing(value, object[name], path+"."+name); m != "" {
			return m
		}
	}
	return ""
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(previousBuild, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// TestPreviousBuild guards against fields that instances of two builds, which run side by side during an upgrade, no longer understand
// of each other: ones that are renamed, removed or have another type. Since gob pairs fields by name and type in either
// direction, a message of the build before that is read whole can also be read by it.
func TestPreviousBuild(t *testing.T) {
	if folder := os.Getenv("HYSSOPHOIST_WRITE_MESSAGES"); folder != "" {
		writeMessages(t, folder)
		return
	}
	for _, message := range messages() {
		name := reflect.TypeOf(message).Elem().Name()
		var want any
		if err := json.Unmarshal(readFile(t, name+".json"), &want); err != nil {
			t.Fatal(err)
		}
		if err := gob.NewDecoder(bytes.NewReader(readFile(t, name+".gob"))).Decode(message); err != nil {
			t.Errorf("%s cannot be read: %v", name, err)
			continue
		}
		if _, got := jsonOf(t, message); missing(want, got, "") != "" {
			t.Errorf("%s: value lost at %s", name, missing(want, got, ""))
		}
	}
}

func writeMessages(t *testing.T, folder string) {
	write := func(name string, content []byte) {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	writeJSON := func(value any) (name string) {
		next := 0
		fill(reflect.ValueOf(value).Elem(), &next)
		name = reflect.TypeOf(value).Elem().Name()
		text, _ := jsonOf(t, value)
		write(name+".json", text)
		return name
	}
	for _, message := range messages() {
		name := writeJSON(message)
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(message); err != nil {
			t.Fatal(err)
		}
		write(name+".gob", encoded.Bytes())
	}
	for _, row := range []any{new(loadshare.Member), new(lease.Record)} {
		writeJSON(row)
	}
}

// TestRowsOfOtherBuilds guards against rows of the build before, or with fields of a later one, that an instance cannot read.
func TestRowsOfOtherBuilds(t *testing.T) {
	for _, row := range []struct {
		name string
		read func(value []byte) (any, error)
	}{
		{"Member", func(value []byte) (any, error) { return decodeMember(platformapi.Row{Value: value}) }},
		{"Record", func(value []byte) (any, error) {
			decoded, err := leasestore.Decode(1, value)
			return decoded.Record, err
		}},
	} {
		value := readFile(t, row.name+".json")
		later := append([]byte(`{"added_later":{"list":[1]},`), value[1:]...)
		for _, value := range [][]byte{value, later} {
			decoded, err := row.read(value)
			if err != nil {
				t.Errorf("%s: %v", row.name, err)
				continue
			}
			var want any
			if err := json.Unmarshal(readFile(t, row.name+".json"), &want); err != nil {
				t.Fatal(err)
			}
			if _, got := jsonOf(t, decoded); missing(want, got, "") != "" {
				t.Errorf("%s: value lost at %s", row.name, missing(want, got, ""))
			}
		}
	}
}
