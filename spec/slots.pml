/*
 * Slot shares across membership epochs: internal/cluster/dotterslot and
 * dottermember. One slot, whose holder in each epoch is chosen freely.
 *
 * Acknowledging an epoch and closing one only widen what members may do, and no
 * step is ever kept from happening by them. So each happens here as soon as it
 * may, which covers every run in which it happens later or its message is lost.
 *
 * variant: GOOD
 * variant: SKIP_ACK expect-fail      acknowledges while a request is in flight outside its share
 * variant: ANY_ACK expect-fail       takes an acknowledgement from beyond its own epoch
 * variant: LAPSE expect-fail         takes a member whose lease has lapsed for gone
 * variant: EARLY_CLOSE expect-fail   closes an epoch before its holder has let go
 * variant: NO_WAIT expect-fail       uses a slot without waiting for its former holder
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
byte named = 1;                   /* members that have held the slot so far */
byte view[MEMBERS + 1];           /* epoch that each member has adopted; 0: none */
byte acknowledged[MEMBERS + 1];   /* bits: epochs that each member has acknowledged */
bool using[MEMBERS + 1];          /* a request of the member occupies the slot */
bool gone[MEMBERS + 1];           /* the process has ended and the record says so */

/* Whether what member m has in flight fits what it holds in its epoch. */
#ifdef SKIP_ACK
#define FITS(m) true
#else
#define FITS(m) (!using[m] || holder[view[m]] == m)
#endif

/* Whether the holder of epoch e has let go of it for good. */
#ifdef EARLY_CLOSE
#define HAS_LET_GO(e) true
#else
#define HAS_LET_GO(e) (holder[e] == NOBODY || gone[holder[e]] || (acknowledged[holder[e]] & BETWEEN(e, EPOCHS)))
#endif

/* The latest acknowledgement that member m takes. */
#ifdef ANY_ACK
#define LATEST(m) EPOCHS
#else
#define LATEST(m) view[m]
#endif

/* Whether a member may act: LAPSE takes live members for gone. */
#ifdef LAPSE
#define ACTS(m) true
#else
#define ACTS(m) (!gone[m])
#endif

/* Whether epoch e keeps member m from using the slot. A record that m has read
   in its own epoch may show e closed only if it was closed in that epoch or before. */
#define IN_RECORD(m, e) (e < view[m] && !(closedAt[e] > 0 && closedAt[e] <= view[m]))
#define ANOTHER_HELD(m, e) (holder[e] != m && holder[e] != NOBODY)
#define LET_GO(m, e) (gone[holder[e]] || (acknowledged[holder[e]] & BETWEEN(e, LATEST(m))))
#ifdef NO_WAIT
#define PASSES(m, e) true
#else
#define PASSES(m, e) (!IN_RECORD(m, e) || !ANOTHER_HELD(m, e) || LET_GO(m, e))
#endif
#define MAY_USE(m) (view[m] > 0 && holder[view[m]] == m && PASSES(m, 1) && PASSES(m, 2) && PASSES(m, 3))

/* Closes epoch e in the record if it may be closed. */
#define CLOSE(e) \
	if \
	:: e < current && closedAt[e] == 0 && HAS_LET_GO(e) -> closedAt[e] = current \
	:: else -> skip \
	fi
#define CLOSE_ALL CLOSE(1); CLOSE(2); CLOSE(3)

/* Acknowledges the adopted epoch if what is in flight fits. The first epoch has
   none before it. */
#define ACKNOWLEDGE(m) \
	if \
	:: view[m] > 1 && FITS(m) -> acknowledged[m] = acknowledged[m] | BIT(view[m]) \
	:: else -> skip \
	fi

/* Starts the next epoch with holder h: joining, leaving and reclaiming. By
   symmetry members first hold the slot in the order of their numbers. */
#define START_EPOCH(h) \
	d_step { current < EPOCHS && (h == NOBODY || (h <= named && !gone[h])) -> \
		current++; \
		holder[current] = h; \
		if \
		:: h == named && h < NOBODY -> named++ \
		:: else -> skip \
		fi; \
		CLOSE_ALL }

/* Adopts the record of epoch e, the newest or an older one from a peer; epochs may be skipped. */
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

/* The process ends, its requests with it, and the record says so. One that has
   ended unknown to the record is no other than one that is paused for good. */
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
