// Package objapi is a stand-in for the platform: objects with versions and
// conditional updates, watches by long poll, and a list of VMs that lags.
//
// All bodies are JSON with Pascal-case names. A value is base64 text, as
// encoding/json writes a byte slice. Every call counts against the budget of
// Config.CallsPerSecond; a call above it gets status 429 with a Retry-After
// header in seconds.
//
//	GET /Objects/{Name}
//	    200 {"Name", "Version", "Operation", "Value", "Recent": [{"Operation", "Version"}]}
//	    An object that does not exist has Version 0. Recent holds the last 16
//	    updates, oldest first, so that a writer whose answer was lost can tell
//	    whether its update took effect even when a later writer replaced it.
//	GET /Objects/{Name}?After=7&WaitMs=20000
//	    200 as above as soon as Version is larger than After.
//	    204 when WaitMs passed. While it waits, the server sends a space every
//	    second as a sign of life, so the status is then 200 and the body is
//	    "null" in place of 204.
//	    503 when Config.MaxWatches watches wait already.
//	GET /Objects?Prefix=Config/&From=Config/Shard/10
//	    200 {"Objects": [...], "Next"} ordered by name. Next is the From of the
//	    next page and empty on the last one. A page holds about 4 MB of values.
//	PUT /Objects/{Name} {"Value", "IfVersion", "Operation"}
//	    200 {"Version"}
//	    409 {"Version", "Recent"} when the present version is not IfVersion.
//	    413 when the value is larger than 1 MB.
//	GET /VMs
//	    200 {"VMs": [{"ID", "Incarnation", "DataCentre", "PeerAddress", "State"}]}
//	    State is Live, Leaving or Gone. Gone is final.
//
// The admin address serves the same API outside of budget and faults, and:
//
//	GET /Faults, PUT /Faults   {"DelayMs", "Refuse", "LoseNext", "LoseShare", "Silent"}
//	POST /SilenceOpen          silences the open connections; new ones work
//	PUT /VMs                   {"ID", "Incarnation", "DataCentre", "PeerAddress", "State"}
//	GET /Stats                 {"Calls": {...}, "OverBudget", "Waiting", "MaxWaiting"}
package objapi
