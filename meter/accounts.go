package meter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxAccountLabels bounds the client accounts that have metrics of their own.
	maxAccountLabels = 20
	// otherAccounts is the label value of all others. It is no valid account name.
	otherAccounts = "(others)"
	// accountPeriod is the time after which the largest accounts are selected again, and
	// earlier roots count half.
	accountPeriod = time.Minute
	// minRecent is the number of recent roots below which an account is forgotten.
	minRecent = 0.5
)

const (
	labelAccount = "account"
	labelUse     = "use"
)

// accountMetrics counts the roots of the largest client accounts, and of all others
// together.
type accountMetrics struct {
	roots *prometheus.CounterVec
	// recent holds the recent roots of each account.
	recent   map[waxwingseam.AccountName]float64
	labelled map[waxwingseam.AccountName]bool
	chosenAt time.Time
}

func newAccountMetrics() accountMetrics {
	return accountMetrics{
		roots:    newCounter("waxwingseam_account_roots_total", "Roots of client accounts answered by this node, by what became of them. Accounts other than the largest are counted together.", labelAccount, labelUse),
		recent:   map[waxwingseam.AccountName]float64{},
		labelled: map[waxwingseam.AccountName]bool{},
	}
}

func (m *accountMetrics) replied(now time.Time, v waxwingseam.Reply) {
	if v.Account == "" {
		return
	}
	if now.Sub(m.chosenAt) >= accountPeriod {
		m.choose()
		m.chosenAt = now
	}
	m.recent[v.Account]++
	label := otherAccounts
	if m.labelled[v.Account] || len(m.labelled) < maxAccountLabels {
		m.labelled[v.Account] = true
		label = string(v.Account)
	}
	m.roots.WithLabelValues(label, string(v.AccountUse())).Inc()
}

// choose chooses the accounts with metrics of their own. The counters of an account that
// loses its own end.
func (m *accountMetrics) choose() {
	for name := range m.recent {
		if m.recent[name] /= 2; m.recent[name] < minRecent {
			delete(m.recent, name)
		}
	}
	names := slices.SortedFunc(maps.Keys(m.recent), func(a, b waxwingseam.AccountName) int {
		return cmp.Or(cmp.Compare(m.recent[b], m.recent[a]), cmp.Compare(a, b))
	})
	largest := map[waxwingseam.AccountName]bool{}
	for _, name := range names[:min(len(names), maxAccountLabels)] {
		largest[name] = true
	}
	for name := range m.labelled {
		if !largest[name] {
			m.roots.DeletePartialMatch(prometheus.Labels{labelAccount: string(name)})
		}
	}
	m.labelled = largest
}
