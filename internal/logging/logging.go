// Package logging writes log lines through klog, prefixed with the name of the component that logs.
package logging

import (
	"time"

	"k8s.io/klog/v2"
)

// Logger writes log lines with the prefix of one component.
type Logger struct {
	prefix string
}

// For returns the logger of the named component, for example "router".
func For(component string) Logger { return Logger{prefix: component + ": "} }

// Infof logs a normal event.
func (l Logger) Infof(format string, args ...any) { klog.InfofDepth(1, l.prefix+format, args...) }

// Warningf logs an event that an operator may need to look at.
func (l Logger) Warningf(format string, args ...any) { klog.WarningfDepth(1, l.prefix+format, args...) }

// Errorf logs a failure that needs attention.
func (l Logger) Errorf(format string, args ...any) { klog.ErrorfDepth(1, l.prefix+format, args...) }

// Debugf logs detail that is written at verbosity 2 and above.
func (l Logger) Debugf(format string, args ...any) {
	if klog.V(2).Enabled() {
		klog.InfofDepth(1, l.prefix+format, args...)
	}
}

// Event logs a decision or a change in the state known to the process: a short sentence followed by the inputs and the
// outcome as key-value pairs.
func (l Logger) Event(sentence string, keysAndValues ...any) {
	klog.InfoSDepth(1, l.prefix+sentence, keysAndValues...)
}

// Routine is like Event, for successful decisions that occur with every request. Lines beyond a rate limit are counted
// instead of written.
func (l Logger) Routine(sentence string, keysAndValues ...any) {
	if !routineLimiter.AllowN(time.Now(), routineBytes) {
		suppressed.Add(1)
		return
	}
	klog.InfoSDepth(1, l.prefix+sentence, keysAndValues...)
}
