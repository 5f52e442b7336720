// Package linkshare shares the links between availability zones among the instances of a deployment.
//
// It answers the load of many prompts that cross zones at once, because engines of a zone are lost or full. A link
// transfers the activations of one prompt after another, and those of requests whose callers have left in the meantime
// too. One that is offered more than it carries therefore serves none of its prompts within the time that callers wait,
// until long after the load. Each instance starts no more than its share, and has to serve or refuse the rest otherwise.
//
// The package does no I/O and reads no clock; callers pass the time in.
package linkshare

import (
	"maps"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// usableShare is the fraction of a link that prompts may take. The rest carries the tokens of the running
	// generations, and lets a queue of prompts drain.
	usableShare = 0.7
	// maxCredit is the transfer time that all instances together may start at once on a link that was unused.
	maxCredit = 750 * time.Millisecond
	// contenderTTL is how long an instance shares a link after a prompt for which it wanted the link.
	contenderTTL = 2 * time.Second
)

// Link is the link from one availability zone to another.
type Link struct{ From, To entity.ZoneID }

// Limiter limits the prompts that one instance sends over the links. It is not safe for concurrent use.
type Limiter struct {
	// Random, if set, returns random numbers in [0, 1). They spread the first prompts of instances that begin to use a
	// link at the same time.
	Random func() float64

	links map[Link]*share
	// others is the number of other instances that share each link.
	others map[Link]int
}

// share is the share of this instance in a link.
type share struct {
	// credit is the transfer time that this instance may start, as of updatedAt. It is negative after a prompt that
	// took more than was left.
	credit    time.Duration
	updatedAt time.Time
	// wantedAt is when this instance last wanted to use the link.
	wantedAt time.Time
}

// Allows reports whether a prompt that occupies the link for the given time may be sent over it at time now. Allows
// counts this instance as one that shares the link. A generation that has begun may use one prompt of the share to come.
func (l *Limiter) Allows(now time.Time, link Link, transfer time.Duration, begun bool) bool {
	s := l.links[link]
	if s == nil {
		if l.links == nil {
			l.links = make(map[Link]*share)
		}
		s = &share{credit: maxCredit, updatedAt: now}
		l.links[link] = s
	}
	if now.Sub(s.wantedAt) >= contenderTTL && l.Random != nil {
		s.credit, s.updatedAt = s.creditAt(now, l.Contenders(link))-time.Duration(l.Random()*float64(transfer)), now
	}
	s.wantedAt = now
	least := time.Duration(0)
	if begun {
		least = -transfer
	}
	return s.creditAt(now, l.Contenders(link)) > least
}

// Closed returns the links over which no prompt may be sent at time now.
func (l *Limiter) Closed(now time.Time) map[Link]bool {
	closed := make(map[Link]bool)
	for link, s := range l.links {
		if s.creditAt(now, l.Contenders(link)) <= 0 {
			closed[link] = true
		}
	}
	return closed
}

// Take counts a prompt that is sent over the link after Allows.
func (l *Limiter) Take(now time.Time, link Link, transfer time.Duration) {
	if s := l.links[link]; s != nil {
		s.credit, s.updatedAt = s.creditAt(now, l.Contenders(link))-transfer, now
	}
}

// Wanted returns the links that this instance has recently wanted to use.
func (l *Limiter) Wanted(now time.Time) (links []Link) {
	for link, s := range l.links {
		if now.Sub(s.wantedAt) < contenderTTL {
			links = append(links, link)
		}
	}
	return links
}

// SetOthers sets the number of other instances that share each link.
func (l *Limiter) SetOthers(now time.Time, others map[Link]int) {
	for link, s := range l.links {
		s.credit, s.updatedAt = s.creditAt(now, l.Contenders(link)), now
	}
	l.others = others
}

// Contenders returns the number of instances that share the link, including this one.
func (l *Limiter) Contenders(link Link) int { return 1 + l.others[link] }

// creditAt returns the credit at time now.
func (s *share) creditAt(now time.Time, contenders int) time.Duration {
	earned := time.Duration(usableShare * float64(now.Sub(s.updatedAt)) / float64(contenders))
	return min(maxCredit/time.Duration(contenders), s.credit+earned)
}

// Clone returns a copy that changes independently of the limiter.
func (l *Limiter) Clone() Limiter {
	clone := Limiter{Random: l.Random, others: maps.Clone(l.others)}
	if l.links != nil {
		clone.links = make(map[Link]*share, len(l.links))
	}
	for link, s := range l.links {
		copied := *s
		clone.links[link] = &copied
	}
	return clone
}
