package daemon

import (
	"context"
	"time"
)

// leaveTimeout bounds the announcement of a planned stop, and settleTime is how
// long others have to take it in, so that they send nothing more to this VM.
const (
	leaveTimeout    = time.Second
	settleTime      = 500 * time.Millisecond
	handoverTimeout = 3 * time.Second
)

// Stop ends the VM as planned: it announces that it leaves, finishes the
// requests in progress until the deadline in the settings, hands its rights
// over and closes everything.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() {
		d.log().Info().Msg("planned stop begins")
		d.announce()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.stopDeadline.Load()))
		d.node.Close(ctx)
		cancel()
		ctx, cancel = context.WithTimeout(context.Background(), handoverTimeout)
		if err := d.limiter.Handover(ctx); err != nil {
			d.log().Warn().Err(err).Msg("rights not handed over; they return after the platform lists the VM as gone")
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
		d.log().Warn().Err(err).Msg("no other VM confirmed the announcement to leave")
	}
	d.options.clock.Sleep(settleTime)
}

// Kill ends the VM at once, as a crash does: requests in progress are cut and
// rights are not handed over.
func (d *Daemon) Kill() {
	d.stopOnce.Do(func() {
		// Calls to other VMs end first, so that they are told nothing.
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

// close ends what start started, in reverse order. Parts may be missing when
// start failed.
func (d *Daemon) close() {
	defer close(d.stopped)
	d.cancel()
	if d.admin != nil {
		_ = d.admin.Close() // operators' requests are cut
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
