// Package dotterbudget bounds the requests that are sent more than once.
//
// Each request that is sent for the first time earns a fraction of a retry; each
// retry or hedge spends a whole one. So these stay a fixed part of the load
// however many servers fail, and don't turn a fault into an overload.
package dotterbudget
