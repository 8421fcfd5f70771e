package dispatcher

import "waxwingseam.example/waxwingseam"

// noteRefused records, for the run that made a call, which share of the roots first nodes
// should refuse for the service called: of the call's own account, and of other accounts.
func (d *dispatcher) noteRefused(c *waxwingseam.Context, f *flight, result *waxwingseam.Result) {
	call, place := &f.call, f.call.Place()
	d.Tracker.NoteRefused(c.Now, call.Parent, call.Service, d.Balancer.Refused(c, call.Service, place))
	if len(c.Set.ClientAccounts) == 0 {
		return
	}
	note := func(tag waxwingseam.AccountTag) {
		place.Account = tag
		d.Tracker.NoteAccountRefused(c.Now, call.Parent, call.Service, waxwingseam.AccountShare{
			Account: tag, Refused: d.Balancer.Refused(c, call.Service, place),
		})
	}
	note(waxwingseam.TagOthers)
	note(waxwingseam.TagAny)
	for _, v := range result.Accounts.Cut {
		if v.Account > waxwingseam.TagAny {
			note(v.Account)
		}
	}
}
