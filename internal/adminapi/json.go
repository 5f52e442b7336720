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

// defaultRetryAfter is sent if a retry can succeed and the error carries no delay.
const defaultRetryAfter = 2 * time.Second

// readJSON decodes a body that consists of a single JSON value. Unknown fields are rejected, so that a misspelt field
// is not silently ignored.
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
	return errkind.Wrap(errkind.BadRequest, err, "the body could not be decoded")
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
		log.Debugf("failed to send response: %v", err)
	}
}

func writeError(w http.ResponseWriter, err error) {
	kind := errkind.Of(err)
	response := errkind.ResponseFor(kind)
	body := adminapi.ErrorBody{Error: adminapi.Error{
		Kind: string(kind), Message: errkind.MessageOf(err), Run: string(errkind.RunOf(err)), Conflict: conflictOf(err),
	}}
	if response.Retry {
		after, ok := errkind.RetryAfterOf(err)
		if !ok {
			after = defaultRetryAfter
		}
		body.Error.RetryAfterSeconds = after.Seconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	writeJSON(w, response.Status, body)
}

func conflictOf(err error) *adminapi.Conflict {
	storeConflict := configstore.AsConflict(err)
	if storeConflict == nil {
		return nil
	}
	conflict := &adminapi.Conflict{}
	if storeConflict.Current != nil {
		conflict.Version = storeConflict.Current.Version
		conflict.Preset = adminapi.PresetRef(storeConflict.Current.Preset)
		conflict.ChangedBy = storeConflict.Current.ChangedBy
		conflict.ChangedAt = storeConflict.Current.ChangedAt
	}
	if storeConflict.LastChange != nil {
		conflict.Change = storeConflict.LastChange.Change.Summary()
	}
	return conflict
}
