package benchtest

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// stepOverhead is the fixed time of an engine step of any size, as a share of the time of a full step.
const stepOverhead = 0.25

// workItem is the work of a stream at an engine for one output token or one chunk of the prompt.
type workItem struct {
	s              *stream
	hop            int
	tokens         int
	units          float64
	prefill        bool
	completesToken bool // the result is an output token
	position       int
	hash           uint64 // of the prompt prefix up to and including this block, or 0
	receivedAt     time.Duration
}

// engine simulates an engine with continuous batching. Each step takes output tokens first, but reserves half of its
// units for prompts if any wait.
type engine struct {
	sim                  *Simulation
	index                int
	id                   entity.TargetID
	rate                 float64 // work units/s at a full batch
	slots                int
	usedSlots            int
	waitingForSlot       []*stream // streams that wait for a KV slot
	decodeQueue          []workItem
	cache                prefixCache
	prefillQueue         []workItem
	priorityPrefillQueue []workItem // prompts of high-priority requests
	busy                 bool
	dead                 bool
	paused               bool
	// slowdown multiplies the time of each step.
	slowdown  float64
	processed float64
}

// stream is an attempt that engines process.
type stream struct {
	sim            *Simulation
	daemon         *daemon
	request        *job
	attempt        entity.AttemptID
	hops           []*engine
	holdsSlot      []bool
	pending        []workItem // items at the hop where the stream waits for a slot
	priority       entity.Priority
	fromPosition   int
	nextPosition   int
	ended          bool
	silent         bool // the connection to the daemon no longer delivers anything
	samples        []message.HopSample
	reportedAt     time.Duration
	flushScheduled bool
}

func (s *stream) start() {
	prompt := s.request.prompt + s.fromPosition
	for at := 0; at < prompt; at += chunkTokens {
		tokens := min(chunkTokens, prompt-at)
		hash := uint64(0)
		if block := at / chunkTokens; block < len(s.request.hashes) {
			hash = s.request.hashes[block]
		}
		s.hops[0].receive(workItem{s: s, hash: hash, tokens: tokens, units: float64(tokens) / promptTokensPerUnit,
			prefill: true, completesToken: at+tokens == prompt, position: s.fromPosition})
	}
}

func (e *engine) receive(it workItem) {
	if e.dead {
		it.s.engineLost(e)
		return
	}
	if it.s.ended {
		return
	}
	it.receivedAt = e.sim.now()
	if !it.s.holdsSlot[it.hop] {
		if e.usedSlots >= e.slots {
			if len(it.s.pending) == 0 {
				e.waitingForSlot = append(e.waitingForSlot, it.s)
			}
			it.s.pending = append(it.s.pending, it)
			return
		}
		e.usedSlots++
		it.s.holdsSlot[it.hop] = true
	}
	e.enqueue(it)
}

func (e *engine) enqueue(it workItem) {
	if it.hash != 0 && e.cache.blocks[it.hash] {
		it.units *= cachedBlockCost
	}
	switch {
	case it.prefill && it.s.priority > entity.NormalPriority:
		e.priorityPrefillQueue = append(e.priorityPrefillQueue, it)
	case it.prefill:
		e.prefillQueue = append(e.prefillQueue, it)
	default:
		e.decodeQueue = append(e.decodeQueue, it)
	}
	if !e.busy {
		e.step()
	}
}

// step starts the next batch.
func (e *engine) step() {
	var batch []workItem
	units := 0.0
	limit := float64(batchUnits)
	if len(e.prefillQueue)+len(e.priorityPrefillQueue) > 0 {
		limit /= 2
	}
	batch, units, e.decodeQueue = fillBatch(batch, units, limit, e.decodeQueue)
	batch, units, e.priorityPrefillQueue = fillBatch(batch, units, batchUnits, e.priorityPrefillQueue)
	batch, units, e.prefillQueue = fillBatch(batch, units, batchUnits, e.prefillQueue)
	if len(e.prefillQueue)+len(e.priorityPrefillQueue) == 0 {
		batch, units, e.decodeQueue = fillBatch(batch, units, batchUnits, e.decodeQueue)
	}
	e.busy = len(batch) > 0 && !e.paused && !e.dead
	if !e.busy {
		return
	}
	full := batchUnits / e.rate
	duration := full * (stepOverhead + (1-stepOverhead)*units/batchUnits) * e.slowdown
	e.sim.after(seconds(duration), func() { e.finish(batch) })
}

// fillBatch moves items from the head of the queue to the batch up to limit units, and drops those of ended streams.
func fillBatch(batch []workItem, units, limit float64, queue []workItem) ([]workItem, float64, []workItem) {
	for len(queue) > 0 {
		it := queue[0]
		if !it.s.ended {
			if units+it.units > limit {
				break
			}
			batch = append(batch, it)
			units += it.units
		}
		queue = queue[1:]
	}
	return batch, units, queue
}

func (e *engine) finish(batch []workItem) {
	if e.dead {
		return
	}
	if e.paused { // the batch completes when the engine resumes
		e.sim.onResume[e.index] = append(e.sim.onResume[e.index], func() { e.finish(batch) })
		return
	}
	for _, it := range batch {
		e.processed += it.units
		if it.hash != 0 {
			e.cache.add(it.hash)
		}
		e.sim.workDone += it.units * float64(e.sim.layersOf(e.index)) / layers
		if !it.s.ended {
			it.s.forward(e, it)
		}
	}
	e.step()
}

// forward sends an item to the next engine. From the last engine it sends the token to the daemon and the item of the
// next token to the first engine.
func (s *stream) forward(e *engine, it workItem) {
	sample := &s.samples[it.hop]
	sample.Step = s.sim.now() - it.receivedAt
	if it.hop+1 < len(s.hops) {
		next := s.hops[it.hop+1]
		sent := s.sim.now()
		it.hop++
		it.units = float64(it.tokens)
		if it.prefill {
			it.units /= promptTokensPerUnit
		}
		s.sim.transfer(e, next, it.tokens, func() {
			sample.Next, sample.Transfer = next.id, s.sim.now()-sent
			next.receive(it)
		})
		return
	}
	if !it.completesToken {
		return
	}
	position := it.position
	s.sim.sendToDaemon(e, s.daemon, func() { s.receiveToken(position) })
	if position+1 >= s.request.output {
		s.release()
		return
	}
	head := s.hops[0]
	s.sim.transfer(e, head, 0, func() {
		head.receive(workItem{s: s, tokens: 1, units: 1, completesToken: true, position: position + 1})
	})
}

// release ends the stream, frees its slots at all engines and admits streams that wait for them.
func (s *stream) release() {
	if s.ended {
		return
	}
	s.ended = true
	for i, e := range s.hops {
		if s.holdsSlot[i] {
			s.holdsSlot[i] = false
			e.usedSlots--
			e.admit()
		}
	}
}

func (e *engine) admit() {
	for len(e.waitingForSlot) > 0 && e.usedSlots < e.slots {
		s := e.waitingForSlot[0]
		e.waitingForSlot = e.waitingForSlot[1:]
		if s.ended {
			continue
		}
		pending := s.pending
		s.pending = nil
		e.usedSlots++
		s.holdsSlot[pending[0].hop] = true
		for _, it := range pending {
			e.enqueue(it)
		}
	}
}

func (e *engine) queued() int {
	n := 0
	for _, s := range e.waitingForSlot {
		if !s.ended {
			n++
		}
	}
	return n
}
