package postingstore

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/posting"
)

// responseFor returns the response or error that an answer stands for.
func (r *Runner) responseFor(ctx context.Context, key string, answer posting.Answer, cause error) (*Response, error) {
	if answer.Result != nil {
		return r.loadResponse(ctx, answer.Result)
	}
	var err = errkind.New(answer.Kind, "posting %q: %s", key, answer.Kind)
	if cause != nil {
		err = errkind.Wrap(answer.Kind, cause, "service call of posting %q failed", key)
	}
	err = errkind.WithRun(err, answer.Run)
	if answer.RetryAfter > 0 {
		err = errkind.WithRetryAfter(err, answer.RetryAfter)
	}
	return nil, err
}

func (e *execution) responseFor(answer posting.Answer) (*Response, error) {
	return e.Runner.responseFor(e.ctx, e.key, answer, e.sendErr)
}

// loadResponse returns a stored response.
func (r *Runner) loadResponse(ctx context.Context, result *posting.Result) (*Response, error) {
	encoded := []byte(result.Inline)
	if result.Object != "" {
		ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
		defer cancel()
		stored, err := r.options.Objects.GetObject(ctx, result.Object)
		if err == nil && stored == nil {
			err = errkind.New(errkind.NotFound, "object %q does not exist", result.Object)
		}
		if err != nil {
			// The posting has run, but its response cannot be read now.
			err := errkind.Wrap(errkind.PlatformUnavailable, err, "stored response cannot be read")
			return nil, errkind.WithRun(err, errkind.Unknown)
		}
		encoded = stored
	}
	var response Response
	if err := json.Unmarshal(encoded, &response); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "decode stored response")
	}
	if response.Header == nil {
		response.Header = make(http.Header)
	}
	return &response, nil
}

// Outcome returns the stored response of an idempotency key. Error kinds: NotFound for a key without a claim,
// InProgress, OutcomeUnknown, TargetRefused with NotRun for a key that has not run, PlatformUnavailable with Unknown.
func (r *Runner) Outcome(ctx context.Context, account entity.AccountID, id entity.ServiceID,
	idempotencyKey string) (*Response, error) {
	key := rowKey(account, id, idempotencyKey)
	if response, err, ok := r.pendingResponse(key, ""); ok {
		return response, err
	}
	answer, ok := r.lookUp(ctx, key)
	if !ok {
		return nil, errkind.WithRun(errkind.New(errkind.PlatformUnavailable, "outcome of %q cannot be read", key),
			errkind.Unknown)
	}
	return r.responseFor(ctx, key, answer, nil)
}

// lookUp returns the answer for a row key, or false if the row cannot be read.
func (r *Runner) lookUp(ctx context.Context, key string) (posting.Answer, bool) {
	read, ok := r.read(ctx, key).(posting.RowRead)
	for range maxLookups {
		if !ok {
			return posting.Answer{}, false
		}
		answer, complete := posting.Lookup(read.Row)
		if complete {
			return answer, true
		}
		record := read.Row.Record
		event := r.askStatus(ctx, posting.AskStatus{Daemon: record.Daemon, Attempt: record.Attempt})
		answer = posting.LookupStatus(r.options.Now(), read.Row, event)
		if answer.Kind == errkind.InProgress {
			return answer, true
		}
		// Between the read and the reply, the claiming daemon may have stored the outcome, or another daemon may have
		// taken over the claim.
		askedVersion := read.Row.Version
		read, ok = r.read(ctx, key).(posting.RowRead)
		if ok && read.Row.Version == askedVersion {
			return answer, true
		}
	}
	return posting.Answer{Kind: errkind.InProgress, Run: errkind.Unknown}, true
}
