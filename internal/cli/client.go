// Package cli implements hyssophoistctl, the operators' command line.
package cli

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

const (
	maxResponseBytes = 64 << 20
	// administrationAPI names the API in messages of errors.
	administrationAPI = "the administration API"

	// changeAttempts is the number of times a change is sent while no response arrives. All attempts carry the same
	// change id, so the change takes effect once.
	changeAttempts = 3
	retryPause     = 500 * time.Millisecond
)

// APIError is an error response of the administration API.
type APIError struct {
	Status int
	Body   adminapi.Error
}

// Error implements error.
func (e *APIError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Body.Kind, e.Body.Message)
	if c := e.Body.Conflict; c != nil {
		text += fmt.Sprintf("\nin force: version %d, preset %s/%d, changed by %s at %s",
			c.Version, c.Preset.Name, c.Preset.Revision, c.ChangedBy, c.ChangedAt.Format(time.RFC3339))
		if c.Change != "" {
			text += "\nlast change: " + c.Change
		}
	}
	return text
}

// UnreachableError reports that no valid response came from the administration API, or from Peer.
type UnreachableError struct {
	Err error
	// OutcomeUnknown reports that a change was sent and may have taken effect.
	OutcomeUnknown bool
	// Peer names what was called; the administration API if empty.
	Peer string
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s gave no valid response: %v", cmp.Or(e.Peer, administrationAPI), e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client calls the administration API.
type Client struct {
	baseURL  string
	token    string
	operator string
	http     *http.Client
	// peer names what is called in messages of errors.
	peer string
}

// NewClient returns a client of the API at baseURL, such as "http://127.0.0.1:8081". caFile, if not empty, is a PEM
// file with the CA certificates to trust in place of those of the system.
func NewClient(baseURL, token, operator, caFile string, timeout time.Duration) (*Client, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, usageErrorf("address %q is not a URL such as http://127.0.0.1:8081", baseURL)
	}
	transport := &http.Transport{}
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, usageErrorf("read certificates: %v", err)
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, usageErrorf("file %s contains no certificate", caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots}
	}
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"), token: token, operator: operator, peer: administrationAPI,
		http: &http.Client{Transport: transport, Timeout: timeout},
	}, nil
}

// get reads a resource into out.
func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, "", nil, out)
}

// change sends a change, and repeats it under the same id while no response arrives, up to changeAttempts times in all.
func (c *Client) change(ctx context.Context, path, changeID string, body, out any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		err = c.call(ctx, http.MethodPost, path, changeID, encoded, out)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) {
			return err
		}
		outcomeUnknown = outcomeUnknown || !errors.Is(unreachable.Err, syscall.ECONNREFUSED)
		unreachable.OutcomeUnknown = outcomeUnknown
		if attempt == changeAttempts || !timing.Sleep(ctx, retryPause) {
			return err
		}
	}
}

func (c *Client) call(ctx context.Context, method, path, changeID string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return usageErrorf("build request: %v", err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
		request.Header.Set(adminapi.OperatorHeader, c.operator)
	}
	if changeID != "" {
		request.Header.Set(adminapi.ChangeIDHeader, changeID)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{Err: err, Peer: c.peer}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &UnreachableError{Err: err, Peer: c.peer}
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(c.peer, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, out); err != nil {
		return &UnreachableError{Err: fmt.Errorf("decode response: %w", err), Peer: c.peer}
	}
	return nil
}

func decodeError(peer string, status int, content []byte) error {
	var body adminapi.ErrorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Error.Kind == "" {
		return &APIError{Status: status, Body: adminapi.Error{
			Kind: string(errkind.Internal), Message: fmt.Sprintf("response with status %d is not from %s", status, peer),
		}}
	}
	return &APIError{Status: status, Body: body.Error}
}

func (c *Client) status(ctx context.Context) (result adminapi.Status, err error) {
	return result, c.get(ctx, adminapi.StatusPath, &result)
}

func (c *Client) createPreset(
	ctx context.Context, preset *entity.Preset, changeID string,
) (result adminapi.PresetRef, err error) {
	return result, c.change(ctx, adminapi.PresetsPath, changeID, preset, &result)
}

func (c *Client) switchPreset(ctx context.Context, request adminapi.Switch) (result adminapi.Accepted, err error) {
	return result, c.change(ctx, adminapi.SwitchPath, "", request, &result)
}

func (c *Client) mark(ctx context.Context, request adminapi.Marks) (result adminapi.Accepted, err error) {
	return result, c.change(ctx, adminapi.MarksPath, "", request, &result)
}

// findChange looks for a change among the latest 200 entries of the audit trail. It returns nil if it is not there.
func (c *Client) findChange(ctx context.Context, changeID string) (*adminapi.Accepted, error) {
	var audit adminapi.Audit
	if err := c.get(ctx, adminapi.AuditPath+"?limit=200", &audit); err != nil {
		return nil, err
	}
	for _, entry := range audit.Entries {
		if entry.ChangeID == changeID {
			return &adminapi.Accepted{Version: entry.Version, ChangeID: changeID}, nil
		}
	}
	return nil, nil
}
