package main

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bitternmoor/internal/core/ratelimit"
	"bitternmoor/internal/wire"
)

// Fixed limits of the state service, in addition to those that can be set.
const (
	changesKept  = 10_000    // changes kept for watches
	maxPageItems = 1000      // items in a page
	maxPageBytes = 512 << 10 // size of the values in a page
	maxWatchWait = time.Minute
)

// stateService is a copy of the project's own stand-in, whose rate limits need a module that the controller does
// not have, without what no case uses. It simulates the state service: versioned keys, conditional transactions, leases that
// expire, watches, and limits. The zero value is ready to use and has no limits.
type stateService struct {
	mu            sync.Mutex
	maxValueBytes int               // maximum size of a value in bytes; 0: unlimited
	maxOps        int               // maximum number of changes in a transaction; 0: unlimited
	requests      *ratelimit.Bucket // nil: unlimited
	writes        *ratelimit.Bucket // nil: unlimited
	began         time.Time
	revision      uint64
	items         map[string]stored
	leases        map[uint64]*lease
	changes       []wire.Item   // most recent changes; an item without a value is a removal
	changed       chan struct{} // closed on the next change; nil: nothing is watching
}

type stored struct {
	wire.Item
	leaseID uint64
}

type lease struct {
	duration time.Duration
	ends     time.Time
	timer    *time.Timer
}

// SetLimits sets the size limits of values and transactions; larger ones are refused.
func (s *stateService) SetLimits(valueBytes, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxOps = valueBytes, ops
}

// LimitRates limits requests and changes per second; further ones are refused. A burst may use the
// limit of one second at once.
func (s *stateService) LimitRates(requests, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	perSecond := func(n float64) *ratelimit.Bucket {
		b := ratelimit.NewBucket(0, n, n)
		return &b
	}
	s.began, s.requests, s.writes = time.Now(), perSecond(requests), perSecond(writes)
}

// Value returns the value of a key. It does not count as a request.
func (s *stateService) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (h *lease) renew() {
	h.ends = time.Now().Add(h.duration)
	h.timer.Reset(h.duration)
}

// expireLease removes a lease that has expired.
func (s *stateService) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.leases[id]
	if h != nil && !time.Now().Before(h.ends) {
		s.removeLease(id)
	}
}

func (s *stateService) removeLease(id uint64) {
	if h := s.leases[id]; h != nil {
		h.timer.Stop()
	}
	delete(s.leases, id)
	for k, it := range s.items {
		if it.leaseID == id {
			s.revision++
			delete(s.items, k)
			s.notifyWatchers(wire.Item{Key: k, Version: s.revision})
		}
	}
}

// notifyWatchers records a change and wakes all watches.
func (s *stateService) notifyWatchers(it wire.Item) {
	s.changes = append(s.changes, it)
	if n := len(s.changes) - changesKept; n > 0 {
		s.changes = slices.Delete(s.changes, 0, n)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// reply is the answer to a request.
type reply struct {
	status int
	body   []byte
}

func refusal(status int, why string) reply { return reply{status, wire.ErrorBody(why)} }

func (s *stateService) transact(t wire.StateTransaction) reply {
	for _, w := range t.Writes {
		if s.maxValueBytes > 0 && len(w.Value) > s.maxValueBytes {
			return refusal(http.StatusBadRequest, "value too large")
		}
		if w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return refusal(http.StatusBadRequest, "no such lease")
		}
	}
	if s.maxOps > 0 && len(t.Writes) > s.maxOps {
		return refusal(http.StatusBadRequest, "too many changes")
	}
	if s.writes != nil && !s.writes.Take(time.Since(s.began), float64(len(t.Writes))) {
		return refusal(http.StatusTooManyRequests, "too many changes a second")
	}
	var failed []string
	for _, c := range t.Conds {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return reply{http.StatusConflict, wire.TransactionAnswer(s.revision, failed)}
	}
	s.revision++
	for _, w := range t.Writes {
		it := wire.Item{Key: w.Key, Version: s.revision}
		if w.Remove {
			delete(s.items, w.Key)
		} else {
			it.Value = w.Value
			s.items[w.Key] = stored{it, w.LeaseID}
		}
		s.notifyWatchers(it)
	}
	return reply{http.StatusOK, wire.TransactionAnswer(s.revision, nil)}
}

// ServeHTTP serves one request.
func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	out := refusal(http.StatusBadRequest, "a body that cannot be read, or over 64 KiB")
	if err == nil && len(body) <= wire.MaxBody {
		out = s.serve(r, body)
	}
	w.WriteHeader(out.status)
	_, _ = w.Write(out.body) // the client may have disconnected
}

