// Package targethttp makes the HTTP transports for calls to engines and plain services.
package targethttp

import (
	"net"
	"net/http"
	"time"
)

const (
	// MaxIdlePerTarget is high enough to keep connections open between bursts; the platform's servers allow several
	// thousand connections each.
	MaxIdlePerTarget = 64

	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
)

// NewTransport returns a transport without HTTP/2 and compression that keeps up to maxIdlePerHost idle connections for
// each target.
func NewTransport(maxIdlePerHost int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		Protocols:           protocols,
	}
}
