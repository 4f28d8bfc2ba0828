package chutepool

import (
	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Pool is the immutable set of workers.
type Pool struct {
	workers *immutable.SortedMap[chutetask.WorkerID, Worker]
}

// New returns an empty pool.
func New() Pool {
	return Pool{workers: immutable.NewSortedMap[chutetask.WorkerID, Worker](chutetask.WorkerOrder{})}
}

// Get returns the worker, and false if there is none of the id.
func (p Pool) Get(id chutetask.WorkerID) (Worker, bool) {
	return p.workers.Get(id)
}

// With returns the pool with the worker added or changed.
func (p Pool) With(w Worker) Pool {
	p.workers = p.workers.Set(w.ID, w)
	return p
}

// Without returns the pool without the worker.
func (p Pool) Without(id chutetask.WorkerID) Pool {
	p.workers = p.workers.Delete(id)
	return p
}

// All returns the workers in the order of their ids.
func (p Pool) All() []Worker {
	workers := make([]Worker, 0, p.workers.Len())
	for i := p.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		workers = append(workers, w)
	}
	return workers
}

// Len returns the number of workers.
func (p Pool) Len() int {
	return p.workers.Len()
}

// Find returns the run on the worker, and false if the worker has none of the id.
func (p Pool) FindRun(worker chutetask.WorkerID, id chutegraph.RunID) (Worker, Run, bool) {
	w, ok := p.Get(worker)
	if !ok {
		return Worker{}, Run{}, false
	}
	r, ok := w.Run(id)
	return w, r, ok
}
