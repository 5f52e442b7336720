// Package settings reads the settings file of a daemon and preset files: JSON with comments and trailing commas.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// Settings is the settings file of one daemon.
type Settings struct {
	// Daemon is the unique id of this daemon; Zone is its availability zone.
	Daemon string `json:"daemon"`
	Zone   string `json:"zone"`
	// Caller, Admin and Peer are the listeners.
	Caller Listener `json:"caller"`
	Admin  Listener `json:"admin"`
	Peer   Listener `json:"peer"`
	// AdminTokens lists the accepted administration tokens.
	AdminTokens []string `json:"admin_tokens"`
	// PeerToken authenticates daemons to each other where TLS is not used.
	PeerToken string `json:"peer_token,omitempty"`
	// Peers lists the seed addresses: peer listeners through which this daemon finds the other daemons.
	Peers    []PeerAddress `json:"peers,omitempty"`
	Platform Platform      `json:"platform"`
	// PresetFile is the path of a preset that is stored and put in force if the platform holds no configuration yet.
	PresetFile string `json:"preset_file,omitempty"`
	// Verbosity is the klog verbosity.
	Verbosity int `json:"verbosity,omitempty"`
}

// Listener is one listening address.
type Listener struct {
	// Address is host:port with an IP address.
	Address string `json:"address"`
	// Advertise is the host:port announced to other daemons, if it differs from Address. Only the peer listener uses it;
	// connections to peers then also come from the IP address of Address.
	Advertise string `json:"advertise,omitempty"`
	TLS       *TLS   `json:"tls,omitempty"`
}

// TLS names the certificate files of a listener. They are reloaded when they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// ClientCAFile, if set, requires a client certificate signed by one of the CAs in the file.
	ClientCAFile string `json:"client_ca_file,omitempty"`
}

// PeerAddress is the address of another daemon.
type PeerAddress struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Platform configures access to the platform.
type Platform struct {
	// URL is the base address of the platform.
	URL string `json:"url"`
	// Timeout bounds one call; written as "2s" or "500ms".
	Timeout Duration `json:"timeout,omitzero"`
}

// Duration is a time.Duration written as text with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("must be a duration with a unit in quotes, such as \"2s\" or \"250ms\", not %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("must be a duration with a unit, such as \"2s\" or \"250ms\", not %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Load reads and checks the settings file at path, and checks that the files it names exist. The error is a Problems
// that lists every mistake with file, line and field, or the error of reading the file.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, content)
}

// Parse decodes and checks the content of a settings file. file is its path; relative paths in the content are resolved
// from its directory.
func Parse(file string, content []byte) (*Settings, error) {
	var settings Settings
	doc := decode(file, content, &settings)
	if len(doc.problems) == 0 {
		resolvePaths(&settings, filepath.Dir(file))
		checkSettings(doc, &settings)
	}
	if err := doc.err(); err != nil {
		return nil, err
	}
	return &settings, nil
}

func resolvePaths(s *Settings, directory string) {
	paths := []*string{&s.PresetFile}
	for _, listener := range []*Listener{&s.Caller, &s.Admin, &s.Peer} {
		if listener.TLS != nil {
			paths = append(paths, &listener.TLS.CertFile, &listener.TLS.KeyFile, &listener.TLS.ClientCAFile)
		}
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(directory, *path)
		}
	}
}

func checkSettings(doc *document, s *Settings) {
	requireText(doc, "daemon", s.Daemon)
	requireText(doc, "zone", s.Zone)
	checkListener(doc, "caller", s.Caller)
	checkListener(doc, "admin", s.Admin)
	if s.Peer.Address != "" || s.Peer.Advertise != "" || len(s.Peers) > 0 {
		checkListener(doc, "peer", s.Peer)
	}
	if len(s.AdminTokens) == 0 {
		doc.report("admin_tokens", "at least one administration token is required")
	}
	checkUnique(doc, "admin_tokens", "", s.AdminTokens)
	peers := make([]string, len(s.Peers))
	for i, peer := range s.Peers {
		peers[i] = peer.Address
		checkAddress(doc, fmt.Sprintf("peers[%d].address", i), peer.Address)
		requireText(doc, fmt.Sprintf("peers[%d].zone", i), peer.Zone)
	}
	checkUnique(doc, "peers", ".address", peers)
	checkURL(doc, "platform.url", s.Platform.URL)
	if s.Platform.Timeout < 0 {
		doc.report("platform.timeout", "must not be negative")
	}
	checkFile(doc, "preset_file", s.PresetFile)
}

func checkListener(doc *document, field string, listener Listener) {
	checkAddress(doc, field+".address", listener.Address)
	if listener.Advertise != "" {
		checkAddress(doc, field+".advertise", listener.Advertise)
	}
	if listener.TLS == nil {
		return
	}
	requireText(doc, field+".tls.cert_file", listener.TLS.CertFile)
	requireText(doc, field+".tls.key_file", listener.TLS.KeyFile)
	checkFile(doc, field+".tls.cert_file", listener.TLS.CertFile)
	checkFile(doc, field+".tls.key_file", listener.TLS.KeyFile)
	checkFile(doc, field+".tls.client_ca_file", listener.TLS.ClientCAFile)
}

func checkAddress(doc *document, field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		doc.reportf(field, "must be an IP address and port such as 10.0.0.7:8080, not %q", address)
	}
}

func checkURL(doc *document, field, text string) {
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		doc.reportf(field, "must be a URL such as http://10.0.0.2:7000, not %q", text)
	}
}

func checkFile(doc *document, field, path string) {
	if path == "" {
		return
	}
	if _, err := os.Stat(path); err != nil {
		doc.reportf(field, "file %q cannot be read: %v", path, errors.Unwrap(err))
	}
}

func requireText(doc *document, field, text string) {
	if text == "" {
		doc.report(field, "is required")
	}
}

// checkUnique reports each value that also occurs earlier in the list.
func checkUnique[T ~string](doc *document, list, suffix string, values []T) {
	seen := make(map[T]int, len(values))
	for i, value := range values {
		if first, ok := seen[value]; ok {
			doc.reportf(fmt.Sprintf("%s[%d]%s", list, i, suffix), "%q is already used by %s[%d]", value, list, first)
			continue
		}
		seen[value] = i
	}
}
