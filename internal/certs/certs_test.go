package certs

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/certs/certtest"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

func handshake(server, client *tls.Config) (int64, error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	serverResult := make(chan error, 1)
	go func() { serverResult <- tls.Server(a, server).Handshake() }()
	conn := tls.Client(b, client)
	if err := conn.Handshake(); err != nil {
		return 0, err
	}
	serial := conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	return serial, <-serverResult
}

// TestReplacedCertificateIsUsed guards against a replaced certificate that is used only after a restart, and against
// handshakes that fail while the key file is partly written.
func TestReplacedCertificateIsUsed(t *testing.T) {
	directory := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(directory, "c.pem"), KeyFile: filepath.Join(directory, "k.pem")}
	certtest.WritePair(t, files, 1)
	reloader, err := NewReloader(files)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	reloader.now = func() time.Time { return now }
	client := &tls.Config{InsecureSkipVerify: true}
	expect := func(want int64) {
		t.Helper()
		serial, err := handshake(reloader.ServerConfig(), client)
		if err != nil || serial != want {
			t.Fatalf("serial %d, error %v; want serial %d", serial, err, want)
		}
	}
	expect(1)
	if err := os.WriteFile(files.KeyFile, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	expect(1)
	certtest.WritePair(t, files, 2)
	now = now.Add(time.Minute)
	expect(2)
}

// TestClientCertificateIsRequired guards against accepting daemons without a certificate of the deployment's CA.
func TestClientCertificateIsRequired(t *testing.T) {
	directory := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(directory, "c.pem"), KeyFile: filepath.Join(directory, "k.pem")}
	files.ClientCAFile = files.CertFile
	certtest.WritePair(t, files, 1)
	reloader, err := NewReloader(files)
	if err != nil {
		t.Fatal(err)
	}
	client := reloader.ClientConfig()
	client.ServerName = "127.0.0.1"
	if _, err := handshake(reloader.ServerConfig(), client); err != nil {
		t.Errorf("handshake with the deployment's certificate failed: %v", err)
	}
	client.GetClientCertificate = nil
	client.MaxVersion = tls.VersionTLS12 // a TLS 1.3 client sees the rejection only at its first read
	if _, err := handshake(reloader.ServerConfig(), client); err == nil {
		t.Error("handshake without a client certificate succeeded")
	}
}
