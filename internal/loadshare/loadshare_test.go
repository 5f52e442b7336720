package loadshare

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/quarantine"
	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const waitLimit = 10 * time.Second

// fakeTables implements Tables with a counter in place of each table: the batch of a version stands for all changes up
// to it.
type fakeTables struct {
	mu      sync.Mutex
	version rowversion.Version
	role    tablecache.Role
	roleSet bool
	failing bool
	// offeredAt is when each version was offered.
	offeredAt map[rowversion.Version]time.Time
}

func newFakeTables(version rowversion.Version) *fakeTables {
	return &fakeTables{version: version, offeredAt: make(map[rowversion.Version]time.Time)}
}

func (f *fakeTables) Versions() (versions loadshare.Versions) { return versions }
func (f *fakeTables) Observe(loadshare.Versions)              {}
func (f *fakeTables) Stale() bool                             { return false }

func (f *fakeTables) States() TableStates {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := tablecache.State{Loaded: f.version > 0, Version: f.version}
	return TableStates{Configuration: state, Targets: state}
}

func (f *fakeTables) Since(states TableStates) TableBatches {
	f.mu.Lock()
	defer f.mu.Unlock()
	batch := &tablecache.Batch{After: states.Configuration.Version, Version: f.version}
	if f.version > states.Configuration.Version {
		batch.Rows = []tablecache.Row{{Key: "key", Version: f.version}}
	}
	return TableBatches{Configuration: batch}
}

func (f *fakeTables) News(states TableStates) TableBatches {
	if f.States().Configuration.Version <= states.Configuration.Version {
		return TableBatches{}
	}
	return f.Since(states)
}

func (f *fakeTables) Offer(batches TableBatches) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if batches.Configuration != nil && batches.Configuration.Version > f.version {
		f.version = batches.Configuration.Version
		f.offeredAt[f.version] = time.Now()
	}
}

func (f *fakeTables) SetRole(role tablecache.Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.role, f.roleSet = role, true
}

func (f *fakeTables) Reader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role.Reader
}

// hasRole reports whether the sharer has set a role.
func (f *fakeTables) hasRole() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roleSet
}

func (f *fakeTables) ReadsFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// read sets the version, as a read of the store does.
func (f *fakeTables) read(version rowversion.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = version
}

func (f *fakeTables) offered(version rowversion.Version) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, found := f.offeredAt[version]
	return at, found
}

// fakeView implements View without loads.
type fakeView struct{}

func (fakeView) OwnLoads() loadshare.Loads                                { return nil }
func (fakeView) SetOtherLoads(loadshare.Loads, loadshare.Instances, bool) {}
func (fakeView) CrashEvidence() []quarantine.Evidence                     { return nil }
func (fakeView) MergeCrashEvidence([]quarantine.Evidence) bool            { return false }

// crashView holds the evidence of an instance on requests that crash engines, by part.
type crashView struct {
	fakeView
	mu    sync.Mutex
	parts map[string]quarantine.Evidence
}

func (v *crashView) CrashEvidence() (evidence []quarantine.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.parts))
}

func (v *crashView) MergeCrashEvidence(evidence []quarantine.Evidence) (news bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range evidence {
		if _, known := v.parts[e.Part]; !known {
			v.parts[e.Part], news = e, true
		}
	}
	return news
}

func (v *crashView) hasPart(part string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.parts[part].Crashes) > 0
}

// memberStore is a store with the list of instances.
type memberStore struct {
	mu   sync.Mutex
	rows []platformapi.Row
}

func (s *memberStore) Get(context.Context, string, string) (*platformapi.Row, error) { return nil, nil }

func (s *memberStore) List(context.Context, string, string, string, int) ([]platformapi.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.rows), nil
}

func (s *memberStore) Commit(_ context.Context, writes ...platformapi.Write) ([]uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	write := writes[0]
	for i, row := range s.rows {
		if row.Key != write.Key {
			continue
		}
		if row.Version != write.Expect {
			return nil, &platform.ConflictError{Row: row}
		}
		s.rows[i].Version++
		s.rows[i].Value = write.Value
		return []uint64{s.rows[i].Version}, nil
	}
	if write.Expect != 0 {
		return nil, errkind.New(errkind.PlatformUnavailable, "no such row")
	}
	s.rows = append(s.rows, platformapi.Row{Key: write.Key, Version: 1, Value: write.Value})
	return []uint64{1}, nil
}

var addressesUsed atomic.Int32

// newMember returns a member with a loopback address that no other test uses.
func newMember(id entity.DaemonID) loadshare.Member {
	process := os.Getpid()
	address := fmt.Sprintf("127.%d.%d.%d:8002", 1+(process>>8)%250, process%256, 1+addressesUsed.Add(1)%250)
	return loadshare.Member{ID: id, Zone: "z", Address: address, Incarnation: 1}
}

// startSharer runs a sharer until the test ends.
func startSharer(t *testing.T, member loadshare.Member, store *memberStore, tables *fakeTables) *Sharer {
	t.Helper()
	return startSharerWithView(t, member, store, tables, fakeView{})
}

