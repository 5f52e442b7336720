package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is a process of the system, started with the command of the deploy file.
type daemon struct {
	name, zone, front, ready, peer, relay, settings string

	process *exec.Cmd
	ended   chan struct{}
	dark    []net.Listener
}

// settingsFile is deploy/edge.json filled in for a small installation. The bounds are those of the site bhadu-dues.
const settingsFile = `{
	"daemon": %q,
	"zone": %q,
	"front": "%[3]s:%[4]d",
	"ready": "%[3]s:%[5]d",
	"peer": "%[3]s:%[6]d",
	"relay": "%[3]s:%[7]d",
	"metrics": "%[3]s:%[8]d",
	"store": {"address": %[9]q, "timeout": "1s"},
	"memory_mb": 284,
	"cpu_share": 0.4,
	"drain_bound": "2000ms",
	"configuration_bound": "2000ms",
	"first_start": true,
	"retries": {"ratio": 0.2, "slack": 196, "span": "10s"},
	"stop_grace": "8s",
}
`

// network is the second octet of the loopback addresses of this run's daemons.
var network = 100 + rand.IntN(100)

const portsOfDaemon = 5

// startDaemon starts a daemon that reaches the store at storeAddress.
func (e *environment) startDaemon(zone, storeAddress string) (*daemon, error) {
	number := len(e.daemons) + 1
	ip := fmt.Sprintf("127.%d.1.%d", network, number)
	var ports [portsOfDaemon]int
	var listeners []net.Listener
	for i := range ports {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	for _, listener := range listeners {
		listener.Close()
	}
	d := &daemon{
		name: fmt.Sprintf("edge-%s-%02d", zone, number), zone: zone, front: fmt.Sprintf("%s:%d", ip, ports[0]),
		ready: fmt.Sprintf("%s:%d", ip, ports[1]), peer: fmt.Sprintf("%s:%d", ip, ports[2]), relay: fmt.Sprintf("%s:%d", ip, ports[3]),
	}
	d.settings = filepath.Join(e.folder, d.name+".json")
	content := fmt.Sprintf(settingsFile, d.name, zone, ip, ports[0], ports[1], ports[2], ports[3], ports[4], storeAddress)
	if err := os.WriteFile(d.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	e.daemons = append(e.daemons, d)
	return d, e.run(d)
}

// run starts the process of a daemon.
func (e *environment) run(d *daemon) error {
	output, err := os.OpenFile(filepath.Join(e.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	d.process, d.ended = exec.Command("target/hyssophoistd", "edge", "--settings", d.settings), make(chan struct{})
	d.process.Dir, d.process.Stdout, d.process.Stderr = e.root, output, output
	if err := d.process.Start(); err != nil {
		close(d.ended)
		return err
	}
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(d.process, d.ended)
	return nil
}

// kill kills the process of a daemon.
func (d *daemon) kill() {
	_ = d.process.Process.Signal(syscall.SIGKILL)
	<-d.ended
}

// restart starts a daemon again after kill, with the settings that the platform then gives it.
func (e *environment) restart(d *daemon) error {
	content, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	content = bytes.Replace(content, []byte(`"first_start": true`), []byte(`"first_start": false`), 1)
	if err := os.WriteFile(d.settings, content, 0o600); err != nil {
		return err
	}
	return e.run(d)
}

// goDark makes the addresses at which the other daemons know a killed one accept connections and never answer, as those of a
// machine that has no power.
func (d *daemon) goDark() error {
	for _, address := range []string{d.peer, d.relay} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		d.dark = append(d.dark, listener)
	}
	return nil
}

// awaitReady waits until all daemons say that they are ready.
func (e *environment) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, d := range e.daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				return errors.New(d.name + " does not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
		e.logf("%s is ready", d.name)
	}
	return nil
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stopDaemons ends all processes that this run has started, and appends their logs to a file if LOGS names a folder.
func (e *environment) stopDaemons() {
	for _, d := range e.daemons {
		d.kill()
		if folder := os.Getenv("LOGS"); folder != "" {
			content, _ := os.ReadFile(filepath.Join(e.folder, d.name+".log"))
			_ = os.WriteFile(filepath.Join(folder, d.name+".log"), content, 0o600)
		}
	}
}

// call is a request of a client.
type call struct {
	id, method, path, body string
	headers                map[string]string
	timeout                time.Duration
}

// answer is what the client got.
type answer struct {
	status      int
	stamp, body string
	err         error
	// complete reports whether the body ended as a complete one does.
	complete bool
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes", a.status, a.stamp, len(a.body))
}

const (
	host = "x.example"
	key  = "key-of-ana"
)

// send sends a request to a daemon and reads the answer.
func send(client *http.Client, d *daemon, c call) answer {
	request, err := http.NewRequest(c.method, "http://"+d.front+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", c.id)
	request.Header.Set("X-Key", key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, stamp: response.Header.Get("X-Server-Stamp"), body: string(body), err: err, complete: err == nil,
	}
}

// newClient returns a client with connections of its own that it keeps open.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second,
	}}
}
