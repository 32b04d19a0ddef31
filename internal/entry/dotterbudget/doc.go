// Package dotterbudget limits how many requests are sent more than once.
//
// Each first sending of a request adds a fraction of a retry to the budget, and
// each retry or hedge deducts a whole one. Retries therefore stay a fixed share
// of the load however many servers fail, and can't turn a fault into an overload.
package dotterbudget
