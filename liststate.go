package siskin

// ListState says how far a VM can rely on its list of targets.
type ListState int

const (
	// ListCurrent means that no other VM has known a newer list for long.
	ListCurrent ListState = iota
	// ListOutdated means that other VMs may know of targets that have joined or
	// are leaving since.
	ListOutdated
	// ListExpired means that the group may have changed as a whole since.
	ListExpired
)

var listStateNames = [...]string{"Current", "Outdated", "Expired"}

func (s ListState) String() string { return listStateNames[s] }
