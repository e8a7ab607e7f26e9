package scalerun

import (
	"sync"
	"time"

	"bitternmoor/internal/scaletest/experiment"
	"bitternmoor/internal/scaletest/netproxy"
	"bitternmoor/internal/scaletest/traffic"
)

// noZone is the location of the state service, the cloud and the users: in the first region, outside
// its zones.
const noZone = ""

// network simulates the latency and the partitions between zones and regions.
type network struct {
	exp *experiment.Experiment

	mu                 sync.Mutex
	partitionedZone    string // zone that is partitioned; empty: none
	regionsPartitioned bool   // whether the regions are partitioned from one another
	links              []*link
}

// link is a proxied path from one location to another.
type link struct {
	from, to string // zones, or noZone
	proxy    *netproxy.Proxy
	traffic  traffic.Meter
}

func (n *network) region(zone string) int {
	if zone == noZone {
		return 0
	}
	return n.exp.RegionOf(zone)
}

// latency returns the one-way latency between two locations.
func (n *network) latency(from, to string) time.Duration {
	if n.region(from) == n.region(to) {
		return 0
	}
	return seconds(n.exp.Controllers.RoundTripMS / 2000)
}

// reaches reports whether one location can currently reach another.
func (n *network) reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connected(from, to)
}

// connected does what reaches does; the caller holds the lock.
func (n *network) connected(from, to string) bool {
	if n.regionsPartitioned && n.region(from) != n.region(to) {
		return false
	}
	return n.partitionedZone == noZone || (from == n.partitionedZone) == (to == n.partitionedZone)
}

// isolated reports whether a zone is cut off from the services of the first region.
func (n *network) isolated(zone string) bool { return !n.reaches(zone, noZone) }

// connect creates a link from one location to an address in another.
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

// setPartition partitions a zone from all other locations, or the regions from one another if
// betweenRegions is set; noZone and false end all partitions.
func (n *network) setPartition(zone string, betweenRegions bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedZone, n.regionsPartitioned = zone, betweenRegions
	for _, l := range n.links {
		l.proxy.SetPartitioned(!n.connected(l.from, l.to))
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.proxy.Close()
	}
}
