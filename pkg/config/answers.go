package config

// Answers are what a team answered in the questionnaire: one service and the
// customers that use it. Revisions and the customers' Services are left empty;
// the ids of targets may be.
type Answers struct {
	Service   Service
	Customers []Customer
}
