package target

import "github.com/jackc/pgx/v5/pgtype"

var forms []*form

// init fills forms; a variable initializer would be a cycle through run.
func init() {
	text := []uint32{oidText, oidText}
	kv := []column{{"k", oidText}, {"v", oidText}}
	forms = []*form{
		{pattern: pattern(`{?:begin|start transaction}{?: work| transaction}?{?: isolation level [a-z ]+?}?{ read only| read write}?`), control: true, run: runBegin},
		{pattern: pattern(`{?:commit|end}{?: work| transaction}?`), control: true, run: runCommit},
		{pattern: pattern(`{?:rollback|abort}{?: work| transaction}?`), control: true, run: runRollback},
		{pattern: pattern(`set{?: session| local}? {[\w.]+}{?:=| to }'?{.*?}'?`), control: true, run: runSet},
		{pattern: pattern(`show {[\w.]+}`), control: true, columns: []column{{"setting", oidText}}, run: runShow},
		{pattern: pattern(`reset {[\w.]+}`), control: true, run: runReset},
		{pattern: pattern(`discard all`), control: true, run: runDiscard},
		{pattern: pattern(`deallocate{?: prepare}? {\w+|"[^"]+"}`), control: true, run: runDeallocate},

		{pattern: pattern(`insert into kv{?:(k, v)}? values(TEXT,TEXT)`), args: text, write: true, run: runInsert},
		{pattern: pattern(`insert into kv{?:(k, v)}? values(TEXT,TEXT) on conflict(k) do update set v=excluded\.v`), args: text, write: true, run: runUpsert},
		{pattern: pattern(`insert into kv{?:(k, v)}? values(TEXT,TEXT) on conflict{?:(k)}? do nothing`), args: text, write: true, run: runInsertOrNothing},
		{pattern: pattern(`update kv set v=TEXT where k=TEXT`), args: text, write: true, run: runUpdate},
		{pattern: pattern(`delete from kv where k=TEXT`), args: text, write: true, run: runDelete},
		{pattern: pattern(`select v from kv where k=TEXT`), args: text, columns: kv[1:], run: runGet},
		{pattern: pattern(`select k, v from kv{?: order by k}?`), columns: kv, run: runScan},
		{pattern: pattern(`select count(\*) from kv`), columns: []column{{"count", oidInt8}}, run: runCount},
		{pattern: pattern(`select generate_series(INT, INT)`), args: []uint32{oidInt4, oidInt4}, columns: []column{{"generate_series", oidInt4}}, run: runSeries},
		{pattern: pattern(`select pg_sleep(FRAC)`), args: []uint32{pgtype.Float8OID}, columns: []column{{"pg_sleep", oidText}}, run: runSleep},
		{pattern: pattern(`select {-?\d+}{?: as \w+}?`), columns: []column{{"?column?", oidInt4}}, run: runConstant},
		{pattern: pattern(`select TEXT{?: as \w+}?`), args: text, columns: []column{{"?column?", oidText}}, run: runConstant},
		copyIn, copyOut,

		{pattern: pattern(`select{?: \* from}? siskin_status()`), control: true, columns: statusColumns, run: runStatus},
		{pattern: pattern(`select{?: \* from}? siskin_wait(INT, TEXT, INT)`), args: []uint32{oidInt8, oidText, oidInt8}, control: true, columns: statusColumns, run: runWait},
		{pattern: pattern(`select{?: \* from}? siskin_claim(INT, TEXT)`), args: []uint32{oidInt8, oidText}, control: true, privileged: true, columns: claimColumns, run: runClaim},
		{pattern: pattern(`select{?: \* from}? pg_promote()`), control: true, privileged: true, columns: statusColumns, run: runPromote},
		{pattern: pattern(`select{?: \* from}? siskin_drain(INT)`), args: []uint32{oidInt8}, control: true, privileged: true, columns: statusColumns, run: runDrain},
		{pattern: pattern(`select{?: \* from}? siskin_follow(TEXT, TEXT, INT)`), args: []uint32{oidText, oidText, oidInt8}, control: true, privileged: true, columns: statusColumns, run: runFollow},
		{pattern: pattern(`select{?: \* from}? siskin_commit_position()`), control: true, columns: []column{{"term", oidInt8}, {"lsn", oidText}}, run: runPosition},
		{pattern: pattern(`select pid from pg_stat_activity where pid in({[\d, ]+}) and state like 'idle%'`), control: true, columns: []column{{"pid", oidInt4}}, run: runIdle},
		{pattern: pattern(`select pg_current_wal_lsn()`), control: true, columns: []column{{"pg_current_wal_lsn", oidText}}, run: runCurrentLSN},
		{pattern: pattern(`select pg_last_wal_replay_lsn()`), control: true, columns: []column{{"pg_last_wal_replay_lsn", oidText}}, run: runReplayLSN},
	}
}

// copyIn and copyOut exchange messages with the client and are run by the
// session itself.
var (
	copyIn  = &form{pattern: pattern(`copy kv{?:(k, v)}? from stdin`), write: true}
	copyOut = &form{pattern: pattern(`copy kv{?:(k, v)}? to stdout`)}
)
