package command

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/daemon"
	emulatedengine "github.com/hyssophoist/hyssophoist/internal/emulator/engine"
	emulatedplatform "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	emulatedservice "github.com/hyssophoist/hyssophoist/internal/emulator/service"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

const (
	devKey         = "dev-key"
	devAdminToken  = "dev-admin"
	devModel       = "demo"
	devService     = "ledger"
	devZone        = "dev-a"
	devLayers      = 24
	devStages      = 3
	devBodyBytes   = 1 << 20
	devTimeout     = 60 // seconds
	devQueueLength = 256
	devMaxTokens   = 4096
)

func newDev() *cobra.Command {
	s := &settings.Settings{Daemon: "dev", Zone: devZone, AdminTokens: []string{devAdminToken}}
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a daemon with emulated engines, a plain service and a platform in one process",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runDev(command.Context(), s, command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&s.Caller.Address, "caller-address", "127.0.0.1:8080", "`host:port` of the caller API")
	command.Flags().StringVar(&s.Admin.Address, "admin-address", "127.0.0.1:8081",
		"`host:port` of the administration API, /metrics, /healthz and /readyz")
	return command
}

// runDev runs a daemon and the emulators until ctx ends.
func runDev(ctx context.Context, s *settings.Settings, out io.Writer) error {
	emulators := &emulators{}
	defer emulators.close()
	preset, err := emulators.start()
	if err != nil {
		return err
	}
	s.Platform.URL = emulators.platformURL
	// No drain delay (-1), since there is no load balancer that must notice that the daemon is not ready.
	return daemon.Run(ctx, func(d *daemon.Daemon) { printCommands(out, d) }, modules(s, preset, -1)...)
}

// emulators holds the emulated systems of the development mode, each on a free port of the loopback address.
type emulators struct {
	platformURL string
	servers     []*http.Server
	closers     []func()
}

// start starts the emulators and returns a preset whose targets are the emulated engines and the emulated service.
func (e *emulators) start() (*entity.Preset, error) {
	hash := sha256.Sum256([]byte(devKey))
	preset := &entity.Preset{
		Name: "dev", Kind: entity.OrdinaryPreset, Revision: 1, Objective: entity.RecoveryObjective,
		Models: []entity.Model{{ID: devModel, Layers: devLayers, MaxTokens: devMaxTokens}},
		Services: []entity.Service{{
			ID: devService, TimeoutSeconds: 10,
			Idempotent: []entity.Call{{Method: http.MethodGet, PathPrefix: "/"}},
		}},
		Accounts: []entity.Account{{ID: "dev", KeySHA256: []string{hex.EncodeToString(hash[:])}, Weight: 1}},
		Limits: entity.Limits{
			QueueLength: devQueueLength, BodyBytes: devBodyBytes, TimeoutSeconds: devTimeout,
		},
	}
	for i := range devStages {
		if err := e.startEngine(preset, i); err != nil {
			return nil, err
		}
	}
	if err := e.startService(preset); err != nil {
		return nil, err
	}
	return preset, e.startPlatform(preset)
}

func (e *emulators) startEngine(preset *entity.Preset, stage int) error {
	id := fmt.Sprintf("engine-%d", stage+1)
	layers := entity.LayerRange{From: stage * devLayers / devStages, To: (stage + 1) * devLayers / devStages}
	engine := emulatedengine.New(emulatedengine.Options{
		Target: id, Model: devModel, From: layers.From, To: layers.To, ModelLayers: devLayers,
	})
	url, err := e.serve(engine, engine.Close)
	preset.Targets = append(preset.Targets, entity.Target{
		ID: entity.TargetID(id), Kind: entity.EngineTarget, URL: url, Zone: devZone, Model: devModel, Layers: layers,
	})
	return err
}

func (e *emulators) startService(preset *entity.Preset) error {
	id := devService + "-1"
	service := emulatedservice.New(emulatedservice.Options{
		Target: id, Latency: 5 * time.Millisecond, ChecksFencing: true,
	})
	url, err := e.serve(service, service.Close)
	preset.Targets = append(preset.Targets, entity.Target{
		ID: entity.TargetID(id), Kind: entity.ServiceTarget, URL: url, Zone: devZone, Service: devService,
		ChecksFencing: true,
	})
	return err
}

func (e *emulators) startPlatform(preset *entity.Preset) error {
	var instances []platformapi.Instance
	for _, target := range preset.Targets {
		instances = append(instances, platformapi.Instance{
			ID: string(target.ID), Kind: string(target.Kind), Address: target.URL[len("http://"):],
			Zone: devZone, State: "live",
		})
	}
	emulated := emulatedplatform.New(emulatedplatform.Options{Instances: instances})
	var err error
	e.platformURL, err = e.serve(emulated, emulated.Close)
	return err
}

// serve starts an HTTP server for a handler on a free port and returns its URL.
func (e *emulators) serve(handler http.Handler, closeHandler func()) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	e.servers = append(e.servers, server)
	e.closers = append(e.closers, closeHandler)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fmt.Printf("emulator on %s failed: %v\n", listener.Addr(), err)
		}
	}()
	return "http://" + listener.Addr().String(), nil
}

func (e *emulators) close() {
	for i, server := range e.servers {
		e.closers[i]()
		_ = server.Close() // the process exits, so errors do not matter
	}
}

// printCommands prints the ready line and example commands.
func printCommands(out io.Writer, d *daemon.Daemon) {
	caller, admin := "http://"+d.CallerAddress(), "http://"+d.AdminAddress()
	fmt.Fprintf(out, "ready: callers on %s (key %s), administration on %s (token %s); Ctrl-C ends it\n\n", caller, devKey,
		admin, devAdminToken)
	fmt.Fprintf(out, `Commands to try:
  curl -s %[1]s/v1/models -H 'Authorization: Bearer %[3]s'
  curl -s %[1]s/v1/completions -H 'Authorization: Bearer %[3]s' -d '{"model":"%[4]s","prompt":"How much soap is left?","max_tokens":16}'
  curl -sN %[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -d '{"model":"%[4]s","stream":true,"messages":[{"role":"user","content":"Hello"}]}'
  curl -s %[1]s/services/%[5]s/balances/ana -H 'Authorization: Bearer %[3]s'
  curl -s %[1]s/services/%[5]s/postings -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: first' -d '{"account":"ana","amount":25}'
  curl -s %[1]s/v1/outcomes/%[5]s/first -H 'Authorization: Bearer %[3]s'
  curl -s %[2]s/readyz
  curl -s %[2]s/metrics
`, caller, admin, devKey, devModel, devService)
}
