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
	s       *sim
	rev     uint64
	items   map[string]item
	holds   map[uint64]*hold
	nextID  uint64
	holder  string
	outage  bool
	refuse  map[string]bool // controllers whose requests are answered with 503
	loseOut int             // number of answers to transactions that are still to be lost
	delayed time.Duration   // the next transaction times out, and is applied after this delay
	// Share of transactions that are not answered, and are applied 2 to 12 s later, out of
	// order with newer ones.
	lateShare float64
	// With atOnce, that share of transactions is applied at once and only the answer is lost.
	// It then applies to the creation and renewal of leases as well.
	atOnce  bool
	watches []func()
	writes  int
	rates   map[time.Duration]int // writes by second; nil: not counted
	cleaned int
	facts   map[uint64]bool       // jobs whose run-time facts have been durable; nil: not recorded
	record  func(json.RawMessage) // receives each new run-time fact; may be nil
	lowered bool                  // the announced lower limits apply
}

type item struct {
	value json.RawMessage
	mark  uint64
	hold  uint64
}

type hold struct {
	life time.Duration
	ends time.Duration
}

func (st *stateService) down(c *controller) bool { return st.outage || st.refuse[c.name] }

func (st *stateService) expire() {
	for id, h := range st.holds {
		if !st.outage && st.s.now >= h.ends {
			st.drop(id)
		}
	}
}

func (st *stateService) drop(id uint64) {
	delete(st.holds, id)
	for k, it := range st.items {
		if it.hold == id {
			st.rev++
			delete(st.items, k)
			st.changed(k)
		}
	}
}

