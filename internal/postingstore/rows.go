package postingstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/posting"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

func (e *execution) write(action posting.Write) posting.Event {
	if action.ExpectedVersion != 0 && action.Record.Attempt == e.call.Attempt {
		e.metrics.takeovers.Inc()
	}
	event := e.commitRow(e.claimCtx, e.key, action, true)
	if _, unknown := event.(posting.WriteUnknown); !unknown || e.claimCtx.Err() == nil {
		e.breaker.report(e.options.Now(), event)
	}
	return event
}

// commitRow performs a write and returns its result as an event.
func (r *Runner) commitRow(ctx context.Context, key string, action posting.Write, urgent bool) posting.Event {
	write, err := platform.NewWrite(platform.PostingsTable, key, action.ExpectedVersion, action.Record)
	if err != nil {
		log.Errorf("failed to encode row %q: %v", key, err)
		return posting.WriteRefused{}
	}
	version, err := r.commits.commit(ctx, write, urgent)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return posting.Committed{Version: version}
	case errors.As(err, &conflict):
		row, err := decodeRow(conflict.Row.Version, conflict.Row.Value)
		if err != nil {
			log.Errorf("failed to decode row %q: %v", key, err)
			return posting.WriteRefused{}
		}
		return posting.Conflicted{Row: row}
	case errkind.Of(err) == errkind.PlatformUnavailable:
		return posting.WriteRefused{}
	}
	return posting.WriteUnknown{}
}

func decodeRow(version uint64, value json.RawMessage) (posting.Row, error) {
	row := posting.Row{Version: version}
	if version == 0 {
		return row, nil
	}
	err := json.Unmarshal(value, &row.Record)
	return row, err
}

func (r *Runner) read(ctx context.Context, key string) posting.Event {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	stored, err := r.options.Table.Get(ctx, platform.PostingsTable, key)
	if err != nil {
		return posting.ReadFailed{}
	}
	if stored == nil {
		return posting.RowRead{}
	}
	row, err := decodeRow(stored.Version, stored.Value)
	if err != nil {
		log.Errorf("failed to decode row %q: %v", key, err)
		return posting.ReadFailed{}
	}
	return posting.RowRead{Row: row}
}

func (r *Runner) askStatus(ctx context.Context, action posting.AskStatus) posting.Event {
	if action.Daemon == r.options.Daemon {
		return posting.StatusReplied{Status: r.ClaimStatus(action.Attempt)}
	}
	if r.options.StatusClient == nil {
		return posting.StatusFailed{}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := r.options.StatusClient.ClaimStatus(ctx, action.Daemon, action.Attempt)
	if err != nil {
		log.Debugf("daemon %s did not report the status of attempt %s: %v", action.Daemon, action.Attempt, err)
		return posting.StatusFailed{}
	}
	return posting.StatusReplied{Status: status}
}
