// Package standin has stand-ins, for tests, of what controllers talk to over
// real sockets: the state service, the cloud and its machines' workers. They
// speak the platform's protocol as far as controllers use it.
package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is a state service: versions, conditions, holds that end, and limits.
// The zero value is ready and without limits.
type State struct {
	mu    sync.Mutex
	down  bool
	value int // most bytes of a value; 0: any
	ops   int // most changes of a transaction; 0: any
	rev   uint64
	items map[string]stored
	holds map[uint64]held
	bad   []string
}

type stored struct {
	Key  string          `json:"k"`
	Data json.RawMessage `json:"data"`
	Mark uint64          `json:"entry_mark"`
	hold uint64
}

type held struct {
	life time.Duration
	ends time.Time
}

// SetDown begins or ends an outage.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for id, h := range s.holds {
		h.ends = time.Now().Add(h.life) // after an outage every hold has its full time
		s.holds[id] = h
	}
}

// Limit has larger values and transactions refused from now on.
func (s *State) Limit(valueBytes, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.ops = valueBytes, ops
}

// Refused lists what was refused as too large.
func (s *State) Refused() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.bad)
}

func (s *State) drop(id uint64) {
	delete(s.holds, id)
	for k, it := range s.items {
		if it.hold == id {
			s.rev++
			delete(s.items, k)
		}
	}
}

type transaction struct {
	When []struct {
		K    string `json:"k"`
		Mark uint64 `json:"entry_mark"`
	} `json:"when"`
	Writes []struct {
		Write  string          `json:"write"`
		Data   json.RawMessage `json:"data"`
		Hold   uint64          `json:"tether"`
		Remove string          `json:"remove"`
	} `json:"writes"`
}

func (s *State) multi(t transaction) (int, any) {
	for _, w := range t.Writes {
		if s.value > 0 && len(w.Data) > s.value {
			s.bad = append(s.bad, w.Write+": "+strconv.Itoa(len(w.Data))+" bytes")
			return 400, map[string]string{"error": "value too large"}
		}
		if _, ok := s.holds[w.Hold]; w.Hold != 0 && !ok {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	if s.ops > 0 && len(t.Writes) > s.ops {
		s.bad = append(s.bad, strconv.Itoa(len(t.Writes))+" changes")
		return 400, map[string]string{"error": "too many changes"}
	}
	for _, c := range t.When {
		if s.items[c.K].Mark != c.Mark {
			return 409, map[string]any{"failed": []string{c.K}, "ledger_mark": s.rev}
		}
	}
	s.rev++
	for _, w := range t.Writes {
		if w.Remove != "" {
			delete(s.items, w.Remove)
		} else {
			s.items[w.Write] = stored{w.Write, w.Data, s.rev, w.Hold}
		}
	}
	return 200, map[string]any{"ledger_mark": s.rev}
}

// ServeHTTP serves one request.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.serve(r)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *State) serve(r *http.Request) (int, any) {
	var t transaction
	var life struct {
		MS int64 `json:"life_ms"`
	}
	dec := json.NewDecoder(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 503, struct{}{}
	}
	if s.items == nil {
		s.items, s.holds = map[string]stored{}, map[uint64]held{}
	}
	for id, h := range s.holds {
		if time.Now().After(h.ends) {
			s.drop(id)
		}
	}
	path, query := r.URL.Path, r.URL.Query()
	id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/holds/"), "/renew"), 10, 64)
	switch {
	case path == "/keys":
		most, _ := strconv.Atoi(query.Get("most"))
		rows, more := []stored{}, false
		for _, k := range slices.Sorted(maps.Keys(s.items)) {
			if strings.HasPrefix(k, query.Get("starts")) && k > query.Get("since") {
				if more = most > 0 && len(rows) == most; more {
					break
				}
				rows = append(rows, s.items[k])
			}
		}
		return 200, map[string]any{"rows": rows, "has_next": more, "ledger_mark": s.rev}
	case strings.HasPrefix(path, "/keys/"):
		if it, ok := s.items[strings.TrimPrefix(path, "/keys/")]; ok {
			return 200, it
		}
		return 404, map[string]any{"ledger_mark": s.rev}
	case path == "/multi":
		if dec.Decode(&t) != nil {
			return 400, struct{}{}
		}
		return s.multi(t)
	case path == "/holds":
		if dec.Decode(&life) != nil {
			return 400, struct{}{}
		}
		s.rev++
		d := time.Duration(life.MS) * time.Millisecond
		s.holds[s.rev] = held{d, time.Now().Add(d)}
		return 200, map[string]any{"tether": s.rev}
	case strings.HasSuffix(path, "/renew"):
		h, ok := s.holds[id]
		if !ok {
			return 404, struct{}{}
		}
		h.ends = time.Now().Add(h.life)
		s.holds[id] = h
		return 200, struct{}{}
	case strings.HasPrefix(path, "/holds/"):
		s.drop(id)
		return 200, struct{}{}
	case path == "/follow":
		s.mu.Unlock()
		time.Sleep(200 * time.Millisecond) // then they look for themselves
		s.mu.Lock()
		return 200, map[string]any{"ledger_mark": s.rev, "news": []any{}}
	}
	return 404, struct{}{}
}
