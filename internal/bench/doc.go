// Package bench runs the experiments of "siskintray bench": open-loop load
// against a deployment with the sizes and delays of a profile, with baselines
// in the same run and a verdict on the promises.
package bench
