// Package wire holds the HTTP helpers that the emulators share.
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

// MaxBodyBytes bounds the body of one request, in bytes.
const MaxBodyBytes = 32 << 20

// errorBody has the form of the error bodies of both protocols.
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

// WriteJSON writes value as the response with the given status. A connection that has closed is not an error here.
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

// WriteTagged writes value with status 200 and an entity tag, or 304 without a body if the request names the tag.
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

// WriteError writes an error body with the given status.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	WriteJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

// ReadBody reads the whole body of r, of at most MaxBodyBytes.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
}

// ReadJSON decodes the body of r into out and answers 400 if it cannot. It returns whether it could.
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

// DropConnection closes the connection of the current request without a response. It does not return.
func DropConnection() { panic(http.ErrAbortHandler) }
