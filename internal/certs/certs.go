// Package certs builds TLS configurations whose certificate files are read again when they change, so that keys are
// replaced without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

// checkInterval bounds how often the files are examined; handshakes in between use the loaded certificate.
const checkInterval = time.Second

var log = logging.For("certs")

// Reloader holds the certificate of a listener. It is safe for concurrent use.
type Reloader struct {
	files settings.TLS
	now   func() time.Time

	mu        sync.Mutex
	loaded    *credentials
	checkedAt time.Time
}

// material is what the files held when they were last read.
type credentials struct {
	certificate tls.Certificate
	clientCAs   *x509.CertPool
	modTimes    [3]time.Time
}

// NewReloader reads the files. It returns an error if one of them cannot be read or they do not belong together.
func NewReloader(files settings.TLS) (*Reloader, error) {
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, now: time.Now, loaded: loaded, checkedAt: time.Now()}, nil
}

// ServerConfig returns the configuration of a listener. With a client CA file, clients must present a certificate that
// one of its authorities signed.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := r.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{current.certificate}}
			if current.clientCAs != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = current.clientCAs
			}
			return config, nil
		},
	}
}

// ClientConfig returns the configuration of connections to other daemons. It presents the certificate and accepts
// servers that an authority of the client CA file signed, or the system's authorities if there is none.
func (r *Reloader) ClientConfig() *tls.Config {
	current := r.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    current.clientCAs,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current().certificate, nil
		},
	}
}

// current returns the loaded material and reads the files again if one has changed. Files that are unreadable or do
// not match, as happens while they are being replaced, leave the loaded material in use.
func (r *Reloader) current() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.checkedAt) < checkInterval {
		return r.loaded
	}
	r.checkedAt = r.now()
	modified, err := modificationTimes(r.files)
	if err == nil && modified == r.loaded.modTimes {
		return r.loaded
	}
	reloaded, err := load(r.files)
	if err != nil {
		log.Warningf("certificate files could not be read again: %v", err)
		return r.loaded
	}
	log.Infof("certificate %s was read again", r.files.CertFile)
	r.loaded = reloaded
	return reloaded
}

func load(files settings.TLS) (*credentials, error) {
	modified, err := modificationTimes(files)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	loaded := &credentials{certificate: certificate, modTimes: modified}
	if files.ClientCAFile == "" {
		return loaded, nil
	}
	caPEM, err := os.ReadFile(files.ClientCAFile)
	if err != nil {
		return nil, fmt.Errorf("read client authorities: %w", err)
	}
	loaded.clientCAs = x509.NewCertPool()
	if !loaded.clientCAs.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("client CA file holds no certificate in PEM form")
	}
	return loaded, nil
}

func modificationTimes(files settings.TLS) ([3]time.Time, error) {
	var modified [3]time.Time
	for i, path := range []string{files.CertFile, files.KeyFile, files.ClientCAFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return modified, err
		}
		modified[i] = info.ModTime()
	}
	return modified, nil
}
