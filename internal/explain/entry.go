// Package explain selects the entries in the logs of edge daemons that explain how one request was handled: the
// decisions about it, and what the instances that handled it logged at the time about its targets and about the system.
package explain

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Field is a key and its value in a log line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Entry is a structured log line.
type Entry struct {
	// Instance is the daemon that wrote the line, taken from a name before the line, or else from the name of the file.
	// It is empty if there is neither.
	Instance string `json:"instance"`
	// Time is the date and time on the instance's clock; its year is 0, since log lines contain none.
	Time time.Time `json:"time"`
	// Part is the part of the system that wrote the line, for example "gateway".
	Part string `json:"part"`
	// Sentence is the message of the line, without its part and fields, for example "request ended".
	Sentence string  `json:"sentence"`
	Fields   []Field `json:"fields"`
}

// Get returns the value of a field, or "".
func (e *Entry) Get(key string) string {
	for _, field := range e.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// timeLayout is the layout of the time in klog's lines.
const timeLayout = "0102 15:04:05.000000"

var (
	// linePattern matches the text before klog's line (such as the name of an instance), the time, the part, the
	// sentence and the fields.
	linePattern = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\d+ [^ ]+\] "([^:"]+): ([^"]*)"(.*)$`)
	// fieldPattern matches a field with a quoted value, a value in braces, or a bare one.
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\{[^}]*\}|\S+)`)
)

// Parse parses a line of a log. The entry's instance is the last word before klog's line, or the argument instance if
// there is none. Parse returns false for a line that is not structured.
func Parse(instance, line string) (Entry, bool) {
	match := linePattern.FindStringSubmatch(line)
	if match == nil {
		return Entry{}, false
	}
	at, err := time.Parse(timeLayout, match[2])
	if err != nil {
		return Entry{}, false
	}
	if words := strings.Fields(match[1]); len(words) > 0 {
		instance = words[len(words)-1]
	}
	entry := Entry{Instance: instance, Time: at, Part: match[3], Sentence: match[4]}
	for _, field := range fieldPattern.FindAllStringSubmatch(match[5], -1) {
		value := field[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		entry.Fields = append(entry.Fields, Field{Key: field[1], Value: value})
	}
	return entry, true
}
