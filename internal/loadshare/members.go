package loadshare

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

const (
	// listPeriod is the mean time between two reads of the list of instances by the collector of a zone. Instances also
	// learn of new ones from each other. startListPeriod is the time between the first two reads.
	listPeriod      = 20 * time.Second
	startListPeriod = 2 * time.Second
	listRetryDelay  = time.Second
	listLimit       = 500
	storeTimeout    = time.Second
	// relistSpread is the time over which all instances check their entries after the store was restored.
	relistSpread = time.Second

	instancesTable = "instances"
)

// syncMembers adds this instance to the list of instances in the store and reads the list. While this instance is the
// collector of its zone, it reads the list again at intervals until ctx is done; the other members learn of new
// instances from the collector. A collector reads it soon after its start, since instances that started at the same
// time may not have been listed yet.
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
		case <-s.restored:
			registered = false
			timing.Sleep(ctx, time.Duration(rand.Float64()*float64(relistSpread)))
		}
	}
}

// StoreRestored makes this instance write its entry again if the list of instances lacks it: the store has come back from
// an older copy of its content.
func (s *Sharer) StoreRestored() {
	select {
	case s.restored <- struct{}{}:
	default: // the entry is about to be checked
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
	switch {
	case !errors.As(err, &conflict):
		return err
	case s.isListedAs(conflict.Row):
		return nil
	}
	return s.writeEntry(ctx, conflict.Row.Version)
}

// isListedAs reports whether a row lists this instance as it is. The incarnation may be that of an earlier process:
// other instances learn of the present one by its messages.
func (s *Sharer) isListedAs(row platformapi.Row) bool {
	listed, err := decodeMember(row)
	listed.Incarnation = s.options.Self.Incarnation
	return err == nil && listed == s.options.Self
}

// decodeMember decodes a row of the list of instances.
func decodeMember(row platformapi.Row) (loadshare.Member, error) {
	var member loadshare.Member
	if err := json.Unmarshal(row.Value, &member); err != nil {
		return loadshare.Member{}, err
	}
	if member.ID == "" {
		return loadshare.Member{}, errors.New("the entry has no id")
	}
	return member, nil
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
		member, err := decodeMember(row)
		if err != nil {
			log.Event("entry is no instance", "key", row.Key, "error", err.Error())
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
