// Package quota is the ledger of what teams use of their guarantees and limits: the set of
// attempts of each team that may be on machines. Every start of a task, on an own machine or on
// another controller's, reserves its resources here first. They are released only with
// evidence that the attempt cannot be on a machine any more.
//
// What a team uses is known only to the controller that owns the team, and only once that has
// read the records of its assignment. Until then the ledger refuses every start.
//
// The types are not safe for concurrent use: the scheduler's lock guards them.
package quota
