package posting

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
)

const (
	// maxClaimWrites bounds how often one claim is written if responses are lost. The second write costs one platform
	// call; it either takes effect or fails with a conflict, which carries the stored row.
	maxClaimWrites = 2
	// maxExaminations bounds how often a call examines a row that others keep changing.
	maxExaminations = 8
	// inProgressRetryAfter is the delay after which a caller may retry a posting in progress.
	inProgressRetryAfter = time.Second
)

type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseReadingBack
	phaseAskingStatus
	phaseMarkingUnknown
	phaseSending
	phaseReadingAfterStale
	phaseFinished
)

// Machine is the state machine of one call.
type Machine struct {
	call  Call
	phase phase
	// claim is the claim last written and expectedVersion the row version it replaces.
	claim           Record
	expectedVersion uint64
	claimWrites     int
	examinations    int
	// claimUnknown reports whether a claim of this call was written and may or may not have taken effect.
	claimUnknown bool
	// examined is the row last examined.
	examined Row
	// claimVersion is the row version of the claim in effect.
	claimVersion uint64
}

// New returns the state machine of a call. Its first event is Started; the attempt must already be active in Attempts.
func New(call Call) *Machine { return &Machine{call: call} }

// Step handles an event, which is Started at first and then the result of the last action. It returns Finish as the
// last action when the call has ended, and no action after that.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch m.phase {
	case phaseNew:
		return m.start(now)
	case phaseClaiming:
		return m.onClaim(now, event)
	case phaseReadingBack:
		return m.onReadBack(now, event)
	case phaseAskingStatus:
		return m.onStatus(now, event)
	case phaseMarkingUnknown:
		return m.onMarkedUnknown(now, event)
	case phaseSending:
		return m.onSent(event)
	case phaseReadingAfterStale:
		return m.onReadAfterStale(event)
	}
	return nil
}

func (m *Machine) start(now time.Time) []Action {
	if !now.Before(m.call.Deadline) {
		return m.finish(Answer{Kind: errkind.DeadlineExceeded, Run: errkind.NotRun})
	}
	return m.writeClaim(now, 0, Record{Target: m.call.Target, Fenced: m.call.Fenced, Fencing: 1})
}

// writeClaim claims the row. base holds Target, Fenced, Fencing and EarlierSent.
func (m *Machine) writeClaim(now time.Time, expectedVersion uint64, base Record) []Action {
	base.State = StateClaimed
	base.Daemon, base.Incarnation, base.Attempt = m.call.Daemon, m.call.Incarnation, m.call.Attempt
	base.RequestHash = m.call.RequestHash
	base.DeadlineMS = m.call.Deadline.UnixMilli()
	base.ExpiresMS = now.Add(m.call.Retention).UnixMilli()
	m.claim, m.expectedVersion, m.claimWrites = base, expectedVersion, 1
	m.phase = phaseClaiming
	return []Action{Write{ExpectedVersion: expectedVersion, Record: base}}
}

func (m *Machine) onClaim(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Committed:
		return m.send(now, e.Version)
	case Conflicted:
		return m.examine(now, e.Row)
	case WriteRefused:
		return m.abandon(errkind.PlatformUnavailable)
	case WriteUnknown:
		m.claimUnknown = true
		m.phase = phaseReadingBack
		return []Action{Read{}}
	}
	return nil
}

func (m *Machine) onReadBack(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case RowRead:
		if e.Row.Version != m.expectedVersion {
			return m.examine(now, e.Row)
		}
		// The write has had no effect so far and may still have one. Repeating it is safe, since at most one of the
		// two can find the expected version.
		if m.claimWrites >= maxClaimWrites || !now.Before(m.call.Deadline) {
			return m.abandon(errkind.PlatformUnavailable)
		}
		m.claimWrites++
		m.phase = phaseClaiming
		return []Action{Write{ExpectedVersion: m.expectedVersion, Record: m.claim}}
	case ReadFailed:
		return m.abandon(errkind.PlatformUnavailable)
	}
	return nil
}

