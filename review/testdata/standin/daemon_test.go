package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) writef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes to record.txt and to the standard output.
func (r *record) sayf(format string, args ...any) {
	r.writef(format, args...)
	fmt.Printf(format+"\n", args...)
}

// daemon is a process of the project under the platform's care: it is started with the command of the deploy file,
// killed if it exceeds its memory, and started again after it has ended.
type daemon struct {
	name, zone   string
	front, ready string
	settings     string
	dir          string
	memoryMB     int
	limitMemory  bool
	maxFiles     int  // limit of descriptors of the process; 0 for none
	keepProbe    bool // whether the platform asks for readiness on a connection that it keeps
	record       *record

	mu         sync.Mutex
	process    *os.Process
	done       bool
	isReady    bool
	peakKB     int
	memoryEnds int
	otherEnds  int
	killed     bool
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)(\|json)?\}\}`)

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newDaemon fills in deploy/edge.json and starts the process.
func newDaemon(rec *record, dir, storeAddress string, d *daemon) (*daemon, error) {
	d.record, d.dir = rec, dir
	name, zone, memoryMB := d.name, d.zone, d.memoryMB
	// Each daemon has a loopback address of its own, so that the ports of several daemons cannot collide.
	n, _ := strconv.Atoi(name[strings.LastIndex(name, "-")+1:])
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, 1+n)
	d.front, d.ready = ip+":8227", ip+":8220"
	fields := map[string]any{
		"node": name, "zone": zone, "ip": ip, "bootstrap": true,
		"listen":        map[string]any{"front": d.front, "ready": d.ready},
		"internalPorts": []any{7340, 7355},
		"platform":      map[string]any{"addr": storeAddress},
		"limits":        map[string]any{"memoryMb": memoryMB, "cpuShare": 0.4},
		"bounds": map[string]any{
			"drainMs": 2000, "configMs": 2000, "retryRatio": 0.2, "retrySlack": 196, "retryWindowS": 10, "graceS": 8,
		},
	}
	template, err := os.ReadFile("deploy/edge.json")
	if err != nil {
		return nil, err
	}
	var problem error
	filled := placeholder.ReplaceAllStringFunc(string(template), func(text string) string {
		match := placeholder.FindStringSubmatch(text)
		var value any = fields
		for part := range strings.SplitSeq(match[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[part]
			case []any:
				i, _ := strconv.Atoi(part)
				value = v[i]
			}
		}
		if value == nil {
			problem = errors.New("no field for " + text)
		}
		if match[2] != "" {
			content, _ := json.Marshal(value)
			return string(content)
		}
		return fmt.Sprint(value)
	})
	if problem != nil {
		return nil, problem
	}
	d.settings = filepath.Join(dir, name+".json")
	if err := os.WriteFile(d.settings, []byte(filled), 0o644); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	go d.probe()
	return d, nil
}

func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command("target/hyssophoistd", "edge", "--settings", d.settings)
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HYSSOPHOIST_NODE_FILE=" + d.settings}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.process = command.Process
	d.mu.Unlock()
	if d.maxFiles > 0 {
		limit := syscall.Rlimit{Cur: uint64(d.maxFiles), Max: uint64(d.maxFiles)}
		if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(command.Process.Pid), syscall.RLIMIT_NOFILE,
			uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
			return errno
		}
	}
	d.record.sayf("daemon %s started", d.name)
	overLimit := false
	stop := make(chan struct{})
	go func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			used := memoryKB(command.Process.Pid)
			d.mu.Lock()
			d.peakKB = max(d.peakKB, used)
			if d.limitMemory && used > d.memoryMB*1024 && !overLimit {
				overLimit = true
				d.record.sayf("daemon %s uses %d MB of %d MB, the platform kills it", d.name, used/1024, d.memoryMB)
				_ = command.Process.Kill()
			}
			d.mu.Unlock()
		}
	}()
	go func() {
		err := command.Wait()
		close(stop)
		log.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.isReady = false
		if d.done || d.killed {
			return
		}
		if overLimit {
			d.memoryEnds++
		} else {
			d.otherEnds++
		}
		d.record.sayf("daemon %s has ended: %v", d.name, err)
		time.AfterFunc(500*time.Millisecond, func() {
			if !d.done {
				_ = d.start()
			}
		})
	}()
	return nil
}

// memoryKB returns the anonymous memory of a process: the files that it maps and what its sockets hold do not count.
func memoryKB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(rest, "kB")))
			return n
		}
	}
	return 0
}

// probe asks once a second whether the daemon is ready, as the platform does.
func (d *daemon) probe() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: !d.keepProbe}}
	for {
		answer, err := client.Get("http://" + d.ready + "/api/readyz")
		ready := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
		d.mu.Lock()
		if ready != d.isReady {
			d.record.writef("daemon %s ready: %t", d.name, ready)
		}
		d.isReady = ready
		done := d.done
		d.mu.Unlock()
		if done {
			return
		}
		if ready {
			time.Sleep(time.Second)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func (d *daemon) takesClients() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isReady
}

func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.takesClients() {
			return nil
		}
	}
	return fmt.Errorf("daemon %s was not ready within %v", d.name, limit)
}

// kill ends the process for good.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed, d.done = true, true
	if d.process != nil {
		_ = d.process.Kill()
	}
}
