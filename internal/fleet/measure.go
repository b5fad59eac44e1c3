package fleet

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
)

// Table returns the data of a service's newest primary.
func (f *Fleet) Table(service siskin.ServiceName) map[string]string {
	return target.PrimaryTable(f.Groups[service])
}

// ReplicaShare returns the number of reads on read routes so far and the share
// that replicas served.
func (f *Fleet) ReplicaShare() (reads int, share float64) {
	var replica, primary int64
	for _, vm := range f.VMs {
		st := vm.Status().Front
		replica += st.ReplicaReads
		primary += st.PrimaryReads
	}
	total := replica + primary
	if total == 0 {
		return 0, 0
	}
	return int(total), float64(replica) / float64(total)
}
