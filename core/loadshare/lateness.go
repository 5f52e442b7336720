package loadshare

import (
	"strconv"
	"strings"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/shedding"
)

// countsPrefix and countsSeparator form the key of the counts of a service and rank in Loads. Instances of earlier
// versions pass such entries on and otherwise ignore them.
const (
	countsPrefix    = "late:"
	countsSeparator = "#"
	// maxRanks bounds the ranks that are taken from another instance.
	maxRanks = 64
)

// AddCounts records in l how many generations of a service were offered and late, by rank. Load.Sequences is the number of
// those that were late, Load.Cache of those that were offered.
func (l Loads) AddCounts(service entity.ServiceID, ranks []shedding.Counts) {
	for rank, counts := range ranks {
		if counts != (shedding.Counts{}) {
			key := countsPrefix + string(service) + countsSeparator + strconv.Itoa(rank)
			l[entity.TargetID(key)] = Load{Sequences: int32(counts.Late), Cache: float32(counts.Offered)}
		}
	}
}

// Counts returns the counts of each service by rank.
func (l Loads) Counts() map[entity.ServiceID][]shedding.Counts {
	counts := make(map[entity.ServiceID][]shedding.Counts)
	for id, load := range l {
		key, found := strings.CutPrefix(string(id), countsPrefix)
		if !found {
			continue
		}
		// The name of a service can contain the separator.
		end := max(0, strings.LastIndex(key, countsSeparator))
		service, number := key[:end], strings.TrimPrefix(key[end:], countsSeparator)
		rank, err := strconv.Atoi(number)
		if err != nil || rank < 0 || rank >= maxRanks {
			continue // not written by AddCounts
		}
		ranks := counts[entity.ServiceID(service)]
		for len(ranks) <= rank {
			ranks = append(ranks, shedding.Counts{})
		}
		ranks[rank] = shedding.Counts{Late: int(load.Sequences), Offered: int(load.Cache)}
		counts[entity.ServiceID(service)] = ranks
	}
	return counts
}
