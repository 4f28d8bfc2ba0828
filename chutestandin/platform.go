package chutestandin

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutestore"
	"monsoonchute.example/monsoonchute/chutetable"
)

// PlatformFaults are the faults that the platform simulates.
type PlatformFaults struct {
	Down          bool          // every request fails before it takes effect
	Delay         time.Duration // before each request takes effect
	LoseResponses bool          // transactions take effect, but their responses are errors
}

// Platform serves the table service, the object store and the membership list over HTTP.
type Platform struct {
	Table   *Table
	address string
	mutex   sync.Mutex
	faults  PlatformFaults
	hosts   []chutestore.ListedHost
	objects map[string][]byte
}

// NewPlatform starts a platform with an empty table and returns it with a function that stops it.
func NewPlatform(log *slog.Logger) (*Platform, func(), error) {
	p := &Platform{Table: NewTable(), objects: make(map[string][]byte)}
	address, cleanUp, err := serve("platform", p.handle, log)
	p.address = address
	return p, cleanUp, err
}

// Address returns the host and port at which the platform listens.
func (p *Platform) Address() string {
	return p.address
}

// SetFaults replaces the faults that the platform simulates.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// AddHost adds an entry to the membership list; it replaces an entry with the same id.
func (p *Platform) AddHost(host chutestore.ListedHost) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hosts = slices.DeleteFunc(slices.Clone(p.hosts), func(h chutestore.ListedHost) bool { return h.ID == host.ID })
	p.hosts = append(p.hosts, host)
}

func (p *Platform) snapshot() (PlatformFaults, []chutestore.ListedHost) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults, p.hosts
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	faults, hosts := p.snapshot()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		<-timer.C
	}
	if faults.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/transactions" && ctx.IsPost():
		p.handleTransaction(ctx, faults)
	case path == "/v1/rows":
		query := ctx.QueryArgs()
		if key := query.Peek("key"); len(key) > 0 {
			writeJSON(ctx, p.Table.Read(chutetable.Key(key), true))
			return
		}
		writeJSON(ctx, p.Table.Read(chutetable.Key(query.Peek("prefix")), false))
	case path == "/v1/hosts":
		writeJSON(ctx, hosts)
	case strings.HasPrefix(path, "/v1/objects/"):
		p.handleObject(ctx, strings.TrimPrefix(path, "/v1/objects/"))
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleTransaction(ctx *fasthttp.RequestCtx, faults PlatformFaults) {
	var transaction chutestore.Transaction
	if !readJSON(ctx, &transaction) {
		return
	}
	outcome := p.Table.Commit(transaction)
	if faults.LoseResponses {
		ctx.Error("the answer is lost", fasthttp.StatusBadGateway)
		return
	}
	writeJSON(ctx, outcome)
}

func (p *Platform) handleObject(ctx *fasthttp.RequestCtx, name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if ctx.IsPut() {
		p.objects[name] = append([]byte(nil), ctx.PostBody()...)
		return
	}
	object, ok := p.objects[name]
	if !ok {
		ctx.Error("unknown object", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(object)
}
