package configsync

import (
	"testing"
	"time"
)

// TestSlowListReadsBackOff checks that during an outage of the platform, daemons other than the list reader of their
// zone do not retry as often as that one reads the list.
func TestSlowListReadsBackOff(t *testing.T) {
	total := time.Duration(0)
	for failures := 1; failures <= 10; failures++ {
		total += slowReadDelay(failures)
	}
	if slowReadDelay(0) != slowListPeriod || slowReadDelay(1) != 2*listPeriod || slowReadDelay(100) != slowListPeriod {
		t.Errorf("delays are %s, %s and %s", slowReadDelay(0), slowReadDelay(1), slowReadDelay(100))
	}
	if least := 15 * time.Minute; total < least {
		t.Errorf("10 failed reads take %s, want at least %s", total, least)
	}
}
