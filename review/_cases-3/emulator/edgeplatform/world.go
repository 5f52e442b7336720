// Command edgeplatform runs one case of the third review: it starts the edge daemons as the deploy file does, stands in for the
// platform, the servers and the clients, and judges what these have seen.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is a request that a server has begun to work on.
type run struct {
	server *server
	at     time.Time
	what   string
}

// world holds what stands around the daemons, and what it has seen.
type world struct {
	began   time.Time
	store   *store
	servers []*server
	engines []*engine
	daemons []*daemon
	scratch string

	mu       sync.Mutex
	log      *os.File
	runs     map[string][]run
	arrivals []arrival
	answers  map[string]serverAnswer
	requests int
}

// arrival is a request that has reached a server, run or not.
type arrival struct {
	server   *server
	id       string
	expected string
	at       time.Time
}

func newWorld(folder string) (*world, error) {
	log, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), log: log, scratch: scratch, runs: make(map[string][]run), answers: make(map[string]serverAnswer)}
	w.store, err = newStore()
	return w, err
}

// record writes a line with the time since the start to record.txt.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.log, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) addArrival(s *server, id, expected string) {
	w.record("request %s reaches server %s of %s, meant for %s", id, s.id, s.service, expected)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, arrival{server: s, id: id, expected: expected, at: time.Now()})
}

func (w *world) addRun(s *server, id, what, body string) {
	w.record("server %s of %s runs request %s: %s %q", s.id, s.service, id, what, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], run{server: s, at: time.Now(), what: what})
}

func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs[id]...)
}

// daemon is a machine of the system with its process.
type daemon struct {
	name, zone, ip string
	front, ready   string
	ports          []int
	file           string
	output         *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the present process has ended. ends counts the processes that have ended by themselves.
	ended   chan struct{}
	ends    int
	closing bool
}

// restartDelay is how long after the end of a process the platform starts another one.
const restartDelay = 500 * time.Millisecond

// start starts a process of the daemon with the command of the deploy file, and starts another one each time it ends.
func (w *world) start(d *daemon, bootstrap bool) error {
	content, err := w.settings(d, bootstrap)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.file, content, 0o600); err != nil {
		return err
	}
	binary, err := filepath.Abs("target/hyssophoistd")
	if err != nil {
		return err
	}
	command := exec.Command(binary, "edge", "--settings", d.file)
	command.Stdout, command.Stderr = d.output, d.output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.command, d.ended = command, ended
	go func() {
		err := command.Wait()
		d.mu.Lock()
		closing := d.closing
		if !closing {
			d.ends++
		}
		d.mu.Unlock()
		close(ended)
		if closing {
			return
		}
		w.record("the process of %s has ended by itself: %v", d.name, err)
		time.Sleep(restartDelay)
		if err := w.start(d, false); err != nil {
			w.record("%s cannot be started again: %v", d.name, err)
		}
	}()
	return nil
}

// stop ends the daemon's process and waits for its end.
func (d *daemon) stop() {
	d.mu.Lock()
	d.closing = true
	command, ended := d.command, d.ended
	d.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

// settings returns the template of the deploy file, filled in for a daemon.
func (w *world) settings(d *daemon, bootstrap bool) ([]byte, error) {
	template, err := os.ReadFile("deploy/edge.json")
	if err != nil {
		return nil, err
	}
	ports := d.ports
	values := map[string]any{
		"node": d.name, "zone": d.zone, "listen.front": d.front, "listen.ready": d.ready, "ip": d.ip,
		"internalPorts.0": ports[2], "internalPorts.1": ports[3], "platform.addr": w.store.addr, "limits.memoryMb": 284,
		"limits.cpuShare": 0.4, "bounds.drainMs": 2000, "bounds.configMs": 2000, "bootstrap": bootstrap, "bounds.retryRatio": 0.2,
		"bounds.retrySlack": 196, "bounds.retryWindowS": 10, "bounds.graceS": 8,
	}
	text := string(template)
	for name, value := range values {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(encoded))
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprint(value))
	}
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template has unknown names:\n%s", text)
	}
	return []byte(text), nil
}

