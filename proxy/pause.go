package proxy

import "time"

// pauseThreshold is the time without a tick after which the process counts as
// paused: peers may have declared it dead.
const pauseThreshold = time.Second

// checkPaused gives up all slots for the settle time if the process was paused,
// for example by SIGSTOP or a frozen machine. It is called before each routing
// decision, because requests may arrive before the next tick.
func (p *Proxy) checkPaused(at time.Time) {
	if p.pausedFor(at) == 0 || !p.giveUpSlots(at) {
		return
	}
	if p.options.OnResume != nil {
		p.options.OnResume()
	}
}

// pausedFor returns how long the process was paused, zero if it was not.
func (p *Proxy) pausedFor(at time.Time) time.Duration {
	last := p.lastTick.Load()
	if paused := time.Duration(at.UnixNano() - last); last != 0 && paused >= pauseThreshold {
		return paused
	}
	return 0
}

// giveUpSlots gives up all slots after a pause. It returns false if another request has done
// so; a request that finds the pause at the same time waits for it.
func (p *Proxy) giveUpSlots(at time.Time) bool {
	p.pauseMu.Lock()
	defer p.pauseMu.Unlock()
	paused := p.pausedFor(at)
	if paused == 0 {
		return false
	}
	p.options.Logger.Warn().Dur("held_up", paused).Msg("slots given up after a pause")
	p.mu.Lock()
	p.allotment.Reset(p.options.Now())
	p.settled = false
	services := p.allServices()
	p.mu.Unlock()
	for _, s := range services {
		s.refreshShares()
	}
	p.lastTick.Store(at.UnixNano()) // Last: until then, requests must find the pause.
	return true
}
