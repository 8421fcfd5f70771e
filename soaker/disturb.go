package soaker

import (
	"syscall"
	"time"
)

// apply carries out a step and returns once it is over, with what it broke.
func (d *deployment) apply(s Step) string {
	switch s.Fault {
	case FaultNodeStop, FaultNodeKill, FaultNodePause:
		h := d.hosts[s.Target]
		h.busy.Lock()
		defer h.busy.Unlock()
		return disturb(h.program, s)
	case FaultControlStop, FaultControlKill, FaultControlPause:
		d.control.Lock()
		defer d.control.Unlock()
		return disturb(d.replicas[s.Target].program, s)
	case FaultReload:
		d.hosts[s.Target].signal(syscall.SIGHUP)
		return ""
	}
	d.disturbPath(s)
	return ""
}

// disturb does something to a process and brings it back.
func disturb(p *program, s Step) string {
	switch s.Fault {
	case FaultNodePause, FaultControlPause:
		p.pause(s.For)
		return ""
	case FaultNodeKill, FaultControlKill:
		p.kill()
		time.Sleep(s.For / 2)
	default:
		if !p.stop(drainLimit) {
			return p.name + " was still there at the end of its drain limit"
		}
	}
	if err := p.start(); err != nil {
		return p.name + " did not start: " + err.Error()
	}
	return ""
}

// disturbPath does something to a backend server or the path to it.
func (d *deployment) disturbPath(s Step) {
	h := d.hosts[s.Target]
	switch s.Fault {
	case FaultPathReset:
		h.path.reset()
	case FaultPathSilent:
		h.path.hold(s.For, toTarget, toCaller)
	case FaultPathOneWay:
		h.path.hold(s.For, toCaller)
	case FaultPathSlow:
		h.path.slow(s.For/20, s.For)
	case FaultBackendFails:
		h.server.SetFailing(true)
		time.Sleep(s.For)
		h.server.SetFailing(false)
	case FaultBackendSlow:
		const factor = 10
		h.server.SetSlowdown(factor)
		time.Sleep(s.For)
		h.server.SetSlowdown(1)
	case FaultBackendLies:
		h.server.SetHealthInverted(true)
		time.Sleep(s.For)
		h.server.SetHealthInverted(false)
	}
}
