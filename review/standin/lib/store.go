package lib

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the platform's store, as PROTOCOL.md writes it.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       int64  `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// Store is a stand-in for the platform's metadata store: rows-tx, rows-get, rows-feed
// and rows-parts, linearizable, without limits of rates. Nothing is lost or late.
type Store struct {
	Addr  string
	start time.Time
	ln    net.Listener

	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]Row
	history []Row
	changed chan struct{}
}

// NewStore starts a store on a free loopback port.
func NewStore() *Store {
	ln, err := net.Listen("tcp", freeAddr())
	if err != nil {
		Cannot("store: %v", err)
	}
	s := &Store{Addr: ln.Addr().String(), ln: ln, start: time.Now(), rows: map[rowKey]Row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/peardrift/rows-tx", s.tx)
	mux.HandleFunc("/peardrift/rows-get", s.get)
	mux.HandleFunc("/peardrift/rows-feed", s.feed)
	mux.HandleFunc("/peardrift/rows-parts", s.parts)
	go func() { _ = (&http.Server{Handler: mux}).Serve(ln) }()
	return s
}

// Put writes a row as the operator does; it returns when the row is acknowledged.
func (s *Store) Put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		Cannot("store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b), Ver: s.ver})
	s.wake()
}

func (s *Store) set(r Row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

// Rows returns the values of a table's rows by key.
func (s *Store) Rows(table string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for k, v := range s.rows {
		if k.table == table {
			b, _ := base64.StdEncoding.DecodeString(v.Value)
			out[k.key] = string(b)
		}
	}
	return out
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) reply(w http.ResponseWriter, code int, rows []Row, more bool) {
	if rows == nil {
		rows = []Row{}
	}
	b, _ := json.Marshal(map[string]any{"rows": rows, "has_more": more, "ver": s.ver, "server_time_ms": time.Since(s.start).Milliseconds()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []Row `json:"expected_rev"`
		Puts     []Row `json:"puts"`
		Deletes  []Row `json:"deletes"`
	}
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.rows[rowKey{e.Table, e.Part, e.Key}].Ver != e.Ver {
			var now []Row
			for _, e := range t.Expected {
				if have, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]; ok {
					now = append(now, have)
				}
			}
			s.reply(w, http.StatusPreconditionFailed, now, false)
			return
		}
	}
	for _, p := range append(t.Puts, t.Deletes...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.ver++
	for _, p := range t.Puts {
		s.set(Row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.ver})
	}
	for _, p := range t.Deletes {
		s.set(Row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tombstone: true})
	}
	s.wake()
	s.reply(w, http.StatusOK, nil, false)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.reply(w, http.StatusOK, out, more)
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.part > r.URL.Query().Get("after") {
			seen[k.part] = true
		}
	}
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	b, _ := json.Marshal(map[string]any{"parts": parts, "has_more": false, "ver": s.ver, "server_time_ms": time.Since(s.start).Milliseconds()})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		last := map[rowKey]Row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				last[rowKey{h.Table, h.Part, h.Key}] = h
			}
		}
		if len(last) > 0 {
			var out []Row
			for _, h := range last {
				out = append(out, h)
			}
			sort.Slice(out, func(i, j int) bool { return out[i].Ver < out[j].Ver })
			s.reply(w, http.StatusOK, out, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}
