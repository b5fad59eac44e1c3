package daemon

// ControlStats counts the calls between this VM and others.
type ControlStats struct {
	Messages int64
	Bytes    int64 // frames without TLS and TCP
}

// ControlStats returns the totals that this VM sent and received so far in calls
// to and from other VMs.
func (d *Daemon) ControlStats() ControlStats {
	out, in := d.client.Stats().Total(), d.server.Stats().Total()
	return ControlStats{
		Messages: out.Sent + out.Received + in.Sent + in.Received,
		Bytes:    out.SentBytes + out.ReceivedBytes + in.SentBytes + in.ReceivedBytes,
	}
}
