package chutedev

import (
	_ "embed" // the sample document
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteclient"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteformat"
	"monsoonchute.example/monsoonchute/chutenode"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutesettings"
	"monsoonchute.example/monsoonchute/chutestandin"
	"monsoonchute.example/monsoonchute/chutestore"
)

// Service is the service that the backend servers of a cluster serve.
const Service = "echo"

const (
	readyLimit = 15 * time.Second
	readyPause = 50 * time.Millisecond
)

//go:embed sample.toml
var sample []byte

// Sample returns the sample document, in TOML.
func SampleDocument() []byte {
	return sample
}

// Cluster is entry hosts, a platform, workers and backend servers in one process.
type Cluster struct {
	Platform *chutestandin.Platform
	Workers  []*chutestandin.Worker
	Backends []*chutestandin.Backend
	Nodes    []chutenode.Node
	cleanUps []func()
}

// size is how many of each a cluster has.
type size struct {
	hosts, zones, racks, workers, backends int
}

// Option changes the size of a cluster.
type Option func(*size)

// WithHosts gives the cluster a number of entry hosts.
func WithHosts(hosts int) Option {
	return func(s *size) { s.hosts = hosts }
}

// New starts a cluster, and returns a clean-up function that stops it as planned.
func New(log *slog.Logger, options ...Option) (*Cluster, func(), error) {
	s := size{hosts: 2, zones: 2, racks: 2, workers: 2, backends: 3}
	for _, option := range options {
		option(&s)
	}
	c := &Cluster{}
	for _, start := range []func(size, *slog.Logger) error{c.startPlatform, c.startWorkers, c.startBackends, c.startNodes} {
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

func (c *Cluster) startPlatform(_ size, log *slog.Logger) error {
	platform, cleanUp, err := chutestandin.NewPlatform(log)
	if err != nil {
		return err
	}
	c.Platform = platform
	c.cleanUps = append(c.cleanUps, cleanUp)
	return nil
}

func (c *Cluster) startWorkers(s size, log *slog.Logger) error {
	for zone := range s.zones {
		for rack := range s.racks {
			for number := range s.workers {
				worker, cleanUp, err := chutestandin.NewWorker(log)
				if err != nil {
					return err
				}
				c.Workers = append(c.Workers, worker)
				c.cleanUps = append(c.cleanUps, cleanUp)
				name := zoneName(zone)
				c.Platform.AddHost(chutestore.ListedHost{
					ID: fmt.Sprintf("%s-rack-%d-worker-%d", name, rack, number), Role: string(chuteevent.RoleWorker), Zone: name,
					Rack: fmt.Sprintf("%s-rack-%d", name, rack), Accelerators: 8, Address: worker.Address(),
				})
			}
		}
	}
	return nil
}

func zoneName(number int) string {
	return "zone-" + string(rune('a'+number))
}

func (c *Cluster) startBackends(s size, log *slog.Logger) error {
	for number := range s.backends {
		backend, cleanUp, err := chutestandin.NewBackend(log)
		if err != nil {
			return err
		}
		c.Backends = append(c.Backends, backend)
		c.cleanUps = append(c.cleanUps, cleanUp)
		c.Platform.AddHost(chutestore.ListedHost{
			ID: fmt.Sprintf("backend-%d", number), Role: string(chuteevent.RoleBackend), Service: Service,
			Zone: zoneName(number % s.zones), Address: backend.Address(),
		})
	}
	return nil
}

func (c *Cluster) startNodes(s size, log *slog.Logger) error {
	for number := range s.hosts {
		settings := chutesettings.Default()
		settings.HostID = fmt.Sprintf("entry-%d", number)
		settings.DrainDelay = 0
		settings.Zone = zoneName(number % s.zones)
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

// Fronts returns the addresses of the entry hosts' front ends.
func (c *Cluster) FrontAddresses() []string {
	var fronts []string
	for _, n := range c.Nodes {
		fronts = append(fronts, n.FrontAddress())
	}
	return fronts
}

// ApplySample applies the sample document and waits until every shard has a ready owner.
func (c *Cluster) ApplySample() error {
	deadline := time.Now().Add(readyLimit)
	client := chuteclient.New(c.FrontAddresses())
	for {
		reply, err := client.ApplyDocument(sample, false, false)
		code := chuteresult.Code(reply.Result.Code)
		switch {
		case err == nil && code.Class() == chuteresult.ClassRan:
			return c.awaitOwners(deadline)
		case err == nil && code != chuteresult.NotReady && code != chuteresult.GuaranteesNotMet:
			return errors.New("sample document: " + reply.Result.Detail)
		case time.Now().After(deadline):
			return errors.Errorf("the entry hosts are not ready: %s %v", reply.Result.Detail, err)
		}
		wait(readyPause)
	}
}

func (c *Cluster) awaitOwners(deadline time.Time) error {
	for time.Now().Before(deadline) {
		if c.owned() {
			return nil
		}
		wait(readyPause)
	}
	return errors.New("a shard has no owner")
}

// owned reports whether every shard is owned by an entry host that has recovered it and has usable workers.
func (c *Cluster) owned() bool {
	ready := make(map[int]bool)
	shards := 0
	for _, front := range c.FrontAddresses() {
		reply, err := chuteclient.New([]string{front}).Status()
		if err != nil || reply.Status == nil {
			return false
		}
		shards = len(reply.Status.Shards)
		if !reaches(*reply.Status) {
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

// Contradicts reports whether what a caller was told of a request that must not run twice contradicts how often the
// backend servers ran it.
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

// reaches reports whether the entry host knows every shard's owner and has a link to it.
func reaches(s chuteformat.Status) bool {
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
