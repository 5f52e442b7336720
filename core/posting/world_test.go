package posting

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/virtualtime"
)

const (
	platformTimeout = 2 * time.Second
	sendTimeout     = 5 * time.Second
	fencedTarget    = entity.TargetID("fenced")
	plainTarget     = entity.TargetID("plain")
)

type traceLine struct {
	at     time.Duration
	key    string
	format string
	args   []any
}

// process is one incarnation of a daemon.
type process struct {
	id          entity.DaemonID
	incarnation uint64
	attempts    *Attempts
	virtualtime.Process
	// cutUntil is the end of a partition from the platform and from the other daemons.
	cutUntil time.Duration
}

// execution is the entry of a key in the ledger of a target.
type execution struct {
	attempt  entity.AttemptID
	response string
}

// world is a virtual clock with fakes of platform, targets, daemons and network.
type world struct {
	random    *rand.Rand
	scheduler virtualtime.Scheduler
	network   virtualtime.Network
	trace     []traceLine
	failed    string
	// failedKey is the key of the first failure, whose lines the trace is reduced to.
	failedKey string

	rows        map[string]Row
	outageUntil time.Duration
	processes   []*process

	ledger  map[string]execution
	highest map[string]uint64
	sends   map[entity.AttemptID]int
	// promised holds the attempts whose callers were told "not run".
	promised map[entity.AttemptID]bool
	// inDoubt holds the keys that a fault has left without a provable outcome.
	inDoubt map[string]bool
	// answered holds the process that received the response of a key.
	answered map[string]*process
	history  map[string][]operation
	attempts int
	// Counters of what the run has covered.
	done, lateClaims, takeovers, stale int
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)),
		rows:   map[string]Row{}, ledger: map[string]execution{}, highest: map[string]uint64{},
		sends: map[entity.AttemptID]int{}, promised: map[entity.AttemptID]bool{},
		inDoubt: map[string]bool{}, answered: map[string]*process{}, history: map[string][]operation{},
	}
	w.network = virtualtime.Network{
		Scheduler: &w.scheduler, Rand: w.random, RequestLossRate: 0.04, RequestDelayRate: 0.06, ReplyLossRate: 0.04,
	}
	for i := range 3 {
		w.processes = append(w.processes, newProcess(entity.DaemonID(fmt.Sprintf("d%d", i)), 1))
	}
	return w
}

func newProcess(id entity.DaemonID, incarnation uint64) *process {
	return &process{id: id, incarnation: incarnation, attempts: NewAttempts(1024)}
}

func (w *world) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.scheduler.Now()) }

func (w *world) chance(p float64) bool { return !w.network.Reliable && w.random.Float64() < p }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// logf records a line of the trace of a key, or of all keys if it is empty. Lines are formatted when printed.
func (w *world) logf(key, format string, args ...any) {
	w.trace = append(w.trace, traceLine{at: w.scheduler.Now(), key: key, format: format, args: args})
}

func (w *world) fail(key, format string, args ...any) {
	if w.failed == "" {
		w.failed, w.failedKey = fmt.Sprintf(format, args...), key
	}
}

// call performs a call of a process. The reply is lost while the process is cut off.
func (w *world) call(p *process, timeout time.Duration, serve func() func(), lost func()) {
	w.network.Call(&p.Process, timeout, func() func() {
		reply := serve()
		if p.cutUntil > w.scheduler.Now() {
			return nil
		}
		return reply
	}, lost)
}

// shortTrace returns the last lines that concern the key of the failure.
func (w *world) shortTrace() string {
	var lines []string
	for _, line := range w.trace {
		if line.key == w.failedKey {
			lines = append(lines, fmt.Sprintf("%v ", line.at)+fmt.Sprintf(line.format, line.args...))
		}
	}
	return strings.Join(lines[max(0, len(lines)-40):], "\n")
}

func (w *world) write(p *process, key string, write Write, handle func(Event)) {
	if (w.outageUntil > w.scheduler.Now() && w.chance(0.5)) || p.cutUntil > w.scheduler.Now() {
		w.scheduler.RunIn(&p.Process, time.Millisecond, func() { handle(WriteRefused{}) })
		return
	}
	issued := w.scheduler.Now()
	w.call(p, platformTimeout, func() func() {
		if w.outageUntil > w.scheduler.Now() && issued+platformTimeout > w.scheduler.Now() {
			return func() { handle(WriteRefused{}) }
		}
		row := w.rows[key]
		if row.Version != write.Expect {
			return func() { handle(Conflicted{Row: row}) }
		}
		w.commit(key, row, write, w.scheduler.Now()-issued > platformTimeout)
		if p.Dead {
			w.inDoubt[key] = true
		}
		if write.Record.State == Claimed && w.chance(0.03) {
			p.PausedUntil = w.scheduler.Now() + w.between(0, 12*time.Second)
			w.logf(key, "pause %s between claim and send until %v", p.id, p.PausedUntil)
		}
		return func() { handle(Committed{Version: write.Expect + 1}) }
	}, func() { handle(WriteLost{}) })
}

