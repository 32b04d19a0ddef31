// Package dottergenerator generates open-loop load.
//
// A Stream is a sequence of requests of one kind whose arrivals follow a Poisson
// process with a fixed seed; an arrival does not wait for earlier responses. A
// Generator runs several streams concurrently and limits the duration, the number of
// requests and the number of outstanding requests.
package dottergenerator
