package target

import (
	"crypto/rand"
	"crypto/subtle"
	"maps"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// slotOption is the start-up option that names the slot of a connection.
const slotOption = "siskin.slot"

// startUp authenticates the client. It reports true when the connection is
// ready for queries; it is then counted in its slot.
func (c *session) startUp() bool {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil || c.gate() != nil {
			return false
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.srv.cancelStatement(msg.ProcessID, msg.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			return c.open(msg.Parameters)
		default:
			return false
		}
	}
}

func (c *session) open(parameters map[string]string) bool {
	if err := c.authenticate(parameters["user"], parameters["database"]); err != nil {
		return c.refuse(err)
	}
	if name, ok := parameters[slotOption]; ok {
		slot, err := strconv.Atoi(name)
		if err != nil || slot < 0 || slot >= c.srv.cfg.Slots {
			return c.refuse(&sqlError{stateProtocol, "slot " + name + " does not exist"})
		}
		c.slot = slot
	}
	if !c.srv.stats.enter(c.slot, c.srv.cfg.ConnectionsPerSlot) {
		return c.refuse(&sqlError{stateTooMany, "too many connections in the slot"})
	}
	c.defaults = parameters
	maps.Copy(c.settings, parameters)
	if !c.srv.sleep(c.ctx, c.srv.cfg.OpenTime.Std()) || !c.greet() {
		c.srv.stats.leave(c.slot)
		return false
	}
	return true
}

func (c *session) refuse(err error) bool {
	c.backend.Send(toSQLError(err).response("FATAL"))
	_ = c.flush() // the connection ends in any case
	return false
}

// authenticate asks for the password of one of the two accounts.
func (c *session) authenticate(user, database string) error {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.flush(); err != nil {
		return err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return err
	}
	answer, ok := msg.(*pgproto3.PasswordMessage)
	cfg := &c.srv.cfg
	want := cfg.Password
	c.full = user == cfg.User
	if !c.full {
		want = cfg.ReadPassword
	}
	known := c.full || user == cfg.ReadUser
	if !ok || !known || subtle.ConstantTimeCompare([]byte(answer.Password), []byte(want)) != 1 {
		return &sqlError{statePassword, "password authentication failed"}
	}
	if database != cfg.Database {
		return &sqlError{"3D000", "database does not exist"}
	}
	return nil
}

// greet ends the start-up.
func (c *session) greet() bool {
	c.secret = make([]byte, 4)
	_, _ = rand.Read(c.secret) // never fails
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0 (siskintray stand-in)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", c.settings["application_name"]},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
		if _, ok := c.settings[p[0]]; !ok {
			c.settings[p[0]] = p[1]
		}
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	return c.ready() == nil
}

// cancelStatement cancels the statement in progress of another connection.
func (s *Server) cancelStatement(id uint32, secret []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.sessions[id]
	if !ok || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return
	}
	if cancel := c.statement.Load(); cancel != nil {
		(*cancel)()
	}
}
