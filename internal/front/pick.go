package front

import (
	"math/rand/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/token"
)

// requirements are the conditions that a transaction sets for its target.
type requirements struct {
	route *config.Route
	floor siskin.Position
	dc    siskin.DataCentreID
	// tried holds the targets of earlier attempts.
	tried []siskin.TargetID
}

// pickTarget chooses the target of the next attempt. It returns false when no
// known target can serve the transaction at present.
func pickTarget(service *config.Service, view *siskin.GroupView, n requirements, intN func(int) int) (config.Target, bool) {
	best, bestCost, ties := -1, maxCost, 0
	for i := range service.Targets {
		cost := n.cost(&service.Targets[i], view)
		switch {
		case cost >= maxCost || cost > bestCost:
			continue
		case cost < bestCost:
			best, bestCost, ties = i, cost, 1
		default:
			ties++
			if intN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return config.Target{}, false
	}
	return service.Targets[best], true
}

// Costs of a target, from the least important one. A target that was tried is
// used again only when there is no other. After the first attempt, a read that
// no replica can serve without waiting goes to the primary.
const (
	costOtherDataCentre = 1
	costBehind          = 2
	costPrimary         = 4
	costTried           = 8
	maxCost             = 16
)

func (n *requirements) cost(t *config.Target, view *siskin.GroupView) int {
	state, known := view.Target(t.ID)
	isPrimary := t.ID == view.Primary
	if n.route.Mode == config.WriteRoute {
		if !isPrimary || !known || !state.Reachable {
			return maxCost
		}
		return 0
	}
	if !known || !state.Reachable || state.Status.Leaving {
		return maxCost
	}
	cost := 0
	if t.DataCentre != n.dc {
		cost += costOtherDataCentre
	}
	for _, id := range n.tried {
		if id == t.ID {
			cost += costTried
		}
	}
	if isPrimary {
		return cost + costPrimary
	}
	if age := n.route.MaxAge.Std(); age > 0 {
		if state.Staleness < 0 || state.Staleness > age {
			return maxCost
		}
		return cost
	}
	if !token.CanServe(&state.Status, n.floor) {
		cost += costBehind
		if len(n.tried) > 0 {
			cost += costPrimary // an earlier attempt has already waited for a replica
		}
	}
	return cost
}

// pickSlot chooses a slot of the target. One that this VM owns saves a network
// hop and is preferred.
func pickSlot(topology Topology, service *config.Service, target config.Target) (slot siskin.Slot, vm siskin.VM, local, ok bool) {
	start := rand.IntN(max(service.Slots, 1))
	for i := range service.Slots {
		s := siskin.Slot((start + i) % service.Slots)
		home, isLocal, known := topology.Home(target, s)
		if known && (isLocal || !ok) {
			slot, vm, local, ok = s, home, isLocal, true
		}
		if isLocal {
			break
		}
	}
	return slot, vm, local, ok
}
