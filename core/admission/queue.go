// Package admission decides which waiting request is served next and which requests are refused early.
package admission

import (
	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Item is one waiting request.
type Item struct {
	Request  entity.RequestID
	Account  entity.AccountID
	Priority entity.Priority
	// Work is the expected work of the request, in tokens.
	Work float64
}

// Queue is a start-time fair queue over client accounts. Each account gets capacity in proportion to its weight
// while it has requests waiting; within an account, higher priorities go first and equal ones in order of arrival.
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
	// start is the virtual time at which the account's next request starts.
	virtualStart float64
	waiting      [3][]Item // by priority, highest first
	count        int
	work         float64 // waiting, in tokens
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{accounts: make(map[entity.AccountID]*account)}
}

// SetWeight sets the share of an account relative to others. A weight that is not positive counts as 1.
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

// Decision says what became of a request that Take offered.
type Decision int

// The decisions. Started requests are charged to their account; dropped ones leave the queue without a charge.
const (
	Blocked Decision = iota
	Started
	Dropped
)

// Take offers the waiting requests to start in fair order. start must not change the queue. An account whose next request cannot start is passed
// over for the rest of the call, so that a request for a busy model does not hold up the other accounts.
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

// next returns the account with the earliest virtual start.
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

// dropped updates the counts after one request of a has left.
func (q *Queue) removed(a *account, item Item) {
	a.count--
	a.work -= item.Work
	q.length--
	if a.count > 0 {
		return
	}
	a.work = 0 // drops rounding errors
	for i := range q.active {
		if q.active[i] == a {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// Remove drops a waiting request without charging its account. It reports whether the request was waiting.
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
