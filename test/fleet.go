package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/emulator/service"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

const adminToken = "admin"

// fleet is a deployment of several daemons. Each daemon reaches the platform through its own proxy, and its peers reach
// it through another one, so that tests can partition the daemons.
type fleet struct {
	t        *testing.T
	preset   *entity.Preset
	platform *process
	service  *process
	engines  map[string]*process
	proxies  map[string]*faultproxy.Proxy // in front of the targets, by target ID
	members  []*member
	byName   map[string]*member
	killed   map[*member]bool
}

// member is one daemon of a fleet.
type member struct {
	fleet         *fleet
	name          string
	zone          string
	ip            string
	platformProxy *faultproxy.Proxy // from this daemon to the platform
	inbound       *faultproxy.Proxy // from its peers to this daemon
	settingsFile  string
	proc          *process
	mu            sync.Mutex // guards proc, caller and admin, which a restart changes while callers still send requests
	caller        string     // base URL of the caller API
	admin         string     // base URL of the administration API
}

func (m *member) callerURL() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.caller
}

// fleetCount counts the fleets of this process. Each has its own range of loopback addresses for its daemons.
var fleetCount atomic.Int64

// peerPort is the port of all peer listeners, which differ in their IP address.
const peerPort = 7100

// addressBlock is the block of loopback addresses 127.number.0.0/16. The listener stays open until the process ends and
// keeps other test processes from using the same block.
type addressBlock struct {
	number   int
	listener net.Listener
}

// reserveAddressBlock returns the address block of this process. After the time limit has ended a test process, its
// daemons can still run and listen on the addresses of their fleet, so a block is used only if these are free too.
var reserveAddressBlock = sync.OnceValue(func() addressBlock {
	for block := 20; block < 250; block++ {
		probe, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", block, peerPort))
		if err != nil {
			continue
		}
		probe.Close()
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", block, peerPort))
		if err == nil {
			return addressBlock{number: block, listener: listener}
		}
	}
	panic("no block of loopback addresses is free")
})

// reserveAddresses returns loopback addresses that no other test uses.
func reserveAddresses(count int) (addresses []string) {
	block, number := reserveAddressBlock().number, fleetCount.Add(1)
	for host := 1; host <= count; host++ {
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d", block, number, host))
	}
	return addresses
}

// deployFleet starts a platform, a service and the engines, with proxies in front of the targets, and as many daemons
// as zones gives for each zone. The name of a daemon is its zone and a number from 1.
func deployFleet(t *testing.T, engines []engineSpec, zones map[string]int) *fleet {
	t.Helper()
	return deployFleetWithFencing(t, engines, zones, false)
}

// deployFleetWithFencing is deployFleet with a service that checks fencing numbers if checksFencing is set.
func deployFleetWithFencing(t *testing.T, engines []engineSpec, zones map[string]int, checksFencing bool) *fleet {
	t.Helper()
	f := &fleet{
		t: t, preset: testPreset(), engines: make(map[string]*process), proxies: make(map[string]*faultproxy.Proxy),
		byName: make(map[string]*member), killed: make(map[*member]bool),
	}
	f.platform = startProcess(t, "platform", "emulate", "platform")
	for _, s := range engines {
		f.startEngine(s)
	}
	f.service = startProcess(t, "ledger-1", "emulate", "service", "--target", "ledger-1",
		fmt.Sprintf("--checks-fencing=%t", checksFencing))
	f.addTarget(entity.Target{
		ID: "ledger-1", Kind: entity.ServiceTarget, Service: "ledger", ChecksFencing: checksFencing,
	}, f.service)
	addresses := reserveAddresses(zones["a"] + zones["b"] + zones["c"])
	for _, zone := range []string{"a", "b", "c"} {
		for i := range zones[zone] {
			m := &member{fleet: f, name: fmt.Sprintf("%s%d", zone, i+1), zone: zone, ip: addresses[len(f.members)]}
			m.platformProxy = f.newProxy(f.platform.address(0))
			m.inbound = f.newProxy(m.peerAddress())
			f.members = append(f.members, m)
			f.byName[m.name] = m
		}
	}
	for _, m := range f.members {
		m.writeSettings()
		m.start()
	}
	return f
}

