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
	unfencedTarget  = entity.TargetID("plain")
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
	// partitionedUntil is the end of a partition from the platform and from the other daemons. Until then, replies of
	// targets are lost too.
	partitionedUntil time.Duration
}

// execution is the entry of a key in the ledger of a target.
type execution struct {
	attempt  entity.AttemptID
	response string
}

// simulation runs daemons on a virtual clock with fakes of the platform, the targets and the network.
type simulation struct {
	random    *rand.Rand
	scheduler virtualtime.Scheduler
	network   virtualtime.Network
	trace     []traceLine
	failure   string
	// failureKey is the key of the first failure. The printed trace shows only its lines.
	failureKey string

	rows        map[string]Row
	outageUntil time.Duration
	processes   []*process

	ledger         map[string]execution
	highestFencing map[string]uint64
	sends          map[entity.AttemptID]int
	// toldNotRun holds the attempts whose callers were told that they did not run.
	toldNotRun map[entity.AttemptID]bool
	// inDoubt holds the keys whose outcome a fault may have made unknown.
	inDoubt map[string]bool
	// responseReceiver holds the process that received the response of a key.
	responseReceiver map[string]*process
	history          map[string][]operation
	attempts         int
	// Counts of the events that the run has covered.
	responses, lateClaims, takeovers, staleSends int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)),
		rows:   map[string]Row{}, ledger: map[string]execution{}, highestFencing: map[string]uint64{},
		sends: map[entity.AttemptID]int{}, toldNotRun: map[entity.AttemptID]bool{},
		inDoubt: map[string]bool{}, responseReceiver: map[string]*process{}, history: map[string][]operation{},
	}
	s.network = virtualtime.Network{
		Scheduler: &s.scheduler, Rand: s.random, RequestLossRate: 0.04, RequestDelayRate: 0.06, ReplyLossRate: 0.04,
	}
	for i := range 3 {
		s.processes = append(s.processes, newProcess(entity.DaemonID(fmt.Sprintf("d%d", i)), 1))
	}
	return s
}

func newProcess(id entity.DaemonID, incarnation uint64) *process {
	return &process{id: id, incarnation: incarnation, attempts: NewAttempts(1024)}
}

func (s *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(s.scheduler.Now()) }

func (s *simulation) chance(p float64) bool { return !s.network.Reliable && s.random.Float64() < p }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// logf adds a line to the trace of a key; an empty key is for lines about no single key. Lines are formatted when
// printed.
func (s *simulation) logf(key, format string, args ...any) {
	s.trace = append(s.trace, traceLine{at: s.scheduler.Now(), key: key, format: format, args: args})
}

func (s *simulation) fail(key, format string, args ...any) {
	if s.failure == "" {
		s.failure, s.failureKey = fmt.Sprintf(format, args...), key
	}
}

// call performs a remote call by process p. The reply is lost while p is partitioned.
func (s *simulation) call(p *process, timeout time.Duration, serve func() func(), onTimeout func()) {
	s.network.Call(&p.Process, timeout, func() func() {
		reply := serve()
		if p.partitionedUntil > s.scheduler.Now() {
			return nil
		}
		return reply
	}, onTimeout)
}

// failureTrace returns the last lines about the key of the failure.
func (s *simulation) failureTrace() string {
	var lines []string
	for _, line := range s.trace {
		if line.key == s.failureKey {
			lines = append(lines, fmt.Sprintf("%v ", line.at)+fmt.Sprintf(line.format, line.args...))
		}
	}
	return strings.Join(lines[max(0, len(lines)-40):], "\n")
}

func (s *simulation) write(p *process, key string, write Write, handle func(Event)) {
	if (s.outageUntil > s.scheduler.Now() && s.chance(0.5)) || p.partitionedUntil > s.scheduler.Now() {
		s.scheduler.RunIn(&p.Process, time.Millisecond, func() { handle(WriteRefused{}) })
		return
	}
	issued := s.scheduler.Now()
	s.call(p, platformTimeout, func() func() {
		if s.outageUntil > s.scheduler.Now() && issued+platformTimeout > s.scheduler.Now() {
			return func() { handle(WriteRefused{}) }
		}
		row := s.rows[key]
		if row.Version != write.ExpectedVersion {
			return func() { handle(Conflicted{Row: row}) }
		}
		s.commit(key, row, write, s.scheduler.Now()-issued > platformTimeout)
		if p.Dead {
			s.inDoubt[key] = true
		}
		if write.Record.State == StateClaimed && s.chance(0.03) {
			p.PausedUntil = s.scheduler.Now() + s.between(0, 12*time.Second)
			s.logf(key, "pause %s between claim and send until %v", p.id, p.PausedUntil)
		}
		return func() { handle(Committed{Version: write.ExpectedVersion + 1}) }
	}, func() { handle(WriteUnknown{}) })
}

