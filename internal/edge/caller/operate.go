package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// KeyVariable is the environment variable that holds the API key.
const KeyVariable = "BURDOCKRUDDER_KEY"

// ReadKey reads the API key from a file, or from KeyVariable if file is empty.
func ReadKey(file string) (string, error) {
	if file == "" {
		return strings.TrimSpace(os.Getenv(KeyVariable)), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read key file: %w", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// Settings returns the current settings.
func (c *Client) Settings(ctx context.Context) (translator.Settings, error) {
	var settings translator.Settings
	err := c.get(ctx, "/v1/settings", &settings)
	return settings, err
}

// SettingsVersion returns one accepted settings change with its tree.
func (c *Client) SettingsVersion(ctx context.Context, version uint64) (translator.SettingsChange, error) {
	var change translator.SettingsChange
	err := c.get(ctx, "/v1/settings/"+strconv.FormatUint(version, 10), &change)
	return change, err
}

// SettingsHistory returns at most limit accepted settings changes, newest first.
func (c *Client) SettingsHistory(ctx context.Context, limit int) (translator.History, error) {
	var history translator.History
	err := c.get(ctx, "/v1/settings/history?limit="+strconv.Itoa(limit), &history)
	return history, err
}

// SetSettings replaces the settings, whose current version must be expected, with text,
// which is JSON with comments. The change is not sent again after an entry may have
// received it, because the second try would report a version conflict with the first.
func (c *Client) SetSettings(ctx context.Context, expected uint64, text []byte, reason string) (translator.Settings, error) {
	header := http.Header{}
	header.Set("If-Match", `"`+strconv.FormatUint(expected, 10)+`"`)
	header.Set(translator.ReasonHeader, reason)
	var settings translator.Settings
	request := call{method: http.MethodPut, path: "/v1/settings", header: header, raw: text, atMostOnce: true}
	err := c.call(ctx, request, &settings)
	return settings, err
}

// ValidateSettings returns the errors in a settings text without changing the settings.
func (c *Client) ValidateSettings(ctx context.Context, text []byte) (translator.Findings, error) {
	var findings translator.Findings
	err := c.call(ctx, call{method: http.MethodPost, path: "/v1/settings/validate", raw: text}, &findings)
	return findings, err
}

// TakeOut takes a failure domain out, so that no further tasks start in it.
func (c *Client) TakeOut(ctx context.Context, firm, place, domain, reason string) (translator.DomainChanged, error) {
	return c.changeDomain(ctx, firm, place, domain, "take-out", reason)
}

// BringBack brings a failure domain back after a take-out.
func (c *Client) BringBack(ctx context.Context, firm, place, domain, reason string) (translator.DomainChanged, error) {
	return c.changeDomain(ctx, firm, place, domain, "bring-back", reason)
}

func (c *Client) changeDomain(ctx context.Context, firm, place, domain, verb, reason string) (translator.DomainChanged, error) {
	var changed translator.DomainChanged
	path := domainsPath(firm, place) + "/" + url.PathEscape(domain) + "/" + verb
	err := c.call(ctx, call{method: http.MethodPost, path: path, body: translator.DomainChange{Reason: reason}}, &changed)
	return changed, err
}

func domainsPath(firm, place string) string {
	return "/v1/firms/" + url.PathEscape(firm) + "/places/" + url.PathEscape(place) + "/failure_domains"
}

// Domains returns the failure domains of a place with their endpoints.
func (c *Client) Domains(ctx context.Context, firm, place string) (translator.Domains, error) {
	var domains translator.Domains
	err := c.get(ctx, domainsPath(firm, place), &domains)
	return domains, err
}

// Endpoints returns the endpoints that the key may see.
func (c *Client) Endpoints(ctx context.Context) (translator.Endpoints, error) {
	var endpoints translator.Endpoints
	err := c.get(ctx, "/v1/endpoints", &endpoints)
	return endpoints, err
}

// Status returns the state of the entry that handles the request.
func (c *Client) Status(ctx context.Context) (translator.Status, error) {
	var status translator.Status
	err := c.get(ctx, "/v1/status", &status)
	return status, err
}

func (c *Client) get(ctx context.Context, path string, target any) error {
	return c.call(ctx, call{method: http.MethodGet, path: path}, target)
}