func (f *fleet) newProxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.New(faultproxy.Options{Target: target})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Close)
	return p
}

func (f *fleet) startEngine(s engineSpec) {
	p := startProcess(f.t, s.id, "emulate", "engine", "--target", s.id, "--model", testModel, "--model-layers", "24",
		"--layers", fmt.Sprintf("%d-%d", s.layers.From, s.layers.To))
	f.engines[s.id] = p
	f.addTarget(entity.Target{
		ID: entity.TargetID(s.id), Kind: entity.EngineTarget, Model: testModel, Layers: s.layers,
	}, p)
}

func (f *fleet) addTarget(target entity.Target, p *process) {
	proxy := f.newProxy(p.address(0))
	f.proxies[string(target.ID)] = proxy
	target.URL, target.Zone = proxy.URL(), "a"
	f.preset.Targets = append(f.preset.Targets, target)
}

func (m *member) peerAddress() string { return fmt.Sprintf("%s:%d", m.ip, peerPort) }

func (m *member) writeSettings() {
	directory := m.fleet.t.TempDir()
	presetFile := filepath.Join(directory, "preset.json")
	writeJSON(m.fleet.t, presetFile, m.fleet.preset)
	s := settings.Settings{
		Daemon: m.name, Zone: m.zone, AdminTokens: []string{adminToken}, PeerToken: "peers", PresetFile: presetFile,
		Caller: settings.Listener{Address: "127.0.0.1:0"}, Admin: settings.Listener{Address: "127.0.0.1:0"},
		Peer:     settings.Listener{Address: m.peerAddress(), Advertise: m.inbound.Address()},
		Platform: settings.Platform{URL: m.platformProxy.URL()},
	}
	for _, other := range m.fleet.members {
		if other != m {
			s.Peers = append(s.Peers, settings.PeerAddress{Address: other.inbound.Address(), Zone: other.zone})
		}
	}
	m.settingsFile = filepath.Join(directory, "settings.json")
	writeJSON(m.fleet.t, m.settingsFile, s)
}

// start starts the daemon and waits until it is ready.
func (m *member) start() {
	proc := startProcess(m.fleet.t, m.name, "serve", "--settings", m.settingsFile)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proc = proc
	m.caller, m.admin = "http://"+m.proc.address(0), "http://"+m.proc.address(1)
}

func (m *member) kill() {
	m.fleet.killed[m] = true
	m.proc.signal(syscall.SIGKILL)
	<-m.proc.exited
}

// partition separates the daemons of one zone from the platform and from all daemons of other zones.
func (f *fleet) partition(zone string) {
	var inside, outside []string
	for _, m := range f.members {
		if m.zone == zone {
			inside = append(inside, m.ip)
		} else {
			outside = append(outside, m.ip)
		}
	}
	for _, m := range f.members {
		if m.zone == zone {
			m.disconnectPlatform()
			m.inbound.BlockClients(outside...)
		} else {
			m.inbound.BlockClients(inside...)
		}
	}
}

// disconnectPlatform resets the connections of this daemon to the platform and refuses new ones until heal.
func (m *member) disconnectPlatform() {
	m.platformProxy.RefuseNew(true)
	m.platformProxy.Reset()
}

// heal ends all partitions and lets every daemon reach the platform again.
func (f *fleet) heal() {
	for _, m := range f.members {
		m.platformProxy.RefuseNew(false)
		m.inbound.BlockClients()
	}
}

// callAdmin sends a request to the administration API, decodes the response body into out unless that is nil, and
// returns the status code, or 0 if there was no response.
func (m *member) callAdmin(method, path string, body, out any) int {
	m.fleet.t.Helper()
	content, err := json.Marshal(body)
	if err != nil {
		m.fleet.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(m.fleet.t.Context(), method, m.admin+path, bytes.NewReader(content))
	if err != nil {
		m.fleet.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+adminToken)
	request.Header.Set(adminapi.OperatorHeader, "operator at "+m.name)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		m.fleet.t.Errorf("%s %s at %s: %v", method, path, m.name, err)
		return 0
	}
	defer response.Body.Close()
	if out != nil {
		if err := json.NewDecoder(response.Body).Decode(out); err != nil {
			m.fleet.t.Errorf("%s %s at %s: %v", method, path, m.name, err)
		}
	}
	return response.StatusCode
}

