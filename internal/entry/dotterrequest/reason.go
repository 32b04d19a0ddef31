package dotterrequest

// Reason says why a request was refused or lost, in logs, metrics and error bodies.
type Reason string

// The reasons.
const (
	ReasonNoConfiguration  Reason = "NoConfiguration"
	ReasonUnknownTemplate  Reason = "UnknownTemplate"
	ReasonBadRequest       Reason = "BadRequest"
	ReasonBodyTooLarge     Reason = "BodyTooLarge"
	ReasonMemory           Reason = "Memory"          // too many bytes of bodies are held
	ReasonTooManyRequests  Reason = "TooManyRequests" // too many requests in progress on this host
	ReasonDraining         Reason = "Draining"        // this host is shutting down
	ReasonDomainOut        Reason = "DomainOut"
	ReasonNoServer         Reason = "NoServer"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonWaitTooLong      Reason = "WaitTooLong" // it could not be answered in time
	ReasonDisplaced        Reason = "Displaced"   // a request that goes first took its place in the queue
	ReasonUnreachable      Reason = "Unreachable"
	ReasonServerRefused    Reason = "ServerRefused"
	ReasonAnswerLost       Reason = "AnswerLost"
	ReasonTimedOut         Reason = "TimedOut"
	ReasonCallerGone       Reason = "CallerGone"
	ReasonStoreUnavailable Reason = "StoreUnavailable" // the idempotency key can't be claimed
	ReasonKeyInProgress    Reason = "KeyInProgress"    // the key's first request has no known end
	ReasonKeyReused        Reason = "KeyReused"        // the key was used for another request
	ReasonAnswerNotKept    Reason = "AnswerNotKept"    // the key's answer was too large to be kept
)
