package launcher

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/edge/guard"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/storage/journaler"
	"github.com/burdockrudder/burdockrudder/internal/transport/authenticator"
)

// LogConfig sets the level and format of the log.
type LogConfig struct {
	// Level is debug, info, warn or error. Decisions are logged at info.
	Level string `json:"level"`
	// Format is json or console.
	Format string `json:"format"`
}

// HTTPCertificate names the PEM files for HTTPS.
type HTTPCertificate struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// EntryConfig is the settings file of an entry.
type EntryConfig struct {
	// Name is unique among the entries.
	Name string `json:"name"`
	// Listen is the UDP address, IP and port, for links from agents and entries.
	Listen string `json:"listen"`
	// Advertise is the address that agents and other entries dial; empty means Listen.
	Advertise string `json:"advertise"`
	// HTTPListen is the TCP address for callers and operators.
	HTTPListen string `json:"http_listen"`
	// HTTPTLS, if set, enables HTTPS for callers and operators.
	HTTPTLS *HTTPCertificate `json:"http_tls"`
	// PlatformURL is the base URL of the platform's table service.
	PlatformURL string `json:"platform_url"`
	// TLS names the PEM files for links.
	TLS authenticator.Files `json:"tls"`
	// RootKeySHA256 is the SHA-256 of the root operator key, which may change everything.
	RootKeySHA256 string `json:"root_key_sha256"`
	// JournalWritesPerSecond is this entry's share of the table's write budget.
	JournalWritesPerSecond float64 `json:"journal_writes_per_second"`
	// RowRetention is how long the rows of a settled submission are kept. A later
	// resubmission runs the submission again.
	RowRetention resolver.Duration `json:"row_retention"`
	// TraceFile, if set, is the file to which the events of the decision code are recorded.
	TraceFile string `json:"trace_file"`
	// TraceMaxBytes limits the size of the trace; recording stops at that size.
	TraceMaxBytes int64 `json:"trace_max_bytes"`
	// MetricsListen, if set, is the TCP address that serves /metrics without a key.
	MetricsListen string `json:"metrics_listen"`
	// Guard bounds what clients take.
	Guard guard.Settings `json:"guard"`
	Log   LogConfig      `json:"log"`
}

