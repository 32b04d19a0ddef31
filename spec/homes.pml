/*
 * Model of a task that is handed over between shards (internal/job/dotterboard,
 * dotterhead and server/dotterscheduler). There are two shards with one worker each and
 * one long-running task. Owners are replaced at any time; a replaced owner goes on with
 * what it remembers until it tries to commit.
 *
 * A commit that takes effect although its answer is lost is the same as one whose owner
 * is replaced before it acts on the answer, and is therefore not modelled separately.
 *
 * variant: GOOD
 * variant: TWO_WRITES expect-fail      stores the transfer before the task's removal
 * variant: KEEP_TRANSFER expect-fail   absorbs a transfer without deleting it
 * variant: NO_HEAD expect-fail         commits without expecting the head
 * variant: NO_FENCE expect-fail        a successor releases a binding without raising the epoch on the worker
 * variant: NO_SEAL expect-fail         releases an unanswered start that was not ruled out by a stop
 */

#define EPOCHS 3

/* What an owner remembers of the task. */
#define ABSENT 0
#define WAITING 1
#define BOUND 2
#define INHERITED 3   /* bound by a predecessor */
#define LEAVING 4     /* only in variant TWO_WRITES */

#define OWNER(s, e) ((s) * (EPOCHS + 1) + (e))

byte head[2];         /* epoch of each shard's head */
bool present[2];      /* the task is stored among those of the shard */
bool transfer[2];     /* a transfer of the task to the shard is stored */
bool bound[2];        /* a binding to the shard's worker is stored */
byte fence[2];        /* highest epoch that the shard's worker has seen */
bool running[2];      /* the task runs on the shard's worker */
bool ended[2];        /* the worker lists the end of the run */
byte memory[8];       /* by owner */
bool ordered[8];      /* by owner: a start order is on its way */

#ifdef NO_HEAD
#define COMMITS(s, e) true
#else
#define COMMITS(s, e) (head[s] == e)
#endif

#ifdef TWO_WRITES
#define ONE_PLACE true
#else
#define ONE_PLACE (present[0] + present[1] + transfer[0] + transfer[1] == 1)
#endif

#define TAKE_OVER(s) \
	d_step { head[s] < EPOCHS -> \
		head[s]++; \
		if \
		:: present[s] && bound[s] -> memory[OWNER(s, head[s])] = INHERITED \
		:: present[s] && !bound[s] -> memory[OWNER(s, head[s])] = WAITING \
		:: else -> memory[OWNER(s, head[s])] = ABSENT \
		fi }

/* Stores a binding; the start order is sent once it is stored. */
#define BIND(s, e) \
	d_step { e <= head[s] && memory[OWNER(s, e)] == WAITING && COMMITS(s, e) -> \
		bound[s] = true; \
		memory[OWNER(s, e)] = BOUND; \
		ordered[OWNER(s, e)] = true }

/* A start order arrives at the worker, perhaps late. */
#define ARRIVE(s, e) \
	d_step { ordered[OWNER(s, e)] -> \
		ordered[OWNER(s, e)] = false; \
		if \
		:: fence[s] <= e -> \
			fence[s] = e; \
			running[s] = true; \
			assert(running[0] + running[1] <= 1) \
		:: else -> skip \
		fi }

#define END(s) \
	d_step { running[s] -> \
		running[s] = false; \
		ended[s] = true }

/* Stores the effects of an end. */
#define NOTE_END(s, e) \
	d_step { e <= head[s] && memory[OWNER(s, e)] == BOUND && ended[s] && COMMITS(s, e) -> \
		ended[s] = false; \
		bound[s] = false; \
		memory[OWNER(s, e)] = WAITING }

/* Releases the binding of a start without an answer, after a stop has ruled it out. */
#define SEAL(s, e) \
	d_step { e <= head[s] && memory[OWNER(s, e)] == BOUND && !running[s] && !ended[s] && COMMITS(s, e) -> \
		SEALED(s, e); \
		bound[s] = false; \
		memory[OWNER(s, e)] = WAITING }
#ifdef NO_SEAL
#define SEALED(s, e) skip
#else
#define SEALED(s, e) ordered[OWNER(s, e)] = false
#endif

/* A successor hears from the worker for the first time. */
#define INHERIT(s, e) \
	d_step { e <= head[s] && memory[OWNER(s, e)] == INHERITED && fence[s] <= e && COMMITS(s, e) -> \
		RAISE(s, e); \
		if \
		:: running[s] || ended[s] -> memory[OWNER(s, e)] = BOUND \
		:: else -> bound[s] = false; memory[OWNER(s, e)] = WAITING \
		fi }
#ifdef NO_FENCE
#define RAISE(s, e) skip
#else
#define RAISE(s, e) fence[s] = e
#endif

#ifdef TWO_WRITES
#define HAND_OVER(s, e) \
	d_step { e <= head[s] && memory[OWNER(s, e)] == WAITING && COMMITS(s, e) -> \
		transfer[1 - s] = true; \
		memory[OWNER(s, e)] = LEAVING } \
	:: d_step { e <= head[s] && memory[OWNER(s, e)] == LEAVING && COMMITS(s, e) -> \
		present[s] = false; \
		memory[OWNER(s, e)] = ABSENT }
#else
#define HAND_OVER(s, e) \
	d_step { e <= head[s] && memory[OWNER(s, e)] == WAITING && COMMITS(s, e) -> \
		present[s] = false; \
		transfer[1 - s] = true; \
		memory[OWNER(s, e)] = ABSENT; \
		assert(ONE_PLACE) }
#endif

#ifdef KEEP_TRANSFER
#define APPLIED(s) skip
#else
#define APPLIED(s) transfer[s] = false
#endif

#define ABSORB(s, e) \
	d_step { e <= head[s] && transfer[s] && memory[OWNER(s, e)] == ABSENT && COMMITS(s, e) -> \
		APPLIED(s); \
		present[s] = true; \
		memory[OWNER(s, e)] = WAITING; \
		assert(ONE_PLACE) }

#define ACT(s, e) \
	:: BIND(s, e) \
	:: ARRIVE(s, e) \
	:: NOTE_END(s, e) \
	:: SEAL(s, e) \
	:: INHERIT(s, e) \
	:: HAND_OVER(s, e) \
	:: ABSORB(s, e)

active proctype system() {
	present[0] = true;
end:	do
	:: TAKE_OVER(0)
	:: TAKE_OVER(1)
	:: END(0)
	:: END(1)
	ACT(0, 1)
	ACT(0, 2)
	ACT(0, 3)
	ACT(1, 1)
	ACT(1, 2)
	ACT(1, 3)
	od
}