func (s *stateService) serve(r *http.Request, body []byte) reply {
	query, err := wire.ParseStateQuery(r.URL.Query())
	if err != nil {
		return refusal(http.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests != nil && !s.requests.Take(time.Since(s.began), 1) {
		return refusal(http.StatusTooManyRequests, "too many requests a second")
	}
	if s.items == nil {
		s.items, s.leases = map[string]stored{}, map[uint64]*lease{}
	}
	path := r.URL.Path
	switch {
	case path == wire.PathKeys:
		return s.page(query)
	case path == wire.PathTransactions:
		t, err := wire.ParseTransaction(body)
		if err != nil {
			return refusal(http.StatusBadRequest, err.Error())
		}
		return s.transact(t)
	case path == wire.PathLeases:
		return s.createLease(body)
	case path == wire.PathWatch:
		return s.watch(r, query)
	case strings.HasPrefix(path, wire.PathLeases+"/"):
		return s.changeLease(r.Method, strings.TrimPrefix(path, wire.PathLeases+"/"))
	case strings.HasPrefix(path, wire.PathKeys+"/"):
		it, ok := s.items[strings.TrimPrefix(path, wire.PathKeys+"/")]
		if !ok {
			return reply{http.StatusNotFound, wire.TransactionAnswer(s.revision, nil)}
		}
		return reply{http.StatusOK, wire.StateItem(it.Item, it.leaseID)}
	}
	return refusal(http.StatusNotFound, "no such path")
}

func (s *stateService) page(q wire.StateQuery) reply {
	limit := maxPageItems
	if q.Limit > 0 {
		limit = min(limit, q.Limit)
	}
	var rows []wire.Item
	bytes := 0
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(k, q.Prefix) || k <= q.After {
			continue
		}
		it := s.items[k].Item
		bytes += len(it.Value)
		if len(rows) == limit || (bytes > maxPageBytes && len(rows) > 0) {
			return reply{http.StatusOK, wire.EncodeStatePage(rows, true, s.revision)}
		}
		rows = append(rows, it)
	}
	return reply{http.StatusOK, wire.EncodeStatePage(rows, false, s.revision)}
}

func (s *stateService) createLease(body []byte) reply {
	life, err := wire.ParseLease(body)
	if err != nil {
		return refusal(http.StatusBadRequest, err.Error())
	}
	s.revision++
	id := s.revision
	s.leases[id] = &lease{duration: life, ends: time.Now().Add(life), timer: time.AfterFunc(life, func() { s.expireLease(id) })}
	return reply{http.StatusOK, wire.LeaseAnswer(id)}
}

// changeLease renews the lease if the path ends in ID/renew, or removes it if the method is DELETE.
func (s *stateService) changeLease(method, path string) reply {
	number, renew := strings.CutSuffix(path, "/renew")
	id, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return refusal(http.StatusBadRequest, "not a hold's number")
	}
	h := s.leases[id]
	switch {
	case h == nil:
		return refusal(http.StatusNotFound, "no such hold")
	case renew:
		h.renew()
	case method == http.MethodDelete:
		s.removeLease(id)
	default:
		return refusal(http.StatusBadRequest, "neither renewed nor deleted")
	}
	return reply{http.StatusOK, []byte("{}")}
}

// watch waits until a key with the query's prefix has changed since the query's revision, for the
// query's wait at most. It releases the lock while it waits.
func (s *stateService) watch(r *http.Request, q wire.StateQuery) reply {
	end := time.NewTimer(min(q.Wait, maxWatchWait))
	defer end.Stop()
	for over := false; ; {
		if len(s.changes) == changesKept && s.changes[0].Version > q.Since+1 {
			return reply{http.StatusGone, wire.TransactionAnswer(s.revision, nil)}
		}
		from, _ := slices.BinarySearchFunc(s.changes, q.Since+1, func(it wire.Item, version uint64) int { return int(it.Version) - int(version) })
		var matching []wire.Item
		for _, it := range s.changes[from:] {
			if strings.HasPrefix(it.Key, q.Prefix) {
				matching = append(matching, it)
			}
		}
		if len(matching) > 0 || over {
			return reply{http.StatusOK, wire.EncodeStateChanges(s.revision, matching)}
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
	}
}
