package front

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/memory"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/config"
)

// session is one client connection after its start-up began.
type session struct {
	srv    *Server
	conn   net.Conn
	finish func() // closes the connection and removes it from the server
	r      *frame.Reader
	w      *frame.Writer
	id     uint16
	secret [4]byte

	service       siskin.ServiceName
	route         siskin.RouteName
	grant         siskin.KeyGrant // zero when the caller sent no key
	floor         siskin.Position // lowest position that the next read must reflect
	floorKnown    bool            // floor includes all writes acknowledged before the session
	stmts         statements
	batch         frame.Batch
	rewritten     []byte // rewritten messages that are sent next
	rewrittenHead frame.Header
	memory        memory.Hold // of rewritten
	last          byte        // type of the last message consumed
	answer        answerState
	request       uint64 // id of the transaction, zero before it has one

	mu       sync.Mutex
	idle     bool
	deadline time.Time // deadline of the transaction, zero when idle
	endErr   *siskin.Error
	executor relay.Executor // of the transaction in progress
}

func newSession(s *Server, conn net.Conn) *session {
	return &session{
		srv: s, conn: conn, r: frame.NewReader(conn), w: frame.NewWriter(conn), secret: newSecret(),
	}
}

// configure applies the start-up parameters.
func (c *session) configure(params map[string]string) error {
	settings, err := parseOptions(params["options"])
	if err != nil {
		return err
	}
	for _, name := range [...]string{routeSetting, tokenSetting} {
		if v, ok := params[name]; ok {
			settings[name] = v
		}
	}
	service, route, _ := splitDatabase(params["database"])
	c.service, c.route = siskin.ServiceName(service), siskin.RouteName(route)
	if v, ok := settings[routeSetting]; ok {
		c.route = siskin.RouteName(v)
	}
	if _, _, err := c.lookup(); err != nil {
		return err
	}
	if v := settings[tokenSetting]; v != "" {
		return c.setToken(v)
	}
	return nil
}

// splitDatabase splits a database name at its last slash into service and
// route.
func splitDatabase(database string) (service, route string, ok bool) {
	for i := len(database) - 1; i >= 0; i-- {
		if database[i] == '/' {
			return database[:i], database[i+1:], true
		}
	}
	return database, "", false
}

// lookup returns the session's service and route in the current configuration.
func (c *session) lookup() (*config.Service, *config.Route, error) {
	service, ok := c.srv.cfg.Config.Service(c.service)
	if ok {
		if route, ok := service.Route(c.route); ok {
			return service, route, nil
		}
	}
	return nil, nil, siskin.NewError(siskin.UnknownRoute, "service %q has no route %q", c.service, c.route).
		WithRemedy("connect to a database named service/route that the configuration has")
}

func (c *session) setToken(text string) error {
	floor, err := c.srv.cfg.Tokens.Verify(c.service, []byte(text))
	if err != nil {
		return err
	}
	c.floor, c.floorKnown = floor, true
	return nil
}

// logRequest returns the log fields that identify the session's transaction.
func (c *session) logRequest() logs.Request {
	return logs.Request{ID: c.request, Service: c.service, Route: c.route, Customer: c.grant.Customer}
}

// completeStartup sends the server's parameters, the cancel key and
// ReadyForQuery.
func (c *session) completeStartup() error {
	for _, p := range [...][2]string{
		{"server_version", "16.0 (siskintray)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		if err := c.w.Message(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]}); err != nil {
			return err
		}
	}
	id := uint32(VMHash(c.srv.cfg.VM))<<16 | uint32(c.id)
	if err := c.w.Message(&pgproto3.BackendKeyData{ProcessID: id, SecretKey: c.secret[:]}); err != nil {
		return err
	}
	return c.ready()
}

func (c *session) ready() error {
	if err := c.w.Message(&pgproto3.ReadyForQuery{TxStatus: 'I'}); err != nil {
		return err
	}
	return c.w.Flush()
}
