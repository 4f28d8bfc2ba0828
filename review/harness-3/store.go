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
	// transactionTime is how long a transaction takes (txn_ms of the settings).
	transactionTime = 8 * time.Millisecond
	// readTime is how long any other answer of the store takes.
	readTime = 4 * time.Millisecond
	// maxPageRows and maxPageBytes bound one page of rows.
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	// maxValueBytes bounds the value of a row (row_bytes of the settings).
	maxValueBytes = 65536
)

// Row is a row of the store on the wire; Value is base64 text.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Version   int64  `json:"row_version,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r Row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// Store is the platform's metadata store.
type Store struct {
	record  *Record
	mutex   sync.Mutex
	rows    map[rowID]Row
	changes []Row
	version int64
	changed chan struct{} // closed at the next change
}

// NewStore returns an empty store.
func NewStore(record *Record) *Store {
	return &Store{record: record, rows: make(map[rowID]Row), changed: make(chan struct{})}
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /monsoonchute/rows-tx", s.transact)
	mux.HandleFunc("GET /monsoonchute/rows-get", s.read)
	mux.HandleFunc("GET /monsoonchute/rows-feed", s.feed)
	return mux
}

// Put writes a row in the role of an operator or a worker.
func (s *Store) Put(table, key string, value any) {
	text, _ := json.Marshal(value)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.put(Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(text)})
	s.notify()
}

// Drop deletes a row in the role of an operator or a worker.
func (s *Store) Drop(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.drop(Row{Table: table, Key: key})
	s.notify()
}

// Value returns the value of a row, nil if there is none.
func (s *Store) Value(table, key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	value, _ := base64.StdEncoding.DecodeString(s.rows[rowID{table: table, key: key}].Value)
	return value
}

func (s *Store) put(r Row) {
	r.Version, r.Tombstone = s.version, false
	s.rows[r.id()] = r
	s.changes = append(s.changes, r)
}

func (s *Store) drop(r Row) {
	delete(s.rows, r.id())
	s.changes = append(s.changes, Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Tombstone: true})
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Conditions []Row `json:"expected_revision"`
		Puts       []Row `json:"puts"`
		Drop       []Row `json:"drop"`
	}
	if json.NewDecoder(r.Body).Decode(&x) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range x.Puts {
		if n := base64.StdEncoding.DecodedLen(len(p.Value)); n > maxValueBytes+2 {
			s.record.Printf("store: refuses a value of about %d bytes for %s/%s/%s", n, p.Table, p.Part, p.Key)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	time.Sleep(transactionTime)
	s.mutex.Lock()
	current, holds := []Row{}, true
	for _, c := range x.Conditions {
		existing, ok := s.rows[c.id()]
		if ok {
			current = append(current, existing)
		}
		holds = holds && existing.Version == c.Version
	}
	if holds {
		s.version++
		for _, p := range x.Puts {
			s.put(p)
		}
		for _, d := range x.Drop {
			s.drop(d)
		}
		s.notify()
	}
	version := s.version
	s.mutex.Unlock()
	if !holds {
		respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": version, "now_ms": s.record.Now().Milliseconds()})
		return
	}
	respond(w, http.StatusOK, map[string]any{"row_version": version, "now_ms": s.record.Now().Milliseconds()})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	rows := []Row{}
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mutex.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size, n := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= maxPageBytes) {
		size += len(rows[n].Value)
		n++
	}
	respond(w, http.StatusOK, map[string]any{"rows": rows[:n], "has_more": n < len(rows), "row_version": version, "now_ms": s.record.Now().Milliseconds()})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mutex.Lock()
		rows := []Row{}
		first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > after })
		for _, c := range s.changes[first:] {
			if c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		version, changed := s.version, s.changed
		s.mutex.Unlock()
		if len(rows) > 0 || last {
			respond(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "now_ms": s.record.Now().Milliseconds()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
