package adminapi

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
)

// defaultRetryAfter is stated where a retry can help and the error gives no time.
const defaultRetryAfter = 2 * time.Second

// readJSON decodes the only JSON value of a body and refuses unknown fields, so that a misspelt one is noticed.
func readJSON(r *http.Request, value any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("data follows the JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errkind.New(errkind.BadRequest, "the body is empty or truncated JSON")
	}
	return errkind.Wrap(errkind.BadRequest, err, "decode body")
}

// badRequest returns err if it has a kind of its own, and otherwise an error of kind errkind.BadRequest.
func badRequest(err error, format string, args ...any) error {
	if errkind.Of(err) != errkind.Internal {
		return err
	}
	return errkind.Wrap(errkind.BadRequest, err, format, args...)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		log.Debugf("response was not sent: %v", err)
	}
}

func writeError(w http.ResponseWriter, err error) {
	kind := errkind.Of(err)
	answer := errkind.ResponseFor(kind)
	body := adminapi.ErrorBody{Error: adminapi.Error{
		Kind: string(kind), Message: errkind.MessageOf(err), Run: string(errkind.RunOf(err)), Conflict: conflictOf(err),
	}}
	if answer.Retry {
		after, ok := errkind.RetryAfterOf(err)
		if !ok {
			after = defaultRetryAfter
		}
		body.Error.RetryAfterSeconds = after.Seconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	writeJSON(w, answer.Status, body)
}

func conflictOf(err error) *adminapi.Conflict {
	found := configstore.AsConflict(err)
	if found == nil {
		return nil
	}
	conflict := &adminapi.Conflict{}
	if found.Current != nil {
		conflict.Version = found.Current.Version
		conflict.Preset = adminapi.PresetRef(found.Current.Preset)
		conflict.ChangedBy = found.Current.ChangedBy
		conflict.ChangedAt = found.Current.ChangedAt
	}
	if found.LastChange != nil {
		conflict.Change = found.LastChange.Change.Summary()
	}
	return conflict
}
