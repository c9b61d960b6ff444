package policy

// The periodic check of what no event tells.

import "time"

const (
	checkInterval = 20 * time.Millisecond // pace of the checks that no event brings
	stalledAfter  = 5 * checkInterval     // a check that comes so late says that this door stood still
)

// periodicCheck looks for what no event tells: silence, waiting customers, free slots.
func (d *Engine) periodicCheck() {
	d.act(SetTimer{d.now + checkInterval, 0})
	for _, s := range d.watched {
		if d.now-d.checkedAt < stalledAfter { // else this door stood still, and what came meanwhile is not yet read
			d.detectSilence(s)
		}
	}
	d.checkedAt = d.now
	d.pruneWatched()
	d.endColdStarts()
	stuck := d.unplaced
	d.unplaced = nil
	for _, r := range stuck {
		if !r.ended {
			d.place(r)
		}
	}
	d.fillAll()
	list := d.waiters
	d.waiters = nil
	for _, c := range list {
		c.listed = false
		d.serve(c)
	}
	d.forgetCustomers()
	if d.set.PollEndpoints && d.set.PollInterval > 0 && d.now-d.listAt > d.set.PollInterval/2 {
		d.listAt = d.now
		d.act(FetchEndpoints{})
	}
}
