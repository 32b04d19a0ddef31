package dottergenerator

import "context"

// Stream is a flow of requests of one kind.
type Stream struct {
	Kind      string
	PerSecond float64 // mean rate of arrivals
	Send      Sender
}

// Sender sends the request number of a stream and returns its outcome.
type Sender func(ctx context.Context, number int) (outcome string)
