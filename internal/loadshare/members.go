package loadshare

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const (
	// listPeriod is the mean time between two reads of the list of instances by the collector of a zone. Instances also
	// learn of new ones from each other. startListPeriod is the time between the first two reads.
	listPeriod      = 20 * time.Second
	startListPeriod = 2 * time.Second
	listRetryDelay  = time.Second
	listLimit       = 500
	storeTimeout    = time.Second

	instancesTable = "instances"
)

// syncMembers adds this instance to the list of instances in the store and reads the list. While this instance is the
// collector of its zone, it reads the list again at intervals until ctx is done; the other members learn of new instances
// from the collector. A collector reads it soon after its start, since instances that started at the same time may not have
// been listed yet.
func (s *Sharer) syncMembers(ctx context.Context) {
	registered, read := false, false
	for ctx.Err() == nil {
		wait := time.Duration(float64(listPeriod) * (0.75 + 0.5*rand.Float64()))
		if !read {
			wait = startListPeriod
		}
		if !registered {
			err := s.register(ctx)
			if registered = err == nil; !registered {
				log.Event("instance not listed, trying again", "instance", s.options.Self.ID, "error", err.Error())
			}
		}
		if (!read || s.isCollector()) && !s.readMembers(ctx) || !registered {
			wait = listRetryDelay
		} else if !read {
			read = true
			s.Announce() // the first exchange brings the tables of the store
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (s *Sharer) isCollector() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Collector(time.Now()).ID == s.options.Self.ID
}

// register writes the entry of this instance.
func (s *Sharer) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := s.writeEntry(ctx, 0)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		// The row is that of an earlier process, or of this one if the response to an earlier write was lost.
		err = s.writeEntry(ctx, conflict.Row.Version)
	}
	return err
}

// writeEntry writes the entry of this instance if its row has the given version; 0 means that there is none.
func (s *Sharer) writeEntry(ctx context.Context, version uint64) error {
	write, err := platform.NewWrite(instancesTable, string(s.options.Self.ID), version, s.options.Self)
	if err != nil {
		return err
	}
	_, err = s.options.Table.Commit(ctx, write)
	return err
}

// readMembers reads the list of instances and reports whether the store answered.
func (s *Sharer) readMembers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := s.options.Table.List(ctx, instancesTable, "", "", listLimit)
	if err != nil {
		return false
	}
	var members []loadshare.Member
	for _, row := range rows {
		var member loadshare.Member
		if err := json.Unmarshal(row.Value, &member); err != nil || member.ID == "" {
			log.Event("entry is no instance", "key", row.Key)
			continue
		}
		members = append(members, member)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Add(members...)
	for _, removed := range s.table.RemoveExpired(time.Now()) {
		delete(s.memberStates, removed.ID)
	}
	return true
}