func startSharerWithView(t *testing.T, member loadshare.Member, store *memberStore, tables *fakeTables,
	view View) *Sharer {
	t.Helper()
	s := New(Options{Self: member, View: view, Table: store, Tables: tables})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Run(ctx); err != nil {
			t.Errorf("%s: %v", member.ID, err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting until %s", waitLimit, what)
		}
	}
}

// TestChangesArePushed guards against members that wait for their next message to learn of a change, and against
// changes read by a member that do not reach the others.
func TestChangesArePushed(t *testing.T) {
	store := &memberStore{}
	tables := []*fakeTables{newFakeTables(1), newFakeTables(1), newFakeTables(1)}
	var sharers []*Sharer
	for i, f := range tables {
		sharers = append(sharers, startSharer(t, newMember(entity.DaemonID(fmt.Sprintf("m%d", i))), store, f))
	}
	waitUntil(t, "the first instance reads for the zone", func() bool {
		return tables[0].Reader() && !tables[1].Reader() && !tables[2].Reader() && tables[2].hasRole()
	})
	// Instances that start together can miss each other until they read their list again.
	waitUntil(t, "the first instance knows the copies of the others", func() bool {
		known := 0
		for _, members := range sharers[0].membersByStates() {
			known += len(members)
		}
		return known == len(tables)-1
	})
	arrived := 0
	for version := rowversion.Version(2); version < 8; version++ {
		tables[0].read(version)
		sharers[0].pushToZone(context.Background())
		for _, f := range tables[1:] {
			if _, found := f.offered(version); found {
				arrived++
			}
		}
	}
	// A member may have got a change with its own message; without pushes, few would have one at this time.
	if arrived < 10 {
		t.Errorf("%d of 12 changes arrived with the push", arrived)
	}
	tables[2].read(20)
	sharers[2].TablesChanged()
	waitUntil(t, "a change read by a member reaches another one", func() bool { _, found := tables[1].offered(20); return found })
}

// TestPushedChangesAreNotSentBack guards against members that send the changes that the collector has pushed to them
// back to it, which is work and traffic at the collector that grows with members times changes.
func TestPushedChangesAreNotSentBack(t *testing.T) {
	tables := newFakeTables(1)
	collector := newMember("c")
	s := New(Options{Self: newMember("m"), View: fakeView{}, Table: &memberStore{}, Tables: tables})
	states := newFakeTables(1).States()
	s.collectorID, s.collectorStates = collector.ID, &states
	pushed, err := newFakeTables(2).Since(states).pack()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.handlePush(&PushArgs{From: collector, Packed: pushed}, &PushReply{}); err != nil {
		t.Fatal(err)
	}
	if _, found := tables.offered(2); !found {
		t.Fatal("the change was not applied")
	}
	if args := s.shareArgs(collector, 2); args.Changes.isUrgent() {
		t.Errorf("the next message has %+v", *args.Changes.Configuration)
	}
	tables.read(3)
	if args := s.shareArgs(collector, 2); !args.Changes.isUrgent() {
		t.Error("a change that the member has read is not passed on")
	}
}

// TestCrashEvidenceReachesAllInstances guards against instances that each have to see crashes of their own before they
// refuse the requests that cause them, and against restarted ones that do not learn of earlier crashes.
func TestCrashEvidenceReachesAllInstances(t *testing.T) {
	store := &memberStore{}
	var views []*crashView
	start := func(zone entity.ZoneID, id entity.DaemonID) *crashView {
		view := &crashView{parts: make(map[string]quarantine.Evidence)}
		member := newMember(id)
		member.Zone = zone
		startSharerWithView(t, member, store, newFakeTables(1), view)
		views = append(views, view)
		return view
	}
	for _, zone := range []entity.ZoneID{"y", "z"} {
		for i := range 3 {
			start(zone, entity.DaemonID(fmt.Sprintf("%s%d", zone, i)))
		}
	}
	views[2].MergeCrashEvidence([]quarantine.Evidence{{Part: "p", Crashes: []quarantine.CrashReport{{Engine: "e/1"}}}})
	for i, view := range views {
		waitUntil(t, fmt.Sprintf("instance %d knows of the crash", i), func() bool { return view.hasPart("p") })
	}
	late := start("z", "z9")
	waitUntil(t, "an instance that starts later knows of the crash", func() bool { return late.hasPart("p") })
}

// TestUrgentBatches guards against members that do not learn at once of a failed read of the reader, and against pushes
// of confirmations alone.
func TestUrgentBatches(t *testing.T) {
	for name, test := range map[string]struct {
		batch  *tablecache.Batch
		urgent bool
	}{
		"nothing":      {nil, false},
		"confirmation": {&tablecache.Batch{After: 2, Version: 3}, false},
		"rows":         {&tablecache.Batch{Rows: []tablecache.Row{{Key: "key"}}}, true},
		"failed read":  {&tablecache.Batch{FailingFor: time.Second}, true},
	} {
		if got := (TableBatches{Targets: test.batch}).isUrgent(); got != test.urgent {
			t.Errorf("%s: urgent %v, want %v", name, got, test.urgent)
		}
	}
}

