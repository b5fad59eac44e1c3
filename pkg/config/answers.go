package config

// Answers are the answers of a team to the questionnaire: one service and the
// customers that use it. Revisions and the customers' Services are empty, and
// target ids may be empty.
type Answers struct {
	Service   Service
	Customers []Customer
}
