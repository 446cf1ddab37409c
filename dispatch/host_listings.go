package dispatch

// hostListings holds the two latest listings of the pool of hosts. Listings are numbered
// in the order in which they are asked for, so that a wave is decided only by those that
// were asked for after it was known: an older one lacks hosts that have joined since.
type hostListings struct {
	latest, previous hostListing
	// asked is the number of the listing that was asked for last.
	asked    uint64
	inFlight bool
	nextAt   Instant
	// first is the number of the first listing that may decide each active wave.
	first map[uint64]uint64
}

// hostListing is one complete listing. Its number is zero if there is none.
type hostListing struct {
	number  uint64
	askedAt Instant
	hosts   map[string]Host
}

func newHostListings() hostListings { return hostListings{first: make(map[uint64]uint64)} }

// require lets only listings that are asked for from now on decide a wave that is not
// known yet.
func (l *hostListings) require(wave uint64) {
	if l.first[wave] == 0 {
		l.first[wave] = l.asked + 1
	}
}

// forget drops a wave that has ended.
func (l *hostListings) forget(wave uint64) { delete(l.first, wave) }

// next returns the number of the next listing and whether it is to be asked for now.
func (l *hostListings) next(now Instant) (uint64, bool) {
	if l.inFlight || now < l.nextAt {
		return 0, false
	}
	l.inFlight = true
	l.asked++
	return l.asked, true
}

// handle takes the answer to a request for a listing.
func (l *hostListings) handle(a *HostAnswer, now Instant) {
	l.inFlight, l.nextAt = false, now.Add(listInterval)
	if a.Outcome != HostDone {
		return
	}
	hosts := make(map[string]Host, len(a.Hosts))
	for _, host := range a.Hosts {
		hosts[host.Name] = host
	}
	l.previous, l.latest = l.latest, hostListing{number: a.Order.Listing, askedAt: a.Order.SentAt, hosts: hosts}
}

// decide reports whether the latest listing may decide a wave.
func (l *hostListings) decide(wave uint64) bool { return l.latest.number >= l.first[wave] }

// host returns the entry of a host in the latest listing and whether it has one.
func (l *hostListings) host(name string) (Host, bool) {
	host, listed := l.latest.hosts[name]
	return host, listed
}

// lack reports whether both listings may decide the wave and lack the host. One of them is
// no proof: a listing of several pages misses hosts when others come or go between two pages.
func (l *hostListings) lack(wave uint64, name string) bool {
	_, inLatest := l.latest.hosts[name]
	_, inPrevious := l.previous.hosts[name]
	return l.previous.number >= l.first[wave] && !inLatest && !inPrevious
}
