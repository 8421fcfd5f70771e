package experimenter

import (
	"fmt"
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	accountsBase  = 0.7
	accountsSurge = 2.5
	// accountsHot is the index of the account that sends hotFactor times its usual rate
	// during the surge.
	accountsHot = 1
	hotFactor   = 10
	// zipfExponent is that of the sizes of accounts.
	zipfExponent = 1.2
)

// accountsScarce is the service that is short.
const accountsScarce waxwingseam.ServiceName = "fees"

// accountsDeployment returns a deployment in which callers send to many nodes, each of
// which sees few requests of an account, and four servers are short.
func accountsDeployment() Deployment {
	return Deployment{
		Name: "accounts",
		Tiers: []Tier{
			{"desk", 56, 40, 300, 10 * time.Millisecond},
			{accountsScarce, 4, 10, 120, 50 * time.Millisecond},
		},
		RequestKinds: []RequestKind{{
			Class: "fee", Importance: 5, Repeat: waxwingseam.RepeatIdempotent, Share: 100,
			Deadline: 3 * time.Second, MaxWait: 250 * time.Millisecond,
		}},
		Delay:       500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		MaxWaiting:  80,
	}
}

// zipfAccounts returns accounts with sizes by a Zipf law. During the surge, one sends
// hotFactor times its usual rate, and the others what is left of the demand.
func zipfAccounts(count int, byRate bool) []Account {
	out := make([]Account, count)
	total := 0.0
	for i := range out {
		out[i].Share = math.Pow(float64(i+1), -zipfExponent)
		total += out[i].Share
	}
	hot := hotFactor * accountsBase * out[accountsHot].Share / total
	rest := (accountsSurge - hot) / (1 - out[accountsHot].Share/total)
	for i := range out {
		v := &out[i]
		v.Name = waxwingseam.AccountName(fmt.Sprintf("account-%d", i))
		v.Share /= total
		v.SurgeShare = rest * v.Share
		v.Weight = 1
		if byRate {
			v.Weight = v.Share
		}
	}
	out[accountsHot].SurgeShare = hot
	return out
}

// accountsSurgeConfig returns a surge on the scarce service, directly or by a chain.
func accountsSurgeConfig(list []Account, chain bool) Config {
	d := accountsDeployment()
	config := newConfig(d, 1, 12*time.Second)
	config.Plan = &Visit{Service: accountsScarce, Work: d.Tiers[1].Work}
	if chain {
		config.Plan = &Visit{Service: "desk", Work: d.Tiers[0].Work, Stages: [][]*Visit{{config.Plan}}}
	}
	config.Capacity = slotCapacity(d, []*Visit{config.Plan}, accountsScarce)
	config.Demand = Demand{Base: accountsBase, Surge: accountsSurge, Resends: 1, AnyNode: true}
	config.Duration = config.TriggerEnd + time.Second
	config.Accounts = list
	config.Layer = Waxwingseam()
	return config
}
