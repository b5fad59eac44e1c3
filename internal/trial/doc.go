// Package trial runs the main job on one machine: a platform, a group of
// targets and several VMs in one process, callers that read and write through a
// real client library, and a primary that fails under load.
package trial
