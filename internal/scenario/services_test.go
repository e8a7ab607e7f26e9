package scenario

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/wire"
)

// stateService simulates the state service, with versions, conditional transactions, leases
// and watches.
type stateService struct {
	sim           *sim
	revision      uint64
	items         map[string]item
	leases        map[uint64]*lease
	lastLeaseID   uint64
	holder        string
	outage        bool
	refused       map[string]bool // controllers whose requests are refused or not answered
	answersToLose int             // number of answers to transactions that are still to be lost
	delayNext     time.Duration   // the next transaction times out, and is applied after this delay
	// Share of transactions that are not answered, and are applied 2 to 12 s later, out of
	// order with newer ones.
	lossShare float64
	// With onlyAnswerLost, that share of transactions is applied at once and only the answer is lost.
	// It then applies to the creation and renewal of leases as well.
	onlyAnswerLost bool
	watches        []func()
	writes         int
	writesBySecond map[time.Duration]int // writes by second; nil: not counted
	segmentsRead   int
	durableFacts   map[uint64]bool       // jobs whose run-time facts have become durable; nil: not recorded
	onFact         func(json.RawMessage) // receives each new run-time fact; may be nil
	limitsLowered  bool                  // the announced lower limits apply
}

type item struct {
	value   json.RawMessage
	version uint64
	leaseID uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

func (st *stateService) unavailable(c *controller) bool { return st.outage || st.refused[c.name] }

func (st *stateService) expireLeases() {
	for id, h := range st.leases {
		if !st.outage && st.sim.now >= h.expiresAt {
			st.dropLease(id)
		}
	}
}

func (st *stateService) dropLease(id uint64) {
	delete(st.leases, id)
	for key, entry := range st.items {
		if entry.leaseID == id {
			st.revision++
			delete(st.items, key)
			st.keyChanged(key)
		}
	}
}

// keyChanged updates the holder of leadership and ends the watches, if a key of leadership changed.
func (st *stateService) keyChanged(key string) {
	if !strings.HasPrefix(key, leadership.Prefix) {
		return
	}
	previous := st.holder
	st.holder = ""
	if entry, ok := st.items[leadership.HolderKey]; ok {
		var holder leadership.LeaseHolder
		if json.Unmarshal(entry.value, &holder) == nil {
			st.holder = holder.Node
		}
	}
	if st.holder != "" && st.holder != previous {
		st.sim.replayToNewLeader()
	}
	list := st.watches
	st.watches = nil
	for _, f := range list {
		f()
	}
}

// recover ends the outage and extends every lease by its full length.
func (st *stateService) recover() {
	st.outage = false
	for _, h := range st.leases {
		h.expiresAt = st.sim.now + h.ttl
		st.sim.after(h.ttl, st.expireLeases)
	}
}

type txnResult struct {
	outcome eventlog.Outcome
	version uint64
	failed  []string
}

// apply applies a transaction if its conditions hold, and checks it against the service's limits. The
// holder key is bound to the lease; leaseID is 0 for a transaction that needs no lease.
func (st *stateService) apply(conditions []eventlog.Condition, writes []eventlog.Write, leaseID uint64) txnResult {
	st.expireLeases()
	if leaseID != 0 && st.leases[leaseID] == nil {
		return txnResult{outcome: eventlog.Refused}
	}
	var failed []string
	for _, c := range conditions {
		if st.items[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	st.writes += len(writes)
	if st.writesBySecond != nil {
		st.writesBySecond[st.sim.now/time.Second] += len(writes)
	}
	limits := st.sim.cfg.Deployment.State.StateLimits
	if st.limitsLowered {
		limits = st.sim.cfg.WriteLimits()
	}
	for _, w := range writes {
		if len(w.Value) > int(limits.ValueKB*1024) {
			st.sim.check.fail("state limits", "a value of %d bytes for key %s", len(w.Value), w.Key)
			return txnResult{outcome: eventlog.Invalid}
		}
	}
	if len(writes) > limits.TxnOps {
		st.sim.check.fail("state limits", "a transaction of %d writes", len(writes))
		return txnResult{outcome: eventlog.Invalid}
	}
	if failed != nil {
		return txnResult{outcome: eventlog.Conflict, failed: failed}
	}
	st.revision++
	for _, w := range writes {
		if w.Remove {
			delete(st.items, w.Key)
		} else {
			entry := item{value: w.Value, version: st.revision}
			if w.Key == leadership.HolderKey {
				entry.leaseID = leaseID
			}
			st.items[w.Key] = entry
			st.recordFacts(w)
		}
		st.keyChanged(w.Key)
	}
	return txnResult{outcome: eventlog.Applied, version: st.revision}
}

// delayWrite decides at random whether a transaction is not answered; if so, it schedules the
// delayed application and returns true.
func (st *stateService) delayWrite(writes []eventlog.Write, apply func() eventlog.Outcome) bool {
	if st.lossShare == 0 || st.onlyAnswerLost || st.sim.rng.Float64() >= st.lossShare {
		return false
	}
	before := st.revision
	st.sim.after(2*time.Second+time.Duration(st.sim.rng.Int64N(int64(10*time.Second))), func() {
		newer := st.revision > before
		outcome := apply()
		for _, w := range writes {
			what := "late write of " + w.Key[:strings.LastIndex(w.Key, "/")]
			if w.Remove {
				what = "late removal of " + w.Key[:strings.LastIndex(w.Key, "/")]
			}
			if newer {
				st.sim.cover(what + ", after newer ones")
			}
			if outcome == eventlog.Applied {
				st.sim.cover(what + ", carried out")
			}
		}
	})
	return true
}

// loseAnswer decides at random whether the answer to an applied request is lost.
func (st *stateService) loseAnswer(what ...string) bool {
	if !st.onlyAnswerLost || st.sim.rng.Float64() >= st.lossShare {
		return false
	}
	for _, w := range what {
		st.sim.cover("only the answer lost: " + w)
	}
	return true
}

// writtenKinds lists the key prefixes that a transaction writes or removes.
func writtenKinds(writes []eventlog.Write) []string {
	var kinds []string
	for _, w := range writes {
		kind := w.Key[:strings.LastIndex(w.Key, "/")]
		if w.Remove {
			kind = "removal of " + kind
		}
		kinds = append(kinds, kind)
	}
	return kinds
}

// commit handles a transaction of a controller, subject to the faults that affect transactions.
func (st *stateService) commit(c *controller, txn eventlog.Transaction) {
	epoch := epochOf(c)
	done := func(result txnResult, ok bool) {
		if !ok {
			result = txnResult{outcome: eventlog.Unknown}
		}
		c.input(func(now time.Duration) {
			c.core.Committed(now, epoch, txn.Sequence, result.outcome, result.version, result.failed)
		})()
	}
	if c.oldVersion {
		st.sim.check.checkProductionWrites(txn)
	}
	incarnation := c.incarnation
	if st.delayWrite(txn.Writes, func() eventlog.Outcome { return st.apply(txn.Conditions, txn.Writes, 0).outcome }) {
		st.sim.after(callTimeout, func() {
			if c.incarnation == incarnation {
				done(txnResult{}, false)
			}
		})
		return
	}
	if st.delayNext > 0 {
		delay := st.delayNext
		st.delayNext = 0
		st.sim.after(delay, func() { st.apply(txn.Conditions, txn.Writes, 0) })
		st.sim.after(callTimeout, func() {
			if c.incarnation == incarnation {
				done(txnResult{}, false)
			}
		})
		return
	}
	call(st.sim, c.name, "state", callTimeout, func(reply func(txnResult)) {
		if st.unavailable(c) {
			reply(txnResult{outcome: eventlog.Refused})
			return
		}
		for _, step := range st.stepsOf(txn.Writes) {
			st.sim.reachStep("before " + step)
		}
		result := st.apply(txn.Conditions, txn.Writes, 0)
		for _, step := range st.stepsOf(txn.Writes) {
			st.sim.reachStep("after " + step)
		}
		if st.answersToLose > 0 {
			st.answersToLose--
			return
		}
		if result.outcome == eventlog.Applied && st.loseAnswer(writtenKinds(txn.Writes)...) {
			return
		}
		st.sim.after(4*time.Millisecond, func() { reply(result) })
	}, func(result txnResult, ok bool) {
		if c.incarnation == incarnation {
			done(result, ok)
		}
	})
}

// stepsOf lists the steps from a rental to a start that a transaction makes durable.
func (st *stateService) stepsOf(writes []eventlog.Write) []string {
	if st.sim.onStep == nil {
		return nil
	}
	var out []string
	for _, w := range writes {
		if _, err := eventlog.SegmentNumber(w.Key); err != nil || w.Remove {
			continue
		}
		list, err := eventlog.Decode(w.Value)
		if err != nil {
			panic(err)
		}
		for _, e := range list {
			switch {
			case e.Rental != nil:
				out = append(out, "the rental noted")
			case e.RentalAnswer != nil:
				out = append(out, "the answer noted")
			case e.Machine != nil:
				out = append(out, "the machine registered")
			case e.Grant != nil:
				out = append(out, "the grant noted")
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// appendEntry writes an entry as the last one of the log.
func (st *stateService) appendEntry(t *testing.T, entry eventlog.Entry) {
	last := 0
	for key := range st.items {
		if n, err := eventlog.SegmentNumber(key); err == nil {
			last = max(last, n)
		}
	}
	raw, err := json.Marshal(map[string][]eventlog.Entry{"e": {entry}})
	if err != nil {
		t.Fatal(err)
	}
	if result := st.apply(nil, []eventlog.Write{{Key: eventlog.SegmentKey(last + 1), Value: raw}}, 0); result.outcome != eventlog.Applied {
		t.Fatalf("entry not applied: %v", result)
	}
}

func epochOf(c *controller) uint64 { return c.core.Epoch() }

func (st *stateService) readBack(c *controller, key string) {
	epoch, incarnation := epochOf(c), c.incarnation
	call(st.sim, c.name, "state", callTimeout, func(reply func(item)) {
		if !st.unavailable(c) {
			reply(st.items[key])
		}
	}, func(entry item, ok bool) {
		if c.incarnation == incarnation {
			c.input(func(now time.Duration) { c.core.CommitReadBack(now, epoch, ok, entry.version, entry.value) })()
		}
	})
}

func (st *stateService) readSegments(c *controller, first, end int) {
	epoch, incarnation := epochOf(c), c.incarnation
	call(st.sim, c.name, "state", callTimeout, func(reply func([]eventlog.Entry)) {
		if st.unavailable(c) {
			return
		}
		var list []eventlog.Entry
		for n := first; n < end; n++ {
			if entry, ok := st.items[eventlog.SegmentKey(n)]; ok {
				list = append(list, c.decodeSegment(entry.value)...)
				st.segmentsRead++
			}
		}
		reply(list)
	}, func(list []eventlog.Entry, ok bool) {
		if c.incarnation == incarnation {
			c.input(func(now time.Duration) { c.core.SegmentsRead(now, epoch, first, end, ok, list) })()
		}
	})
}

// readValues reads a page of up to three values of a leader component.
func (st *stateService) readValues(c *controller, component, afterKey string) {
	type page struct {
		list []eventlog.ComponentValue
		more bool
	}
	epoch, incarnation := epochOf(c), c.incarnation
	call(st.sim, c.name, "state", callTimeout, func(reply func(page)) {
		if st.unavailable(c) {
			return
		}
		var keys []string
		for key := range st.items {
			if strings.HasPrefix(key, eventlog.ComponentValuePrefix(component)) && key > afterKey {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		p := page{more: len(keys) > 3}
		for _, key := range keys[:min(len(keys), 3)] {
			p.list = append(p.list, eventlog.ComponentValue{Key: key, Data: st.items[key].value})
		}
		reply(p)
	}, func(p page, ok bool) {
		if c.incarnation == incarnation {
			c.input(func(now time.Duration) { c.core.ValuesRead(now, epoch, component, p.list, p.more, ok) })()
		}
	})
}

func (st *stateService) loadLog(c *controller, epoch uint64) {
	incarnation := c.incarnation
	call(st.sim, c.name, "state", callTimeout, func(reply func(term.LoadedLog)) {
		if st.unavailable(c) {
			return
		}
		var log term.LoadedLog
		var keys []string
		for key := range st.items {
			if strings.HasPrefix(key, eventlog.Prefix) {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		for _, key := range keys {
			log.Last, _ = eventlog.SegmentNumber(key)
			if log.First == 0 {
				log.First = log.Last
			}
			log.Entries = append(log.Entries, c.decodeSegment(st.items[key].value)...)
		}
		keys = keys[:0]
		for key := range st.items {
			if strings.HasPrefix(key, eventlog.SizesPrefix) {
				keys = append(keys, key)
			}
		}
		slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(st.items[a].version, st.items[b].version) })
		for _, key := range keys {
			var v eventlog.VirtualSizes
			if json.Unmarshal(st.items[key].value, &v) == nil {
				log.Sizes = append(log.Sizes, v.Sizes...)
			}
			n, _ := eventlog.SizesPieceNumber(key)
			log.VirtualSizePieces = max(log.VirtualSizePieces, n+1)
		}
		reply(log)
	}, func(log term.LoadedLog, ok bool) {
		if c.incarnation != incarnation {
			return
		}
		if !ok {
			st.sim.after(300*time.Millisecond, c.input(func(time.Duration) {
				if epochOf(c) == epoch {
					st.loadLog(c, epoch)
				}
			}))
			return
		}
		st.sim.loadStats.recordLog(log)
		c.input(func(now time.Duration) { c.core.LogLoaded(now, epoch, log) })()
	})
}

type leadershipResult struct {
	ok, expired bool
	id          uint64
	view        leadership.View
}

func (st *stateService) handleLeadership(c *controller, request leadership.Request) {
	incarnation := c.incarnation
	finish := func(r leadershipResult, ok bool) {
		if c.incarnation != incarnation {
			return
		}
		r.ok = r.ok && ok
		c.input(func(now time.Duration) {
			switch request.Action {
			case leadership.ReadKeys:
				c.core.KeysRead(now, request.Sequence, r.ok, r.view)
			case leadership.WatchKeys:
				c.core.WatchEnded(now, request.Sequence, r.ok)
			case leadership.CreateLease:
				c.core.LeaseCreated(now, request.Sequence, r.ok, r.id)
			case leadership.ClaimLeadership:
				c.core.LeadershipClaimed(now, request.Sequence, r.ok, r.id)
			case leadership.RenewLease:
				c.core.LeaseRenewed(now, request.Sequence, r.ok, r.expired && ok)
			}
		})()
	}
	limit := callTimeout
	if request.Action == leadership.WatchKeys {
		limit = 12 * time.Second
	}
	call(st.sim, c.name, "state", limit, func(reply func(leadershipResult)) {
		if st.unavailable(c) {
			reply(leadershipResult{})
			return
		}
		st.expireLeases()
		switch request.Action {
		case leadership.ReadKeys:
			reply(leadershipResult{ok: true, view: st.view()})
		case leadership.WatchKeys:
			if st.revision > request.Revision && (st.items[leadership.HolderKey].version > request.Revision || st.holder == "") {
				reply(leadershipResult{ok: true})
				return
			}
			st.watches = append(st.watches, func() { reply(leadershipResult{ok: true}) })
			st.sim.after(10*time.Second, func() { reply(leadershipResult{ok: true}) })
		case leadership.CreateLease:
			st.lastLeaseID++
			ttl := settingsSeconds(c.cfg.Tunables.LeaderLeaseS)
			st.leases[st.lastLeaseID] = &lease{ttl, st.sim.now + ttl}
			st.sim.after(ttl, st.expireLeases)
			if st.loseAnswer("hold") {
				return
			}
			reply(leadershipResult{ok: true, id: st.lastLeaseID})
		case leadership.ClaimLeadership:
			value, _ := json.Marshal(leadership.LeaseHolder{Node: c.name, Epoch: request.View.Epoch + 1})
			claim := func() txnResult {
				return st.apply([]eventlog.Condition{{Key: leadership.HolderKey}, {Key: leadership.EpochKey, Version: request.View.EpochVersion}},
					[]eventlog.Write{{Key: leadership.HolderKey, Value: value}, {Key: leadership.EpochKey, Value: value}}, request.LeaseID)
			}
			if st.delayWrite([]eventlog.Write{{Key: leadership.EpochKey}}, func() eventlog.Outcome { return claim().outcome }) {
				return
			}
			r := claim()
			if r.outcome == eventlog.Applied && st.loseAnswer("claim") {
				return
			}
			reply(leadershipResult{ok: r.outcome == eventlog.Applied, id: r.version})
		case leadership.RenewLease:
			held := st.leases[request.LeaseID]
			if held == nil {
				reply(leadershipResult{expired: true})
				return
			}
			held.expiresAt = st.sim.now + held.ttl
			st.sim.after(held.ttl, st.expireLeases)
			if st.loseAnswer("renewal") {
				return
			}
			reply(leadershipResult{ok: true})
		case leadership.ReleaseLease:
			st.dropLease(request.LeaseID)
		}
	}, finish)
}

func (st *stateService) view() leadership.View {
	v := leadership.View{Revision: st.revision}
	for _, key := range []string{leadership.HolderKey, leadership.EpochKey} {
		entry, ok := st.items[key]
		var holder leadership.LeaseHolder
		if !ok || json.Unmarshal(entry.value, &holder) != nil {
			continue
		}
		if key == leadership.HolderKey {
			v.Holder, v.HolderVersion = &holder, entry.version
		} else {
			v.Epoch, v.EpochNode, v.EpochVersion = holder.Epoch, holder.Node, entry.version
		}
	}
	return v
}

func settingsSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// cloud simulates the cloud provider.
type cloud struct {
	sim            *sim
	rentalAnswers  map[string][]string
	machines       map[string]*worker
	rentalAnswered map[string]bool // machines whose rental's answer has arrived
	nextMachine    int
	capacity       int
	bootTime       time.Duration
	answerDelay    time.Duration // added latency of answers to rentals
	bootFailures   int           // number of the next machines that never boot
	delayNext      time.Duration // the next rental times out, and is executed after this delay
	outage         bool
	deletions      int
}

var machineTypes = []eventlog.MachineType{{
	Name: "m4", CPUs: machineCPUs, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3,
	BootS: 5, Zones: []string{"a", "b"},
}}

// execute rents machines, up to the capacity. A request that is repeated under its name gets
// the same answer.
func (cl *cloud) execute(r eventlog.Rental) []string {
	if got, ok := cl.rentalAnswers[r.Name]; ok {
		return got
	}
	names := []string{}
	for range r.Count {
		if len(cl.machines) >= cl.capacity {
			break
		}
		name := fmt.Sprintf("host-%06d", cl.nextMachine)
		cl.nextMachine++
		names = append(names, name)
		cl.addMachine(name, r.Zone, r.Spot)
	}
	cl.rentalAnswers[r.Name] = names
	return names
}

// addMachine creates a machine, which boots after the boot time unless bootFailures makes it fail.
func (cl *cloud) addMachine(name, zone string, spot bool) {
	w := &worker{sim: cl.sim, name: name, zone: zone, spot: spot, session: 1, tasks: map[task]*taskAttempt{}}
	cl.machines[name] = w
	if cl.bootFailures > 0 {
		cl.bootFailures--
		return
	}
	cl.sim.after(cl.bootTime+time.Duration(cl.sim.rng.IntN(1000))*time.Millisecond, w.boot)
}

type rentResult struct {
	names  []string
	result wire.RentResult
}

func (cl *cloud) rent(c *controller, r eventlog.Rental) {
	epoch, incarnation := epochOf(c), c.incarnation
	if cl.delayNext > 0 {
		cl.sim.after(cl.delayNext, func() { cl.execute(r) })
		cl.delayNext = 0
		cl.sim.after(callTimeout, func() {
			if c.incarnation == incarnation {
				c.input(func(now time.Duration) { c.core.RentalAnswered(now, epoch, r.Name, nil, wire.NoAnswer) })()
			}
		})
		return
	}
	call(cl.sim, c.name, "cloud", 5*time.Second, func(reply func(rentResult)) {
		if cl.outage {
			reply(rentResult{nil, wire.NoAnswer})
			return
		}
		cl.sim.reachStep("before the rental carried out")
		names := cl.execute(r)
		cl.sim.reachStep("after the rental carried out")
		if len(names) == 0 {
			delete(cl.rentalAnswers, r.Name)
			reply(rentResult{nil, wire.NoCapacity})
			return
		}
		cl.sim.after(cl.answerDelay, func() {
			cl.sim.reachStep("before the rental answered")
			reply(rentResult{names, wire.Rented})
			cl.sim.after(10*time.Millisecond, func() { cl.sim.reachStep("after the rental answered") })
		})
	}, func(answer rentResult, ok bool) {
		if !ok {
			answer.result = wire.NoAnswer
		}
		for _, n := range answer.names {
			cl.rentalAnswered[n] = true
		}
		if c.incarnation == incarnation {
			c.input(func(now time.Duration) { c.core.RentalAnswered(now, epoch, r.Name, answer.names, answer.result) })()
		}
	})
}

func (cl *cloud) deleteMachines(c *controller, names []string) {
	epoch, incarnation := epochOf(c), c.incarnation
	call(cl.sim, c.name, "cloud", 5*time.Second, func(reply func(bool)) {
		if cl.outage {
			reply(false)
			return
		}
		for _, n := range names {
			if w := cl.machines[n]; w != nil {
				cl.sim.check.machineDeleted(w)
				w.terminate()
				delete(cl.machines, n)
				cl.deletions++
			}
		}
		reply(true)
	}, func(res, ok bool) {
		if c.incarnation == incarnation {
			c.input(func(now time.Duration) { c.core.MachinesDeleted(now, epoch, names, res && ok) })()
		}
	})
}

func (cl *cloud) listTypes(c *controller) {
	epoch, incarnation := epochOf(c), c.incarnation
	call(cl.sim, c.name, "cloud", 5*time.Second, func(reply func([]eventlog.MachineType)) {
		if cl.outage {
			reply(nil)
			return
		}
		reply(machineTypes)
	}, func(list []eventlog.MachineType, _ bool) {
		if c.incarnation == incarnation {
			c.input(func(now time.Duration) { c.core.MachineTypesListed(now, epoch, list) })()
		}
	})
}

func (cl *cloud) listMachines(c *controller) {
	epoch, incarnation := epochOf(c), c.incarnation
	var list []wire.ListedMachine
	var names []string
	for n := range cl.machines {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		w := cl.machines[n]
		list = append(list, wire.ListedMachine{Machine: eventlog.Machine{Name: n, Address: n, Type: "m4", Zone: w.zone, Spot: w.spot}})
	}
	// The list is a snapshot from the time of the request, and stale when it arrives.
	call(cl.sim, c.name, "cloud", 5*time.Second, func(reply func([]wire.ListedMachine)) {
		if !cl.outage {
			cl.sim.after(2*time.Second, func() { reply(list) })
		}
	}, func(list []wire.ListedMachine, ok bool) {
		if c.incarnation == incarnation {
			c.input(func(now time.Duration) { c.core.MachinesListed(now, epoch, list, ok) })()
		}
	})
}

// recordFacts records the jobs whose run-time facts became durable.
func (st *stateService) recordFacts(w eventlog.Write) {
	if _, err := eventlog.SegmentNumber(w.Key); st.durableFacts == nil || err != nil {
		return
	}
	list, err := eventlog.Decode(w.Value)
	if err != nil {
		panic(err)
	}
	for _, e := range list {
		if e.Component == nil || e.Component.Name != runtimes.Name {
			continue
		}
		var component struct {
			Fact *struct {
				ID uint64 `json:"i"`
			} `json:"f"`
		}
		if json.Unmarshal(e.Component.Data, &component) == nil && component.Fact != nil {
			if st.onFact != nil && !st.durableFacts[component.Fact.ID] {
				st.onFact(e.Component.Data)
			}
			st.durableFacts[component.Fact.ID] = true
		}
	}
}

// countComponentEntries counts the log entries of a leader component.
func (st *stateService) countComponentEntries(component string) int {
	n := 0
	for k, entry := range st.items {
		if _, err := eventlog.SegmentNumber(k); err != nil {
			continue
		}
		list, err := eventlog.Decode(entry.value)
		if err != nil {
			panic(err)
		}
		for _, e := range list {
			if e.Component != nil && e.Component.Name == component {
				n++
			}
		}
	}
	return n
}
