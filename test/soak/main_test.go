// Package soak runs edge daemons as separate processes with an emulated platform, injects faults from outside the
// processes and checks what callers and targets observe. HYSSOPHOIST_SEED and HYSSOPHOIST_STEPS repeat the faults of a
// run, but not the timing of its processes.
package soak

import (
	"os"
	"testing"

	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

// binary is the path of hyssophoistd, which TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(testenv.RunWithDaemon(m, &binary)) }
