// Package soak runs edge daemons as separate processes with an emulated platform, injects faults from outside the
// processes and checks what callers and targets observe. HYSSOPHOIST_SEED and HYSSOPHOIST_STEPS repeat the faults of a
// run, but not the timing of its processes.
package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of hyssophoistd, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "hyssophoist-soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(directory, "hyssophoistd")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/hyssophoistd")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(directory)
	os.Exit(code)
}
