package siskin

import "time"

// RouteKind is the read consistency that a route requires.
type RouteKind int

// Kinds of routes.
const (
	// PrimaryReads requires that a read sees every commit acknowledged before
	// the read began.
	PrimaryReads RouteKind = iota
	// BoundedStaleness requires that a read sees every commit older than
	// MaxStaleness.
	BoundedStaleness
	// ReadYourWrites requires BoundedStaleness and that a read sees the
	// session's own commits.
	ReadYourWrites
)

// RouteSpec is one route of a Deployment.
type RouteSpec struct {
	Name     RouteName
	Database string // name that callers connect to
	Service  ServiceName
	Kind     RouteKind
	// MaxStaleness is the maximum age of the data that a read may see.
	MaxStaleness time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// LatencyObjective is the latency that a whole operation should not exceed.
	LatencyObjective time.Duration
	// Priority is 0 for the most urgent route, and LowestPriority for a route
	// that states none.
	Priority int
	// Class is derived from the priorities of all routes of the deployment.
	Class PriorityClass `json:"-"`
	// AllowsAnonymous is true if callers need no key.
	AllowsAnonymous bool
}

// ServiceSpec is one service of a Deployment.
type ServiceSpec struct {
	Name ServiceName
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// SyncReplicas is the number of replicas that receive a commit before it is
	// acknowledged.
	SyncReplicas int
	// ColdRate is the rate of statements that a cold target can handle, and
	// ColdDuration the time for which it stays cold after its start. Both are
	// zero if targets are never cold.
	ColdRate     RequestsPerSecond
	ColdDuration time.Duration
}

// CustomerSpec is one customer of a Deployment.
type CustomerSpec struct {
	ID    CustomerID
	Keys  []string
	Rate  RequestsPerSecond
	Burst Requests
}

// Deployment is one version of the operator's configuration.
type Deployment struct {
	Version   Revision
	Routes    []RouteSpec
	Services  []ServiceSpec
	Customers []CustomerSpec
	// TxIdleTimeout is the time after which an idle transaction may be ended.
	TxIdleTimeout time.Duration
	// SessionIdleTimeout is the time after which an idle session may be closed.
	SessionIdleTimeout time.Duration
	// LeftOut holds an error for each route, service or customer that cannot be
	// used. The others are in force.
	LeftOut []error `json:"-"`
}
