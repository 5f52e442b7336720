package configstore

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/rollout"
)

// BenchmarkAuditRow measures the size of the audit entry of a change of 1, 10 and 100 marks to a record with 300 marks.
func BenchmarkAuditRow(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("marks=%d", n), func(b *testing.B) {
			now := time.Now().UTC()
			before := &rollout.Record{Version: 70_000, Preset: rollout.PresetRef{Name: "day", Revision: 1},
				ChangeID: "0199f2a4-7c1e-7d3a-9b5e-3f0c6a1d2e4b", ChangedBy: "operator", ChangedAt: now}
			for i := range 300 {
				before.Marks = append(before.Marks, entity.Mark{
					ID: fmt.Sprintf("engine-%04d", i), State: entity.LeaveMark, By: "operator", At: now})
			}
			change := rollout.Change{ID: "0199f2a4-7c1e-7d3a-9b5e-3f0c6a1d2e4c", By: "operator", At: now, Expect: 70_000}
			for i := range n {
				change.Marks = append(change.Marks, entity.Mark{ID: fmt.Sprintf("engine-%04d", i), State: entity.JoinMark})
			}
			var row []byte
			for b.Loop() {
				after, err := change.Apply(before)
				if err != nil {
					b.Fatal(err)
				}
				if row, err = json.Marshal(newAuditEntry(before, after, change)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(row)), "B/row")
		})
	}
}
