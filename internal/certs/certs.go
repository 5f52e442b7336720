// Package certs builds TLS configurations that reload their certificate files when these change, so that keys can be
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

// checkInterval is the minimum time between two checks of the files; handshakes in between use the loaded certificate.
const checkInterval = time.Second

var log = logging.For("certs")

// Reloader holds the certificate of a listener and reloads it when its files change. It is safe for concurrent use.
type Reloader struct {
	files settings.TLS
	now   func() time.Time

	mu        sync.Mutex
	loaded    *credentials
	checkedAt time.Time
}

// credentials is the content of the files when they were last loaded, with their modification times.
type credentials struct {
	certificate tls.Certificate
	clientCAs   *x509.CertPool
	modTimes    [3]time.Time
}

// NewReloader loads the files. It returns an error if one of them cannot be read or is invalid, or if the key does not
// match the certificate.
func NewReloader(files settings.TLS) (*Reloader, error) {
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, now: time.Now, loaded: loaded, checkedAt: time.Now()}, nil
}

// ServerConfig returns the configuration of a listener. With a client CA file, clients must present a certificate that
// is signed by one of the CAs in the file.
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

// ClientConfig returns the configuration of connections to other daemons. The client presents the loaded certificate
// and accepts servers whose certificate is signed by a CA in the client CA file or, without such a file, by a system CA.
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

// current returns the loaded credentials, after reloading the files if one of them has changed. If the files cannot be
// read or do not match, as happens while they are being replaced, the loaded credentials remain in use.
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
		log.Warningf("failed to reload certificate files: %v", err)
		return r.loaded
	}
	log.Infof("reloaded certificate %s", r.files.CertFile)
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
		return nil, fmt.Errorf("read client CA file: %w", err)
	}
	loaded.clientCAs = x509.NewCertPool()
	if !loaded.clientCAs.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("client CA file contains no PEM certificate")
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
