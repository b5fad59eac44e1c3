package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"siskintray.example/siskin"
)

// Get implements siskin.Platform.
func (p *LimitedClient) Get(ctx context.Context, name siskin.ObjectName) (siskin.Object, error) {
	var o siskin.Object
	err := p.readJSON(ctx, objectPath(name), &o)
	if err == nil {
		err = checkName(&o, name)
	}
	if err != nil {
		return siskin.Object{}, err
	}
	return o, nil
}

// checkName returns an error if the platform responded with another object. One
// that does not exist may have no name.
func checkName(o *siskin.Object, name siskin.ObjectName) error {
	if o.Name == name || o.Name == "" && o.Version == 0 {
		return nil
	}
	return siskin.NewError(siskin.BadInput, "the platform responded with object %.64q instead of %.64q", o.Name, name).WithRemedy("repeat the call")
}

// List implements siskin.Platform.
func (p *LimitedClient) List(ctx context.Context, prefix siskin.ObjectName) ([]siskin.Object, error) {
	var all []siskin.Object
	from := siskin.ObjectName("")
	for {
		var page struct {
			Objects []siskin.Object
			Next    siskin.ObjectName
		}
		q := url.Values{"Prefix": {string(prefix)}, "From": {string(from)}}
		if err := p.readJSON(ctx, "/Objects?"+q.Encode(), &page); err != nil {
			return nil, err
		}
		all = append(all, page.Objects...)
		if page.Next <= from { // the last page, or a cursor that does not advance
			return all, nil
		}
		from = page.Next
	}
}

// VMs implements siskin.Platform.
func (p *LimitedClient) VMs(ctx context.Context) ([]siskin.VM, error) {
	var list struct {
		VMs []struct {
			ID          siskin.VMID
			Incarnation siskin.Incarnation
			DataCentre  siskin.DataCentreID
			PeerAddress string
			State       string
		}
	}
	if err := p.readJSON(ctx, "/VMs", &list); err != nil {
		return nil, err
	}
	vms := make([]siskin.VM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		vms = append(vms, siskin.VM{ID: vm.ID, Incarnation: vm.Incarnation, DataCentre: vm.DataCentre, PeerAddress: vm.PeerAddress, State: parseState(vm.State)})
	}
	return vms, nil
}

// parseState maps an unknown state to VMUnknown, which proves neither that the
// VM runs nor that it is gone.
func parseState(s string) siskin.VMState {
	for _, state := range []siskin.VMState{siskin.VMLive, siskin.VMLeaving, siskin.VMGone} {
		if state.String() == s {
			return state
		}
	}
	return siskin.VMUnknown
}

func (p *LimitedClient) readJSON(ctx context.Context, path string, into any) error {
	ctx, end, err := p.c.startCall(ctx, true)
	if err != nil {
		return err
	}
	defer end()
	a, err := p.read(ctx, path)
	if err != nil {
		return err
	}
	return decode(a, into)
}

func decode(a response, into any) error {
	if a.status != http.StatusOK {
		return siskin.NewError(siskin.BadInput, "the platform responded with status %d: %.200s", a.status, a.body).WithRemedy("check the address and version of the platform")
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return siskin.NewError(siskin.BadInput, "the platform's response is malformed").WithCause(err).WithRemedy("check the address and version of the platform")
	}
	return nil
}

func objectPath(name siskin.ObjectName) string {
	return (&url.URL{Path: "/Objects/" + string(name)}).EscapedPath()
}
