package configsync

import (
	"testing"
	"time"
)

// TestInfrequentListReadsBackOff checks that during an outage of the platform, daemons other than the list reader of
// their zone do not retry as often as that one reads the list.
func TestInfrequentListReadsBackOff(t *testing.T) {
	total := time.Duration(0)
	for failures := 1; failures <= 10; failures++ {
		total += infrequentReadDelay(failures)
	}
	if infrequentReadDelay(0) != infrequentListPeriod || infrequentReadDelay(1) != 2*listPeriod || infrequentReadDelay(100) != infrequentListPeriod {
		t.Errorf("delays are %s, %s and %s", infrequentReadDelay(0), infrequentReadDelay(1), infrequentReadDelay(100))
	}
	if least := 15 * time.Minute; total < least {
		t.Errorf("10 failed reads take %s, want at least %s", total, least)
	}
}
