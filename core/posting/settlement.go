package posting

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// OutcomeWriter writes the outcome of one attempt to its row. It retries until the outcome is stored or superseded,
// or until the retry deadline.
type OutcomeWriter struct {
	attempt entity.AttemptID
	outcome Outcome
	random  *rand.Rand
	// retryDeadline ends the retries. A row that was deleted and created again restarts at version 1, so a write as
	// old as the retention could overwrite the row of another posting.
	retryDeadline time.Time
	tries         int
}

// NewOutcomeWriter returns the writer of an outcome. It stops retrying at retryDeadline, which must be well before
// the row expires. random is used for jitter.
func NewOutcomeWriter(outcome Outcome, retryDeadline time.Time, random *rand.Rand) *OutcomeWriter {
	return &OutcomeWriter{
		attempt: outcome.Row.Record.Attempt, outcome: outcome, retryDeadline: retryDeadline, random: random,
	}
}

// Step handles an event and returns one action: Write, Read, Wait or StopWriter.
func (w *OutcomeWriter) Step(now time.Time, event Event) Action {
	switch e := event.(type) {
	case Started:
		if w.outcome.Row.Version == 0 {
			return Read{}
		}
		return w.reconcile(w.outcome.Row)
	case Committed:
		return StopWriter{}
	case Conflicted:
		return w.reconcile(e.Row)
	case RowRead:
		return w.reconcile(e.Row)
	case WaitEnded:
		return Read{}
	case WriteRefused, WriteUnknown, ReadFailed:
		if !now.Before(w.retryDeadline) {
			return StopWriter{}
		}
		return Wait{For: w.backoff()}
	}
	return StopWriter{}
}

// reconcile returns the write that stores the outcome in the given row, or StopWriter if none is needed.
func (w *OutcomeWriter) reconcile(row Row) Action {
	record := row.Record
	ownClaim := record.Attempt == w.attempt
	switch {
	case row.Version == 0 && w.outcome.State == StateNotRun && w.outcome.Row.Version == 0:
		// The claim is not in effect. A row created in its place makes the claim fail if it still arrives.
		return w.writeOutcome(0, w.outcome.Row.Record)
	case row.Version == 0, record.State == StateDone, !ownClaim && w.outcome.State != StateDone:
		return StopWriter{}
	case ownClaim && record.State == w.outcome.State:
		return StopWriter{}
	case ownClaim && record.State == StateUnknown && w.outcome.State == StateNotRun && record.EarlierSent:
		return StopWriter{}
	}
	return w.writeOutcome(row.Version, record)
}

// writeOutcome returns the write that replaces record with the outcome. It keeps the fencing number, which must never
// decrease.
func (w *OutcomeWriter) writeOutcome(expectedVersion uint64, record Record) Action {
	record.State = w.outcome.State
	if record.State == StateNotRun && record.EarlierSent {
		record.State = StateUnknown
	}
	record.Result = w.outcome.Result
	record.Attempt = w.attempt
	return Write{ExpectedVersion: expectedVersion, Record: record}
}

// backoff returns the delay before the next try: exponential with full jitter, at least a tenth of the step.
func (w *OutcomeWriter) backoff() time.Duration {
	step := min(maxBackoff, firstBackoff<<min(w.tries, 10))
	w.tries++
	return step/10 + time.Duration(w.random.Int64N(int64(step)))
}
