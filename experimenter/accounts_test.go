package experimenter

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// minAccountPart is the part of its max-min share that each account but the hot one
	// is served at least, and minWorstTenth that of the mean for the worst-served tenth.
	minAccountPart = 0.9
	minWorstTenth  = 0.8
	// minWorstServed is the fraction served of the worst-served account's requests, as a
	// part of that of all requests together.
	minWorstServed = 0.25
	// minJudged is how many requests accounts are judged by; smaller ones are judged
	// together. minJudgedTenth is that for the worst tenth, which has no allowance for
	// chance: the standard deviation of 400 requests, of which half are served, is 0.035.
	minJudged      = 100
	minJudgedTenth = 400
	// chanceDeviations is by how many standard deviations the number of served requests
	// may be lower by chance, if each is served with the same probability.
	chanceDeviations = 3
	// settleAccounts is the beginning of the surge that is not judged: in it, queues grow
	// while servers learn the demand.
	settleAccounts = 4 * time.Second
)

// runAccounts runs a surge and returns the reports of the accounts.
func runAccounts(config Config) (Report, []AccountReport) {
	var world *World
	config.Faults = []Fault{{Do: func(w *World) { world = w }}}
	report := Run(config)
	return report, world.reportAccounts(config.TriggerStart+settleAccounts, config.TriggerEnd)
}

// pooled joins accounts with few requests with the next smaller ones.
func pooled(reports []AccountReport, least float64) []AccountReport {
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b AccountReport) int { return cmp.Compare(b.Part, a.Part) })
	var out []AccountReport
	var pool AccountReport
	for _, r := range sorted {
		pool.Name = r.Name
		pool.Issued, pool.Served, pool.Part = pool.Issued+r.Issued, pool.Served+r.Served, pool.Part+r.Part
		if pool.Part >= least {
			out = append(out, pool)
			pool = AccountReport{}
		}
	}
	return out
}

// checkParts checks that each account but the hot one is served its part.
func checkParts(t *testing.T, reports []AccountReport) {
	t.Helper()
	for _, r := range pooled(reports, minJudged) {
		figures := fmt.Sprintf("to %s: %.0f issued, %.0f served, part %.0f", r.Name, r.Issued, r.Served, r.Part)
		t.Log(figures)
		chance := chanceDeviations * math.Sqrt(max(r.Part*(1-r.Part/r.Issued), 0))
		if r.Name != reports[accountsHot].Name {
			qt.Check(t, r.Served+chance >= minAccountPart*r.Part, qt.IsTrue, qt.Commentf("%s", figures))
		}
	}
}

// checkWorst checks the worst-served tenth of accounts, and, if weights follow usual
// rates, the fraction served of the worst-served account. With equal weights, max-min
// fairness itself serves a hot account less.
func checkWorst(t *testing.T, reports []AccountReport, byRate bool) {
	t.Helper()
	pools := pooled(reports, minJudgedTenth)
	parts := make([]float64, 0, len(pools))
	var issued, served, mean, low float64
	worst := 1.0
	for _, r := range pools {
		parts = append(parts, r.Served/r.Part)
		mean += r.Served / r.Part
		issued, served = issued+r.Issued, served+r.Served
		worst = min(worst, r.Served/r.Issued)
	}
	slices.Sort(parts)
	mean /= float64(len(parts))
	tenth := max(len(parts)/10, 1)
	for _, v := range parts[:tenth] {
		low += v / float64(tenth)
	}
	t.Logf("worst tenth %.3f of mean %.3f, worst account %.3f of %.3f", low, mean, worst, served/issued)
	qt.Check(t, low >= minWorstTenth*mean, qt.IsTrue)
	if byRate {
		qt.Check(t, worst >= minWorstServed*served/issued, qt.IsTrue)
	}
}

// surgeRun is one surge of a test.
type surgeRun struct {
	report  Report
	reports []AccountReport
}

// direct holds the surges of 80 accounts on the scarce service itself, which several tests
// judge: with equal weights, with weights by rate, and without accounts.
var (
	directEqual   = directRun(false, false)
	directByRate  = directRun(true, false)
	directUnnamed = directRun(false, true)
)

