package target

import "strings"

func runBegin(c *session, args []string) (result, error) {
	if c.tx == nil {
		if err := c.begin(true); err != nil {
			return result{}, err
		}
	}
	c.tx.explicit = true
	switch mode := strings.ToLower(args[0]); {
	case strings.HasSuffix(mode, "only"):
		c.tx.readOnly = true
	case strings.HasSuffix(mode, "write"):
		c.tx.readOnly = false
	}
	return result{tag: "BEGIN"}, nil
}

func runCommit(c *session, _ []string) (result, error) {
	if c.tx != nil && c.tx.failed {
		c.endTx()
		return result{tag: "ROLLBACK"}, nil
	}
	return result{tag: "COMMIT"}, c.commit()
}

func runRollback(c *session, _ []string) (result, error) {
	c.endTx()
	return result{tag: "ROLLBACK"}, nil
}

func runSet(c *session, args []string) (result, error) {
	c.settings[args[0]] = args[1]
	return result{tag: "SET"}, nil
}

func runShow(c *session, args []string) (result, error) {
	value, ok := c.settings[args[0]]
	if !ok {
		switch args[0] {
		case "default_transaction_read_only", "transaction_read_only":
			value = "off"
		default:
			return result{}, &sqlError{"42704", "unrecognized configuration parameter " + args[0]}
		}
	}
	return result{"SHOW", [][]string{{value}}}, nil
}

func (c *session) reset(name string) {
	if value, ok := c.defaults[name]; ok {
		c.settings[name] = value
		return
	}
	delete(c.settings, name)
}

func runReset(c *session, args []string) (result, error) {
	if !strings.EqualFold(args[0], "all") {
		c.reset(args[0])
		return result{tag: "RESET"}, nil
	}
	for name := range c.settings {
		c.reset(name)
	}
	return result{tag: "RESET"}, nil
}

func runDiscard(c *session, _ []string) (result, error) {
	if c.tx != nil {
		return result{}, &sqlError{"25001", "DISCARD ALL cannot run inside a transaction block"}
	}
	if _, err := runReset(c, []string{"all"}); err != nil {
		return result{}, err
	}
	clear(c.statements)
	return result{tag: "DISCARD ALL"}, nil
}

func runDeallocate(c *session, args []string) (result, error) {
	name := strings.Trim(args[0], `"`)
	if strings.EqualFold(name, "all") {
		clear(c.statements)
		return result{tag: "DEALLOCATE ALL"}, nil
	}
	delete(c.statements, name)
	return result{tag: "DEALLOCATE"}, nil
}
