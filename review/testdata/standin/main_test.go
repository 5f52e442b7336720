// Package standin has the stand-ins of the review. Its test binary runs one case: it starts the project's own daemon as
// separate processes, with the command of the deploy file, between stand-ins for the platform, its store, the servers and
// the clients. It is test code, and so may use the names of the platform's protocol (TestBoundary).
//
// Usage: standin CASE DIRECTORY, in the repository root. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// run is one run of a case.
type run struct {
	record  *record
	dir     string
	trouble bool
	store   *store
	daemons []*daemon
}

var cases = map[string]func(*run) (broken bool, err error){
	"memory":  runMemory,
	"idle":    runIdle,
	"removed": runRemoved,
	"extra":   runExtra,
	"timeout": runTimeout,
}

// TestMain runs the case that the arguments name, in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(2)
	}
	os.Exit(start(os.Args[1], os.Args[2]))
}

func start(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	r := &run{
		record: &record{file: file, started: time.Now()}, trouble: os.Getenv("TROUBLE") != "0",
	}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(r.dir)
	defer func() {
		for _, d := range r.daemons {
			d.kill()
		}
	}()
	r.record.sayf("case %s, trouble %t", name, r.trouble)
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.record.sayf("the case could not run: %v", err)
		return 2
	case broken:
		r.record.sayf("result: the rule was broken")
		return 1
	}
	r.record.sayf("result: the rule held")
	return 0
}

// addDaemon starts a daemon.
func (r *run) addDaemon(storeAddress string, d *daemon) error {
	d, err := newDaemon(r.record, r.dir, storeAddress, d)
	if err == nil {
		r.daemons = append(r.daemons, d)
	}
	return err
}

// awaitReady waits until all daemons are ready.
func (r *run) awaitReady() error {
	for _, d := range r.daemons {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
