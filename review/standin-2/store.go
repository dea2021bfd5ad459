package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store of rows (PROTOCOL.md, "The platform's
// metadata store"). Each machine has its own listener, all on the same rows.
type Store struct {
	mu    sync.Mutex
	cond  chan struct{} // closed at each change
	ver   int64
	rows  map[string]*storeRow
	start time.Time
	down  bool // answers 503 to each call, which promises that nothing was done
	Addr  string
	calls int
}

type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore(addr string) (*Store, error) {
	s := &Store{rows: make(map[string]*storeRow), start: time.Now(), cond: make(chan struct{}), ver: 1}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.Addr = ln.Addr().String()
	go http.Serve(ln, s)
	return s, nil
}

// SetDown makes the store refuse all calls, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *Store) wake() { close(s.cond); s.cond = make(chan struct{}) }

// PutConfig is what the operator does: it writes op/config.
func (s *Store) PutConfig(c any) {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows["op\x00\x00config"] = &storeRow{Table: "op", Key: "config", Value: base64.StdEncoding.EncodeToString(b), Ver: s.ver}
	s.wake()
}

func (s *Store) reply(w http.ResponseWriter, code int, out map[string]any) {
	out["ver"] = s.ver
	out["server_time_ms"] = time.Since(s.start).Milliseconds()
	b, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(b)
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/peardrift/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case "/peardrift/rows-tx":
		s.tx(w, r)
	case "/peardrift/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, table, part, from, to, limit string) {
	most, _ := strconv.Atoi(limit)
	if most <= 0 || most > 500 {
		most = 500
	}
	var out []*storeRow
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && !r.Tombstone && r.Key >= from && (to == "" || r.Key < to) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > most
	if more {
		out = out[:most]
	}
	if out == nil {
		out = []*storeRow{}
	}
	s.reply(w, 200, map[string]any{"rows": out, "has_more": more})
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []storeRow `json:"expected_rev"`
		Puts     []storeRow `json:"puts"`
		Deletes  []storeRow `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(400)
		return
	}
	key := func(x storeRow) string { return strings.Join([]string{x.Table, x.Part, x.Key}, "\x00") }
	current := []*storeRow{}
	ok := true
	for _, e := range in.Expected {
		var have int64
		if x := s.rows[key(e)]; x != nil && !x.Tombstone {
			have = x.Ver
			current = append(current, x)
		}
		ok = ok && have == e.Ver
	}
	if !ok {
		s.reply(w, 412, map[string]any{"rows": current})
		return
	}
	s.ver++
	for _, p := range in.Puts {
		s.rows[key(p)] = &storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.ver}
	}
	for _, d := range in.Deletes {
		s.rows[key(d)] = &storeRow{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Tombstone: true}
	}
	s.wake()
	s.reply(w, 200, map[string]any{})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	end := time.NewTimer(min(wait, 30*time.Second))
	defer end.Stop()
	for {
		out := []*storeRow{}
		for _, x := range s.rows {
			if x.Table == table && x.Ver > after {
				out = append(out, x)
			}
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Ver < out[j].Ver })
		if len(out) > 0 {
			s.reply(w, 200, map[string]any{"rows": out})
			return
		}
		c := s.cond
		s.mu.Unlock()
		timeout := false
		select {
		case <-c:
		case <-end.C:
			timeout = true
		case <-r.Context().Done():
			timeout = true
		}
		s.mu.Lock()
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if timeout {
			s.reply(w, 200, map[string]any{"rows": []*storeRow{}})
			return
		}
	}
}
