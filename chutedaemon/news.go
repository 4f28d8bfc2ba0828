package chutedaemon

import (
	"context"
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuterow"
)

// newsLimit is the age after which the leader has read of a job itself.
const newsLimit = 500 * time.Millisecond

// runNews tells the leader of jobs. What cannot be told in time is dropped, since the leader reads of it as well.
func (d *Daemon) runNews(ctx context.Context) {
	for {
		effect, ok := d.news.Take(ctx)
		if !ok {
			return
		}
		news, ok := effect.(chuteaction.ForwardRows)
		if !ok {
			d.log.Error("daemon: an effect is no news", "type", fmt.Sprintf("%T", effect))
			continue
		}
		d.tell(ctx, news)
	}
}

func (d *Daemon) tell(ctx context.Context, news chuteaction.ForwardRows) {
	if time.Since(news.RecordedAt) > newsLimit {
		d.metrics.Count("news-dropped", "too-old")
		return
	}
	body, err := chuterow.EncodeForwardedRows(news.Rows)
	if err != nil {
		d.log.Error("daemon: news cannot be encoded", "error", err.Error())
		return
	}
	if err := d.peers.SendNotice(ctx, news.Address, body); err != nil {
		d.metrics.Count("news-dropped", "not-confirmed")
		d.log.Debug("daemon: the leader did not confirm news", "leader", news.Address, "error", err.Error())
	}
}

// runTold hands what other hosts tell to the core.
func (d *Daemon) runTold(ctx context.Context) {
	for {
		body, ok := d.peers.NextNotice(ctx)
		if !ok {
			return
		}
		rows, err := chuterow.DecodeForwardedRows(body)
		if err != nil {
			d.metrics.Count("news-dropped", "malformed")
			d.log.Warn("daemon: news cannot be read", "error", err.Error())
			continue
		}
		d.events.Put(ctx, chuteaction.RowsForwarded{Rows: rows})
	}
}
