package linkshare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	link  = Link{From: "a", To: "b"}
)

const (
	// transferTime is how long a prompt occupies the link, maxWait how long callers wait for the first event.
	transferTime = 33 * time.Millisecond
	maxWait      = 2 * time.Second
	instances    = 75
	exchange     = 500 * time.Millisecond
)

// play offers a link the given numbers of prompts per second, one number for each second, from instances that exchange
// what they share, and returns the longest wait of a prompt and the share of the time in which the link was in use, for
// each second. The link goes on with all prompts that were sent.
func play(limited bool, perSecond []int) (waits []time.Duration, used []float64) {
	random := rand.New(rand.NewPCG(1, 1))
	limiters := make([]Limiter, instances)
	for i := range limiters {
		limiters[i].Random = random.Float64
	}
	waits, used = make([]time.Duration, len(perSecond)), make([]float64, len(perSecond))
	free, nextExchange := start, start
	for second, prompts := range perSecond {
		for i := range prompts {
			now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(prompts))
			for ; !now.Before(nextExchange); nextExchange = nextExchange.Add(exchange) {
				exchangeLinks(limiters, nextExchange)
			}
			limiter := &limiters[random.IntN(instances)]
			if !limiter.Allows(now, link, transferTime, false) && limited {
				continue
			}
			limiter.Take(now, link, transferTime)
			if free.Before(now) {
				free = now
			}
			waits[second] = max(waits[second], free.Sub(now))
			free = free.Add(transferTime)
			used[second] += transferTime.Seconds()
		}
	}
	return waits, used
}

func exchangeLinks(limiters []Limiter, now time.Time) {
	contenders := 0
	for i := range limiters {
		contenders += len(limiters[i].Wanted(now))
	}
	for i := range limiters {
		limiters[i].SetOthers(now, map[Link]int{link: max(0, contenders-len(limiters[i].Wanted(now)))})
	}
}

// TestOverloadedLinkStaysUsable guards against a link whose queue becomes longer than callers wait, so that it serves nobody.
func TestOverloadedLinkStaysUsable(t *testing.T) {
	load := []int{100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 5, 5, 5, 5}
	waits, used := play(true, load)
	for second := range load {
		if waits[second] >= maxWait {
			t.Errorf("second %d: a prompt waits %v", second, waits[second])
		}
		if second >= 6 && second < 10 && (waits[second] > 500*time.Millisecond || used[second] < 0.4) {
			t.Errorf("second %d: waits of %v, %.0f %% used", second, waits[second], 100*used[second])
		}
	}
	before, _ := play(false, load)
	t.Logf("longest wait of each second: limited %v, without a limit %v", waits, before)
	if before[13] < maxWait {
		t.Errorf("without a limit a prompt waits %v: the load is too small for this test", before[13])
	}
}

// TestLinkWithRoomIsNotLimited guards against prompts that may not cross zones although the link has room.
func TestLinkWithRoomIsNotLimited(t *testing.T) {
	load := []int{6, 6, 6, 6, 6, 6, 6, 6}
	_, used := play(true, load)
	for second, u := range used {
		if sent := int(math.Round(u / transferTime.Seconds())); sent < load[second] {
			t.Errorf("second %d: %d of %d prompts sent", second, sent, load[second])
		}
	}
}

// TestOneInstanceGetsWholeShare guards against a share that is kept for instances that do not want the link.
func TestOneInstanceGetsWholeShare(t *testing.T) {
	var limiter Limiter
	sent := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if limiter.Allows(now, link, transferTime, false) {
			limiter.Take(now, link, transferTime)
			sent++
		}
	}
	if used := float64(sent) * transferTime.Seconds() / 60; used < 0.9*usableShare || used > 1.1*usableShare {
		t.Errorf("%.2f of the link used, want about %v", used, usableShare)
	}
}

// TestBegunGenerationsComeFirst guards against begun generations that are not moved to other engines because new ones have
// used up the share of a link, and against begun ones that overload it.
func TestBegunGenerationsComeFirst(t *testing.T) {
	var limiter Limiter
	for limiter.Allows(start, link, transferTime, false) {
		limiter.Take(start, link, transferTime)
	}
	begun := 0
	for ; limiter.Allows(start, link, transferTime, true); begun++ {
		limiter.Take(start, link, transferTime)
	}
	if begun != 1 {
		t.Errorf("%d begun generations sent, want 1", begun)
	}
}
