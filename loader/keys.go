package loader

import (
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/logger"
)

// The section titles of the settings file.
const (
	sectionProcess = "process"
	sectionNode    = "node"
	sectionControl = "control"
	sectionTLS     = "tls"
)

const maxPercent = 100

// key describes one key of the settings file.
type key struct {
	section  string
	name     string
	required bool
	// alternative is a key of the same section that may replace a required key.
	alternative string
	parse       func(s *Settings, value string) error
}

// keys lists every key of the settings file.
var keys = []key{
	{sectionProcess, "data-centre", true, "", parseDataCentre},
	{sectionProcess, "peer-address", true, "", address(func(s *Settings) *netip.AddrPort { return &s.Process.PeerAddress })},
	{sectionProcess, "telemetry-address", false, "", address(func(s *Settings) *netip.AddrPort { return &s.Process.TelemetryAddress })},
	{sectionProcess, "interface", false, "", name(func(s *Settings, v string) { s.Process.Interface = v })},
	{sectionProcess, "readiness-address", false, "", address(func(s *Settings) *netip.AddrPort { return &s.Process.ReadinessAddress })},
	{sectionProcess, "drain-time", false, "", duration("drain-time", func(s *Settings) *time.Duration { return &s.Process.DrainTime })},
	{sectionProcess, "drain-limit", false, "", duration("drain-limit", func(s *Settings) *time.Duration { return &s.Process.DrainLimit })},
	{sectionProcess, "memory-limit", false, "", parseMemoryLimit},
	{sectionProcess, "body-rate", false, "", wholeNumber("body-rate", maxRate, func(s *Settings) *int { return &s.Process.BodyRate })},
	{sectionProcess, "reply-rate", false, "", wholeNumber("reply-rate", maxRate, func(s *Settings) *int { return &s.Process.ReplyRate })},
	{sectionProcess, "progress-grace", false, "", duration("progress-grace", func(s *Settings) *time.Duration { return &s.Process.ProgressGrace })},
	{sectionProcess, "header-fields", false, "", wholeNumber("header-fields", maxHeaderFields, func(s *Settings) *int { return &s.Process.HeaderFields })},
	{sectionProcess, "caller-connections", false, "", wholeNumber("caller-connections", maxConnections, func(s *Settings) *int { return &s.Process.CallerConnections })},
	{sectionProcess, "control-addresses", true, "control-seeds", parseControlAddresses},
	{sectionProcess, "control-seeds", false, "", parseControlSeeds},
	{sectionProcess, "log-level", false, "", parseLogLevel},
	{sectionProcess, "log-format", false, "", parseLogFormat},
	{sectionProcess, "trace-endpoint", false, "", parseTraceEndpoint},
	{sectionProcess, "trace-sample-percent", false, "", parseTraceSamplePercent},
	{sectionProcess, "plain-text", false, "", parsePlainText},
	{sectionNode, "server-name", true, "", name(func(s *Settings, v string) { s.Node.ServerName = waxwingseam.ServerName(v) })},
	{sectionNode, "service", true, "", name(func(s *Settings, v string) { s.Node.Service = waxwingseam.ServiceName(v) })},
	{sectionNode, "entry-address", true, "", address(func(s *Settings) *netip.AddrPort { return &s.Node.EntryAddress })},
	{sectionNode, "outbound-address", true, "", address(func(s *Settings) *netip.AddrPort { return &s.Node.OutboundAddress })},
	{sectionNode, "heartbeat-address", false, "", address(func(s *Settings) *netip.AddrPort { return &s.Node.HeartbeatAddress })},
	{sectionNode, "near-first", false, "", boolean("near-first", func(s *Settings) *bool { return &s.Node.NearFirst })},
	{sectionNode, "retry-window", false, "", duration("retry-window", func(s *Settings) *time.Duration { return &s.Node.RetryBudget.Window })},
	{sectionNode, "retry-ratio", false, "", parseRetryRatio},
	{sectionNode, "retry-slack", false, "", wholeNumber("retry-slack", maxRetrySlack, func(s *Settings) *int { return &s.Node.RetryBudget.Slack })},
	{sectionNode, "backend-address", true, "", address(func(s *Settings) *netip.AddrPort { return &s.Node.BackendAddress })},
	{sectionControl, "replica", true, "tolerated-losses", name(func(s *Settings, v string) { s.Control.Replica = waxwingseam.ReplicaID(v) })},
	{sectionControl, "voter", false, "", boolean("voter", func(s *Settings) *bool { return &s.Control.Voter })},
	{sectionControl, "founder", false, "", boolean("founder", func(s *Settings) *bool { return &s.Control.Founder })},
	{sectionControl, "tolerated-losses", false, "", wholeNumber("tolerated-losses", maxToleratedLosses, func(s *Settings) *int { return &s.Control.ToleratedLosses })},
	{sectionControl, "data-folder", true, "", parseDataFolder},
	{sectionControl, "operator-address", true, "", address(func(s *Settings) *netip.AddrPort { return &s.Control.OperatorAddress })},
	{sectionControl, "tokens-file", false, "", existingFile(func(s *Settings) *string { return &s.Control.TokensFile })},
	{sectionTLS, "certificate-file", true, "", existingFile(func(s *Settings) *string { return &s.TLS.CertificateFile })},
	{sectionTLS, "key-file", true, "", existingFile(func(s *Settings) *string { return &s.TLS.KeyFile })},
	{sectionTLS, "authority-file", true, "", existingFile(func(s *Settings) *string { return &s.TLS.AuthorityFile })},
}

