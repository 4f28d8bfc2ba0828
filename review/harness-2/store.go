package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// transactionTime is how long the store takes for a transaction, and readTime for any other call.
	transactionTime = 8 * time.Millisecond
	readTime        = 4 * time.Millisecond
	// entryLifetime is the silence after which a worker's entry is removed: three heartbeats.
	entryLifetime = 3 * heartbeatInterval
	maxPageRows   = 500
	maxRowBytes   = 65536
)

// row is a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"` // in base64
	Version   int64  `json:"row_version,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey {
	return rowKey{r.Table, r.Part, r.Key}
}

// store is a stand-in of the platform's table service: linearizable rows, transactions under conditions, and changes.
type store struct {
	log     *record
	mutex   sync.Mutex
	started time.Time
	version int64
	rows    map[rowKey]row
	changes []row
	changed chan struct{}         // closed at the next change
	beats   map[string]time.Time  // latest heartbeats by worker
	rewrite func(row, string) row // how the link of a host shows it a row; nil for as it is
}

func newStore(log *record) *store {
	s := &store{log: log, started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{}), beats: make(map[string]time.Time)}
	go s.expireEntries()
	return s
}

// now returns the store's steady clock in milliseconds.
func (s *store) now() int64 {
	return time.Since(s.started).Milliseconds() + 1
}

// put writes a row in the role of the operator or of a worker.
func (s *store) put(table, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

// beat writes the entry of a worker.
func (s *store) beat(worker string, value []byte) {
	s.put("servers", worker, value)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.beats[worker] = time.Now()
}

// get returns the value of a row without a part, or nil.
func (s *store) get(table, key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	value, err := base64.StdEncoding.DecodeString(s.rows[rowKey{table, "", key}].Value)
	if err != nil {
		return nil
	}
	return value
}

// expireEntries removes the entries of workers that have sent no heartbeat for too long.
func (s *store) expireEntries() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mutex.Lock()
		for worker, at := range s.beats {
			if time.Since(at) > entryLifetime {
				delete(s.beats, worker)
				s.version++
				s.drop(rowKey{"servers", "", worker})
				s.log.write("entry-expired", "worker", worker)
			}
		}
		s.mutex.Unlock()
	}
}

// apply writes a row in the present version. The caller holds the lock.
func (s *store) apply(r row) {
	r.Version = s.version
	s.rows[r.id()] = r
	s.note(r)
}

// drop deletes a row in the present version. The caller holds the lock.
func (s *store) drop(id rowKey) {
	delete(s.rows, id)
	s.note(row{Table: id.table, Part: id.part, Key: id.key, Version: s.version, Tombstone: true})
}

func (s *store) note(r row) {
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler returns the store's interface as the given host sees it.
func (s *store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /monsoonchute/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, host) })
	mux.HandleFunc("GET /monsoonchute/rows-get", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, host) })
	mux.HandleFunc("GET /monsoonchute/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, host) })
	return mux
}

type transaction struct {
	Conditions []row `json:"expected_revision"`
	Puts       []row `json:"puts"`
	Drop       []row `json:"drop"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, host string) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Conditions)+len(t.Puts)+len(t.Drop) > 200 {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range t.Puts {
		if p.Table == "op" || p.Table == "servers" {
			respond(w, http.StatusForbidden, map[string]any{})
			return
		}
		if len(p.Value)*3/4 > maxRowBytes {
			respond(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	time.Sleep(transactionTime)
	status, body := s.commit(t, host)
	respond(w, status, body)
}

func (s *store) commit(t transaction, host string) (int, map[string]any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := []row{}
	holds := true
	for _, c := range t.Conditions {
		known, ok := s.rows[c.id()]
		holds = holds && known.Version == c.Version
		if ok {
			current = append(current, s.shown(known, host))
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version, "now_ms": s.now()}
	}
	s.version++
	for _, p := range t.Puts {
		s.apply(p)
		if p.Table == "status" {
			value, _ := base64.StdEncoding.DecodeString(p.Value)
			s.log.write("status-written", "key", p.Key, "value", string(value), "host", host)
		}
	}
	for _, d := range t.Drop {
		s.drop(d.id())
	}
	return http.StatusOK, map[string]any{"row_version": s.version, "now_ms": s.now()}
}

func (s *store) shown(r row, host string) row {
	if s.rewrite == nil {
		return r
	}
	return s.rewrite(r, host)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, host string) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []row{}
	for id, known := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, s.shown(known, host))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	respond(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": more, "row_version": s.version, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, host string) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mutex.Lock()
		rows := []row{}
		for i := len(s.changes) - 1; i >= 0 && s.changes[i].Version > after; i-- {
			if s.changes[i].Table == q.Get("table") {
				rows = append([]row{s.shown(s.changes[i], host)}, rows...)
			}
		}
		version, changed := s.version, s.changed
		s.mutex.Unlock()
		if len(rows) > 0 || expired {
			respond(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "now_ms": s.now()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body map[string]any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
