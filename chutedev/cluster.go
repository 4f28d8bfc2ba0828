package chutedev

import (
	_ "embed" // the sample document
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteclient"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chutenode"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutesettings"
	"monsoonchute.example/monsoonchute/chutestandin"
	"monsoonchute.example/monsoonchute/chutestore"
)

// Service is the name of the service that the backend servers of a cluster provide.
const Service = "echo"

const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

//go:embed sample.toml
var sampleDocument []byte

// SampleDocument returns the sample document in TOML.
func SampleDocument() []byte {
	return sampleDocument
}

// Cluster is a set of entry hosts, a platform, workers and backend servers that run in one process.
type Cluster struct {
	Platform *chutestandin.Platform
	Workers  []*chutestandin.Worker
	Backends []*chutestandin.Backend
	Nodes    []chutenode.Node
	cleanUps []func()
}

// clusterSize holds the numbers of the parts of a cluster; racks are per zone, workers per rack.
type clusterSize struct {
	hosts, zones, racks, workers, backends int
}

// Option changes the size of a new cluster.
type Option func(*clusterSize)

// WithHosts sets the number of entry hosts.
func WithHosts(hosts int) Option {
	return func(s *clusterSize) { s.hosts = hosts }
}

// New starts a cluster and returns it with a function that stops its parts in reverse order. It returns an error if a
// part cannot start.
func New(log *slog.Logger, options ...Option) (*Cluster, func(), error) {
	s := clusterSize{hosts: 2, zones: 2, racks: 2, workers: 2, backends: 3}
	for _, option := range options {
		option(&s)
	}
	c := &Cluster{}
	for _, start := range []func(clusterSize, *slog.Logger) error{c.startPlatform, c.startWorkers, c.startBackends, c.startNodes} {
		if err := start(s, log); err != nil {
			c.stop()
			return nil, nil, err
		}
	}
	return c, c.stop, nil
}

func (c *Cluster) stop() {
	for i := len(c.cleanUps) - 1; i >= 0; i-- {
		c.cleanUps[i]()
	}
}

func (c *Cluster) startPlatform(_ clusterSize, log *slog.Logger) error {
	platform, cleanUp, err := chutestandin.NewPlatform(log)
	if err != nil {
		return err
	}
	c.Platform = platform
	c.cleanUps = append(c.cleanUps, cleanUp)
	return nil
}

func (c *Cluster) startWorkers(s clusterSize, log *slog.Logger) error {
	for zone := range s.zones {
		for rack := range s.racks {
			for i := range s.workers {
				worker, cleanUp, err := chutestandin.NewWorker(log)
				if err != nil {
					return err
				}
				c.Workers = append(c.Workers, worker)
				c.cleanUps = append(c.cleanUps, cleanUp)
				name := zoneName(zone)
				c.Platform.AddHost(chutestore.ListedHost{
					ID: fmt.Sprintf("%s-rack-%d-worker-%d", name, rack, i), Role: string(chuteevent.RoleWorker), Zone: name,
					Rack: fmt.Sprintf("%s-rack-%d", name, rack), Accelerators: 8, Address: worker.Address(),
				})
			}
		}
	}
	return nil
}

func zoneName(index int) string {
	return "zone-" + string(rune('a'+index))
}

func (c *Cluster) startBackends(s clusterSize, log *slog.Logger) error {
	for i := range s.backends {
		backend, cleanUp, err := chutestandin.NewBackend(log)
		if err != nil {
			return err
		}
		c.Backends = append(c.Backends, backend)
		c.cleanUps = append(c.cleanUps, cleanUp)
		c.Platform.AddHost(chutestore.ListedHost{
			ID: fmt.Sprintf("backend-%d", i), Role: string(chuteevent.RoleBackend), Service: Service,
			Zone: zoneName(i % s.zones), Address: backend.Address(),
		})
	}
	return nil
}

func (c *Cluster) startNodes(s clusterSize, log *slog.Logger) error {
	for i := range s.hosts {
		settings := chutesettings.Default()
		settings.HostID = fmt.Sprintf("entry-%d", i)
		settings.DrainDelay = 0
		settings.Zone = zoneName(i % s.zones)
		settings.FrontAddress, settings.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
		settings.StoreAddress = c.Platform.Address()
		node, cleanUp, err := chutenode.New(settings, log)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, node)
		c.cleanUps = append(c.cleanUps, cleanUp)
	}
	return nil
}

// FrontAddresses returns the addresses of the front ends of the entry hosts.
func (c *Cluster) FrontAddresses() []string {
	var fronts []string
	for _, n := range c.Nodes {
		fronts = append(fronts, n.FrontAddress())
	}
	return fronts
}

// ApplySample applies the sample document and waits until every shard has an owner that is ready. It returns an error
// if this takes longer than 15 seconds or the document is refused.
func (c *Cluster) ApplySample() error {
	deadline := time.Now().Add(readyTimeout)
	client := chuteclient.New(c.FrontAddresses())
	for {
		reply, err := client.ApplyDocument(sampleDocument, false, false)
		code := chuteresult.Code(reply.Result.Code)
		switch {
		case err == nil && code.Class() == chuteresult.ClassRan:
			return c.awaitShards(deadline)
		case err == nil && code != chuteresult.NotReady && code != chuteresult.GuaranteesNotMet:
			return errors.New("the sample document was refused: " + reply.Result.Detail)
		case time.Now().After(deadline):
			return errors.Errorf("the entry hosts did not become ready in time: %s %v", reply.Result.Detail, err)
		}
		wait(readyPollInterval)
	}
}

func (c *Cluster) awaitShards(deadline time.Time) error {
	for time.Now().Before(deadline) {
		if c.shardsReady() {
			return nil
		}
		wait(readyPollInterval)
	}
	return errors.New("not every shard got a ready owner in time")
}

// shardsReady reports whether every shard is owned by an entry host that has recovered it and has usable workers, and
// every entry host is linked to all owners.
func (c *Cluster) shardsReady() bool {
	ready := make(map[int]bool)
	shards := 0
	for _, front := range c.FrontAddresses() {
		reply, err := chuteclient.New([]string{front}).Status()
		if err != nil || reply.Status == nil {
			return false
		}
		shards = len(reply.Status.Shards)
		if !linkedToOwners(*reply.Status) {
			return false
		}
		for _, s := range reply.Status.Shards {
			if s.OwnedHere && s.Ready && s.UsableAccelerators > 0 {
				ready[s.Shard] = true
			}
		}
	}
	return shards > 0 && len(ready) == shards
}

// ContradictsRuns reports whether the result that a caller got for a request that must not run twice contradicts the
// number of times that the backend servers ran it.
func (c *Cluster) ContradictsRuns(id, result string) bool {
	runs := 0
	for _, b := range c.Backends {
		runs += b.Runs()[id]
	}
	class := chuteresult.ClassUnknown
	if code, ok := chuteresult.CodeByName(result); ok {
		class = code.Class()
	}
	return runs > 1 || class == chuteresult.ClassNotRun && runs > 0 || class == chuteresult.ClassRan && runs != 1
}

// linkedToOwners reports whether the entry host with this status has a link to the owner of every shard.
func linkedToOwners(s chuteform.Status) bool {
	linked := make(map[string]bool)
	for _, h := range s.Hosts {
		linked[h.Host] = h.Linked
	}
	for _, shard := range s.Shards {
		if !linked[shard.Owner] {
			return false
		}
	}
	return true
}

func wait(interval time.Duration) {
	timer := time.NewTimer(interval)
	<-timer.C
}
