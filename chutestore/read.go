package chutestore

import (
	"context"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutewire"
)

func (c *Client) readDuty(ctx context.Context) {
	for {
		effect, ok := c.reads.Take(ctx)
		if !ok {
			return
		}
		if read, isRead := effect.(chuteevent.ReadTable); isRead {
			c.events.Put(ctx, c.read(ctx, read))
		}
	}
}

func (c *Client) read(ctx context.Context, effect chuteevent.ReadTable) chuteevent.Event {
	sent := time.Now()
	var stored []StoredRow
	err := c.observe(ctx, func() error { return c.caller.Get(rowsPath(effect.Prefix, effect.Exact), &stored) })
	if err != nil {
		return chuteevent.TableFailed{Token: effect.Token}
	}
	read := chuteevent.TableRead{Token: effect.Token, SentAt: sent}
	for _, s := range stored {
		row, err := chutewire.DecodeRow(s.Value)
		if err != nil {
			c.log.Error("store: row cannot be decoded", "key", s.Key, "error", errorText(err))
			continue
		}
		read.Rows = append(read.Rows, chutetable.StoredRow{Key: s.Key, Version: s.Version, Row: row})
	}
	return read
}

// membershipDuty reads the membership list every membershipInterval.
func (c *Client) membershipDuty(ctx context.Context) {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		var hosts []ListedHost
		if err := c.caller.Get("/v1/hosts", &hosts); err == nil {
			c.events.Put(ctx, chuteevent.MembershipListed{Hosts: newPlatformHosts(hosts)})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func newPlatformHosts(listed []ListedHost) []chuteevent.PlatformHost {
	hosts := make([]chuteevent.PlatformHost, len(listed))
	for i, h := range listed {
		hosts[i] = chuteevent.PlatformHost{
			ID: h.ID, Role: chuteevent.Role(h.Role), Service: h.Service, Zone: h.Zone, Rack: h.Rack,
			Accelerators: h.Accelerators, Address: h.Address, Leaving: h.Leaving,
		}
	}
	return hosts
}
