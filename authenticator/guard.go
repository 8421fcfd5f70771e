package authenticator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
	"unicode"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/scanner"
)

// Right is what an operator may do.
type Right string

// The rights of operators; who may write may read.
const (
	RightRead  Right = "read"
	RightWrite Right = "write"
)

// OperatorHeader names an operator where nothing proves who it is.
const OperatorHeader = "Waxwingseam-Operator"

// unproved goes before the name of an operator that nothing proves.
const unproved = "unproved:"

const (
	// maxNameLength bounds a name that nothing proves, in bytes.
	maxNameLength = 64
	// ratePerSecond and rateBurst bound the requests of one operator.
	ratePerSecond = 20
	rateBurst     = 100
)

// GuardConfig holds the settings of a guard.
type GuardConfig struct {
	// OperatorsFile lists the operators. Without one, an operator API in plain
	// text is open to all who reach it.
	OperatorsFile string
	// Refuse answers a request that is not let through.
	Refuse func(w http.ResponseWriter, status int, reason, detail string)
	Logger *slog.Logger
}

// Guard lets operators through to the operator API by their rights.
type Guard interface {
	// Identify finds out who makes a request.
	Identify(next http.Handler) http.Handler
	// Require lets only operators with a right through.
	Require(right Right) func(next http.Handler) http.Handler
}

// Operator is who makes a request.
type Operator struct {
	Name  string
	Right Right
}

// May reports whether the operator has a right.
func (o Operator) May(right Right) bool {
	return o.Right == RightWrite || o.Right == right
}

type operatorKey struct{}

// OperatorOf returns the operator that makes a request.
func OperatorOf(ctx context.Context) Operator {
	o, _ := ctx.Value(operatorKey{}).(Operator)
	return o
}

// listed is an operator in the operators file.
type listed struct {
	Operator
	digest string
}

type guard struct {
	config GuardConfig

	mu        sync.Mutex
	operators []listed
	modified  time.Time
	buckets   map[string]*bucket
}

// NewGuard loads the operators file; the findings list all that is wrong.
func NewGuard(config GuardConfig) (Guard, error) {
	g := &guard{config: config, buckets: map[string]*bucket{}}
	if config.OperatorsFile == "" {
		config.Logger.Warn("operator API is open to all who reach it, for lack of an operators file")
		return g, nil
	}
	operators, findings := loadOperators(config.OperatorsFile)
	if err := findings.OrNil(); err != nil {
		return nil, err
	}
	g.operators = operators
	if info, err := os.Stat(config.OperatorsFile); err == nil {
		g.modified = info.ModTime()
	}
	return g, nil
}

// Digest returns the form in which the operators file holds a token.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// loadOperators reads sections such as [operator NAME] with token-digest and
// rights.
func loadOperators(name string) ([]listed, waxwingseam.Findings) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, waxwingseam.Findings{{File: name, Text: "cannot be read"}}
	}
	document, findings := scanner.Scan(name, data)
	operators := make([]listed, 0, len(document.Sections))
	for _, s := range document.Sections {
		o, found := readOperator(name, s)
		operators = append(operators, o)
		findings = append(findings, found...)
	}
	return operators, findings
}

func readOperator(file string, s scanner.Section) (listed, waxwingseam.Findings) {
	var o listed
	var findings waxwingseam.Findings
	find := func(line int, key, text string) {
		findings = append(findings, waxwingseam.Finding{File: file, Line: line, Section: s.Title, Key: key, Text: text})
	}
	name, ok := strings.CutPrefix(s.Title, "operator ")
	if !ok || name == "" {
		find(s.Line, "", "is not titled [operator name]")
	}
	o.Name = name
	for _, k := range s.Keys {
		switch {
		case k.Name == "rights" && (k.Value == string(RightRead) || k.Value == string(RightWrite)):
			o.Right = Right(k.Value)
		case k.Name == "token-digest" && len(k.Value) == hex.EncodedLen(sha256.Size):
			o.digest = k.Value
		default:
			find(k.Line, k.Name, "is not rights = read or write, nor token-digest with a SHA-256 in hexadecimal")
		}
	}
	if o.Right == "" {
		find(s.Line, "rights", "is required")
	}
	return o, findings
}

// list returns the operators; a changed file is read again.
func (g *guard) list() []listed {
	g.mu.Lock()
	defer g.mu.Unlock()
	info, err := os.Stat(g.config.OperatorsFile)
	if err != nil || info.ModTime().Equal(g.modified) {
		return g.operators
	}
	operators, findings := loadOperators(g.config.OperatorsFile)
	if err := findings.OrNil(); err != nil {
		g.config.Logger.Error("new operators file is not usable", "cause", err)
		return g.operators
	}
	g.operators, g.modified = operators, info.ModTime()
	return operators
}

// Identify implements Guard.
func (g *guard) Identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := g.identify(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			g.config.Refuse(w, http.StatusUnauthorized, "unknown-operator", "a listed token or certificate is needed")
			return
		}
		if !g.allow(g.account(operator)) {
			w.Header().Set("Retry-After", "1")
			g.config.Refuse(w, http.StatusTooManyRequests, "rate-limit", "too many requests of one operator")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

func (g *guard) identify(r *http.Request) (Operator, bool) {
	if g.config.OperatorsFile == "" {
		return Operator{Name: unproved + plainName(r.Header.Get(OperatorHeader)), Right: RightWrite}, true
	}
	if name, ok := certified(r); ok {
		return g.find(func(o listed) bool { return o.Name == name })
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Operator{}, false
	}
	digest := []byte(Digest(token))
	return g.find(func(o listed) bool {
		return subtle.ConstantTimeCompare(digest, []byte(o.digest)) == 1
	})
}

// plainName returns the part of a claimed name that may stand in the history.
func plainName(name string) string {
	plain := strings.Map(func(r rune) rune {
		if unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("._-@", r) {
			return r
		}
		return -1
	}, name)
	return plain[:min(len(plain), maxNameLength)]
}

// certified returns the operator's name in a verified client certificate.
func certified(r *http.Request) (string, bool) {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return "", false
	}
	id, err := identityOf(r.TLS.PeerCertificates[0])
	return id.Name, err == nil && id.Role == RoleOperator
}

func (g *guard) find(match func(listed) bool) (Operator, bool) {
	for _, o := range g.list() {
		if match(o) {
			return o.Operator, true
		}
	}
	return Operator{}, false
}

// Require implements Guard.
func (g *guard) Require(right Right) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !OperatorOf(r.Context()).May(right) {
				g.config.Refuse(w, http.StatusForbidden, "missing-right", "operator lacks the right to "+string(right))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// account returns whose bucket a request draws on. Names that nothing proves
// share one.
func (g *guard) account(o Operator) string {
	if g.config.OperatorsFile == "" {
		return unproved
	}
	return o.Name
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	filled time.Time
}

// allow takes a token of an operator's bucket.
func (g *guard) allow(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	b, ok := g.buckets[name]
	if !ok {
		b = &bucket{tokens: rateBurst, filled: now}
		g.buckets[name] = b
	}
	b.tokens = min(rateBurst, b.tokens+now.Sub(b.filled).Seconds()*ratePerSecond)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
