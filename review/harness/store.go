package main

import (
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as PROTOCOL.md and DEPLOY.md give them.
const (
	rowBytes        = 65536
	maxKeyBytes     = 200
	maxTxEntries    = 100
	maxTxBytes      = 1 << 20
	maxPageRows     = 500
	maxPageBytes    = 1 << 20
	txTime          = 8 * time.Millisecond
	partWriteGap    = time.Second / 150
	maxPartBacklog  = time.Second
	answerTime      = 4 * time.Millisecond
	minLateWrite    = time.Second
	lateWriteSpread = 5 * time.Second
)

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Version   int64  `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

type transaction struct {
	Conditions []row `json:"expected_revision"`
	Puts       []row `json:"puts"`
	Drop       []row `json:"drop"`
}

// store is a stand-in of the platform's store of the form "table".
type store struct {
	record *record
	now    func() time.Duration

	mutex    sync.Mutex
	rows     map[rowID]row
	changes  []row
	version  int64
	changed  chan struct{} // closed and replaced with each change
	nextSlot map[string]time.Time
	// lost decides whether the answer to a write is lost and the write done late. It is nil without that fault.
	lost func(transaction) bool
	// refusedLarge counts the transactions with a row of more than rowBytes.
	refusedLarge int
}

func newStore(r *record, now func() time.Duration) *store {
	return &store{record: r, now: now, rows: make(map[rowID]row), changed: make(chan struct{}), nextSlot: make(map[string]time.Time)}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /monsoonchute/rows-tx", s.transact)
	mux.HandleFunc("GET /monsoonchute/rows-get", s.get)
	mux.HandleFunc("GET /monsoonchute/rows-feed", s.feed)
	return mux
}

// put writes a row in the role of the operator or of a worker.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(text)})
	s.announce()
}

// remove deletes a row in the role of the operator or of a worker.
func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.rows[rowID{table: table, key: key}]; !ok {
		return
	}
	s.version++
	s.apply(row{Table: table, Key: key, Tombstone: true})
	s.announce()
}

// value returns the decoded value of a row.
func (s *store) value(table, part, key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text, _ := base64.StdEncoding.DecodeString(s.rows[rowID{table, part, key}].Value)
	return text
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := 0
	for id := range s.rows {
		if id.table == table {
			n++
		}
	}
	return n
}

// setLost sets which writes are done late without an answer.
func (s *store) setLost(lost func(transaction) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lost = lost
}

// apply changes one row under the present version. The caller holds the lock.
func (s *store) apply(r row) {
	r.Version = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Tombstone {
		r.Value = ""
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.changes = append(s.changes, r)
}

// announce wakes the requests that wait for changes. The caller holds the lock.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	r.Body = http.MaxBytesReader(w, r.Body, maxTxBytes)
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	part, status := s.check(tx)
	if status != http.StatusOK {
		answer(w, status, nil)
		return
	}
	wait, admitted := s.slot(part)
	if !admitted {
		answer(w, http.StatusTooManyRequests, nil)
		return
	}
	s.mutex.Lock()
	lost := s.lost != nil && s.lost(tx)
	s.mutex.Unlock()
	if lost {
		delay := minLateWrite + time.Duration(rand.Int64N(int64(lateWriteSpread)))
		s.record.line("store: a write is done %s late and not answered: %s", delay.Round(time.Millisecond), describe(tx))
		time.AfterFunc(delay, func() {
			status, _ := s.commit(tx)
			s.record.line("store: late write done with status %d: %s", status, describe(tx))
		})
		<-r.Context().Done() // the connection delivers nothing further
		panic(http.ErrAbortHandler)
	}
	time.Sleep(wait + txTime)
	status, body := s.commit(tx)
	answer(w, status, body)
}

// describe returns the keys that a transaction writes.
func describe(tx transaction) string {
	text := ""
	for _, p := range tx.Puts {
		text += " " + p.Table + "/" + p.Key
	}
	return text
}

// check returns the part of a transaction, and the status of one that the store refuses.
func (s *store) check(tx transaction) (string, int) {
	entries := append(append(append([]row{}, tx.Conditions...), tx.Puts...), tx.Drop...)
	if len(entries) == 0 || len(entries) > maxTxEntries {
		return "", http.StatusBadRequest
	}
	for _, e := range entries {
		if e.Part != entries[0].Part || len(e.Key) > maxKeyBytes || len(e.Table) > maxKeyBytes || len(e.Part) > maxKeyBytes {
			return "", http.StatusBadRequest
		}
	}
	for _, p := range append(append([]row{}, tx.Puts...), tx.Drop...) {
		if p.Table == "op" || p.Table == "servers" {
			return "", http.StatusForbidden
		}
		value, err := base64.StdEncoding.DecodeString(p.Value)
		if err != nil {
			return "", http.StatusBadRequest
		}
		if len(value) > rowBytes {
			s.mutex.Lock()
			s.refusedLarge++
			first := s.refusedLarge == 1
			s.mutex.Unlock()
			if first {
				s.record.line("store: refuses (400) a transaction with a row %s/%s of %d bytes, the limit is %d", p.Table, p.Key, len(value), rowBytes)
			}
			return "", http.StatusBadRequest
		}
	}
	return entries[0].Part, http.StatusOK
}

// slot returns how long a transaction waits for its turn in its part.
func (s *store) slot(part string) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	next := s.nextSlot[part]
	if next.Before(now) {
		next = now
	}
	if next.Sub(now) > maxPartBacklog {
		return 0, false
	}
	s.nextSlot[part] = next.Add(partWriteGap)
	return next.Sub(now), true
}

func (s *store) commit(tx transaction) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, holds := []row{}, true
	for _, c := range tx.Conditions {
		r, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, r)
		}
		holds = holds && r.Version == c.Version
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version, "now_ms": s.now().Milliseconds()}
	}
	s.version++
	for _, p := range tx.Puts {
		s.apply(p)
	}
	for _, d := range tx.Drop {
		d.Tombstone = true
		s.apply(d)
	}
	s.announce()
	return http.StatusOK, map[string]any{"row_version": s.version, "now_ms": s.now().Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(answerTime)
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	rows := []row{}
	for id, stored := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, stored)
		}
	}
	version := s.version
	s.mutex.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	page, size := 0, 0
	for page < len(rows) && page < limit {
		size += len(rows[page].Value)
		if page > 0 && size > maxPageBytes {
			break
		}
		page++
	}
	answer(w, http.StatusOK, map[string]any{"rows": rows[:page], "has_more": page < len(rows), "row_version": version, "now_ms": s.now().Milliseconds()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		rows, version, changed := s.changesAfter(q.Get("table"), after), s.version, s.changed
		s.mutex.Unlock()
		if len(rows) > 0 {
			answer(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "now_ms": s.now().Milliseconds()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"rows": []row{}, "row_version": version, "now_ms": s.now().Milliseconds()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version. The caller holds the lock.
func (s *store) changesAfter(table string, after int64) []row {
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > after })
	var rows []row
	for _, c := range s.changes[first:] {
		if c.Table == table {
			rows = append(rows, c)
		}
	}
	return rows
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		if err := json.NewEncoder(w).Encode(body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