func (w *world) commit(key string, old Row, write Write, late bool) {
	record := write.Record
	w.rows[key] = Row{Version: write.Expect + 1, Record: record}
	w.logf(key, "row %s v%d %s %s n%d earlier=%v late=%v", key, write.Expect+1, record.State, record.Attempt,
		record.Fencing, record.EarlierSent, late)
	if old.Record.Fencing > record.Fencing {
		w.fail(key, "fencing number of %s fell from %d to %d", key, old.Record.Fencing, record.Fencing)
	}
	if record.State == Claimed && old.Version != 0 && old.Record.Fencing >= record.Fencing {
		w.fail(key, "%s took over %s without a higher fencing number", record.Attempt, key)
	}
	if old.Record.State == Done {
		w.fail(key, "outcome of %s was overwritten", key)
	}
	if record.State == Claimed && late {
		w.lateClaims++
	}
	if record.State == Claimed && record.Fencing > 1 {
		w.takeovers++
	}
	if record.State == Done && string(record.Result.Inline) != w.ledger[key].response {
		w.fail(key, "row of %s holds %s, the target returned %q", key, record.Result.Inline, w.ledger[key].response)
	}
}

func (w *world) read(p *process, key string, handle func(Event)) {
	if (w.outageUntil > w.scheduler.Now() && w.chance(0.9)) || p.cutUntil > w.scheduler.Now() {
		w.scheduler.RunIn(&p.Process, time.Millisecond, func() { handle(ReadFailed{}) })
		return
	}
	w.call(p, platformTimeout, func() func() {
		row := w.rows[key]
		return func() { handle(RowRead{Row: row}) }
	}, func() { handle(ReadFailed{}) })
}

func (w *world) askStatus(p *process, ask AskStatus, handle func(Event)) {
	var peer *process
	for _, candidate := range w.processes {
		if candidate.id == ask.Daemon {
			peer = candidate
		}
	}
	w.call(p, time.Second, func() func() {
		cut := peer != p && (peer.cutUntil > w.scheduler.Now() || p.cutUntil > w.scheduler.Now())
		if peer.Dead || peer.PausedUntil > w.scheduler.Now() || cut {
			return nil
		}
		status := peer.attempts.Status(ask.Attempt)
		return func() { handle(StatusReplied{Status: status}) }
	}, func() { handle(StatusFailed{}) })
}

// send delivers a posting to the target and checks that the key runs at most once.
func (w *world) send(p *process, key string, attempt entity.AttemptID, send Send, handle func(Event)) {
	w.sends[attempt]++
	if w.sends[attempt] > 1 {
		w.fail(key, "attempt %s was sent twice", attempt)
	}
	w.logf(key, "send %s of %s to %s n%d", attempt, key, send.Target, send.Fencing)
	w.call(p, sendTimeout, func() func() {
		// An overloaded target refuses at the door, before it looks at the key.
		if w.chance(0.1) {
			return func() { handle(SendRefused{Kind: errkind.TargetRefused}) }
		}
		if send.Target == fencedTarget {
			if send.Fencing < w.highest[key] {
				w.stale++
				return func() { handle(SendStale{}) }
			}
			if ran, ok := w.ledger[key]; ok {
				return w.respond(ran.response, handle)
			}
		}
		w.highest[key] = send.Fencing
		return w.respond(w.execute(key, attempt), handle)
	}, func() { handle(SendLost{Kind: errkind.DeadlineExceeded}) })
}

func (w *world) respond(response string, handle func(Event)) func() {
	return func() { handle(Responded{Result: Result{Inline: []byte(response)}}) }
}

func (w *world) execute(key string, attempt entity.AttemptID) string {
	w.logf(key, "EXECUTE %s by %s", key, attempt)
	if earlier, ok := w.ledger[key]; ok {
		w.fail(key, "key %s ran twice: by %s and by %s", key, earlier.attempt, attempt)
	}
	if w.promised[attempt] {
		w.fail(key, "attempt %s ran after its caller was told that it did not run", attempt)
	}
	response := fmt.Sprintf("%q", "response to "+string(attempt))
	w.ledger[key] = execution{attempt: attempt, response: response}
	return response
}

// disturb draws a pause, death with restart, partition or outage, and plans the next disturbance.
func (w *world) disturb() {
	if w.network.Reliable {
		return
	}
	index := w.random.IntN(len(w.processes))
	p := w.processes[index]
	switch w.random.IntN(5) {
	case 0, 1:
		p.PausedUntil = w.scheduler.Now() + w.between(10*time.Millisecond, 30*time.Second)
		w.logf("", "pause %s until %v", p.id, p.PausedUntil)
	case 2:
		p.Dead = true
		w.logf("", "death and restart of %s", p.id)
		w.processes[index] = newProcess(p.id, p.incarnation+1)
		w.processes[index].PausedUntil = w.scheduler.Now() + w.between(10*time.Millisecond, 10*time.Second)
		for key, row := range w.rows {
			if row.Record.Daemon == p.id && row.Record.State != Done {
				w.inDoubt[key] = true
			}
		}
	case 3:
		p.cutUntil = w.scheduler.Now() + w.between(100*time.Millisecond, 20*time.Second)
		w.logf("", "partition of %s until %v", p.id, p.cutUntil)
	case 4:
		w.outageUntil = w.scheduler.Now() + w.between(100*time.Millisecond, 20*time.Second)
		w.logf("", "outage until %v", w.outageUntil)
	}
	w.scheduler.After(w.between(100*time.Millisecond, 20*time.Second), w.disturb)
}

// heal ends all faults.
func (w *world) heal() {
	w.network.Reliable = true
	w.outageUntil = w.scheduler.Now()
	for _, p := range w.processes {
		p.PausedUntil, p.cutUntil = w.scheduler.Now(), w.scheduler.Now()
	}
}
