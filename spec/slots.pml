/*
 * Model of slot shares across membership epochs (internal/cluster/dotterslot and
 * dottermember). There is one slot, and its holder in each epoch is chosen
 * nondeterministically.
 *
 * Acknowledging or closing an epoch only extends what members may do and never
 * disables a step. The model therefore performs both as early as possible, which
 * covers every run in which they happen later or their messages are lost.
 *
 * variant: GOOD
 * variant: SKIP_ACK expect-fail      acknowledges while a request is in flight outside its share
 * variant: ANY_ACK expect-fail       accepts an acknowledgement of an epoch later than its own
 * variant: LAPSE expect-fail         treats a member as gone because its lease has expired
 * variant: EARLY_CLOSE expect-fail   closes an epoch before its holder has released it
 * variant: NO_WAIT expect-fail       uses a slot without waiting for its previous holder
 */

#define MEMBERS 3
#define EPOCHS 4
#define NOBODY MEMBERS

#define BIT(e) (1 << (e))
/* The epochs above low and at most high. */
#define BETWEEN(low, high) (BIT((high) + 1) - BIT((low) + 1))

byte current = 1;                 /* epoch of the record in the store */
byte holder[EPOCHS + 1];          /* who holds the slot in each epoch */
byte closedAt[EPOCHS + 1];        /* the record's epoch when an epoch was closed; 0: open */
byte named = 1;                   /* number of members that have held the slot so far */
byte view[MEMBERS + 1];           /* epoch that each member has adopted; 0: none */
byte acknowledged[MEMBERS + 1];   /* bit set of the epochs that each member has acknowledged */
bool using[MEMBERS + 1];          /* a request of the member occupies the slot */
bool gone[MEMBERS + 1];           /* the process has exited and the record marks it as gone */

/* Whether the requests of member m in flight are within its share in its epoch. */
#ifdef SKIP_ACK
#define FITS(m) true
#else
#define FITS(m) (!using[m] || holder[view[m]] == m)
#endif

/* Whether the holder of the slot in epoch e has released it for good. */
#ifdef EARLY_CLOSE
#define HAS_LET_GO(e) true
#else
#define HAS_LET_GO(e) (holder[e] == NOBODY || gone[holder[e]] || (acknowledged[holder[e]] & BETWEEN(e, EPOCHS)))
#endif

/* The latest epoch whose acknowledgement member m accepts. */
#ifdef ANY_ACK
#define LATEST(m) EPOCHS
#else
#define LATEST(m) view[m]
#endif

/* Whether a member can act. In variant LAPSE, members marked as gone may be alive. */
#ifdef LAPSE
#define ACTS(m) true
#else
#define ACTS(m) (!gone[m])
#endif

/* Whether epoch e prevents member m from using the slot. The record that m has
   read shows e as closed only if it was closed in the epoch of m or earlier. */
#define IN_RECORD(m, e) (e < view[m] && !(closedAt[e] > 0 && closedAt[e] <= view[m]))
#define ANOTHER_HELD(m, e) (holder[e] != m && holder[e] != NOBODY)
#define LET_GO(m, e) (gone[holder[e]] || (acknowledged[holder[e]] & BETWEEN(e, LATEST(m))))
#ifdef NO_WAIT
#define PASSES(m, e) true
#else
#define PASSES(m, e) (!IN_RECORD(m, e) || !ANOTHER_HELD(m, e) || LET_GO(m, e))
#endif
#define MAY_USE(m) (view[m] > 0 && holder[view[m]] == m && PASSES(m, 1) && PASSES(m, 2) && PASSES(m, 3))

/* Closes epoch e in the record if its holder has released the slot. */
#define CLOSE(e) \
	if \
	:: e < current && closedAt[e] == 0 && HAS_LET_GO(e) -> closedAt[e] = current \
	:: else -> skip \
	fi
#define CLOSE_ALL CLOSE(1); CLOSE(2); CLOSE(3)

/* Acknowledges the adopted epoch if the requests in flight are within its share.
   The first epoch needs no acknowledgement, because no epoch precedes it. */
#define ACKNOWLEDGE(m) \
	if \
	:: view[m] > 1 && FITS(m) -> acknowledged[m] = acknowledged[m] | BIT(view[m]) \
	:: else -> skip \
	fi

/* Starts the next epoch with holder h, as joining, leaving and reclaiming do.
   Members are interchangeable, so they first hold the slot in the order of their
   numbers. */
#define START_EPOCH(h) \
	d_step { current < EPOCHS && (h == NOBODY || (h <= named && !gone[h])) -> \
		current++; \
		holder[current] = h; \
		if \
		:: h == named && h < NOBODY -> named++ \
		:: else -> skip \
		fi; \
		CLOSE_ALL }

/* Adopts the record of epoch e, which may be an older one from a peer. Epochs may be skipped. */
#define ADOPT(m, e) \
	d_step { ACTS(m) && view[m] < e && e <= current -> \
		view[m] = e; \
		ACKNOWLEDGE(m); \
		CLOSE_ALL }

/* Sends a request. */
#define TAKE(m) \
	d_step { ACTS(m) && !using[m] && MAY_USE(m) -> \
		using[m] = true; \
		assert(using[0] + using[1] + using[2] <= 1) }

/* The request ends. */
#define RELEASE(m) \
	d_step { using[m] -> \
		using[m] = false; \
		ACKNOWLEDGE(m); \
		CLOSE_ALL }

/* The process and its requests end, and the record marks it as gone. A process
   that has ended without being marked is equivalent to one paused forever. */
#ifdef LAPSE
#define DIE(m) d_step { !gone[m] -> gone[m] = true; CLOSE_ALL }
#else
#define DIE(m) d_step { !gone[m] -> gone[m] = true; using[m] = false; CLOSE_ALL }
#endif

#define MEMBER(m) \
	:: ADOPT(m, 1) \
	:: ADOPT(m, 2) \
	:: ADOPT(m, 3) \
	:: ADOPT(m, 4) \
	:: TAKE(m) \
	:: RELEASE(m) \
	:: DIE(m)

active proctype system() {
end:	do
	:: START_EPOCH(0)
	:: START_EPOCH(1)
	:: START_EPOCH(2)
	:: START_EPOCH(NOBODY)
	MEMBER(0)
	MEMBER(1)
	MEMBER(2)
	od
}
