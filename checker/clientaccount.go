package checker

import (
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"unicode"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxRate bounds the rate, burst and weight of an account. Sums of 10,000 of them
	// stay exact whole numbers.
	maxRate = 1_000_000_000
	// digestPrefix marks the digest of a key in the place of the key. Keys are written
	// without a colon.
	digestPrefix = "sha256:"
	// maxKeyLength bounds a key in bytes, so that a key fits into a request head.
	maxKeyLength = 4096
)

var clientAccount = &typedKind[waxwingseam.ClientAccount]{
	name: waxwingseam.KindClientAccount,
	fields: []field[waxwingseam.ClientAccount]{
		keys(),
		accountImportance(),
		decimal("rate", func(a *waxwingseam.ClientAccount) (*float64, *bool) { return &a.Rate, &a.StatesRate }),
		decimal("burst", func(a *waxwingseam.ClientAccount) (*float64, *bool) { return &a.Burst, &a.StatesBurst }),
		decimal("weight", func(a *waxwingseam.ClientAccount) (*float64, *bool) { return &a.Weight, nil }),
	},
	newObject: func(name string) waxwingseam.ClientAccount {
		return waxwingseam.ClientAccount{Name: waxwingseam.AccountName(name)}
	},
	nameOf:      func(a waxwingseam.ClientAccount) string { return string(a.Name) },
	withoutKeys: waxwingseam.ClientAccount.WithoutKeys,
	list:        func(set *waxwingseam.Set) *[]waxwingseam.ClientAccount { return &set.ClientAccounts },
}

// keys returns a field for a list of keys, separated by commas. An account without keys is
// suspended: no request has it. Characters other than
// letters, digits and -._~+/= are written as % and two hexadecimal digits a byte. No
// error names a key.
func keys() field[waxwingseam.ClientAccount] {
	return field[waxwingseam.ClientAccount]{
		key: "keys",
		read: func(a *waxwingseam.ClientAccount, text string) error {
			for part := range strings.SplitSeq(text, ",") {
				key, err := parseKey(strings.TrimSpace(part))
				if err != nil {
					return err
				}
				a.Keys = append(a.Keys, key)
			}
			return nil
		},
		write: func(a *waxwingseam.ClientAccount) string {
			parts := make([]string, 0, len(a.Keys)+len(a.KeyDigests))
			for _, k := range a.Keys {
				parts = append(parts, escapeKey(k))
			}
			if len(a.Keys) == 0 {
				for _, d := range a.KeyDigests {
					parts = append(parts, digestPrefix+d.String())
				}
			}
			return strings.Join(parts, ", ")
		},
	}
}

func parseKey(text string) (string, error) {
	if strings.HasPrefix(text, digestPrefix) {
		return "", trace.BadParameter("has the digest of a key; only the key itself can be submitted")
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r != '%' && !isPlain(r) }) {
		return "", trace.BadParameter("has a key with a character that has to be written as %% and two hexadecimal digits")
	}
	key, err := url.PathUnescape(text)
	switch {
	case err != nil:
		return "", trace.BadParameter("has a key with %% that two hexadecimal digits do not follow")
	case key == "":
		return "", trace.BadParameter("has an empty key")
	case len(key) > maxKeyLength:
		return "", trace.BadParameter("has a key of %d bytes, want at most %d", len(key), maxKeyLength)
	case strings.ContainsFunc(key, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }):
		return "", trace.BadParameter("has a key with white space or a control character")
	}
	return key, nil
}

// isPlain reports whether a character stands for itself in the text of a key.
func isPlain(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-._~+/=", r)
}

func escapeKey(key string) string {
	var b strings.Builder
	for _, c := range []byte(key) {
		if isPlain(rune(c)) {
			b.WriteByte(c)
			continue
		}
		fmt.Fprintf(&b, "%%%02X", c)
	}
	return b.String()
}

func accountImportance() field[waxwingseam.ClientAccount] {
	return field[waxwingseam.ClientAccount]{
		key: "importance",
		read: func(a *waxwingseam.ClientAccount, text string) error {
			var n int
			parser := number("importance", 0, int(waxwingseam.MaxImportance), 0, func(*waxwingseam.ClientAccount) *int { return &n })
			if err := parser.read(a, text); err != nil {
				return err
			}
			a.Importance, a.HasImportance = waxwingseam.Importance(n), true
			return nil
		},
		write: func(a *waxwingseam.ClientAccount) string {
			if !a.HasImportance {
				return ""
			}
			return strconv.Itoa(int(a.Importance))
		},
	}
}

// decimal returns a field for a number from 0 to maxRate. The pointer to whether the
// object states the number may be nil; 0 is omitted unless it is stated.
func decimal[T any](key string, pointers func(*T) (*float64, *bool)) field[T] {
	return field[T]{
		key: key,
		read: func(object *T, text string) error {
			v, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(v) {
				return trace.BadParameter("is %q, want a number", text)
			}
			if v < 0 || v > maxRate {
				return trace.BadParameter("is %v, want 0 to %d", v, maxRate)
			}
			value, stated := pointers(object)
			*value = v
			if stated != nil {
				*stated = true
			}
			return nil
		},
		write: func(object *T) string {
			value, stated := pointers(object)
			if *value == 0 && (stated == nil || !*stated) {
				return ""
			}
			return strconv.FormatFloat(*value, 'f', -1, 64)
		},
	}
}

// accountKeys reports keys that the set holds twice, which would leave open which account
// a request has.
type accountKeys struct{}

func (accountKeys) check(l *locatedSet) waxwingseam.Findings {
	var findings waxwingseam.Findings
	holders := map[string]waxwingseam.AccountName{}
	for _, a := range l.set.ClientAccounts {
		for i, k := range a.Keys {
			if first, ok := holders[k]; ok {
				text := fmt.Sprintf("holds as key %d a key that client-account %s holds too", i+1, first)
				findings = append(findings, l.section(waxwingseam.KindClientAccount, string(a.Name)).keyFinding("keys", text))
				continue
			}
			holders[k] = a.Name
		}
	}
	return findings
}
