// Package quest asks the questionnaire that new teams fill in instead of
// writing configuration. Answers come from a terminal or from an INI file; they
// are checked one by one and then as a whole, and a refusal names the question
// and the remedy. Nothing is applied here: the result is a config.Change.
package quest