func (s *simulation) commit(key string, old Row, write Write, late bool) {
	record := write.Record
	s.rows[key] = Row{Version: write.ExpectedVersion + 1, Record: record}
	s.logf(key, "row %s v%d %s %s fencing=%d earlier=%v late=%v", key, write.ExpectedVersion+1, record.State,
		record.Attempt, record.Fencing, record.EarlierSent, late)
	if old.Record.Fencing > record.Fencing {
		s.fail(key, "fencing number of %s decreased from %d to %d", key, old.Record.Fencing, record.Fencing)
	}
	if record.State == StateClaimed && old.Version != 0 && old.Record.Fencing >= record.Fencing {
		s.fail(key, "%s took over %s without a higher fencing number", record.Attempt, key)
	}
	if old.Record.State == StateDone {
		s.fail(key, "outcome of %s was overwritten", key)
	}
	if record.State == StateClaimed && late {
		s.lateClaims++
	}
	if record.State == StateClaimed && record.Fencing > 1 {
		s.takeovers++
	}
	if record.State == StateDone && string(record.Result.Inline) != s.ledger[key].response {
		s.fail(key, "row of %s holds %s, the target returned %q", key, record.Result.Inline, s.ledger[key].response)
	}
}

func (s *simulation) read(p *process, key string, handle func(Event)) {
	if (s.outageUntil > s.scheduler.Now() && s.chance(0.9)) || p.partitionedUntil > s.scheduler.Now() {
		s.scheduler.RunIn(&p.Process, time.Millisecond, func() { handle(ReadFailed{}) })
		return
	}
	s.call(p, platformTimeout, func() func() {
		row := s.rows[key]
		return func() { handle(RowRead{Row: row}) }
	}, func() { handle(ReadFailed{}) })
}

func (s *simulation) askStatus(p *process, ask AskStatus, handle func(Event)) {
	var peer *process
	for _, candidate := range s.processes {
		if candidate.id == ask.Daemon {
			peer = candidate
		}
	}
	s.call(p, time.Second, func() func() {
		partitioned := peer != p && (peer.partitionedUntil > s.scheduler.Now() || p.partitionedUntil > s.scheduler.Now())
		if peer.Dead || peer.PausedUntil > s.scheduler.Now() || partitioned {
			return nil
		}
		status := peer.attempts.Status(ask.Attempt)
		return func() { handle(StatusReplied{Status: status}) }
	}, func() { handle(StatusFailed{}) })
}

// send delivers a posting to the target and checks that the key runs at most once.
func (s *simulation) send(p *process, key string, attempt entity.AttemptID, send Send, handle func(Event)) {
	s.sends[attempt]++
	if s.sends[attempt] > 1 {
		s.fail(key, "attempt %s was sent twice", attempt)
	}
	s.logf(key, "send %s of %s to %s fencing=%d", attempt, key, send.Target, send.Fencing)
	s.call(p, sendTimeout, func() func() {
		// An overloaded target refuses the request before it reads the key.
		if s.chance(0.1) {
			return func() { handle(SendRefused{Kind: errkind.TargetRefused}) }
		}
		if send.Target == fencedTarget {
			if send.Fencing < s.highestFencing[key] {
				s.staleSends++
				return func() { handle(SendStale{}) }
			}
			if earlier, ok := s.ledger[key]; ok {
				return s.respond(earlier.response, handle)
			}
		}
		s.highestFencing[key] = send.Fencing
		return s.respond(s.execute(key, attempt), handle)
	}, func() { handle(SendUnknown{Kind: errkind.DeadlineExceeded}) })
}

func (s *simulation) respond(response string, handle func(Event)) func() {
	return func() { handle(Responded{Result: Result{Inline: []byte(response)}}) }
}

func (s *simulation) execute(key string, attempt entity.AttemptID) string {
	s.logf(key, "run %s by %s", key, attempt)
	if earlier, ok := s.ledger[key]; ok {
		s.fail(key, "key %s ran twice: by %s and by %s", key, earlier.attempt, attempt)
	}
	if s.toldNotRun[attempt] {
		s.fail(key, "attempt %s ran after its caller was told that it did not run", attempt)
	}
	response := fmt.Sprintf("%q", "response to "+string(attempt))
	s.ledger[key] = execution{attempt: attempt, response: response}
	return response
}

// injectFault starts a random pause, crash with restart, partition or outage, and schedules the next fault.
func (s *simulation) injectFault() {
	if s.network.Reliable {
		return
	}
	index := s.random.IntN(len(s.processes))
	p := s.processes[index]
	switch s.random.IntN(5) {
	case 0, 1:
		p.PausedUntil = s.scheduler.Now() + s.between(10*time.Millisecond, 30*time.Second)
		s.logf("", "pause %s until %v", p.id, p.PausedUntil)
	case 2:
		p.Dead = true
		s.logf("", "crash and restart of %s", p.id)
		s.processes[index] = newProcess(p.id, p.incarnation+1)
		s.processes[index].PausedUntil = s.scheduler.Now() + s.between(10*time.Millisecond, 10*time.Second)
		for key, row := range s.rows {
			if row.Record.Daemon == p.id && row.Record.State != StateDone {
				s.inDoubt[key] = true
			}
		}
	case 3:
		p.partitionedUntil = s.scheduler.Now() + s.between(100*time.Millisecond, 20*time.Second)
		s.logf("", "partition of %s until %v", p.id, p.partitionedUntil)
	case 4:
		s.outageUntil = s.scheduler.Now() + s.between(100*time.Millisecond, 20*time.Second)
		s.logf("", "outage until %v", s.outageUntil)
	}
	s.scheduler.After(s.between(100*time.Millisecond, 20*time.Second), s.injectFault)
}

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.network.Reliable = true
	s.outageUntil = s.scheduler.Now()
	for _, p := range s.processes {
		p.PausedUntil, p.partitionedUntil = s.scheduler.Now(), s.scheduler.Now()
	}
}
