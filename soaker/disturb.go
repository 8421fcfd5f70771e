package soaker

import (
	"syscall"
	"time"
)

// apply carries out a step and returns when the fault has ended. The result
// describes a process that did not stop or start; it is empty otherwise.
func (d *deployment) apply(s Step) string {
	switch s.Fault {
	case FaultNodeStop, FaultNodeKill, FaultNodePause:
		h := d.hosts[s.Target]
		h.faultMu.Lock()
		defer h.faultMu.Unlock()
		return disturbProcess(h.process, s)
	case FaultControlStop, FaultControlKill, FaultControlPause:
		d.controlFaultMu.Lock()
		defer d.controlFaultMu.Unlock()
		return disturbProcess(d.replicas[s.Target].process, s)
	case FaultBackendLimited, FaultBackendLeaving:
		return d.state(s)
	case FaultClients:
		d.playClients(s)
		return ""
	case FaultReload:
		d.hosts[s.Target].signal(syscall.SIGHUP)
		return ""
	}
	d.disturbBackend(s)
	return ""
}

// disturbProcess pauses a process, or ends and restarts it. The result describes a
// failed stop or start; it is empty otherwise.
func disturbProcess(p *process, s Step) string {
	switch s.Fault {
	case FaultNodePause, FaultControlPause:
		p.pause(s.Duration)
		return ""
	case FaultNodeKill, FaultControlKill:
		p.kill()
		time.Sleep(s.Duration / 2)
	default:
		if !p.stop(drainLimit) {
			return p.name + " did not exit within its drain limit"
		}
	}
	if err := p.start(); err != nil {
		return p.name + " did not start: " + err.Error()
	}
	return ""
}

// disturbBackend applies a fault to a backend server or the path to it.
func (d *deployment) disturbBackend(s Step) {
	h := d.hosts[s.Target]
	switch s.Fault {
	case FaultPathReset:
		h.path.reset()
	case FaultPathSilent:
		h.path.block(s.Duration, toTarget, toCaller)
	case FaultPathOneWay:
		h.path.block(s.Duration, toCaller)
	case FaultPathSlow:
		h.path.slow(s.Duration/20, s.Duration)
	case FaultBackendFails:
		h.server.SetFailing(true)
		time.Sleep(s.Duration)
		h.server.SetFailing(false)
	case FaultBackendBreaks:
		h.server.SetBreaking(true)
		time.Sleep(s.Duration)
		h.server.SetBreaking(false)
	case FaultBackendSlow:
		const factor = 10
		h.server.SetSlowdown(factor)
		time.Sleep(s.Duration)
		h.server.SetSlowdown(1)
	case FaultBackendHealthInverted:
		h.server.SetHealthInverted(true)
		time.Sleep(s.Duration)
		h.server.SetHealthInverted(false)
	}
}
