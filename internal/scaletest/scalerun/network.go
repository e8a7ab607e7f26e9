package scalerun

import (
	"sync"
	"time"

	"bitternmoor/internal/scaletest/experiment"
	"bitternmoor/internal/scaletest/netproxy"
	"bitternmoor/internal/scaletest/traffic"
)

// noZone is where the state service, the cloud and users are: in the first region, in no zone.
const noZone = ""

// network knows which parts of the world reach one another, and how long that takes.
type network struct {
	exp *experiment.Experiment

	mu    sync.Mutex
	zone  string // that is cut off; empty: none
	apart bool   // the regions do not reach one another
	links []*link
}

// link is the way from one place to another by way of a proxy.
type link struct {
	from, to string // zones
	proxy    *netproxy.Proxy
	traffic  traffic.Meter
}

func (n *network) region(zone string) int {
	if zone == noZone {
		return 0
	}
	return n.exp.RegionOf(zone)
}

// latency is how long a message takes one way.
func (n *network) latency(from, to string) time.Duration {
	if n.region(from) == n.region(to) {
		return 0
	}
	return seconds(n.exp.Controllers.RoundTripMS / 2000)
}

// reaches says whether one place reaches another now.
func (n *network) reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connected(from, to)
}

func (n *network) connected(from, to string) bool {
	if n.apart && n.region(from) != n.region(to) {
		return false
	}
	return n.zone == noZone || (from == n.zone) == (to == n.zone)
}

// isolated says whether a zone is cut off from the first region.
func (n *network) isolated(zone string) bool { return !n.reaches(zone, noZone) }

// connect makes the way from one place to an address in another.
func (n *network) connect(from, to, addr string) (*link, error) {
	l := &link{from: from, to: to}
	p, err := netproxy.New(addr, n.latency(from, to), &l.traffic)
	if err != nil {
		return nil, err
	}
	l.proxy = p
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, l)
	return l, nil
}

// cut has a zone cut off, or the regions apart, or neither.
func (n *network) cut(zone string, apart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zone, n.apart = zone, apart
	for _, l := range n.links {
		l.proxy.Cut(!n.connected(l.from, l.to))
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.proxy.Close()
	}
}
