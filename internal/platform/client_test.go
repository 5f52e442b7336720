package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	emulator "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// notModifiedCounter counts the 304 responses of a handler.
type notModifiedCounter struct {
	http.ResponseWriter
	notModified *atomic.Int32
}

func (w notModifiedCounter) WriteHeader(status int) {
	if status == http.StatusNotModified {
		w.notModified.Add(1)
	}
	w.ResponseWriter.WriteHeader(status)
}

// TestUnchangedReadsHaveNoBody guards against transferring an unchanged list or row again, and against serving a cached
// row after it has changed.
func TestUnchangedReadsHaveNoBody(t *testing.T) {
	emulated := emulator.New(emulator.Options{Instances: []platformapi.Instance{{ID: "a", State: "live"}}})
	defer emulated.Close()
	var notModified atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		emulated.ServeHTTP(notModifiedCounter{w, &notModified}, r)
	}))
	defer server.Close()
	client := platform.NewClient(platform.ClientOptions{URL: server.URL})
	ctx := context.Background()
	for version := uint64(0); version < 3; version++ {
		write, err := platform.NewWrite(platform.ConfigurationTable, platform.CurrentKey, version, version)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Commit(ctx, write); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			row, err := client.Get(ctx, platform.ConfigurationTable, platform.CurrentKey)
			if err != nil || row == nil || row.Version != version+1 {
				t.Fatalf("row %+v, error %v, want version %d", row, err, version+1)
			}
			if list, err := client.ListInstances(ctx); err != nil || len(list) != 1 || list[0].ID != "a" {
				t.Fatalf("list %+v, error %v", list, err)
			}
		}
	}
	// Of 6 reads of the row, the first of each of its 3 versions has a body; of 6 reads of the list, only the first.
	if got := notModified.Load(); got != 3+5 {
		t.Errorf("%d reads came without a body, want 8", got)
	}
}
