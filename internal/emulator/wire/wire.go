// Package wire provides the HTTP helpers shared by the emulators.
package wire

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

// MaxBodyBytes is the maximum size of a request body, in bytes.
const MaxBodyBytes = 32 << 20

// errorBody has the form of engineapi.ErrorBody and platformapi.ErrorBody.
type errorBody struct {
	Error string `json:"error"`
}

// NewRouter returns a router whose path variables may hold escaped slashes. Read them with Var.
func NewRouter() *mux.Router { return mux.NewRouter().UseEncodedPath().SkipClean(true) }

// Var returns the unescaped path variable name of r.
func Var(r *http.Request, name string) string {
	raw := mux.Vars(r)[name]
	if value, err := url.PathUnescape(raw); err == nil {
		return value
	}
	return raw
}

// WriteJSON writes value as a JSON response with the given status. It ignores write errors, which mean that the client
// has disconnected.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

// WriteWithETag writes value as a JSON response with status 200 and an ETag, or 304 without a body if the If-None-Match
// header is that ETag.
func WriteWithETag(w http.ResponseWriter, r *http.Request, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(content), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

// WriteError writes a JSON error body with the given status.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	WriteJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

// ReadBody reads the body of r. It fails if the body is larger than MaxBodyBytes.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
}

// ReadJSON decodes the body of r into out and reports whether it succeeded. If not, it responds with status 400.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	body, err := ReadBody(w, r)
	if err == nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "decode request: %v", err)
		return false
	}
	return true
}

// DropConnection closes the connection of the current request without a response. It panics with http.ErrAbortHandler,
// which the HTTP server handles, and so does not return.
func DropConnection() { panic(http.ErrAbortHandler) }
