package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one mistake in a file.
type Problem struct {
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field, such as "targets[3].url"; empty for the whole file.
	Field   string
	Message string
}

// String returns "file:line: field: message".
func (p Problem) String() string {
	location := p.File + ":" + strconv.Itoa(p.Line)
	if p.Field == "" {
		return location + ": " + p.Message
	}
	return location + ": " + p.Field + ": " + p.Message
}

// Problems is the error of a file with mistakes. Its text has one line for each.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// document is a parsed file with the position of each field.
type document struct {
	file     string
	content  []byte
	offsets  map[string]int
	problems Problems
}

// decode parses content as JSON with comments into out, a pointer to a struct. Unknown and duplicate fields and
// values of a wrong type are reported as problems of the returned document.
func decode(file string, content []byte, out any) *document {
	doc := &document{file: file, content: content, offsets: make(map[string]int)}
	value, err := hujson.Parse(content)
	if err != nil {
		doc.problems = append(doc.problems, syntaxProblem(file, content, err))
		return doc
	}
	doc.walk("", &value, reflect.TypeOf(out).Elem())
	if len(doc.problems) > 0 {
		return doc
	}
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), out); err != nil {
		doc.report("", err.Error())
	}
	return doc
}

// syntaxProblem takes the line from the message of hujson's error ("hujson: line 3, column 5: ...").
func syntaxProblem(file string, content []byte, err error) Problem {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	line := 1 + bytes.Count(content, []byte("\n"))
	var column int
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	return Problem{File: file, Line: line, Message: message}
}

// report adds a problem at the position of field, or of its nearest parent that is in the file.
func (d *document) report(field, message string) {
	offset, ok := d.offsets[field]
	for parent := field; !ok && parent != ""; {
		parent = parentOf(parent)
		offset, ok = d.offsets[parent]
	}
	line := 1 + bytes.Count(d.content[:offset], []byte("\n"))
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Message: message})
}

func parentOf(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

// reportf is report with a formatted message.
func (d *document) reportf(field, format string, args ...any) {
	d.report(field, fmt.Sprintf(format, args...))
}

// err returns the problems as an error, or nil.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// walk checks value against the Go type that it will be decoded into and records the position of each field.
func (d *document) walk(field string, value *hujson.Value, t reflect.Type) {
	d.offsets[field] = value.StartOffset
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		d.checkLeaf(field, value, t)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		d.walkObject(field, value, t)
	case reflect.Slice:
		d.walkArray(field, value, t)
	default:
		d.checkLeaf(field, value, t)
	}
}

func (d *document) walkObject(field string, value *hujson.Value, t reflect.Type) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.report(field, "must be an object")
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		path := joinField(field, name)
		d.offsets[path] = member.Name.StartOffset
		memberType, known := fieldType(t, name)
		switch {
		case !known:
			d.report(path, "unknown field")
		case seen[name]:
			d.report(path, "field appears twice")
		default:
			d.walk(path, &member.Value, memberType)
		}
		seen[name] = true
	}
}

func (d *document) walkArray(field string, value *hujson.Value, t reflect.Type) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.report(field, "must be an array")
		return
	}
	for i := range array.Elements {
		d.walk(field+"["+strconv.Itoa(i)+"]", &array.Elements[i], t.Elem())
	}
}

func (d *document) checkLeaf(field string, value *hujson.Value, t reflect.Type) {
	leaf := value.Clone()
	leaf.Standardize()
	err := json.Unmarshal(leaf.Pack(), reflect.New(t).Interface())
	if err == nil {
		return
	}
	if mismatch, ok := err.(*json.UnmarshalTypeError); ok {
		d.reportf(field, "must be %s, not %s", typeName(t), mismatch.Value)
		return
	}
	d.report(field, err.Error())
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number without a unit"
	default:
		return "a whole number without a unit"
	}
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag == name {
			return field.Type, true
		}
	}
	return nil, false
}

func joinField(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
