// Package dotterstandstore serves the stand-in's key-value store over HTTP.
//
// The store itself is a dottermemory.Store. A Server counts every call by kind
// and by client before anything can go wrong with it, then applies the faults
// that are switched on: cuts of single clients, outages, delays, and answers
// that get lost after the change has taken effect.
package dotterstandstore