func findKey(section, name string) (key, bool) {
	n := slices.IndexFunc(keys, func(k key) bool {
		return k.section == section && k.name == name
	})
	if n < 0 {
		return key{}, false
	}
	return keys[n], true
}

// name returns a parser for a kebab-case name.
func name(set func(s *Settings, v string)) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if !waxwingseam.ValidName(v) {
			return trace.BadParameter("%q is not a valid name: want lower-case letters, digits and hyphens", v)
		}
		set(s, v)
		return nil
	}
}

func parseDataCentre(s *Settings, v string) error {
	return name(func(s *Settings, v string) { s.Process.DataCentre = waxwingseam.DataCentre(v) })(s, v)
}

func address(field func(s *Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		parsed, err := parseAddress(v)
		if err != nil {
			return err
		}
		*field(s) = parsed
		return nil
	}
}

func parseAddress(v string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(v)
	if err != nil {
		return parsed, trace.BadParameter("%q is not an address: want IP:PORT", v)
	}
	if parsed.Port() == 0 {
		return parsed, trace.BadParameter("%q has no port between 1 and 65535", v)
	}
	return parsed, nil
}

func parseControlAddresses(s *Settings, v string) error {
	for part := range strings.SplitSeq(v, ",") {
		parsed, err := parseAddress(strings.TrimSpace(part))
		if err != nil {
			return err
		}
		s.Process.ControlAddresses = append(s.Process.ControlAddresses, parsed)
	}
	return nil
}

// parseControlSeeds parses addresses on the hosts of control replicas. It ignores
// their ports, which are those of other listeners.
func parseControlSeeds(s *Settings, v string) error {
	s.Process.ControlAddressesAreSeeds = true
	first := len(s.Process.ControlAddresses)
	if err := parseControlAddresses(s, v); err != nil {
		return err
	}
	seeds := s.Process.ControlAddresses[first:]
	for i, a := range seeds {
		seeds[i] = netip.AddrPortFrom(a.Addr(), 0)
	}
	return nil
}

// maxDuration bounds the drain times and the window of the retry budget.
const maxDuration = time.Minute

// duration returns a parser for a duration from 0 to maxDuration.
func duration(key string, field func(s *Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < 0 || d > maxDuration {
			return trace.BadParameter("%s is %q, want a duration with a unit, up to %v", key, v, maxDuration)
		}
		*field(s) = d
		return nil
	}
}

