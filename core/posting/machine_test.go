package posting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

var testNow = time.Unix(1000, 0)

func testCall() Call {
	return Call{
		Daemon: "d1", Incarnation: 2, Attempt: "a1", RequestHash: "h", Target: "t", Fenced: true,
		Deadline: testNow.Add(time.Minute), Retention: time.Hour,
	}
}

func claimedRow(fenced bool, earlierSent bool) Row {
	return Row{Version: 5, Record: Record{
		State: StateClaimed, Daemon: "d2", Attempt: "a0", Target: "t", Fenced: fenced, Fencing: 3, EarlierSent: earlierSent,
		RequestHash: "h", DeadlineMS: testNow.Add(time.Second).UnixMilli(),
	}}
}

// TestMachineTakeover guards against an unsafe takeover of another attempt's claim, which could run the key twice, and
// against a refusal to take it over where that is safe.
func TestMachineTakeover(t *testing.T) {
	unfencedCall := testCall()
	unfencedCall.Fenced = false
	otherTargetCall := testCall()
	otherTargetCall.Target = "other"
	tests := map[string]struct {
		call  Call
		row   Row
		event Event
		now   time.Time
		// fencing is the fencing number of the expected takeover. Without a takeover, kind is the expected error, or
		// "mark" if the row must be marked as unknown.
		fencing uint64
		target  entity.TargetID
		kind    errkind.Kind
	}{
		"active":                      {testCall(), claimedRow(true, false), StatusReplied{AttemptActive}, testNow, 0, "", errkind.InProgress},
		"abandoned":                   {testCall(), claimedRow(false, false), StatusReplied{AttemptAbandoned}, testNow, 4, "t", ""},
		"abandoned, any target":       {otherTargetCall, claimedRow(false, false), StatusReplied{AttemptAbandoned}, testNow, 4, "other", ""},
		"abandoned, earlier one sent": {otherTargetCall, claimedRow(true, true), StatusReplied{AttemptAbandoned}, testNow, 0, "", "mark"},
		"restarted, fenced":           {testCall(), claimedRow(true, false), StatusReplied{AttemptUnknown}, testNow, 4, "t", ""},
		"restarted, not fenced":       {unfencedCall, claimedRow(false, false), StatusReplied{AttemptUnknown}, testNow, 0, "", "mark"},
		"fencing checked only later":  {testCall(), claimedRow(false, false), StatusReplied{AttemptUnknown}, testNow, 0, "", "mark"},
		"fencing no longer checked":   {unfencedCall, claimedRow(true, false), StatusFailed{}, testNow, 0, "", errkind.InProgress},
		"no reply, fenced":            {testCall(), claimedRow(true, false), StatusFailed{}, testNow, 4, "t", ""},
		"no reply, not fenced":        {unfencedCall, claimedRow(false, false), StatusFailed{}, testNow, 0, "", errkind.InProgress},
		"no reply after its deadline": {unfencedCall, claimedRow(false, false), StatusFailed{}, testNow.Add(2 * time.Second), 0, "", errkind.OutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(test.call)
			m.Step(testNow, Started{})
			want := []Action{AskStatus{Daemon: "d2", Attempt: "a0"}}
			if diff := cmp.Diff(want, m.Step(testNow, Conflicted{Row: test.row})); diff != "" {
				t.Fatal(diff)
			}
			action := m.Step(test.now, test.event)[0]
			write, wrote := action.(Write)
			switch {
			case test.kind == "mark":
				if !wrote || write.Record.State != StateUnknown || write.Record.Attempt != "a0" {
					t.Fatalf("got %+v, want the claim marked as unknown", action)
				}
			case test.kind != "":
				if finish, ok := action.(Finish); !ok || finish.Answer.Kind != test.kind {
					t.Fatalf("got %+v, want %s", action, test.kind)
				}
			case !wrote || write.ExpectedVersion != 5 || write.Record.Fencing != test.fencing ||
				write.Record.Target != test.target || write.Record.Attempt != "a1":
				t.Fatalf("got %+v, want a takeover of version 5 with fencing number %d", action, test.fencing)
			}
		})
	}
}

// TestMachineDeadlineBeforeSend guards against a posting that is sent after its deadline because its claim took too
// long.
func TestMachineDeadlineBeforeSend(t *testing.T) {
	m := New(testCall())
	m.Step(testNow, Started{})
	actions := m.Step(testNow.Add(time.Minute), Committed{Version: 1})
	if _, ok := actions[0].(Abandon); !ok {
		t.Fatalf("got %+v, want the attempt abandoned first", actions)
	}
	store := actions[1].(StoreOutcome)
	if store.Outcome.State != StateNotRun || store.Outcome.Row.Version != 1 {
		t.Errorf("got %+v, want not_run recorded over version 1", store)
	}
	answer := actions[2].(Finish).Answer
	if answer.Kind != errkind.DeadlineExceeded || answer.Run != errkind.NotRun {
		t.Errorf("got %+v, want deadline_exceeded, not run", answer)
	}
}

