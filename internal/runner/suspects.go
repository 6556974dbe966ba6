package runner

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
)

// partReportInterval is the time between two reports on parts of prompts to all peers
// while there is news. Peers count crashes together within a second.
const partReportInterval = 300 * time.Millisecond

// partQuarantinesPrefix is the key prefix of quarantined parts in the platform.
const partQuarantinesPrefix = "quarantine-part/"

// A partReport tells peers which parts of prompts may crash backend servers.
type partReport struct {
	Parts []retrier.PartReport `cbor:"parts"`
}

// A partAnnouncer reports news of parts to the peers.
type partAnnouncer struct {
	parts       *retrier.Parts
	broadcaster *broadcaster
	clock       clockwork.Clock
}

// Start reports until the context ends.
func (a *partAnnouncer) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := a.clock.NewTicker(partReportInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.Chan():
				if news := a.parts.News(); len(news) > 0 {
					a.broadcaster.enqueue(broadcast{kind: linker.KindSuspectParts, payload: partReport{Parts: news}})
				}
			}
		}
	}()
	return done
}

// partsHandler applies the reports of peers.
func partsHandler(p *retrier.Parts) linker.Handler {
	return linker.HandlerFunc(func(_ context.Context, _ string, payload []byte) ([]byte, error) {
		var r partReport
		if err := linker.Unmarshal(payload, &r); err != nil {
			return nil, err
		}
		p.ApplyReports(r.Parts)
		return nil, nil
	})
}
