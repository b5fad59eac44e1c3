package target

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"siskintray.example/siskin/internal/stand/store"
)

func runInsert(c *session, args []string) (result, error) {
	if _, ok := c.get(args[0]); ok {
		return result{}, store.ErrDuplicate
	}
	c.change(store.Op{Key: args[0], Value: args[1], Insert: true})
	return result{tag: "INSERT 0 1"}, nil
}

func runUpsert(c *session, args []string) (result, error) {
	c.change(store.Op{Key: args[0], Value: args[1]})
	return result{tag: "INSERT 0 1"}, nil
}

func runInsertOrNothing(c *session, args []string) (result, error) {
	if _, ok := c.get(args[0]); ok {
		return result{tag: "INSERT 0 0"}, nil
	}
	return runUpsert(c, args)
}

func runUpdate(c *session, args []string) (result, error) {
	if _, ok := c.get(args[1]); !ok {
		return result{tag: "UPDATE 0"}, nil
	}
	c.change(store.Op{Key: args[1], Value: args[0]})
	return result{tag: "UPDATE 1"}, nil
}

func runDelete(c *session, args []string) (result, error) {
	if _, ok := c.get(args[0]); !ok {
		return result{tag: "DELETE 0"}, nil
	}
	c.change(store.Op{Key: args[0], Delete: true})
	return result{tag: "DELETE 1"}, nil
}

func rows(r [][]string) (result, error) {
	return result{"SELECT " + strconv.Itoa(len(r)), r}, nil
}

func runGet(c *session, args []string) (result, error) {
	v, ok := c.get(args[0])
	if !ok {
		return rows(nil)
	}
	return rows([][]string{{v}})
}

func runScan(c *session, _ []string) (result, error) {
	m := c.table()
	r := make([][]string, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		r = append(r, []string{k, m[k]})
	}
	return rows(r)
}

func runCount(c *session, _ []string) (result, error) {
	return rows([][]string{{strconv.Itoa(len(c.table()))}})
}

func runSeries(_ *session, args []string) (result, error) {
	first, err1 := strconv.Atoi(args[0])
	last, err2 := strconv.Atoi(args[1])
	if err1 != nil || err2 != nil || last-first > 10_000_000 {
		return result{}, &sqlError{stateBadText, "bounds of the series are no numbers or too large"}
	}
	r := make([][]string, 0, max(0, last-first+1))
	for i := first; i <= last; i++ {
		r = append(r, []string{strconv.Itoa(i)})
	}
	return rows(r)
}

func runSleep(c *session, args []string) (result, error) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return result{}, &sqlError{stateBadText, "duration is no number"}
	}
	if !c.srv.sleep(c.ctx, time.Duration(seconds*float64(time.Second))) {
		return result{}, waitCanceled()
	}
	return rows([][]string{{""}})
}

func runConstant(_ *session, args []string) (result, error) { return rows([][]string{{args[0]}}) }
