package peer

import (
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"testing"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/certs"
	"github.com/hyssophoist/hyssophoist/internal/certs/certtest"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

// claimHandler handles ClaimStatus; the other methods are not called.
type claimHandler struct{ Handler }

func (claimHandler) ClaimStatus(args *ClaimStatusArgs, reply *ClaimStatusReply) error {
	reply.State = ClaimState("state of " + string(args.Attempt))
	return nil
}

// TestCallsOverTLS guards against TLS connections between daemons that fail because no server name is set, and against
// peers that are accepted without a certificate of the deployment or with a wrong token.
func TestCallsOverTLS(t *testing.T) {
	directory := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(directory, "c.pem"), KeyFile: filepath.Join(directory, "k.pem")}
	files.ClientCAFile = files.CertFile
	certtest.WritePair(t, files, 1)
	reloader, err := certs.NewReloader(files)
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewServer(ServerOptions{Handler: claimHandler{}, Token: "token", TLS: reloader.ServerConfig()})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-serveErr; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	withoutCertificate := func() *tls.Config {
		config := reloader.ClientConfig()
		config.GetClientCertificate = nil
		return config
	}
	for _, test := range []struct {
		name    string
		options ClientOptions
		works   bool
	}{
		{"certificate and token", ClientOptions{Token: "token", TLS: reloader.ClientConfig}, true},
		{"wrong token", ClientOptions{Token: "other", TLS: reloader.ClientConfig}, false},
		{"no certificate", ClientOptions{Token: "token", TLS: withoutCertificate}, false},
		{"no TLS", ClientOptions{Token: "token"}, false},
	} {
		client := NewClient(test.options)
		var reply ClaimStatusReply
		err := client.Call(ctx, listener.Addr().String(), ClaimStatusCall, &ClaimStatusArgs{Attempt: entity.AttemptID("a")}, &reply)
		client.Close()
		if works := err == nil && reply.State == "state of a"; works != test.works {
			t.Errorf("%s: works %v, want %v (error %v)", test.name, works, test.works, err)
		}
	}
}
