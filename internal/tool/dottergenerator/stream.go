package dottergenerator

import "context"

// Stream is a sequence of requests of one kind.
type Stream struct {
	Kind      string
	PerSecond float64 // mean arrival rate
	Send      Sender
}

// Sender sends the request with the given number in its stream and returns the outcome.
type Sender func(ctx context.Context, number int) (outcome string)
