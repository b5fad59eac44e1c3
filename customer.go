package siskin

// CustomerID names one customer, the unit of keys, rates and fair share.
type CustomerID string

// KeyID names one key of a customer. It is public; the key itself is not.
type KeyID string
