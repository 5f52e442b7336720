package postingstore

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"

	emulator "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// BenchmarkPostingRow measures the row size of a finished posting by the size of the response.
func BenchmarkPostingRow(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("response=%d", n), func(b *testing.B) {
			s := newSystem(b, true, emulator.Options{})
			d := s.start("daemon-001", nil)
			i := 0
			for b.Loop() {
				i++
				call := s.call(fmt.Sprintf("0199f2a4-7c1e-7d3a-9b5e-%012d", i), "body")
				call.Send = func(context.Context, uint64) (*Response, error) {
					return &Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}},
						Body: bytes.Repeat([]byte("x"), n)}, nil
				}
				if _, err := d.Run(s.context(), call); err != nil {
					b.Fatal(err)
				}
			}
			d.Drain(s.context())
			rows, err := s.client.List(s.context(), platform.PostingsTable, "acme/", "", 1)
			if err != nil || len(rows) != 1 {
				b.Fatalf("listed %d rows, %v", len(rows), err)
			}
			b.ReportMetric(float64(len(rows[0].Key)+len(rows[0].Value)), "B/row")
		})
	}
}

// BenchmarkPostingsByDaemons measures the postings of 410 callers at 400 platform writes/s by the number of daemons
// that claim for them: one and two per zone for 13 zones, half of 410, and all 410.
func BenchmarkPostingsByDaemons(b *testing.B) {
	for _, daemons := range []int{13, 26, 205, 410} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			benchmarkPostings(b, 400, DefaultMaxGroup, daemons, 410)
		})
	}
}
