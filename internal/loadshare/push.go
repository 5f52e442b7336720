package loadshare

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
)

const pushCall = "LoadShare.Push"

// Push answers the collector of the same zone.
func (s rpcService) Push(args *PushArgs, reply *PushReply) error {
	return s.sharer.handlePush(args, reply)
}

func (s *Sharer) handlePush(args *PushArgs, reply *PushReply) error {
	tables := s.options.Tables
	if tables == nil || args.From.Zone != s.options.Self.Zone {
		return fmt.Errorf("instance %s takes no changes from %s", s.options.Self.ID, args.From.ID)
	}
	batches, err := unpackBatches(args.Packed)
	if err != nil {
		return fmt.Errorf("decode changes from %s: %w", args.From.ID, err)
	}
	tables.Offer(batches)
	reply.States = tables.States()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.collectorID == args.From.ID && s.collectorStates != nil {
		recordSent(batches.Configuration, &s.collectorStates.Configuration)
		recordSent(batches.Targets, &s.collectorStates.Targets)
	}
	return nil
}

// recordSent updates the state of another instance's copy by a batch that it has sent.
func recordSent(batch *tablecache.Batch, state *tablecache.State) {
	if batch != nil && batch.Version >= state.Version {
		*state = tablecache.State{Loaded: true, Version: batch.Version, Age: batch.Age, Failing: batch.FailingFor > 0}
	}
}

// TablesChanged makes this instance pass on changes of the store's tables, or failed reads, at once: to the members of
// its zone if it is the collector, else to the collector.
func (s *Sharer) TablesChanged() {
	select {
	case s.changed <- struct{}{}:
	default: // the changes are passed on together with earlier ones
	}
}

func (s *Sharer) pushChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			s.pushToZone(ctx)
		}
	}
}

// pushToZone sends changes to the members that lack them. A reader that is not the collector has the collector pass
// them on.
func (s *Sharer) pushToZone(ctx context.Context) {
	tables := s.options.Tables
	if tables == nil {
		return
	}
	if !s.isCollector() {
		if tables.Reader() {
			s.Announce()
		}
		return
	}
	var calls sync.WaitGroup
	for states, members := range s.membersByStates() {
		batches := tables.News(states)
		if !batches.isUrgent() {
			continue
		}
		packed, err := batches.pack()
		if err != nil {
			log.Errorf("failed to encode changes of the store's tables: %v", err)
			return
		}
		for _, member := range members {
			calls.Go(func() { s.push(ctx, member, packed) })
		}
	}
	calls.Wait()
}

// membersByStates groups the members in contact by the states of their copies as far as this instance knows. The age of
// a copy is left out, since confirmations alone are not pushed.
func (s *Sharer) membersByStates() map[TableStates][]loadshare.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := make(map[TableStates][]loadshare.Member)
	for _, member := range s.table.InContact(time.Now()) {
		if states, known := s.memberStates[member.ID]; known {
			states.Configuration.Age, states.Targets.Age = 0, 0
			groups[states] = append(groups[states], member)
		}
	}
	return groups
}

// push sends changes to a member. After a failed call the member gets them with its next message.
func (s *Sharer) push(ctx context.Context, member loadshare.Member, packed []byte) {
	var reply PushReply
	args := &PushArgs{From: s.options.Self, Packed: packed}
	if err := s.client.Call(ctx, member.Address, pushCall, args, &reply); err != nil {
		log.Debugf("failed to push changes to %s: %v", member.ID, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memberStates[member.ID] = reply.States
}
