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

// Right is a permission of an operator.
type Right string

// The rights of operators. The right to write includes the right to read.
const (
	RightRead  Right = "read"
	RightWrite Right = "write"
)

// settleTime is the age of a modification time from which on a later change of the file
// has another one.
const settleTime = 2 * time.Second

// OperatorHeader is the header with the unverified name of an operator.
const OperatorHeader = "Waxwingseam-Operator"

// unverifiedPrefix marks the unverified name of an operator.
const unverifiedPrefix = "unproved:"

const (
	// maxNameLength bounds an unverified name, in bytes.
	maxNameLength = 64
	// ratePerSecond and rateBurst bound the requests of one operator.
	ratePerSecond = 20
	rateBurst     = 100
)

// GuardConfig holds the settings of a guard.
type GuardConfig struct {
	// OperatorsFile names the file that lists the operators. Without one, all
	// requests are allowed, and the names of operators are unverified.
	OperatorsFile string
	// Refuse writes the answer to a refused request.
	Refuse func(w http.ResponseWriter, status int, reason, detail string)
	Logger *slog.Logger
}

// Guard authenticates operators and checks their rights.
type Guard interface {
	// Identify authenticates the operator of a request and limits its request
	// rate.
	Identify(next http.Handler) http.Handler
	// Require refuses requests of operators without the right. Identify must have
	// handled the request before.
	Require(right Right) func(next http.Handler) http.Handler
}

// Operator is an operator and its right.
type Operator struct {
	Name  string
	Right Right
}

// May reports whether the operator has a right.
func (o Operator) May(right Right) bool {
	return o.Right == RightWrite || o.Right == right
}

type operatorKey struct{}

// OperatorOf returns the operator that Identify stored in the context of a
// request; the zero value, which has no right, if there is none.
func OperatorOf(ctx context.Context) Operator {
	o, _ := ctx.Value(operatorKey{}).(Operator)
	return o
}

// operatorEntry is an operator in the operators file.
type operatorEntry struct {
	Operator
	digest string
}

type guard struct {
	config GuardConfig

	mu        sync.Mutex
	operators []operatorEntry
	// modified is the modification time of the loaded file; zero if the file may
	// have been changed since without a later modification time.
	modified time.Time
	buckets  map[string]*bucket
}

// NewGuard loads the operators file. Its error lists all faults of the file.
func NewGuard(config GuardConfig) (Guard, error) {
	g := &guard{config: config, buckets: map[string]*bucket{}}
	if config.OperatorsFile == "" {
		config.Logger.Warn("operator API allows all requests because no operators file is set")
		return g, nil
	}
	operators, findings := loadOperators(config.OperatorsFile)
	if err := findings.OrNil(); err != nil {
		return nil, err
	}
	g.operators = operators
	return g, nil
}

// Digest returns the digest of a token as it is written in the operators file.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// loadOperators reads the operators file. It has a section [operator NAME] for
// each operator, with the keys token-digest and rights.
func loadOperators(name string) ([]operatorEntry, waxwingseam.Findings) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, waxwingseam.Findings{{File: name, Text: "file cannot be read"}}
	}
	document, findings := scanner.Scan(name, data)
	operators := make([]operatorEntry, 0, len(document.Sections))
	for _, s := range document.Sections {
		o, entryFindings := readOperator(name, s)
		operators = append(operators, o)
		findings = append(findings, entryFindings...)
	}
	return operators, findings
}

func readOperator(file string, s scanner.Section) (operatorEntry, waxwingseam.Findings) {
	var o operatorEntry
	var findings waxwingseam.Findings
	addFinding := func(line int, key, text string) {
		findings = append(findings, waxwingseam.Finding{File: file, Line: line, Section: s.Title, Key: key, Text: text})
	}
	name, ok := strings.CutPrefix(s.Title, "operator ")
	if !ok || name == "" {
		addFinding(s.Line, "", "is not titled [operator name]")
	}
	o.Name = name
	for _, k := range s.Keys {
		switch {
		case k.Name == "rights" && (k.Value == string(RightRead) || k.Value == string(RightWrite)):
			o.Right = Right(k.Value)
		case k.Name == "token-digest" && len(k.Value) == hex.EncodedLen(sha256.Size):
			o.digest = k.Value
		default:
			addFinding(k.Line, k.Name, "is neither rights with read or write, nor token-digest with a hexadecimal SHA-256 digest")
		}
	}
	if o.Right == "" {
		addFinding(s.Line, "rights", "is required")
	}
	return o, findings
}

// currentOperators returns the operators and reloads the file if it has changed.
// An invalid file leaves the previous operators in use.
func (g *guard) currentOperators() []operatorEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	info, err := os.Stat(g.config.OperatorsFile)
	if err != nil || info.ModTime().Equal(g.modified) {
		return g.operators
	}
	operators, findings := loadOperators(g.config.OperatorsFile)
	if err := findings.OrNil(); err != nil {
		g.config.Logger.Error("could not reload the operators file", "cause", err)
		return g.operators
	}
	g.operators, g.modified = operators, time.Time{}
	if time.Since(info.ModTime()) >= settleTime {
		g.modified = info.ModTime()
	}
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
		if !g.allow(g.bucketKey(operator)) {
			w.Header().Set("Retry-After", "1")
			g.config.Refuse(w, http.StatusTooManyRequests, "rate-limit", "too many requests of one operator")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

func (g *guard) identify(r *http.Request) (Operator, bool) {
	if g.config.OperatorsFile == "" {
		return Operator{Name: unverifiedPrefix + sanitizeName(r.Header.Get(OperatorHeader)), Right: RightWrite}, true
	}
	if name, ok := certificateOperator(r); ok {
		return g.findOperator(func(o operatorEntry) bool { return o.Name == name })
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Operator{}, false
	}
	digest := []byte(Digest(token))
	return g.findOperator(func(o operatorEntry) bool {
		return subtle.ConstantTimeCompare(digest, []byte(o.digest)) == 1
	})
}

// sanitizeName removes the characters of an unverified name that are not allowed
// in the history, and truncates it.
func sanitizeName(name string) string {
	plain := strings.Map(func(r rune) rune {
		if unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("._-@", r) {
			return r
		}
		return -1
	}, name)
	return plain[:min(len(plain), maxNameLength)]
}

// certificateOperator returns the operator's name in a verified client
// certificate, if there is one.
func certificateOperator(r *http.Request) (string, bool) {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return "", false
	}
	id, err := identityOf(r.TLS.PeerCertificates[0])
	return id.Name, err == nil && id.Role == RoleOperator
}

func (g *guard) findOperator(match func(operatorEntry) bool) (Operator, bool) {
	for _, o := range g.currentOperators() {
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

// bucketKey returns the key of an operator's token bucket. All operators with
// unverified names share one bucket.
func (g *guard) bucketKey(o Operator) string {
	if g.config.OperatorsFile == "" {
		return unverifiedPrefix
	}
	return o.Name
}

// bucket is a token bucket that limits a request rate.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// allow takes a token from the bucket with the key, and reports whether there was
// one.
func (g *guard) allow(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	b, ok := g.buckets[key]
	if !ok {
		b = &bucket{tokens: rateBurst, refilledAt: now}
		g.buckets[key] = b
	}
	b.tokens = min(rateBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*ratePerSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