// freePorts returns n ports that are free on an address.
func freePorts(ip string, n int) (ports []int, err error) {
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startDaemons starts n daemons in the zones a, b and c in turn, each on a loopback address of its own, and waits until they
// are ready.
func (w *world) startDaemons(n int) error {
	for i := range n {
		zone := string(rune('a' + i%3))
		d := &daemon{
			name: fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone: zone,
			ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%250, 10+i),
		}
		ports, err := freePorts(d.ip, 4)
		if err != nil {
			return err
		}
		d.ports, d.file = ports, filepath.Join(w.scratch, d.name+".json")
		d.front, d.ready = fmt.Sprintf("%s:%d", d.ip, ports[0]), fmt.Sprintf("%s:%d", d.ip, ports[1])
		if d.output, err = os.Create(filepath.Join(w.scratch, d.name+".log")); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := w.start(d, true); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.awaitReady(15 * time.Second); err != nil {
			return err
		}
		w.record("daemon %s is ready", d.name)
	}
	return nil
}

func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + d.ready + "/api/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready", d.name)
}

// close ends all daemons and removes what was written outside the folder of the case.
func (w *world) close() {
	for _, d := range w.daemons {
		d.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.scratch)
	}
	w.log.Close()
}

// host is the host of all routes, key the API key of the only tenant.
const (
	host = "shop.example"
	key  = "k-0123456789abcdef"
)

// manifest returns a manifest with a route for each entry of routes, NAME:KIND:SERVICE; its prefix is /NAME/.
func manifest(version int, routes ...string) map[string]any {
	services := map[string]bool{}
	var wireRoutes, wireServices []any
	for _, text := range routes {
		f := strings.Split(text, ":")
		attempts := 2
		if f[1] == "non_idempotent" {
			attempts = 1
		}
		route := map[string]any{
			"name": f[0], "host": host, "prefix": "/" + f[0] + "/", "routeKind": f[1], "service": f[2], "timeoutMs": 5000,
			"goalMs": 300, "priority": 2, "maxAttempts": attempts, "public": false,
		}
		if f[1] == "streaming" {
			route["sticky"], route["resumable"], route["gapGoalMs"] = true, true, 200
		}
		wireRoutes = append(wireRoutes, route)
		if !services[f[2]] {
			services[f[2]] = true
			service := map[string]any{"name": f[2], "maxConns": 48, "healthPath": "/healthz"}
			if f[2] == "llm" {
				service = llmService()
			}
			wireServices = append(wireServices, service)
		}
	}
	return map[string]any{
		"version": version, "routes": wireRoutes, "services": wireServices,
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{key}}},
		"limits": map[string]any{
			"maxHeaderBytes": 8192, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000,
		},
	}
}

// reply is what a client got.
type reply struct {
	id     string
	status int // 0 if the connection ended without an answer
	stamp  string
	body   string
	err    error
}

// send sends a request to a daemon on a new connection, as a client does.
func (w *world) send(d *daemon, method, path, body string, timeout time.Duration) reply {
	w.mu.Lock()
	w.requests++
	id := fmt.Sprintf("%06x", w.requests)
	w.mu.Unlock()
	request, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{id: id, err: err}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Key", key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	w.record("client sends %s to %s: %s %s %q", id, d.name, method, path, body)
	response, err := client.Do(request)
	if err != nil {
		w.record("client gets no answer to %s: %v", id, err)
		return reply{id: id, err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	r := reply{id: id, status: response.StatusCode, stamp: response.Header.Get("X-Server-Stamp"), body: string(content), err: err}
	w.record("client gets %d to %s, proof %q, body %q", r.status, id, r.stamp, r.body)
	return r
}
