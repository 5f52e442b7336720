package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// limit is the longest time of a case.
const limit = 110 * time.Second

var cases = map[string]func(w *world, trouble bool) (int, error){
	"refused": refusedAfterRun, "entry": foreignEntry, "beat": lateBeat, "crash": foreignEngine, "extra": extraAnswer,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-3 CASE FOLDER")
		return unable
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
		done <- outcome{code, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			w.record("the case could not run: %v", o.err)
			fmt.Fprintln(os.Stderr, o.err)
			return unable
		}
		w.record("exit code %d", o.code)
		return o.code
	case <-stop:
	case <-time.After(limit):
		w.record("the case took too long")
	}
	return unable
}

// set starts the servers of the services, n of each in the zones a, b and c in turn, writes the first manifest and starts
// the daemons.
func (w *world) set(daemons, servers int, services []string, routes ...string) error {
	for _, service := range services {
		for i := range servers {
			if _, err := w.startServer(fmt.Sprintf("i-%s-%d", service, i+1), service, string(rune('a'+i%3))); err != nil {
				return err
			}
		}
	}
	w.store.put("op", "config", manifest(100, routes...))
	if err := w.startDaemons(daemons); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // contactMs and more: all machines are in touch
	return nil
}

// every calls send n times, each in a goroutine of its own, with the given time between two calls, and returns when all have
// returned. It passes the number of the call.
func every(interval time.Duration, n int, send func(i int)) {
	done := make(chan struct{}, n)
	for i := range n {
		go func() {
			send(i)
			done <- struct{}{}
		}()
		time.Sleep(interval)
	}
	for range n {
		<-done
	}
}
