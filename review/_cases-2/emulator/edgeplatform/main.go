// Command cases plays the scripted cases of the second review: it starts the project's daemon as separate processes
// between stand-ins of the platform's store, of servers and of clients, and checks one rule of the users' pages.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	caseTimeout = 115 * time.Second
)

// begunAt is the origin of the times in the record.
var begunAt = time.Now()

// record writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  ", time.Since(begunAt).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// environment is what a case gets.
type environment struct {
	*record
	// root is the root of the checkout, folder a temporary folder.
	root, folder string
	// trouble reports whether the disruption takes place.
	trouble bool
	daemons []*daemon
}

var cases = map[string]func(*environment) (broken bool, err error){
	"silent-store-connections": silentStoreConnections,
	"late-second-answer":       lateSecondAnswer,
	"replaced-machines":        replacedMachines,
	"memory-in-bursts":         memoryInBursts,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &environment{record: &record{file: file}, root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	defer e.stopDaemons()
	done := make(chan int, 1)
	go func() {
		broken, err := cases[os.Args[1]](e)
		switch {
		case err != nil:
			e.logf("could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			done <- exitNotRun
		case broken:
			done <- exitBroken
		default:
			done <- exitHeld
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-done:
		return code
	case <-stopped:
		return exitNotRun
	case <-time.After(caseTimeout):
		e.logf("could not run: out of time")
		return exitNotRun
	}
}
