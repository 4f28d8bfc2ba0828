package chutedaemon

import (
	"context"
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuterow"
)

// newsLimit is the age after which the leader has read of a job itself.
const maxForwardAge = 500 * time.Millisecond

// runNews tells the leader of jobs. What cannot be told in time is dropped, since the leader reads of it as well.
func (d *Daemon) runForwards(ctx context.Context) {
	for {
		effect, ok := d.forwards.Take(ctx)
		if !ok {
			return
		}
		rows, ok := effect.(chuteaction.TellLeader)
		if !ok {
			d.log.Error("daemon: an effect is no news", "type", fmt.Sprintf("%T", effect))
			continue
		}
		d.forward(ctx, rows)
	}
}

func (d *Daemon) forward(ctx context.Context, rows chuteaction.TellLeader) {
	if time.Since(rows.At) > maxForwardAge {
		d.metrics.Count("news-dropped", "too-old")
		return
	}
	body, err := chuterow.EncodeNews(rows.Rows)
	if err != nil {
		d.log.Error("daemon: news cannot be encoded", "error", err.Error())
		return
	}
	if err := d.peers.SendNotice(ctx, rows.Address, body); err != nil {
		d.metrics.Count("news-dropped", "not-confirmed")
		d.log.Debug("daemon: the leader did not confirm news", "leader", rows.Address, "error", err.Error())
	}
}

// runTold hands what other hosts tell to the core.
func (d *Daemon) receiveForwarded(ctx context.Context) {
	for {
		body, ok := d.peers.NextNotice(ctx)
		if !ok {
			return
		}
		rows, err := chuterow.DecodeNews(body)
		if err != nil {
			d.metrics.Count("news-dropped", "malformed")
			d.log.Warn("daemon: news cannot be read", "error", err.Error())
			continue
		}
		d.events.Put(ctx, chuteaction.RowsTold{Rows: rows})
	}
}