// TestReaderIsReplaced guards against a zone without a reader when the collector cannot read the store.
func TestReaderIsReplaced(t *testing.T) {
	store := &memberStore{}
	tables := []*fakeTables{newFakeTables(1), newFakeTables(1)}
	for i, f := range tables {
		startSharer(t, newMember(entity.DaemonID(fmt.Sprintf("m%d", i))), store, f)
	}
	waitUntil(t, "the collector reads", func() bool { return tables[0].Reader() && !tables[1].Reader() })
	tables[0].mu.Lock()
	tables[0].failing = true
	tables[0].mu.Unlock()
	waitUntil(t, "the other instance reads", func() bool { return !tables[0].Reader() && tables[1].Reader() })
}

// TestRegister guards against an instance that is listed at an address that it no longer has, and against a second
// write at each restart of an instance that has not moved.
func TestRegister(t *testing.T) {
	member := newMember("a")
	restarted, moved := member, member
	restarted.Incarnation, moved.Incarnation, moved.Address = 2, 2, "127.0.0.1:1"
	for name, test := range map[string]struct {
		member  loadshare.Member
		version uint64
	}{"restarted": {restarted, 1}, "moved": {moved, 2}} {
		store := listing(t, member)
		s := New(Options{Self: test.member, View: fakeView{}, Table: store})
		if err := s.register(context.Background()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		listed, err := decodeMember(store.rows[0])
		if err != nil || listed.Address != test.member.Address || store.rows[0].Version != test.version {
			t.Errorf("%s: listed as %+v at version %d, want version %d (%v)", name, listed, store.rows[0].Version, test.version, err)
		}
	}
}

// scriptedCollector answers the calls of members with a reply of type R.
type scriptedCollector[R any] struct{ reply R }

// Share implements the call of the protocol.
func (c *scriptedCollector[R]) Share(_ *ShareArgs, reply *R) error {
	*reply = c.reply
	return nil
}

// serveShare answers calls of Share at address with a reply until the test ends.
func serveShare[R any](t *testing.T, address string, reply R) {
	t.Helper()
	server, err := peer.NewRPCServer("LoadShare", &scriptedCollector[R]{reply}, peer.ServerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// listing returns a store in which the member is listed.
func listing(t *testing.T, members ...loadshare.Member) *memberStore {
	t.Helper()
	store := &memberStore{}
	for _, member := range members {
		write, err := platform.NewWrite(instancesTable, string(member.ID), 0, member)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(context.Background(), write); err != nil {
			t.Fatal(err)
		}
	}
	return store
}

// EarlierReply is the reply of a collector that runs a version of the program that does not pass on tables.
type EarlierReply struct {
	Self      loadshare.Member
	Instances loadshare.Instances
}

// TestCollectorOfEarlierVersion guards against an instance that reads no changes because the collector of its zone runs
// a version of the program that passes none on.
func TestCollectorOfEarlierVersion(t *testing.T) {
	collector := newMember("a")
	serveShare(t, collector.Address, EarlierReply{Self: collector})
	tables := newFakeTables(1)
	startSharer(t, newMember("b"), listing(t, collector), tables)
	waitUntil(t, "the instance reads the store itself", tables.Reader)
}

// TestOtherInstanceAtAddress guards against changes taken from an instance that answers at the address of another one.
func TestOtherInstanceAtAddress(t *testing.T) {
	collector := newMember("a")
	states := TableStates{Configuration: tablecache.State{Loaded: true, Version: 9}}
	serveShare(t, collector.Address, ShareReply{
		Self: loadshare.Member{ID: "x", Zone: "z"}, Copies: &states, Reader: "x",
		Changes: TableBatches{Configuration: &tablecache.Batch{After: 1, Version: 9}},
	})
	tables := newFakeTables(1)
	startSharer(t, newMember("b"), listing(t, collector), tables)
	waitUntil(t, "the instance reads the store itself", tables.Reader)
	if got := tables.States().Configuration.Version; got != 1 {
		t.Errorf("version %d, want 1", got)
	}
}

// TestUnpackBatches guards against a process that fails, or takes all memory, because of a malformed message of a peer.
func TestUnpackBatches(t *testing.T) {
	batches := newFakeTables(3).Since(TableStates{})
	packed, err := batches.pack()
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpackBatches(packed)
	if err != nil || got.Configuration == nil || len(got.Configuration.Rows) != 1 || got.Configuration.Version != 3 {
		t.Errorf("got %+v, %v", got.Configuration, err)
	}
	large := TableBatches{Targets: &tablecache.Batch{Rows: []tablecache.Row{{Value: make([]byte, maxUnpackedBytes)}}}}
	oversized, err := large.pack()
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{
		"empty": nil, "no gzip": []byte("x"), "cut": packed[:len(packed)/2], "oversized": oversized,
	} {
		if _, err := unpackBatches(content); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