// TestMachineRefusalAfterTakeover guards against reporting a key as not run although an earlier attempt may have run
// it: the target refuses the attempt that took the claim over.
func TestMachineRefusalAfterTakeover(t *testing.T) {
	m := New(testCall())
	m.Step(testNow, Started{})
	m.Step(testNow, Conflicted{Row: claimedRow(true, false)})
	m.Step(testNow, StatusFailed{})
	m.Step(testNow, Committed{Version: 6})
	actions := m.Step(testNow, SendRefused{Kind: errkind.TargetRefused})
	if answer := actions[len(actions)-1].(Finish).Answer; answer.Run != errkind.Unknown {
		t.Errorf("got %+v, want an unknown outcome", answer)
	}
	store := actions[1].(StoreOutcome)
	writer := NewOutcomeWriter(store.Outcome, testNow.Add(time.Hour), rand.New(rand.NewPCG(1, 1)))
	if write, ok := writer.Step(testNow, Started{}).(Write); !ok || write.Record.State != StateUnknown {
		t.Errorf("got %+v, want the row marked as unknown", write)
	}
}

// TestMachineStaleFencingNumber guards against storing or reporting the refusal of a stale fencing number as the
// outcome of the key.
func TestMachineStaleFencingNumber(t *testing.T) {
	m := New(testCall())
	m.Step(testNow, Started{})
	m.Step(testNow, Committed{Version: 1})
	m.Step(testNow, SendStale{})
	actions := m.Step(testNow, RowRead{Row: claimedRow(true, true)})
	if answer := actions[len(actions)-1].(Finish).Answer; answer.Kind != errkind.InProgress {
		t.Errorf("got %+v, want in_progress", answer)
	}
	for _, action := range actions {
		if store, ok := action.(StoreOutcome); ok && store.Outcome.State != StateUnknown {
			t.Errorf("a stale refusal was stored as %s", store.Outcome.State)
		}
	}
}

// TestOutcomeWriterTombstone guards against a claim that takes effect after its attempt was abandoned: a row in
// StateNotRun must be created in its place.
func TestOutcomeWriterTombstone(t *testing.T) {
	record := Record{State: StateClaimed, Attempt: "a1", Fencing: 1}
	writer := NewOutcomeWriter(Outcome{State: StateNotRun, Row: Row{Record: record}}, testNow.Add(time.Hour), rand.New(rand.NewPCG(1, 1)))
	if _, ok := writer.Step(testNow, Started{}).(Read); !ok {
		t.Fatal("the row was not read")
	}
	record.State = StateNotRun
	if diff := cmp.Diff(Action(Write{Record: record}), writer.Step(testNow, RowRead{})); diff != "" {
		t.Error(diff)
	}
}

// TestOutcomeWriterStopsRetrying guards against retries after the row was deleted: a new row restarts at version 1.
func TestOutcomeWriterStopsRetrying(t *testing.T) {
	writer := NewOutcomeWriter(Outcome{State: StateDone, Row: Row{Version: 1, Record: Record{Attempt: "a1"}}}, testNow, rand.New(rand.NewPCG(1, 1)))
	writer.Step(testNow.Add(-time.Second), Started{})
	if wait, ok := writer.Step(testNow.Add(-time.Second), WriteUnknown{}).(Wait); !ok || wait.For <= 0 {
		t.Error("the write was not retried")
	}
	if _, ok := writer.Step(testNow, WriteUnknown{}).(StopWriter); !ok {
		t.Error("the outcome writer did not stop")
	}
}

// TestAttemptsMemoryBound guards against a list of abandoned attempts that grows without bound, and against an
// abandoned attempt that becomes active again.
func TestAttemptsMemoryBound(t *testing.T) {
	a := NewAttempts(2)
	for _, id := range []entity.AttemptID{"1", "2", "3"} {
		if !a.Begin(id) || a.Begin(id) {
			t.Fatalf("attempt %s did not begin exactly once", id)
		}
		a.Abandon(id)
		a.End(id)
	}
	if a.Status("1") != AttemptUnknown || a.Status("2") != AttemptAbandoned || a.Status("3") != AttemptAbandoned {
		t.Error("the last two attempts are not the abandoned ones")
	}
	if a.Begin("3") {
		t.Error("an abandoned attempt became active again")
	}
}

// TestOutcomeStoredAfterTakeover guards against losing a response because another daemon took the claim over and
// crashed. The outcome must be unknown only until the daemon that has the response retries its write.
func TestOutcomeStoredAfterTakeover(t *testing.T) {
	claim := Record{State: StateClaimed, Daemon: "d1", Attempt: "a1", Target: "t", Fenced: true, Fencing: 1}
	result := &Result{Object: "response"}
	writer := NewOutcomeWriter(Outcome{State: StateDone, Result: result, Row: Row{Version: 1, Record: claim}}, testNow.Add(time.Hour),
		rand.New(rand.NewPCG(1, 1)))
	takenOver := claimedRow(true, true) // by d2, which has crashed
	late := testNow.Add(time.Minute)
	writer.Step(late, Started{})
	if _, ok := writer.Step(late, Conflicted{Row: takenOver}).(Write); !ok {
		t.Fatal("the claim of the crashed daemon was not replaced")
	}
	if _, ok := writer.Step(late, WriteUnknown{}).(Wait); !ok {
		t.Fatal("the write with unknown result was not retried")
	}
	if answer := LookupStatus(late, takenOver, StatusFailed{}); answer.Kind != errkind.OutcomeUnknown {
		t.Errorf("the outcome before the next try is %+v", answer)
	}
	writer.Step(late, WaitEnded{})
	write, ok := writer.Step(late, RowRead{Row: takenOver}).(Write)
	if !ok || write.ExpectedVersion != takenOver.Version || write.Record.State != StateDone || write.Record.Fencing < takenOver.Record.Fencing {
		t.Fatalf("the next try wrote %+v", write)
	}
	if answer, complete := Lookup(Row{Version: 6, Record: write.Record}); !complete || answer.Result != result {
		t.Errorf("the outcome after the next try is %+v", answer)
	}
}
