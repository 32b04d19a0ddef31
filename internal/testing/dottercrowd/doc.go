// Package dottercrowd tests a cluster of real daemons beside clients that do not behave: they
// send requests without end, do not read their answers, or open as many connections as they can.
//
// A test checks that the daemons live, stay within their memory and descriptors, and serve
// ordinary callers. It measures processes, so that it must run apart from other load: `make crowds`.
package dottercrowd
