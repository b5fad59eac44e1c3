// Package labcmd implements the commands that run stand-ins, trials and
// experiments.
package labcmd

import "siskintray.example/siskin/internal/cmds"

// Specs returns the commands of the package.
func Specs() []cmds.Spec {
	return []cmds.Spec{
		{Name: "try", Short: "run the main job on this machine and judge it", Long: tryHelp, New: func() cmds.Runner { return new(try) }},
		{Name: "bench", Short: "run an experiment", Long: benchHelp(), New: func() cmds.Runner { return new(bench) }},
		{Name: "standin platform", Short: "run a stand-in of the platform", Long: standinPlatformHelp, New: func() cmds.Runner { return new(standinPlatform) }},
		{Name: "standin target", Short: "run a stand-in of a target", Long: standinTargetHelp, New: func() cmds.Runner { return new(standinTarget) }},
		{Name: "standin fleet", Short: "run all stand-ins of a profile", Long: standinFleetHelp, New: func() cmds.Runner { return new(standinFleet) }},
	}
}
