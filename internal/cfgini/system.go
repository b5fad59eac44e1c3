package cfgini

import (
	"math"
	"time"

	"siskintray.example/siskin"
)

// System holds the settings of siskintrayd for the session protocol.
type System struct {
	VM       SystemVM
	Caller   SystemCaller
	Ready    SystemReady
	Peer     SystemPeer
	Store    SystemStore
	Promoter SystemPromoter
	Operator SystemOperator
	Metrics  SystemMetrics
	Stop     SystemStop
	Log      Log
}

// SystemVM identifies the VM and sets the resources that it may use.
type SystemVM struct {
	ID             string       `unit:"name" doc:"Name of this VM, unique in the fleet. It survives a restart."`
	DataCentre     string       `unit:"name" doc:"Data centre that the VM stands in."`
	ProcessorShare float64      `default:"1" min:"0.01" max:"1024" doc:"Part of the processor that the VM may use. VMs with more take the homes of targets, the relays and the pools of rates."`
	Processors     float64      `default:"1" min:"0.1" max:"1024" doc:"Speed of the processor, as a multiple of one core."`
	Link           float64      `default:"0" min:"0" max:"1000000" doc:"Speed of the VM's network link in Mbit/s. Where it allows less load than the processor, the VM is ranked by it. 0 where the platform does not state it: the processor alone counts."`
	Memory         siskin.Bytes `guard:"yes" default:"256MB" min:"32MB" max:"64GB" doc:"Memory that the process may use. The garbage collector works harder from two thirds of it on."`
	MessageMemory  siskin.Bytes `default:"0B" min:"0B" max:"16GB" doc:"Memory for messages and answers of callers and other VMs over 4 KiB, and for values and prepared statements of sessions. Beyond it the newest are refused. 0B for an eighth of VM.Memory; at least 8MB."`
}

// millicoresPerMbps converts the speed of a link into the processor capacity
// that uses it up: a statement that takes 0.5 ms of processor time at its home
// may transfer about 1 kB in each direction. A link of 10 Mbit/s is equal to
// 0.64 of a core.
const millicoresPerMbps = 64

// Capacity returns the capacity by which VMs are ranked: that of the processor
// or that of the link, whichever is smaller.
func (v *SystemVM) Capacity() siskin.Millicores {
	capacity := v.ProcessorShare * v.Processors * 1000
	if v.Link > 0 {
		capacity = min(capacity, v.Link*millicoresPerMbps)
	}
	return siskin.Millicores(math.Round(capacity))
}

// SystemCaller configures the listener for callers.
type SystemCaller struct {
	Address       string        `unit:"address" doc:"Address that callers connect to with the session protocol."`
	MaxSessions   int           `default:"3500" min:"1" max:"1000000" doc:"Most sessions open at once. Further connections are closed. Descriptors for targets, other VMs and the store are kept free, so a low limit on descriptors lowers it."`
	MaxUnstarted  int           `default:"512" min:"1" max:"1000000" doc:"Most connections that have not finished START, at most half of MaxSessions. The oldest is closed when there are more."`
	AnswerTimeout time.Duration `default:"10s" min:"1s" max:"10m" doc:"Time in which a caller has to read an answer. Its connection is closed after that."`
}

// SystemReady configures the listener for readiness probes of the load balancer.
type SystemReady struct {
	Address string `unit:"address" doc:"Address of the readiness probe."`
}

// SystemPeer configures the listener for other VMs.
type SystemPeer struct {
	Address    string   `unit:"address" doc:"Address that takes calls of other VMs (net/rpc, without TLS: the network must belong to the deployment alone)."`
	Advertised string   `unit:"address" optional:"yes" doc:"Address under which other VMs reach this one, where it differs from Peer.Address, such as behind a forwarder."`
	Seeds      []string `unit:"addresses" optional:"yes" doc:"Peer addresses of some other VMs, for a start while the store is down."`
}

// SystemStore configures the client of the metadata store.
type SystemStore struct {
	Address string        `unit:"address" doc:"Address of the metadata store."`
	Timeout time.Duration `default:"2s" min:"100ms" max:"30s" doc:"Longest time for one call, in addition to the wait of a watch."`
}

// SystemPromoter configures the client of the platform's promotion service.
type SystemPromoter struct {
	Address string        `unit:"address" doc:"Address of the platform's promotion duty."`
	Timeout time.Duration `default:"700ms" min:"100ms" max:"10s" doc:"Longest wait for the answer to a promotion."`
	Fencing bool          `guard:"yes" default:"no" doc:"Whether the platform refuses fences that are lower than one it has seen, and takes the lead from the former primary at a promotion. Without it, reads at a primary and changes of primary rest on the replicas, and a change takes 0.4 s longer."`
}

// SystemOperator configures the bounds that the operator of the platform sets for
// evacuations and cold targets.
type SystemOperator struct {
	EvacuateWithin time.Duration `guard:"yes" default:"0s" min:"0s" max:"10m" doc:"Time from the store's acknowledgement of the evacuation of a data centre to the last statement sent to a target there, 1 s or more. The last 0.5 s are kept in reserve, and reading takes up to 4.5 s. 0s where the platform has no evacuations; the store is then not asked for them."`
	// ColdExcess and ColdSlack bound the statements to a cold target.
	ColdExcess float64 `guard:"yes" default:"0" min:"0" max:"1000" doc:"Multiple of a service's rate for cold targets that one may get, from all VMs together. 0 where the platform bounds no cold targets."`
	ColdSlack  float64 `guard:"yes" default:"0" min:"0" max:"1000000" doc:"Statements that a cold target may get in one second beyond that."`
}

// SystemMetrics configures the listener for metrics.
type SystemMetrics struct {
	Address string `unit:"address" doc:"Address that serves metrics in the Prometheus text format at /metrics."`
}

// SystemStop configures the planned stop.
type SystemStop struct {
	Grace time.Duration `guard:"yes" default:"6s" min:"1s" max:"10m" doc:"Time from the signal to stop until the process is killed."`
}

// minEvacuateWithin leaves half a second for the last statements to an evacuated
// data centre, in addition to the reserve.
const minEvacuateWithin = time.Second

func (s *System) check(c *check) {
	if d := s.Operator.EvacuateWithin; d > 0 && d < minEvacuateWithin && c.allValid("Operator.EvacuateWithin") {
		c.addFinding("Operator.EvacuateWithin", "set it to 0s or to 1s or more", "Operator.EvacuateWithin is %v, which leaves no time for running statements", d)
	}
}
