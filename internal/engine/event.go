package engine

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// event is an engineapi.TokenEvent that is decoded for each token with few allocations. Strings stay encoded:
// json.RawMessage reuses its memory, and most strings are only compared with expected ones.
type event struct {
	Request      json.RawMessage `json:"request"`
	Attempt      json.RawMessage `json:"attempt"`
	Position     int             `json:"position"`
	Token        uint32          `json:"token"`
	Text         json.RawMessage `json:"text"`
	Trace        []traceEntry    `json:"trace"`
	FinishReason json.RawMessage `json:"finish_reason"`
	Error        json.RawMessage `json:"error"`
	FailedTarget json.RawMessage `json:"failed_target"`
}

// traceEntry is an engineapi.TraceEntry with an encoded target.
type traceEntry struct {
	Target         json.RawMessage `json:"target"`
	From           int             `json:"from"`
	To             int             `json:"to"`
	StepMicros     int64           `json:"step_us"`
	TransferMicros int64           `json:"transfer_us"`
}

// decode replaces the event with the one in line. It resets all fields first, since json.Unmarshal leaves fields that
// are missing in line unchanged, also in reused slice elements; otherwise a token could pass the checks with the trace
// of an earlier one.
func (e *event) decode(line []byte) error {
	trace := e.Trace[:cap(e.Trace)]
	for i := range trace {
		trace[i] = traceEntry{Target: trace[i].Target[:0], From: -1, To: -1}
	}
	*e = event{
		Request: e.Request[:0], Attempt: e.Attempt[:0], Position: -1, Text: e.Text[:0], Trace: trace[:0],
		FinishReason: e.FinishReason[:0], Error: e.Error[:0], FailedTarget: e.FailedTarget[:0],
	}
	return json.Unmarshal(line, e)
}

// stringValue decodes a JSON string. It returns "" if raw is missing, null or not a string.
func stringValue(raw json.RawMessage) string {
	if len(raw) < 2 || raw[0] != '"' {
		return ""
	}
	if inner := raw[1 : len(raw)-1]; isUnescapedASCII(inner) {
		return string(inner)
	}
	var decoded string
	if json.Unmarshal(raw, &decoded) != nil {
		return ""
	}
	return decoded
}

// isUnescapedASCII reports whether the inside of a JSON string is ASCII without escapes, so that it needs no decoding.
func isUnescapedASCII(inner []byte) bool {
	return !slices.ContainsFunc(inner, func(b byte) bool { return b == '\\' || b >= 0x80 })
}

// stringEquals reports whether raw is a JSON string with the value want.
func stringEquals(raw json.RawMessage, want string) bool {
	if len(raw) >= 2 && isUnescapedASCII(raw[1:len(raw)-1]) {
		return raw[0] == '"' && string(raw[1:len(raw)-1]) == want
	}
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) && stringValue(raw) == want
}

// checkTrace applies CheckTrace to the trace of the event. It does not allocate if the trace is valid and its targets
// are ASCII without escapes.
func (e *event) checkTrace(route []engineapi.Stage, layers int) error {
	matches := len(e.Trace) == len(route) && len(route) > 0 && route[0].From == 0 && route[len(route)-1].To == layers
	for i := range e.Trace {
		if !matches {
			break
		}
		h, stage := &e.Trace[i], &route[i]
		matches = stringEquals(h.Target, stage.Target) && h.From == stage.From && h.To == stage.To && h.From < h.To &&
			(i == 0 || h.From == route[i-1].To)
	}
	if matches {
		return nil
	}
	entries := make([]engineapi.TraceEntry, len(e.Trace))
	for i, h := range e.Trace {
		entries[i] = engineapi.TraceEntry{Target: stringValue(h.Target), From: h.From, To: h.To}
	}
	return CheckTrace(entries, route, layers)
}

// hopSamples converts a trace that has passed checkTrace to samples for the router.
func (e *event) hopSamples(route []engineapi.Stage) []message.HopSample {
	samples := make([]message.HopSample, len(e.Trace))
	for i, h := range e.Trace {
		samples[i] = message.HopSample{
			Target:   entity.TargetID(route[i].Target),
			Step:     time.Duration(h.StepMicros) * time.Microsecond,
			Transfer: time.Duration(h.TransferMicros) * time.Microsecond,
		}
		if i+1 < len(route) {
			samples[i].Next = entity.TargetID(route[i+1].Target)
		}
	}
	return samples
}
