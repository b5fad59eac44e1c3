package siskin

// CustomerID identifies one customer. Keys, rate limits and fair shares are
// assigned per customer.
type CustomerID string

// KeyID identifies one key of a customer. It is public; the key itself is
// secret.
type KeyID string
