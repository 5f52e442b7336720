package testenv

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// daemonPackage is the main package of the daemons.
const daemonPackage = "github.com/hyssophoist/hyssophoist/cmd/hyssophoistd"

// RunWithDaemon builds hyssophoistd, stores the path of the binary in binary, runs the tests of m and removes the
// binary. It returns the exit code.
func RunWithDaemon(m *testing.M, binary *string) int {
	directory, err := os.MkdirTemp("", "hyssophoist-test")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	*binary = filepath.Join(directory, "hyssophoistd")
	build := exec.Command("go", "build", "-o", *binary, daemonPackage)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1 // go build has printed the reason
	}
	return m.Run()
}
