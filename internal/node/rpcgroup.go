package node

import "siskintray.example/siskin"

// groupReceiver answers other VMs' questions about groups over net/rpc.
type groupReceiver struct{ groups *groups }

// View returns the present view of a group that this VM watches.
func (r *groupReceiver) View(service siskin.ServiceName, view *siskin.GroupView) error {
	g, ok := r.groups.Group(service)
	if !ok {
		return siskin.NewError(siskin.NotRun, "this VM does not watch service %s", service).
			WithRemedy("ask a home of one of its slots")
	}
	*view = g.View()
	return nil
}
