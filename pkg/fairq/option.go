package fairq

import "time"

// Option changes a setting of a Queue.
type Option func(*settings)

type settings struct {
	maxPerCustomer int
	maxTotal       int
	maxWait        time.Duration
	reserve        int
	maxRetryAfter  time.Duration
}

// reserveWindow is how long the reserve applies after a request of another
// customer. A customer that is alone for longer may use every place.
const reserveWindow = time.Second

func defaultSettings(places int) settings {
	return settings{
		maxPerCustomer: 8 * places,
		maxTotal:       32 * places,
		maxWait:        5 * time.Second,
		reserve:        max(1, places/4),
	}
}

// WithMaxPerCustomer limits the number of waiting requests of one customer. The
// default is 8 times the number of places.
func WithMaxPerCustomer(n int) Option { return func(s *settings) { s.maxPerCustomer = n } }

// WithMaxTotal limits the total number of waiting requests. The default is 32
// times the number of places.
func WithMaxTotal(n int) Option { return func(s *settings) { s.maxTotal = n } }

// WithMaxWait limits the time that a request waits. The default is 5 s.
func WithMaxWait(d time.Duration) Option { return func(s *settings) { s.maxWait = d } }

// WithMaxRetryAfter spreads the times to retry of refused requests over the
// starts of their customer, once requests of several classes have come. A
// refusal for which the time would be later than d states none. Without this
// option, the times are not spread.
func WithMaxRetryAfter(d time.Duration) Option { return func(s *settings) { s.maxRetryAfter = d } }

// WithReserve sets the number of places that a customer which already uses more
// than half of them must leave free while other customers are active. Running
// requests cannot be interrupted, so without a reserve one customer with slow
// statements makes the others wait for the end of a slow statement. The
// default is a quarter of the places: with an eighth of 16 places and statements
// 8 times as slow as the others', the p99 of the others grew by 30%, with a
// quarter by 16%.
func WithReserve(n int) Option { return func(s *settings) { s.reserve = n } }
