package dotterrequest

// Reason says why a request was refused or its answer lost. It appears in logs,
// metrics and error bodies.
type Reason string

// Reasons for refusals.
const (
	ReasonNoConfiguration  Reason = "NoConfiguration"
	ReasonUnknownTemplate  Reason = "UnknownTemplate"
	ReasonBadRequest       Reason = "BadRequest"
	ReasonBodyTooLarge     Reason = "BodyTooLarge"
	ReasonMemory           Reason = "Memory"          // the memory for request bodies on this host is used up
	ReasonTooManyRequests  Reason = "TooManyRequests" // too many requests in progress on this host
	ReasonDraining         Reason = "Draining"        // this host is shutting down
	ReasonDomainOut        Reason = "DomainOut"
	ReasonNoServer         Reason = "NoServer"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonWaitTooLong      Reason = "WaitTooLong" // no slot would be free, or became free, in time
	ReasonDisplaced        Reason = "Displaced"   // evicted from the full queue by a request that goes before it
	ReasonUnreachable      Reason = "Unreachable"
	ReasonServerRefused    Reason = "ServerRefused"
	ReasonAnswerLost       Reason = "AnswerLost"
	ReasonServersLost      Reason = "ServersLost" // several servers closed the connection instead of answering; it is not sent to more
	ReasonTimedOut         Reason = "TimedOut"
	ReasonCallerGone       Reason = "CallerGone"
	ReasonStoreUnavailable Reason = "StoreUnavailable" // the idempotency key can't be claimed
	ReasonKeyInProgress    Reason = "KeyInProgress"    // the outcome of the key's first request is not known
	ReasonKeyReused        Reason = "KeyReused"        // the key was used for another request
	ReasonAnswerNotKept    Reason = "AnswerNotKept"    // the key's request ran, but its answer was too large to store
)