func (m *member) status() adminapi.Status {
	var status adminapi.Status
	m.callAdmin(http.MethodGet, adminapi.StatusPath, nil, &status)
	return status
}

// createPreset stores a copy of the fleet's preset with another name and kind.
func (f *fleet) createPreset(name string, kind entity.PresetKind) {
	f.t.Helper()
	preset := *f.preset
	preset.Name, preset.Kind, preset.Revision = name, kind, 0
	if status := f.members[0].callAdmin(http.MethodPost, adminapi.PresetsPath, preset, nil); status >= http.StatusBadRequest {
		f.t.Fatalf("preset %s was refused with status %d", name, status)
	}
}

func (m *member) switchTo(name string, expectedVersion uint64) int {
	return m.callAdmin(http.MethodPost, adminapi.SwitchPath,
		adminapi.Switch{ExpectedVersion: expectedVersion, Name: name}, nil)
}

// waitVersion waits until the given configuration version or a later one is in force at all members of the given zones.
// Each character of zones names a zone.
func (f *fleet) waitVersion(version uint64, zones string) {
	f.t.Helper()
	for _, m := range f.members {
		if strings.Contains(zones, m.zone) {
			waitFor(f.t, fmt.Sprintf("version %d at %s", version, m.name), func() bool { return m.status().Version >= version })
		}
	}
}

// executions returns how often the service executed the posting of each key.
func (f *fleet) executions() map[string]int {
	f.t.Helper()
	response, err := http.Get("http://" + f.service.address(0) + service.LedgerPath)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var ledger struct {
		Executions []service.Execution `json:"executions"`
	}
	if err := json.NewDecoder(response.Body).Decode(&ledger); err != nil {
		f.t.Fatal(err)
	}
	counts := make(map[string]int)
	for _, execution := range ledger.Executions {
		counts[execution.Key]++
	}
	return counts
}

// setFaults posts faults to the control endpoint of an emulator. Faults that are not in the map stay as they are.
func setFaults(t *testing.T, p *process, faults map[string]any) {
	t.Helper()
	content, err := json.Marshal(faults)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+p.address(0)+"/emulator/faults", "application/json", bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("setting faults %v failed with status %d", faults, response.StatusCode)
	}
}

// deployment returns this member as a deployment, for the helpers that take a single daemon.
func (m *member) deployment() *deployment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &deployment{
		t: m.fleet.t, engines: m.fleet.engines, service: m.fleet.service, daemon: m.proc,
		caller: m.caller, admin: m.admin,
	}
}

func (f *fleet) assertNoViolations() {
	f.t.Helper()
	for _, m := range f.members {
		assertNoViolations(f.t, m.deployment())
	}
}

// tokensProcessed waits until the load report of an engine shows no work and returns the number of tokens that the
// engine has processed.
func (f *fleet) tokensProcessed(target string) uint64 {
	f.t.Helper()
	var report engineapi.LoadReport
	begin := time.Now()
	waitFor(f.t, "an idle load report of "+target, func() bool {
		report = f.loadReport(target)
		// Load reports lag. A report measured before this call may not include the last stream before the call.
		measured := time.Now().Add(-time.Duration(report.AgeMS) * time.Millisecond)
		return measured.After(begin) && report.Running == 0 && report.Queued == 0
	})
	return report.TokensProcessed
}

// loadReport returns the load report of an engine.
func (f *fleet) loadReport(target string) engineapi.LoadReport {
	f.t.Helper()
	response, err := http.Get("http://" + f.engines[target].address(0) + engineapi.LoadPath)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var report engineapi.LoadReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		f.t.Fatal(err)
	}
	return report
}