// examine decides what to do about a row that is not the one this call expected.
func (m *Machine) examine(now time.Time, row Row) []Action {
	record := row.Record
	m.examined = row
	m.examinations++
	switch {
	case m.examinations > maxExaminations:
		return m.finish(inProgress())
	case row.Version == 0:
		// The row was deleted after its retention.
		return m.writeClaim(now, 0, Record{Target: m.call.Target, Fenced: m.call.Fenced, Fencing: 1})
	case record.Attempt == m.call.Attempt:
		m.claim = record
		return m.send(now, row.Version)
	case record.RequestHash != m.call.RequestHash:
		return m.finish(Answer{Kind: errkind.KeyReused, Run: errkind.NotRun})
	case record.State == StateDone:
		return m.finish(Answer{Result: record.Result})
	case record.State == StateNotRun:
		return m.takeOver(now, false)
	case record.State == StateUnknown && m.canResend():
		return m.takeOver(now, true)
	case record.State == StateUnknown:
		return m.finish(outcomeUnknown())
	}
	m.phase = phaseAskingStatus
	return []Action{AskStatus{Daemon: record.Daemon, Attempt: record.Attempt}}
}

func (m *Machine) onStatus(now time.Time, event Event) []Action {
	record := m.examined.Record
	reply, replied := event.(StatusReplied)
	switch {
	case replied && reply.Status == AttemptActive:
		return m.finish(inProgress())
	case replied && reply.Status == AttemptAbandoned && !record.EarlierSent:
		return m.takeOver(now, false)
	case m.canResend():
		return m.takeOver(now, true)
	case replied:
		// The claiming daemon no longer knows the attempt, or has abandoned it after an earlier attempt may have been
		// sent. If an outcome was stored in the meantime, the conditional write conflicts.
		record.State = StateUnknown
		m.phase = phaseMarkingUnknown
		return []Action{Write{ExpectedVersion: m.examined.Version, Record: record}}
	case now.UnixMilli() < record.DeadlineMS:
		return m.finish(inProgress())
	}
	return m.finish(outcomeUnknown())
}

func (m *Machine) onMarkedUnknown(now time.Time, event Event) []Action {
	if e, ok := event.(Conflicted); ok {
		return m.examine(now, e.Row)
	}
	return m.finish(outcomeUnknown())
}

// canResend reports whether a key that may have been sent can be sent again. It can go only to the same target, which
// must have checked fencing numbers when the key was first sent and must still do so.
func (m *Machine) canResend() bool {
	record := m.examined.Record
	if !record.Fenced {
		return false
	}
	if record.Target == m.call.Target {
		return m.call.Fenced
	}
	return m.call.CanResendTo != nil && m.call.CanResendTo(record.Target)
}

// takeOver replaces the claim in the row last examined.
func (m *Machine) takeOver(now time.Time, earlierSent bool) []Action {
	base := Record{Target: m.call.Target, Fenced: m.call.Fenced, Fencing: m.examined.Record.Fencing + 1}
	if earlierSent {
		base.Target, base.Fenced, base.EarlierSent = m.examined.Record.Target, true, true
	}
	return m.writeClaim(now, m.examined.Version, base)
}

// send sends the posting, whose claim is in effect, unless its deadline has passed.
func (m *Machine) send(now time.Time, claimVersion uint64) []Action {
	m.claimVersion = claimVersion
	if !now.Before(m.call.Deadline) {
		return m.abandon(errkind.DeadlineExceeded)
	}
	m.phase = phaseSending
	return []Action{Send{Target: m.claim.Target, Fencing: m.claim.Fencing}}
}

// abandon ends a call that was not sent. The attempt is marked as abandoned first, so that the next request with the
// key can take over a claim that is in effect or may still take effect.
func (m *Machine) abandon(kind errkind.Kind) []Action {
	answer := Answer{Kind: kind, Run: m.runOutcome()}
	if m.claimVersion == 0 && !m.claimUnknown {
		return m.finish(answer)
	}
	m.phase = phaseFinished
	outcome := Outcome{State: StateNotRun, Row: Row{Version: m.claimVersion, Record: m.claim}}
	return []Action{Abandon{}, StoreOutcome{Outcome: outcome}, Finish{Answer: answer}}
}

