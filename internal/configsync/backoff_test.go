package configsync

import (
	"testing"
	"time"
)

// Guards against daemons that retry the rare read of the instance list at the rate of its often reader during an outage.
func TestSlowListReadsBackOff(t *testing.T) {
	total := time.Duration(0)
	for failures := 1; failures <= 10; failures++ {
		total += slowReadDelay(failures)
	}
	if slowReadDelay(0) != slowListPeriod || slowReadDelay(1) != 2*listPeriod || slowReadDelay(100) != slowListPeriod {
		t.Errorf("pauses are %s, %s and %s", slowReadDelay(0), slowReadDelay(1), slowReadDelay(100))
	}
	if least := 15 * time.Minute; total < least {
		t.Errorf("10 failed reads take %s, want at least %s", total, least)
	}
}
