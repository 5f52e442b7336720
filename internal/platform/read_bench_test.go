package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
	"github.com/hyssophoist/hyssophoist/internal/measure"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// measureReads reports the bytes transferred per read, HTTP headers included, and the CPU time of client and server.
// The server sends entity tags if withETag is set.
func measureReads(b *testing.B, body any, withETag bool, read func(*platform.Client) error) {
	content, err := json.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if withETag {
			wire.WriteWithETag(w, r, body)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(content)
	}))
	var bytes atomic.Int64
	listener := &measure.Listener{Listener: server.Listener, Bytes: &bytes}
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := platform.NewClient(platform.ClientOptions{URL: server.URL})
	if err := read(client); err != nil {
		b.Fatal(err)
	}
	before, start := bytes.Load(), measure.CPUTime()
	for b.Loop() {
		if err := read(client); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "B/read")
	b.ReportMetric(float64(measure.CPUTime()-start)/float64(b.N)/1000, "cpu-us/read")
}

// readCase is a benchmark case: the number of entries in the response, and whether the platform sends entity tags, so
// that reads of the unchanged response have no body.
type readCase struct {
	entries  int
	withETag bool
}

func readCases(numbers ...int) []readCase {
	var cases []readCase
	for _, n := range numbers {
		cases = append(cases, readCase{n, false}, readCase{n, true})
	}
	return cases
}

// BenchmarkInstanceList measures reads of the instance list by the number of instances, which are daemons and engines.
func BenchmarkInstanceList(b *testing.B) {
	for _, testCase := range readCases(50, 500, 3610) {
		n, withETag := testCase.entries, testCase.withETag
		b.Run(fmt.Sprintf("instances=%d/unchanged=%t", n, withETag), func(b *testing.B) {
			var list platformapi.Instances
			for i := range n {
				kind := "engine"
				if i%9 == 0 {
					kind = "entry"
				}
				list.Instances = append(list.Instances, platformapi.Instance{ID: fmt.Sprintf("%s-%04d", kind, i), Kind: kind,
					Address: fmt.Sprintf("10.30.%d.%d:9000", i/250, i%250), Zone: fmt.Sprintf("zone-%02d", i%13), State: "live"})
			}
			measureReads(b, list, withETag, func(c *platform.Client) error {
				_, err := c.ListInstances(context.Background())
				return err
			})
		})
	}
}

// BenchmarkConfigurationRow measures reads of the configuration row by its number of marks.
func BenchmarkConfigurationRow(b *testing.B) {
	for _, testCase := range readCases(30, 300, 3000) {
		n, withETag := testCase.entries, testCase.withETag
		b.Run(fmt.Sprintf("marks=%d/unchanged=%t", n, withETag), func(b *testing.B) {
			record := &rollout.Record{Version: 70_000, Preset: rollout.PresetRef{Name: "day", Revision: 1},
				ChangeID: "0199f2a4-7c1e-7d3a-9b5e-3f0c6a1d2e4b", ChangedBy: "operator", ChangedAt: time.Now().UTC()}
			for i := range n {
				record.Marks = append(record.Marks, entity.Mark{
					ID: fmt.Sprintf("engine-%04d", i), State: entity.LeaveMark, By: "operator", At: time.Now().UTC()})
			}
			write, err := platform.NewWrite(platform.ConfigurationTable, "current", 1, record)
			if err != nil {
				b.Fatal(err)
			}
			row := platformapi.Row{Table: platform.ConfigurationTable, Key: "current", Version: 1, Value: write.Value}
			measureReads(b, row, withETag, func(c *platform.Client) error {
				found, err := c.Get(context.Background(), platform.ConfigurationTable, "current")
				if err == nil {
					err = json.Unmarshal(found.Value, new(rollout.Record))
				}
				return err
			})
		})
	}
}