func (st *stateService) changed(key string) {
	if !strings.HasPrefix(key, leadership.Prefix) {
		return
	}
	before := st.holder
	st.holder = ""
	if it, ok := st.items[leadership.HolderKey]; ok {
		var h leadership.LeaseHolder
		if json.Unmarshal(it.value, &h) == nil {
			st.holder = h.Node
		}
	}
	if st.holder != "" && st.holder != before {
		st.s.deliverKept()
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
	for _, h := range st.holds {
		h.ends = st.s.now + h.life
		st.s.after(h.life, st.expire)
	}
}

type txnResult struct {
	out    eventlog.Outcome
	mark   uint64
	failed []string
}

func (st *stateService) apply(conds []eventlog.Condition, writes []eventlog.Write, held uint64) txnResult {
	st.expire()
	if held != 0 && st.holds[held] == nil {
		return txnResult{out: eventlog.Refused}
	}
	var failed []string
	for _, c := range conds {
		if st.items[c.Key].mark != c.Version {
			failed = append(failed, c.Key)
		}
	}
	st.writes += len(writes)
	if st.rates != nil {
		st.rates[st.s.now/time.Second] += len(writes)
	}
	lim := st.s.cfg.Deployment.State.StateLimits
	if st.lowered {
		lim = st.s.cfg.WriteLimits()
	}
	for _, w := range writes {
		if len(w.Value) > int(lim.ValueKB*1024) {
			st.s.check.fail("state limits", "a value of %d bytes for key %s", len(w.Value), w.Key)
			return txnResult{out: eventlog.Invalid}
		}
	}
	if len(writes) > lim.TxnOps {
		st.s.check.fail("state limits", "a transaction of %d writes", len(writes))
		return txnResult{out: eventlog.Invalid}
	}
	if failed != nil {
		return txnResult{out: eventlog.Conflict, failed: failed}
	}
	st.rev++
	for _, w := range writes {
		if w.Remove {
			delete(st.items, w.Key)
		} else {
			it := item{value: w.Value, mark: st.rev}
			if w.Key == leadership.HolderKey {
				it.hold = held
			}
			st.items[w.Key] = it
			st.learned(w)
		}
		st.changed(w.Key)
	}
	return txnResult{out: eventlog.Applied, mark: st.rev}
}

// lateWrite decides at random whether a transaction is not answered; if so, it schedules the
// delayed application and returns true.
func (st *stateService) lateWrite(writes []eventlog.Write, apply func() eventlog.Outcome) bool {
	if st.lateShare == 0 || st.atOnce || st.s.rng.Float64() >= st.lateShare {
		return false
	}
	before := st.rev
	st.s.after(2*time.Second+time.Duration(st.s.rng.Int64N(int64(10*time.Second))), func() {
		newer := st.rev > before
		out := apply()
		for _, w := range writes {
			what := "late write of " + w.Key[:strings.LastIndex(w.Key, "/")]
			if w.Remove {
				what = "late removal of " + w.Key[:strings.LastIndex(w.Key, "/")]
			}
			if newer {
				st.s.saw(what + ", after newer ones")
			}
			if out == eventlog.Applied {
				st.s.saw(what + ", carried out")
			}
		}
	})
	return true
}

// answerLost decides at random whether the answer to an applied request is lost.
func (st *stateService) answerLost(what ...string) bool {
	if !st.atOnce || st.s.rng.Float64() >= st.lateShare {
		return false
	}
	for _, w := range what {
		st.s.saw("only the answer lost: " + w)
	}
	return true
}

// written lists the key prefixes that a transaction writes or removes.
func written(writes []eventlog.Write) []string {
	var out []string
	for _, w := range writes {
		kind := w.Key[:strings.LastIndex(w.Key, "/")]
		if w.Remove {
			kind = "removal of " + kind
		}
		out = append(out, kind)
	}
	return out
}

func (st *stateService) commit(c *controller, t eventlog.Transaction) {
	epoch := epochOf(c)
	done := func(r txnResult, ok bool) {
		if !ok {
			r = txnResult{out: eventlog.Unknown}
		}
		c.into(func(now time.Duration) { c.core.Committed(now, epoch, t.Sequence, r.out, r.mark, r.failed) })()
	}
	if c.old {
		st.s.check.productionWrites(t)
	}
	life := c.life
	if st.lateWrite(t.Writes, func() eventlog.Outcome { return st.apply(t.Conditions, t.Writes, 0).out }) {
		st.s.after(wait, func() {
			if c.life == life {
				done(txnResult{}, false)
			}
		})
		return
	}
	if st.delayed > 0 {
		late := st.delayed
		st.delayed = 0
		st.s.after(late, func() { st.apply(t.Conditions, t.Writes, 0) })
		st.s.after(wait, func() {
			if c.life == life {
				done(txnResult{}, false)
			}
		})
		return
	}
	call(st.s, c.name, "state", wait, func(reply func(txnResult)) {
		if st.down(c) {
			reply(txnResult{out: eventlog.Refused})
			return
		}
		for _, step := range st.steps(t.Writes) {
			st.s.comes("before " + step)
		}
		r := st.apply(t.Conditions, t.Writes, 0)
		for _, step := range st.steps(t.Writes) {
			st.s.comes("after " + step)
		}
		if st.loseOut > 0 {
			st.loseOut--
			return
		}
		if r.out == eventlog.Applied && st.answerLost(written(t.Writes)...) {
			return
		}
		st.s.after(4*time.Millisecond, func() { reply(r) })
	}, func(r txnResult, ok bool) {
		if c.life == life {
			done(r, ok)
		}
	})
}

// steps lists the steps from a rental to a start that a transaction makes durable.
func (st *stateService) steps(writes []eventlog.Write) []string {
	if st.s.moment == nil {
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

// append writes an entry as the last one of the log.
func (st *stateService) append(t *testing.T, e eventlog.Entry) {
	last := 0
	for k := range st.items {
		if n, err := eventlog.SegmentNumber(k); err == nil {
			last = max(last, n)
		}
	}
	raw, err := json.Marshal(map[string][]eventlog.Entry{"e": {e}})
	if err != nil {
		t.Fatal(err)
	}
	if r := st.apply(nil, []eventlog.Write{{Key: eventlog.SegmentKey(last + 1), Value: raw}}, 0); r.out != eventlog.Applied {
		t.Fatalf("entry not applied: %v", r)
	}
}

func epochOf(c *controller) uint64 { return c.core.Epoch() }

func (st *stateService) recheck(c *controller, key string) {
	epoch, life := epochOf(c), c.life
	call(st.s, c.name, "state", wait, func(reply func(item)) {
		if !st.down(c) {
			reply(st.items[key])
		}
	}, func(it item, ok bool) {
		if c.life == life {
			c.into(func(now time.Duration) { c.core.ReadBack(now, epoch, ok, it.mark, it.value) })()
		}
	})
}

func (st *stateService) clean(c *controller, first, end int) {
	epoch, life := epochOf(c), c.life
	call(st.s, c.name, "state", wait, func(reply func([]eventlog.Entry)) {
		if st.down(c) {
			return
		}
		var list []eventlog.Entry
		for n := first; n < end; n++ {
			if it, ok := st.items[eventlog.SegmentKey(n)]; ok {
				list = append(list, c.entries(it.value)...)
				st.cleaned++
			}
		}
		reply(list)
	}, func(list []eventlog.Entry, ok bool) {
		if c.life == life {
			c.into(func(now time.Duration) { c.core.SegmentsRead(now, epoch, first, end, ok, list) })()
		}
	})
}

// values reads a page of up to three values of a leader component.
func (st *stateService) values(c *controller, duty, since string) {
	type page struct {
		list []eventlog.ComponentValue
		more bool
	}
	epoch, life := epochOf(c), c.life
	call(st.s, c.name, "state", wait, func(reply func(page)) {
		if st.down(c) {
			return
		}
		var keys []string
		for k := range st.items {
			if strings.HasPrefix(k, eventlog.ComponentValuePrefix(duty)) && k > since {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		p := page{more: len(keys) > 3}
		for _, k := range keys[:min(len(keys), 3)] {
			p.list = append(p.list, eventlog.ComponentValue{Key: k, Data: st.items[k].value})
		}
		reply(p)
	}, func(p page, ok bool) {
		if c.life == life {
			c.into(func(now time.Duration) { c.core.ValuesRead(now, epoch, duty, p.list, p.more, ok) })()
		}
	})
}

func (st *stateService) load(c *controller, epoch uint64) {
	life := c.life
	call(st.s, c.name, "state", wait, func(reply func(term.LoadedLog)) {
		if st.down(c) {
			return
		}
		var r term.LoadedLog
		var keys []string
		for k := range st.items {
			if strings.HasPrefix(k, eventlog.Prefix) {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			r.Last, _ = eventlog.SegmentNumber(k)
			if r.First == 0 {
				r.First = r.Last
			}
			r.Entries = append(r.Entries, c.entries(st.items[k].value)...)
		}
		keys = keys[:0]
		for k := range st.items {
			if strings.HasPrefix(k, eventlog.SizesPrefix) {
				keys = append(keys, k)
			}
		}
		slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(st.items[a].mark, st.items[b].mark) })
		for _, k := range keys {
			var v eventlog.VirtualSizes
			if json.Unmarshal(st.items[k].value, &v) == nil {
				r.Sizes = append(r.Sizes, v.Sizes...)
			}
			n, _ := eventlog.SizesPieceNumber(k)
			r.VirtualSizePieces = max(r.VirtualSizePieces, n+1)
		}
		reply(r)
	}, func(r term.LoadedLog, ok bool) {
		if c.life != life {
			return
		}
		if !ok {
			st.s.after(300*time.Millisecond, c.into(func(time.Duration) {
				if epochOf(c) == epoch {
					st.load(c, epoch)
				}
			}))
			return
		}
		st.s.scale.read(r)
		c.into(func(now time.Duration) { c.core.LogLoaded(now, epoch, r) })()
	})
}

type leadResult struct {
	ok, gone bool
	id       uint64
	view     leadership.View
}

func (st *stateService) lead(c *controller, o leadership.Request) {
	life := c.life
	finish := func(r leadResult, ok bool) {
		if c.life != life {
			return
		}
		r.ok = r.ok && ok
		c.into(func(now time.Duration) {
			switch o.Action {
			case leadership.ReadKeys:
				c.core.KeysRead(now, o.Sequence, r.ok, r.view)
			case leadership.WatchKeys:
				c.core.WatchEnded(now, o.Sequence, r.ok)
			case leadership.CreateLease:
				c.core.LeaseCreated(now, o.Sequence, r.ok, r.id)
			case leadership.ClaimLeadership:
				c.core.LeadershipClaimed(now, o.Sequence, r.ok, r.id)
			case leadership.RenewLease:
				c.core.LeaseRenewed(now, o.Sequence, r.ok, r.gone && ok)
			}
		})()
	}
	limit := wait
	if o.Action == leadership.WatchKeys {
		limit = 12 * time.Second
	}
	call(st.s, c.name, "state", limit, func(reply func(leadResult)) {
		if st.down(c) {
			reply(leadResult{})
			return
		}
		st.expire()
		switch o.Action {
		case leadership.ReadKeys:
			reply(leadResult{ok: true, view: st.view()})
		case leadership.WatchKeys:
			if st.rev > o.Revision && (st.items[leadership.HolderKey].mark > o.Revision || st.holder == "") {
				reply(leadResult{ok: true})
				return
			}
			st.watches = append(st.watches, func() { reply(leadResult{ok: true}) })
			st.s.after(10*time.Second, func() { reply(leadResult{ok: true}) })
		case leadership.CreateLease:
			st.nextID++
			life := settingsSeconds(c.cfg.Tunables.LeaderLeaseS)
			st.holds[st.nextID] = &hold{life, st.s.now + life}
			st.s.after(life, st.expire)
			if st.answerLost("hold") {
				return
			}
			reply(leadResult{ok: true, id: st.nextID})
		case leadership.ClaimLeadership:
			value, _ := json.Marshal(leadership.LeaseHolder{Node: c.name, Epoch: o.View.Epoch + 1})
			claim := func() txnResult {
				return st.apply([]eventlog.Condition{{Key: leadership.HolderKey}, {Key: leadership.EpochKey, Version: o.View.EpochVersion}},
					[]eventlog.Write{{Key: leadership.HolderKey, Value: value}, {Key: leadership.EpochKey, Value: value}}, o.LeaseID)
			}
			if st.lateWrite([]eventlog.Write{{Key: leadership.EpochKey}}, func() eventlog.Outcome { return claim().out }) {
				return
			}
			r := claim()
			if r.out == eventlog.Applied && st.answerLost("claim") {
				return
			}
			reply(leadResult{ok: r.out == eventlog.Applied, id: r.mark})
		case leadership.RenewLease:
			h := st.holds[o.LeaseID]
			if h == nil {
				reply(leadResult{gone: true})
				return
			}
			h.ends = st.s.now + h.life
			st.s.after(h.life, st.expire)
			if st.answerLost("renewal") {
				return
			}
			reply(leadResult{ok: true})
		case leadership.ReleaseLease:
			st.drop(o.LeaseID)
		}
	}, finish)
}

func (st *stateService) view() leadership.View {
	v := leadership.View{Revision: st.rev}
	for _, k := range []string{leadership.HolderKey, leadership.EpochKey} {
		it, ok := st.items[k]
		var h leadership.LeaseHolder
		if !ok || json.Unmarshal(it.value, &h) != nil {
			continue
		}
		if k == leadership.HolderKey {
			v.Holder, v.HolderVersion = &h, it.mark
		} else {
			v.Epoch, v.EpochNode, v.EpochVersion = h.Epoch, h.Node, it.mark
		}
	}
	return v
}

func settingsSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// cloud simulates the cloud provider.
type cloud struct {
	s        *sim
	answers  map[string][]string
	machines map[string]*worker
	told     map[string]bool // machines whose rental's answer has arrived
	next     int
	capacity int
	boot     time.Duration
	answer   time.Duration // added latency of answers to rentals
	dud      int           // number of the next machines that never boot
	late     time.Duration // the next rental times out, and is executed after this delay
	outage   bool
	deleted  int
}

var types = []eventlog.MachineType{{
	Name: "m4", CPUs: machineCPUs, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3,
	BootS: 5, Zones: []string{"a", "b"},
}}

func (cl *cloud) execute(r eventlog.Rental) []string {
	if got, ok := cl.answers[r.Name]; ok {
		return got
	}
	names := []string{}
	for range r.Count {
		if len(cl.machines) >= cl.capacity {
			break
		}
		name := fmt.Sprintf("host-%06d", cl.next)
		cl.next++
		names = append(names, name)
		cl.add(name, r.Zone, r.Spot)
	}
	cl.answers[r.Name] = names
	return names
}

func (cl *cloud) add(name, zone string, spot bool) {
	w := &worker{s: cl.s, name: name, zone: zone, spot: spot, session: 1, tasks: map[task]*run{}}
	cl.machines[name] = w
	if cl.dud > 0 {
		cl.dud--
		return
	}
	cl.s.after(cl.boot+time.Duration(cl.s.rng.IntN(1000))*time.Millisecond, w.boot)
}

type rentResult struct {
	names []string
	res   wire.RentResult
}

func (cl *cloud) rent(c *controller, r eventlog.Rental) {
	epoch, life := epochOf(c), c.life
	if cl.late > 0 {
		cl.s.after(cl.late, func() { cl.execute(r) })
		cl.late = 0
		cl.s.after(wait, func() {
			if c.life == life {
				c.into(func(now time.Duration) { c.core.RentalAnswered(now, epoch, r.Name, nil, wire.NoAnswer) })()
			}
		})
		return
	}
	call(cl.s, c.name, "cloud", 5*time.Second, func(reply func(rentResult)) {
		if cl.outage {
			reply(rentResult{nil, wire.NoAnswer})
			return
		}
		cl.s.comes("before the rental carried out")
		names := cl.execute(r)
		cl.s.comes("after the rental carried out")
		if len(names) == 0 {
			delete(cl.answers, r.Name)
			reply(rentResult{nil, wire.NoCapacity})
			return
		}
		cl.s.after(cl.answer, func() {
			cl.s.comes("before the rental answered")
			reply(rentResult{names, wire.Rented})
			cl.s.after(10*time.Millisecond, func() { cl.s.comes("after the rental answered") })
		})
	}, func(x rentResult, ok bool) {
		if !ok {
			x.res = wire.NoAnswer
		}
		for _, n := range x.names {
			cl.told[n] = true
		}
		if c.life == life {
			c.into(func(now time.Duration) { c.core.RentalAnswered(now, epoch, r.Name, x.names, x.res) })()
		}
	})
}

func (cl *cloud) delete(c *controller, names []string) {
	epoch, life := epochOf(c), c.life
	call(cl.s, c.name, "cloud", 5*time.Second, func(reply func(bool)) {
		if cl.outage {
			reply(false)
			return
		}
		for _, n := range names {
			if w := cl.machines[n]; w != nil {
				cl.s.check.deleted(w)
				w.vanish()
				delete(cl.machines, n)
				cl.deleted++
			}
		}
		reply(true)
	}, func(res, ok bool) {
		if c.life == life {
			c.into(func(now time.Duration) { c.core.MachinesDeleted(now, epoch, names, res && ok) })()
		}
	})
}

func (cl *cloud) types(c *controller) {
	epoch, life := epochOf(c), c.life
	call(cl.s, c.name, "cloud", 5*time.Second, func(reply func([]eventlog.MachineType)) {
		if cl.outage {
			reply(nil)
			return
		}
		reply(types)
	}, func(list []eventlog.MachineType, _ bool) {
		if c.life == life {
			c.into(func(now time.Duration) { c.core.MachineTypesListed(now, epoch, list) })()
		}
	})
}

func (cl *cloud) list(c *controller) {
	epoch, life := epochOf(c), c.life
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
	call(cl.s, c.name, "cloud", 5*time.Second, func(reply func([]wire.ListedMachine)) {
		if !cl.outage {
			cl.s.after(2*time.Second, func() { reply(list) })
		}
	}, func(list []wire.ListedMachine, ok bool) {
		if c.life == life {
			c.into(func(now time.Duration) { c.core.MachinesListed(now, epoch, list, ok) })()
		}
	})
}

// learned records the jobs whose run-time facts became durable.
func (st *stateService) learned(w eventlog.Write) {
	if _, err := eventlog.SegmentNumber(w.Key); st.facts == nil || err != nil {
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
		var x struct {
			Fact *struct {
				ID uint64 `json:"i"`
			} `json:"f"`
		}
		if json.Unmarshal(e.Component.Data, &x) == nil && x.Fact != nil {
			if st.record != nil && !st.facts[x.Fact.ID] {
				st.record(e.Component.Data)
			}
			st.facts[x.Fact.ID] = true
		}
	}
}

// owned counts the log entries of a leader component.
func (st *stateService) owned(duty string) int {
	n := 0
	for k, it := range st.items {
		if _, err := eventlog.SegmentNumber(k); err != nil {
			continue
		}
		list, err := eventlog.Decode(it.value)
		if err != nil {
			panic(err)
		}
		for _, e := range list {
			if e.Component != nil && e.Component.Name == duty {
				n++
			}
		}
	}
	return n
}