// AgentConfig is the settings file of an agent.
type AgentConfig struct {
	// Name is unique among the agents of all firms.
	Name          string `json:"name"`
	Firm          string `json:"firm"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
	// Entries are the UDP addresses of entries that are always dialed, also before the
	// directory is known.
	Entries []string `json:"entries"`
	// EndpointURL is the URL to which tasks for the endpoint are sent.
	EndpointURL string `json:"endpoint_url"`
	// AnnounceListen is the TCP address on which the endpoint announces itself.
	AnnounceListen string `json:"announce_listen"`
	// DrainTimeout limits the wait for running tasks in a graceful stop.
	DrainTimeout  resolver.Duration   `json:"drain_patience"`
	TLS           authenticator.Files `json:"tls"`
	MetricsListen string              `json:"metrics_listen"`
	// Guard bounds what clients take.
	Guard guard.Settings `json:"guard"`
	Log   LogConfig      `json:"log"`
}

const (
	defaultJournalWrites = 100
	defaultTraceBytes    = 256 << 20
	defaultDrainTimeout  = 30e9
	// minRowRetention is far above both the longest deadline of 5 min and the 10 min
	// for which agents keep start records.
	minRowRetention = resolver.Duration(time.Hour)
)

// EntryDefaults returns the defaults for settings that an entry's file leaves out.
func EntryDefaults() EntryConfig {
	return EntryConfig{
		JournalWritesPerSecond: defaultJournalWrites,
		RowRetention:           resolver.Duration(journaler.DefaultRetention),
		TraceMaxBytes:          defaultTraceBytes,
		Guard:                  guard.Defaults(),
		Log:                    LogConfig{Level: "info", Format: "json"},
	}
}

// AgentDefaults returns the defaults for settings that an agent's file leaves out.
func AgentDefaults() AgentConfig {
	return AgentConfig{
		DrainTimeout: defaultDrainTimeout,
		Guard:        guard.Defaults(),
		Log:          LogConfig{Level: "info", Format: "json"},
	}
}

// Check reports all invalid values of an entry's settings.
func (c *EntryConfig) Check(report func(path, message string)) {
	checkName(report, "name", c.Name)
	checkAddress(report, "listen", c.Listen, true)
	checkAddress(report, "advertise", c.Advertise, false)
	checkAddress(report, "http_listen", c.HTTPListen, true)
	checkAddress(report, "metrics_listen", c.MetricsListen, false)
	checkURL(report, "platform_url", c.PlatformURL)
	checkFiles(report, "tls", c.TLS)
	if c.HTTPTLS != nil {
		checkRequired(report, "http_tls.certificate", c.HTTPTLS.Certificate)
		checkRequired(report, "http_tls.key", c.HTTPTLS.Key)
	}
	if c.RootKeySHA256 != "" {
		if _, err := authenticator.ParseKeyHash(c.RootKeySHA256); err != nil {
			report("root_key_sha256", "must be the SHA-256 of the key, 64 hex digits")
		}
	}
	if c.JournalWritesPerSecond <= 0 {
		report("journal_writes_per_second", "must be above 0")
	}
	if c.RowRetention < minRowRetention {
		report("row_retention", fmt.Sprintf("must be at least %s", time.Duration(minRowRetention)))
	}
	if c.TraceMaxBytes <= 0 {
		report("trace_max_bytes", "must be above 0")
	}
	c.Guard.Check(func(path, message string) { report("guard."+path, message) })
	checkLog(report, c.Log)
}

// Check reports all invalid values of an agent's settings.
func (c *AgentConfig) Check(report func(path, message string)) {
	checkName(report, "name", c.Name)
	checkName(report, "firm", c.Firm)
	checkName(report, "place", c.Place)
	checkName(report, "failure_domain", c.FailureDomain)
	if len(c.Entries) == 0 {
		report("entries", "must name at least one entry")
	}
	for _, entry := range c.Entries {
		checkAddress(report, "entries", entry, true)
	}
	checkURL(report, "endpoint_url", c.EndpointURL)
	checkAddress(report, "announce_listen", c.AnnounceListen, true)
	checkAddress(report, "metrics_listen", c.MetricsListen, false)
	if c.DrainTimeout <= 0 {
		report("drain_patience", "must be above 0")
	}
	checkFiles(report, "tls", c.TLS)
	c.Guard.Check(func(path, message string) { report("guard."+path, message) })
	checkLog(report, c.Log)
}

const nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789_-"

// checkName restricts names to characters that are not separators in table keys or
// ticket ids.
func checkName(report func(path, message string), path, name string) {
	if name == "" {
		report(path, "is required")
		return
	}
	if strings.Trim(name, nameLetters) != "" || len(name) > 64 {
		report(path, "may have up to 64 of a-z, 0-9, _ and -")
	}
}

func checkAddress(report func(path, message string), path, address string, required bool) {
	if address == "" {
		if required {
			report(path, "is required")
		}
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		report(path, "must be an IP address and a port, such as 127.0.0.1:7101")
	}
}

func checkURL(report func(path, message string), path, text string) {
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		report(path, "must be an http or https URL")
	}
}

func checkFiles(report func(path, message string), path string, files authenticator.Files) {
	checkRequired(report, path+".ca", files.CA)
	checkRequired(report, path+".certificate", files.Certificate)
	checkRequired(report, path+".key", files.Key)
}

func checkRequired(report func(path, message string), path, value string) {
	if value == "" {
		report(path, "is required")
	}
}

func checkLog(report func(path, message string), c LogConfig) {
	if _, err := parseLevel(c.Level); err != nil {
		report("log.level", "must be debug, info, warn or error")
	}
	if c.Format != "json" && c.Format != "console" {
		report("log.format", "must be json or console")
	}
}
