package test

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/internal/certs/certtest"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

// TestTLSOnAllListeners guards against listeners for callers, administration or peers that ignore their TLS settings or
// do not work with them. The second daemon cannot read the platform, so it learns of the change only over the TLS
// connection between the daemons.
func TestTLSOnAllListeners(t *testing.T) {
	t.Parallel()
	f := deployFleet(t, nil, nil)
	directory := t.TempDir()
	peerTLS := settings.TLS{CertFile: filepath.Join(directory, "cert.pem"), KeyFile: filepath.Join(directory, "key.pem")}
	peers := reserveAddresses(2)
	certtest.WritePair(t, peerTLS, 1, peers...)
	certificate, err := os.ReadFile(peerTLS.CertFile)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(certificate)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	presetFile := filepath.Join(directory, "preset.json")
	writeJSON(t, presetFile, f.preset)
	for i := range peers {
		peers[i] = fmt.Sprintf("%s:%d", peers[i], peerPort)
	}
	platformProxy := f.newProxy(f.platform.address(0))
	peerTLS.ClientCAFile = peerTLS.CertFile
	publicTLS := peerTLS
	publicTLS.ClientCAFile = ""
	var procs []*process
	for i, name := range []string{"a1", "b1"} {
		file := filepath.Join(directory, name+".json")
		writeJSON(t, file, settings.Settings{
			Daemon: name, Zone: name[:1], AdminTokens: []string{adminToken}, PeerToken: "peers", PresetFile: presetFile,
			Caller:   settings.Listener{Address: "127.0.0.1:0", TLS: &publicTLS},
			Admin:    settings.Listener{Address: "127.0.0.1:0", TLS: &publicTLS},
			Peer:     settings.Listener{Address: peers[i], TLS: &peerTLS},
			Platform: settings.Platform{URL: []string{"http://" + f.platform.address(0), platformProxy.URL()}[i]},
			Peers:    []settings.PeerAddress{{Address: peers[1-i], Zone: []string{"b", "a"}[i]}},
		})
		procs = append(procs, startProcess(t, name, "serve", "--settings", file))
	}
	platformProxy.RefuseNew(true)
	platformProxy.Reset()
	send := func(method, url, body string) int {
		request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+testKey)
		if strings.Contains(url, "/admin/") {
			request.Header.Set("Authorization", "Bearer "+adminToken)
		}
		request.Header.Set(adminapi.OperatorHeader, "operator")
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	for _, p := range procs {
		if status := send(http.MethodGet, "https://"+p.address(0)+"/v1/models", ""); status != http.StatusOK {
			t.Errorf("the caller listener of %s responds over TLS with status %d", p.name, status)
		}
		for n := range 2 {
			if status := send(http.MethodGet, "http://"+p.address(n)+"/v1/models", ""); status == http.StatusOK {
				t.Errorf("listener %d of %s accepts plain HTTP", n, p.name)
			}
		}
	}
	marks := `{"expected_version":1,"marks":[{"id":"ledger-1","state":"leave"}]}`
	if status := send(http.MethodPost, "https://"+procs[0].address(1)+adminapi.MarksPath, marks); status != http.StatusOK {
		t.Fatalf("the marks request has status %d", status)
	}
	waitFor(t, "the mark at the other daemon", func() bool {
		var status adminapi.Status
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
			"https://"+procs[1].address(1)+adminapi.StatusPath, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+adminToken)
		request.Header.Set(adminapi.OperatorHeader, "operator")
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return json.NewDecoder(response.Body).Decode(&status) == nil && status.Version == 2
	})
}