func directRun(byRate, unnamed bool) func() surgeRun {
	return sync.OnceValue(func() surgeRun {
		config := accountsSurgeConfig(zipfAccounts(80, byRate), false)
		config.UnnamedAccounts = unnamed
		report, reports := runAccounts(config)
		return surgeRun{report, reports}
	})
}

// TestHotAccountLeavesOthersTheirPart guards against an account that takes the capacity of
// others by sending ten times as much.
func TestHotAccountLeavesOthersTheirPart(t *testing.T) {
	t.Parallel()
	for _, byRate := range []bool{false, true} {
		t.Run(fmt.Sprintf("weights by rate %v", byRate), func(t *testing.T) {
			t.Parallel()
			run := directEqual
			if byRate {
				run = directByRate
			}
			reports := run().reports
			checkParts(t, reports)
			checkWorst(t, reports, byRate)
		})
	}
}

// TestHotAccountInChains guards against the same at a service that runs of another one
// call, with the default weights.
func TestHotAccountInChains(t *testing.T) {
	t.Parallel()
	_, reports := runAccounts(accountsSurgeConfig(zipfAccounts(80, true), true))
	checkParts(t, reports)
	checkWorst(t, reports, true)
}

// TestHotAccountOfEqualWeightInChains guards against the same with equal weights, with
// which most of the accounts are below the fair level.
func TestHotAccountOfEqualWeightInChains(t *testing.T) {
	t.Parallel()
	_, reports := runAccounts(accountsSurgeConfig(zipfAccounts(80, false), true))
	checkParts(t, reports)
	checkWorst(t, reports, false)
}

// TestOneNodeAndRepeatsGainNothing guards against an account whose share depends on how
// many nodes it sends to, or on how often it resends.
func TestOneNodeAndRepeatsGainNothing(t *testing.T) {
	t.Parallel()
	const oneNode, eager = 2, 3
	list := zipfAccounts(80, true)
	list[oneNode].OneNode = true
	list[eager].Resends = 4
	_, reports := runAccounts(accountsSurgeConfig(list, false))
	checkParts(t, reports)
	for _, i := range []int{oneNode, eager} {
		r := reports[i]
		chance := chanceDeviations * math.Sqrt(r.Part*(1-r.Part/r.Issued))
		figures := fmt.Sprintf("%s: %.0f served, part %.0f", r.Name, r.Served, r.Part)
		qt.Check(t, r.Served-chance <= r.Part/minAccountPart, qt.IsTrue, qt.Commentf("%s", figures))
	}
}

func checkGoodput(t *testing.T, with, without Report, part float64) {
	t.Helper()
	t.Logf("%.1f with accounts, %.1f without", with.Goodput, without.Goodput)
	qt.Check(t, with.Goodput >= part*without.Goodput, qt.IsTrue)
}

// TestAccountsCostNoGoodput guards against capacity that is lost because it is divided.
func TestAccountsCostNoGoodput(t *testing.T) {
	t.Parallel()
	checkGoodput(t, directByRate().report, directUnnamed().report, 1)
}

// TestEqualWeightsCostNoGoodput guards against the same with equal weights.
func TestEqualWeightsCostNoGoodput(t *testing.T) {
	t.Parallel()
	checkGoodput(t, directEqual().report, directUnnamed().report, 1)
}

// TestManyAccountsCostLittleGoodput guards against capacity that is lost to accounts of
// which a server sees few calls: of 10,000 accounts, 1 % are active.
func TestManyAccountsCostLittleGoodput(t *testing.T) {
	t.Parallel()
	list := zipfAccounts(10000, false)
	for i := range list {
		list[i].Share, list[i].SurgeShare = 0, 0
		if i%100 == 0 {
			list[i].Share, list[i].SurgeShare = 1, 1
		}
	}
	var reports [2]Report
	for i := range reports {
		config := accountsSurgeConfig(list, false)
		config.UnnamedAccounts = i == 1
		reports[i], _ = runAccounts(config)
	}
	checkGoodput(t, reports[0], reports[1], 0.95)
}