// runOutcome returns the run outcome of a call whose own attempt did not run. An earlier attempt at the key may have
// run.
func (m *Machine) runOutcome() errkind.RunOutcome {
	if m.claim.EarlierSent {
		return errkind.Unknown
	}
	return errkind.NotRun
}

func (m *Machine) onSent(event Event) []Action {
	row := Row{Version: m.claimVersion, Record: m.claim}
	switch e := event.(type) {
	case Responded:
		m.phase = phaseFinished
		outcome := Outcome{State: StateDone, Result: &e.Result, Row: row}
		return []Action{StoreOutcome{Outcome: outcome}, Finish{Answer: Answer{Result: &e.Result}}}
	case SendRefused:
		m.phase = phaseFinished
		answer := Answer{Kind: e.Kind, Run: m.runOutcome(), RetryAfter: e.RetryAfter}
		return []Action{Abandon{}, StoreOutcome{Outcome: Outcome{State: StateNotRun, Row: row}}, Finish{Answer: answer}}
	case SendUnknown:
		m.phase = phaseFinished
		answer := Answer{Kind: e.Kind, Run: errkind.Unknown}
		return []Action{StoreOutcome{Outcome: Outcome{State: StateUnknown, Row: row}}, Finish{Answer: answer}}
	case SendStale:
		m.phase = phaseReadingAfterStale
		return []Action{Read{}}
	}
	return nil
}

// onReadAfterStale answers a call whose claim was taken over before its posting reached the target.
func (m *Machine) onReadAfterStale(event Event) []Action {
	m.phase = phaseFinished
	answer := outcomeUnknown()
	if e, ok := event.(RowRead); ok && e.Row.Version != 0 && e.Row.Record.Attempt != m.call.Attempt {
		answer = inProgress()
		if e.Row.Record.State == StateDone {
			answer = Answer{Result: e.Row.Record.Result}
		}
	}
	outcome := Outcome{State: StateUnknown, Row: Row{Version: m.claimVersion, Record: m.claim}}
	return []Action{StoreOutcome{Outcome: outcome}, Finish{Answer: answer}}
}

// finish ends a call that was not sent and is not known to hold a claim. If its claim may have taken effect, the
// attempt is marked as abandoned first.
func (m *Machine) finish(answer Answer) []Action {
	m.phase = phaseFinished
	if m.claimUnknown {
		return []Action{Abandon{}, Finish{Answer: answer}}
	}
	return []Action{Finish{Answer: answer}}
}

func inProgress() Answer {
	return Answer{Kind: errkind.InProgress, Run: errkind.Unknown, RetryAfter: inProgressRetryAfter}
}

func outcomeUnknown() Answer { return Answer{Kind: errkind.OutcomeUnknown, Run: errkind.Unknown} }

// Lookup returns the answer for a key from its row alone. It is complete unless the row is claimed; the caller then
// asks for the status of the attempt and uses LookupStatus.
func Lookup(row Row) (answer Answer, complete bool) {
	switch {
	case row.Version == 0:
		// A call may be about to claim the key, so a missing row does not prove that the key will not run.
		return Answer{Kind: errkind.NotFound, Run: errkind.Unknown}, true
	case row.Record.State == StateDone:
		return Answer{Result: row.Record.Result}, true
	case row.Record.State == StateNotRun:
		return Answer{Kind: errkind.TargetRefused, Run: errkind.NotRun}, true
	case row.Record.State == StateUnknown:
		return outcomeUnknown(), true
	}
	return Answer{}, false
}

// LookupStatus returns the answer for a claimed row from the reply of the claiming daemon, which is a StatusReplied or
// a StatusFailed.
func LookupStatus(now time.Time, row Row, event Event) Answer {
	reply, replied := event.(StatusReplied)
	switch {
	case replied && reply.Status == AttemptActive:
		return inProgress()
	case replied && reply.Status == AttemptAbandoned && !row.Record.EarlierSent:
		return Answer{Kind: errkind.TargetRefused, Run: errkind.NotRun}
	case !replied && now.UnixMilli() < row.Record.DeadlineMS:
		return inProgress()
	}
	return outcomeUnknown()
}
