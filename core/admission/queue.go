// Package admission orders waiting requests by weighted fair queueing, and provides the wait estimates and eviction
// candidates by which requests are rejected early.
package admission

import (
	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Item is a waiting request.
type Item struct {
	Request  entity.RequestID
	Account  entity.AccountID
	Priority entity.Priority
	// Work is the expected work of the request, in tokens.
	Work float64
}

// Queue implements start-time fair queueing (SFQ) over client accounts. Each account with waiting requests gets
// capacity in proportion to its weight. Within an account, requests are ordered by priority, then by arrival.
// It is not safe for concurrent use.
type Queue struct {
	accounts map[entity.AccountID]*account
	// active holds the accounts with waiting requests, in order of activation.
	active      []*account
	virtualTime float64
	length      int
}

type account struct {
	id     entity.AccountID
	weight float64
	// virtualStart is the virtual start time of the account's next request.
	virtualStart float64
	waiting      [3][]Item // by priority, highest first
	count        int
	work         float64 // total of the waiting requests, in tokens
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{accounts: make(map[entity.AccountID]*account)}
}

// SetWeight sets the weight of an account. The default is 1, which also replaces a weight that is not positive.
func (q *Queue) SetWeight(id entity.AccountID, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	q.account(id).weight = weight
}

func (q *Queue) account(id entity.AccountID) *account {
	a, ok := q.accounts[id]
	if !ok {
		a = &account{id: id, weight: 1}
		q.accounts[id] = a
	}
	return a
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// AccountLen returns the number of waiting requests of one account.
func (q *Queue) AccountLen(id entity.AccountID) int {
	if a, ok := q.accounts[id]; ok {
		return a.count
	}
	return 0
}

func priorityClass(priority entity.Priority) int {
	switch {
	case priority > entity.NormalPriority:
		return 0
	case priority < entity.NormalPriority:
		return 2
	default:
		return 1
	}
}

// Push adds a request to the queue.
func (q *Queue) Push(item Item) {
	a := q.account(item.Account)
	if a.count == 0 {
		a.virtualStart = max(a.virtualStart, q.virtualTime)
		q.active = append(q.active, a)
	}
	c := priorityClass(item.Priority)
	a.waiting[c] = append(a.waiting[c], item)
	a.count++
	a.work += item.Work
	q.length++
}

// Decision is the result of offering a request to the callback of Dispatch.
type Decision int

// Blocked requests stay in the queue. Started requests leave it and are charged to their account; dropped requests
// leave it without a charge.
const (
	Blocked Decision = iota
	Started
	Dropped
)

// Dispatch calls start for the waiting requests in fair order. start must not modify the queue. An account whose next
// request is blocked is skipped for the rest of the call, so that a request for a busy model does not block the other
// accounts.
func (q *Queue) Dispatch(start func(Item) Decision) {
	skipped := make(map[*account]bool)
	for {
		a := q.next(skipped)
		if a == nil {
			return
		}
		item, c := a.head()
		decision := start(item)
		if decision == Blocked {
			skipped[a] = true
			continue
		}
		if decision == Started {
			q.virtualTime = max(q.virtualTime, a.virtualStart)
			a.virtualStart += item.Work / a.weight
		}
		a.waiting[c] = a.waiting[c][1:]
		q.removed(a, item)
	}
}

// next returns the account with the earliest virtual start time, without the skipped ones, or nil if there is none.
func (q *Queue) next(skipped map[*account]bool) *account {
	var best *account
	for _, a := range q.active {
		if !skipped[a] && (best == nil || a.virtualStart < best.virtualStart) {
			best = a
		}
	}
	return best
}

func (a *account) head() (Item, int) {
	for c := range a.waiting {
		if len(a.waiting[c]) > 0 {
			return a.waiting[c][0], c
		}
	}
	return Item{}, 0
}

// removed updates the totals after a request of a was removed from the queue. An account without waiting requests
// becomes inactive.
func (q *Queue) removed(a *account, item Item) {
	a.count--
	a.work -= item.Work
	q.length--
	if a.count > 0 {
		return
	}
	a.work = 0 // clears accumulated rounding errors
	for i := range q.active {
		if q.active[i] == a {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// Remove removes a waiting request without charging its account. It reports whether the request was waiting.
func (q *Queue) Remove(id entity.AccountID, request entity.RequestID) bool {
	a, ok := q.accounts[id]
	if !ok {
		return false
	}
	for c := range a.waiting {
		for i := range a.waiting[c] {
			if item := a.waiting[c][i]; item.Request == request {
				a.waiting[c] = append(a.waiting[c][:i:i], a.waiting[c][i+1:]...)
				q.removed(a, item)
				return true
			}
		}
	}
	return false
}
