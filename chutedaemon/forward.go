package chutedaemon

import (
	"context"
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuterow"
)

// maxForwardAge is the age after which the leader has read the rows from the store itself.
const maxForwardAge = 500 * time.Millisecond

// runForwards sends rows about jobs to the leader. It drops rows that are too old or not confirmed, since the leader also
// reads them from the store.
func (d *Daemon) runForwards(ctx context.Context) {
	for {
		effect, ok := d.forwards.Take(ctx)
		if !ok {
			return
		}
		request, ok := effect.(chuteaction.ForwardRows)
		if !ok {
			d.log.Error("daemon: effect in the forward ring is not of type ForwardRows", "type", fmt.Sprintf("%T", effect))
			continue
		}
		d.forward(ctx, request)
	}
}

func (d *Daemon) forward(ctx context.Context, request chuteaction.ForwardRows) {
	if time.Since(request.RecordedAt) > maxForwardAge {
		d.metrics.Count("news-dropped", "too-old")
		return
	}
	body, err := chuterow.EncodeForwardedRows(request.Rows)
	if err != nil {
		d.log.Error("daemon: forwarded rows cannot be encoded", "error", err.Error())
		return
	}
	if err := d.peers.SendNotice(ctx, request.Address, body); err != nil {
		d.metrics.Count("news-dropped", "not-confirmed")
		d.log.Debug("daemon: leader did not confirm forwarded rows", "leader", request.Address, "error", err.Error())
	}
}

// receiveForwarded passes the rows that other hosts forward to the core.
func (d *Daemon) receiveForwarded(ctx context.Context) {
	for {
		body, ok := d.peers.NextNotice(ctx)
		if !ok {
			return
		}
		rows, err := chuterow.DecodeForwardedRows(body)
		if err != nil {
			d.metrics.Count("news-dropped", "malformed")
			d.log.Warn("daemon: forwarded rows cannot be decoded", "error", err.Error())
			continue
		}
		d.events.Put(ctx, chuteaction.RowsForwarded{Rows: rows})
	}
}
