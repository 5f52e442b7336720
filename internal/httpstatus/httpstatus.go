// Package httpstatus says what the status codes of responses mean for the request.
package httpstatus

import "net/http"

// maxFinal is the highest status code that HTTP defines a class for (RFC 9110, section 15).
const maxFinal = 599

// IsInterim reports whether a response with the status code is followed by another one on the same connection. 101 is not: what
// follows it is another protocol, which no request of this system asks for.
func IsInterim(code int) bool {
	return code >= http.StatusContinue && code < http.StatusOK && code != http.StatusSwitchingProtocols
}

// IsFinal reports whether the status code is one of a final response, from 200 to 599. net/http also reads codes from 0 to 99 and
// from 600 to 999, which no sender may write; what such a response says about the request is unknown.
func IsFinal(code int) bool { return code >= http.StatusOK && code <= maxFinal }

// PromisesNotRun reports whether callers take a response with the status code for a promise that the request has not run and never
// will. They then repeat even requests that may run only once.
func PromisesNotRun(code int) bool {
	switch code {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
