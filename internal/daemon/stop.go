package daemon

import (
	"context"
	"time"
)

// leaveTimeout bounds the announcement of a planned stop. settleTime lets other
// VMs process it, so that they send no more requests to this VM.
const (
	leaveTimeout    = time.Second
	settleTime      = 500 * time.Millisecond
	handoverTimeout = 3 * time.Second
)

// Stop makes a planned stop of the VM. It announces that the VM leaves, lets
// requests in progress finish until the deadline in the settings, hands over the
// VM's quota units and closes everything.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() {
		d.log().Info().Msg("planned stop begins")
		d.announce()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.stopDeadline.Load()))
		d.node.Close(ctx)
		cancel()
		ctx, cancel = context.WithTimeout(context.Background(), handoverTimeout)
		if err := d.limiter.Handover(ctx); err != nil {
			d.log().Warn().Err(err).Msg("quota units not handed over; other VMs reclaim them after the platform lists this VM as gone")
		}
		cancel()
		d.close()
		d.log().Info().Msg("planned stop is done")
	})
	<-d.stopped
}

func (d *Daemon) announce() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.members.Leave(ctx); err != nil {
		d.log().Warn().Err(err).Msg("no other VM confirmed that this VM is leaving")
	}
	d.options.clock.Sleep(settleTime)
}

// Kill stops the VM immediately, like a crash: requests in progress are aborted
// and quota units are not handed over.
func (d *Daemon) Kill() {
	d.stopOnce.Do(func() {
		// Close the client first, so that other VMs are not notified.
		if d.client != nil {
			_ = d.client.Close()
		}
		if d.node != nil {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			d.node.Close(ctx)
		}
		d.close()
	})
	<-d.stopped
}

// close stops what start started, in reverse order. Fields are nil if start
// failed before it set them.
func (d *Daemon) close() {
	defer close(d.stopped)
	d.cancel()
	if d.admin != nil {
		_ = d.admin.Close() // aborts operators' requests
	}
	if d.limiter != nil {
		_ = d.limiter.Close()
	}
	if d.keys != nil {
		_ = d.keys.Close()
	}
	if d.spread != nil {
		_ = d.spread.Close()
	}
	if d.members != nil {
		_ = d.members.Close()
	}
	if d.client != nil {
		_ = d.client.Close()
	}
	if d.server != nil {
		_ = d.server.Close()
	}
	if d.platform != nil {
		_ = d.platform.Close()
	}
	if d.stats != nil {
		_ = d.stats.Close()
	}
	if d.listeners != nil {
		d.listeners.close()
	}
	d.wg.Wait()
}
