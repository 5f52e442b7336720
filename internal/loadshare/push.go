package loadshare

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/loadshare"
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
	tables.Offer(args.Batches)
	reply.States = tables.States()
	return nil
}

// TablesChanged makes this instance pass on changes of the store's tables at once: to the members of its zone if it is the
// collector, else to the collector.
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

// pushToZone sends changes to the members that lack them. A reader that is not the collector has the collector pass them on.
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
	s.mu.Lock()
	members := s.table.InContact(time.Now())
	batches := make([]TableBatches, len(members))
	for i, member := range members {
		if states, known := s.memberStates[member.ID]; known {
			batches[i] = tables.News(states)
		}
	}
	s.mu.Unlock()
	var calls sync.WaitGroup
	for i, member := range members {
		if batches[i].hasRows() {
			calls.Go(func() { s.push(ctx, member, batches[i]) })
		}
	}
	calls.Wait()
}

// push sends changes to a member. After a failed call the member gets them with its next message.
func (s *Sharer) push(ctx context.Context, member loadshare.Member, batches TableBatches) {
	var reply PushReply
	args := &PushArgs{From: s.options.Self, Batches: batches}
	if err := s.client.Call(ctx, member.Address, pushCall, args, &reply); err != nil {
		log.Debugf("failed to push changes to %s: %v", member.ID, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memberStates[member.ID] = reply.States
}