// maxMemoryLimit is the maximum memory limit in units of 2^20 bytes, which the
// settings call MB.
const maxMemoryLimit = 1 << 20

func parseMemoryLimit(s *Settings, v string) error {
	megabytes, err := strconv.Atoi(v)
	if err != nil || megabytes < 0 || megabytes > maxMemoryLimit {
		return trace.BadParameter("memory-limit is %q, want a whole number of MB up to %d", v, maxMemoryLimit)
	}
	s.Process.MemoryLimit = int64(megabytes) << 20
	return nil
}

// boolean returns a parser for true or false.
func boolean(key string, field func(s *Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		value, err := strconv.ParseBool(v)
		if err != nil {
			return trace.BadParameter("%s is %q, want true or false", key, v)
		}
		*field(s) = value
		return nil
	}
}

const (
	// maxToleratedLosses bounds the disk losses that a cluster is configured to tolerate.
	maxToleratedLosses = 8
	// maxRate bounds body-rate and reply-rate, in bytes per second.
	maxRate = 1 << 20
	// maxHeaderFields bounds header-fields.
	maxHeaderFields = 4096
	// maxConnections bounds caller-connections.
	maxConnections = 1 << 20
	// maxRetrySlack bounds retry-slack, the number of repeated calls allowed in
	// addition to retry-ratio times the number of roots.
	maxRetrySlack = 1_000_000
)

// wholeNumber returns a parser for a whole number from 0 to maxValue.
func wholeNumber(key string, maxValue int, field func(s *Settings) *int) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxValue {
			return trace.BadParameter("%s is %q, want a whole number from 0 to %d", key, v, maxValue)
		}
		*field(s) = n
		return nil
	}
}

func parseRetryRatio(s *Settings, v string) error {
	ratio, err := strconv.ParseFloat(v, 64)
	if err != nil || !(ratio >= 0 && ratio <= 1) {
		return trace.BadParameter("retry-ratio is %q, want a number from 0 to 1", v)
	}
	s.Node.RetryBudget.Ratio = ratio
	return nil
}

func parseLogLevel(s *Settings, v string) error {
	level, err := logger.ParseLevel(v)
	s.Process.LogLevel = level
	return err
}

func parseLogFormat(s *Settings, v string) error {
	s.Process.LogFormat = logger.Format(v)
	if s.Process.LogFormat != logger.FormatText && s.Process.LogFormat != logger.FormatJSON {
		return trace.BadParameter("format is %q, want text or json", v)
	}
	return nil
}

func parseTraceEndpoint(s *Settings, v string) error {
	parsed, err := url.Parse(v)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return trace.BadParameter("%q is not a URL: want http://IP:PORT or https://IP:PORT", v)
	}
	s.Process.TraceEndpoint = parsed
	return nil
}

func parseTraceSamplePercent(s *Settings, v string) error {
	percent, err := strconv.Atoi(v)
	if err != nil || percent < 0 || percent > maxPercent {
		return trace.BadParameter("%q is not a whole number from 0 to %d", v, maxPercent)
	}
	s.Process.TraceSamplePercent = percent
	return nil
}

func parsePlainText(s *Settings, v string) error {
	switch v {
	case "loopback":
		s.Process.PlainText = false
	case "allowed":
		s.Process.PlainText = true
	default:
		return trace.BadParameter("plain-text is %q, want loopback or allowed", v)
	}
	return nil
}

func parseDataFolder(s *Settings, v string) error {
	if v == "" {
		return trace.BadParameter("the folder name is empty")
	}
	s.Control.DataFolder = v
	return nil
}

// existingFile returns a parser for the path of an existing file.
func existingFile(field func(s *Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		info, err := os.Stat(v)
		if err != nil {
			return trace.BadParameter("file %q cannot be read", v)
		}
		if info.IsDir() {
			return trace.BadParameter("%q is a folder", v)
		}
		*field(s) = v
		return nil
	}
}
