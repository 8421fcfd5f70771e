package loader

import (
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/scanner"
)

// defaultTraceSamplePercent is the percentage of new traces that are recorded.
const defaultTraceSamplePercent = 1

// Load reads and parses a settings file. The settings are valid only if there are no
// findings.
func Load(path string) (Settings, waxwingseam.Findings) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, waxwingseam.Findings{{File: path, Text: "file cannot be read"}}
	}
	return Parse(path, data)
}

// Parse parses the content of a settings file; path is its name in findings. The
// settings are valid only if there are no findings.
func Parse(path string, data []byte) (Settings, waxwingseam.Findings) {
	document, findings := scanner.Scan(path, data)
	p := parser{file: path, findings: findings}
	p.settings.Process.LogLevel = slog.LevelInfo
	p.settings.Process.LogFormat = logger.FormatText
	p.settings.Process.TraceSamplePercent = defaultTraceSamplePercent
	for _, s := range document.Sections {
		p.readSection(s)
	}
	p.checkSections()
	p.checkOutbound(document)
	p.checkPlainText(document)
	p.setSeedPorts()
	p.findings.Sort()
	return p.settings, p.findings
}

// parser is the state of parsing one file.
type parser struct {
	file     string
	settings Settings
	findings waxwingseam.Findings
	seen     []string
}

func (p *parser) addFinding(line int, section, key, text string) {
	p.findings = append(p.findings, waxwingseam.Finding{
		File:    p.file,
		Line:    line,
		Section: section,
		Key:     key,
		Text:    text,
	})
}

func (p *parser) readSection(s scanner.Section) {
	if slices.Contains(p.seen, s.Title) {
		p.addFinding(s.Line, s.Title, "", "duplicate section")
		return
	}
	p.seen = append(p.seen, s.Title)
	if !p.allocateSection(s) {
		return
	}
	var names []string
	for _, k := range s.Keys {
		if slices.Contains(names, k.Name) {
			p.addFinding(k.Line, s.Title, k.Name, "duplicate key")
			continue
		}
		names = append(names, k.Name)
		p.readKey(s.Title, k)
	}
	p.checkRequired(s, names)
}

// allocateSection allocates the settings of a section and reports whether the
// section is known.
func (p *parser) allocateSection(s scanner.Section) bool {
	switch s.Title {
	case sectionProcess:
	case sectionNode:
		p.settings.Node = &Node{}
	case sectionControl:
		p.settings.Control = &Control{Voter: true}
	case sectionTLS:
		p.settings.TLS = &TLS{}
	default:
		p.addFinding(s.Line, s.Title, "", "unknown section, want process, node, control or tls")
		return false
	}
	return true
}

func (p *parser) readKey(section string, k scanner.Key) {
	known, ok := findKey(section, k.Name)
	if !ok {
		p.addFinding(k.Line, section, k.Name, "unknown key")
		return
	}
	if err := known.parse(&p.settings, k.Value); err != nil {
		p.addFinding(k.Line, section, k.Name, err.Error())
	}
}

func (p *parser) checkRequired(s scanner.Section, names []string) {
	for _, k := range keys {
		optional := k.alternative != "" && slices.Contains(names, k.alternative)
		if k.section == s.Title && k.required && !optional && !slices.Contains(names, k.name) {
			p.addFinding(s.Line, s.Title, k.name, "the key is missing")
		}
	}
}

func (p *parser) checkSections() {
	if !slices.Contains(p.seen, sectionProcess) {
		p.addFinding(1, sectionProcess, "", "the section is missing")
	}
	if p.settings.Node == nil && p.settings.Control == nil {
		p.addFinding(1, "", "", "neither a node nor a control section: the process has no role")
	}
}

// checkOutbound reports an outbound address that is not a loopback address, unless
// plain text is allowed.
func (p *parser) checkOutbound(d scanner.Document) {
	node := p.settings.Node
	if node == nil || !node.OutboundAddress.IsValid() || node.OutboundAddress.Addr().IsLoopback() || p.settings.Process.PlainText {
		return
	}
	for _, s := range d.Sections {
		for _, k := range s.Keys {
			if s.Title == sectionNode && k.Name == "outbound-address" {
				p.addFinding(k.Line, s.Title, k.Name, strconv.Quote(k.Value)+" is not a loopback address")
			}
		}
	}
}

// setSeedPorts sets the port of the control seeds to that of the process's peer
// address, which is the same on all hosts.
func (p *parser) setSeedPorts() {
	process := &p.settings.Process
	for i, a := range process.ControlAddresses {
		if a.Port() == 0 {
			process.ControlAddresses[i] = netip.AddrPortFrom(a.Addr(), process.PeerAddress.Port())
		}
	}
}

// checkPlainText reports the exposed addresses of a process that has no TLS
// settings and does not allow plain text.
func (p *parser) checkPlainText(d scanner.Document) {
	if p.settings.TLS != nil || p.settings.Process.PlainText {
		return
	}
	for _, s := range d.Sections {
		for _, k := range s.Keys {
			if isExposed(s.Title, k) {
				p.addFinding(k.Line, s.Title, k.Name, "plain text beyond loopback: add a tls section, or set plain-text = allowed")
			}
		}
	}
}

// isExposed reports whether a key sets a peer or operator address that is not a
// loopback address.
func isExposed(section string, k scanner.Key) bool {
	if k.Name != "peer-address" && k.Name != "operator-address" {
		return false
	}
	if section != sectionProcess && section != sectionControl {
		return false
	}
	parsed, err := netip.ParseAddrPort(k.Value)
	return err == nil && !parsed.Addr().IsLoopback()
}
