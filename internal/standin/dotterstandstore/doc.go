// Package dotterstandstore serves the stand-in's key-value store over HTTP.
//
// The data is kept in a dottermemory.Store. A Server counts every call by kind
// and by client, including calls that fail, and injects the configured faults:
// network partitions of individual clients, outages, delays, and answers that
// are lost after the change has taken effect.
package dotterstandstore
