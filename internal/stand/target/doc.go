// Package target is a stand-in for a PostgreSQL target. It speaks the v3
// protocol (simple and extended queries, portals with row limits, COPY in text
// format, cancel requests, cleartext passwords) and keeps everything in memory.
// It has no SQL parser: the statement forms are listed in forms.go, work on one
// table kv (k text primary key, v text) and take literals or parameters. Values
// are text, counts are int8, generate_series and integer constants int4.
//
// # Accounts and slots
//
// Config.User may write and change the group; Config.ReadUser may do neither
// (42501). default_transaction_read_only and read-only transactions refuse
// writes with 25006, and so does a replica. A connection names its slot with
// the start-up option siskin.slot; connections above the configured number in
// a slot are refused with 53300 before they open. Connections without a slot
// are control connections.
//
// # Control functions
//
// All but the view pg_stat_activity return one row. Log positions are text such as 0/16B3748, terms int8,
// truth values the text true or false.
//
//	siskin_status()
//	    id, role (Primary or Replica), claimed_term, claimed_by, stream_term,
//	    last_term, received_lsn, applied_lsn, heard_primary_ms, leaving,
//	    draining, running
//	siskin_wait(term, lsn, ms)
//	    the status, as soon as the stream is of the term and has reached lsn or
//	    is of a later term, or after ms milliseconds
//	siskin_claim(term, vm)
//	    granted, then the status. Granted is true when this call raised the
//	    claimed term. A claimed target takes no log of an older term, and a
//	    claimed primary commits nothing more in its old term.
//	pg_promote()
//	    the status. Error 55000 unless this session made the highest claim.
//	    Promotion writes one record of the new term.
//	siskin_follow(target, address, term)
//	    the status. Error 55000 when the target is claimed for a later term or
//	    is itself the primary of that term. The replication address of a known
//	    target is taken from Config.Peers, else address is used. A demoted primary reports
//	    stream term 0 until its stream begins. Connections that
//	    are open while a primary becomes a replica refuse writes and
//	    siskin_commit_position with 25006 from then on, also when the target is
//	    promoted again: what they wrote may have been discarded.
//	siskin_drain(ms)
//	    the status. For ms milliseconds a primary refuses new transactions of
//	    the full account in slots with 25006, as not run; those in progress go
//	    on. running counts them. 0 ends the pause.
//	siskin_commit_position()
//	    term, lsn: the end of a primary's log, which covers every commit that
//	    the connection has seen. Error 25006 on a replica.
//	pg_stat_activity
//	    known in one form, SELECT pid FROM pg_stat_activity WHERE pid IN (...)
//	    AND state LIKE 'idle%', which returns a row for each session of the same
//	    account that waits for a statement.
//	pg_current_wal_lsn(), pg_last_wal_replay_lsn()
//	    the end of a primary's log; the applied position.
//
// A BEGIN or a first statement that is refused with 25006 because the primary
// drains or is claimed has not run. A COMMIT that is refused with 25006 has
// changed nothing.
//
// # Replication
//
// A replica sends its log's terms and their end positions to the replication
// address of its leader, which answers with the point of divergence and then
// with records (gob over TCP). The replica rewinds to that point and no
// further. Config.LinkDelay delays each record, Config.ApplyLag its
// application.
//
// # Faults
//
// Faults are set with methods of Server or over HTTP at Config.AdminAddress:
// GET /status, GET and POST /faults, POST /cut, POST /silence, POST /restart.
package target
