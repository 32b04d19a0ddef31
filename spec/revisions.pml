/*
 * Model of configuration revisions (internal/cluster/dotterrevision). Operators
 * edit concurrently with compare-and-swap. Replies may be lost, writes may arrive
 * late, and reads may return old values. Processes adopt revisions from the store
 * and from each other.
 *
 * variant: GOOD
 * variant: LOWER expect-fail         a process adopts a lower revision
 * variant: BLIND_WRITE expect-fail   the store is written without compare-and-swap
 * variant: NO_CHANGE_ID expect-fail  a write whose reply was lost is repeated, because the edit is not recognized
 * variant: LATE_STAMP expect-fail    the stamp is raised after the document is written
 * variant: EARLY_REFUSE expect-fail  an edit is refused while an earlier write may still take effect
 */

#define OPERATORS 3
#define PROCESSES 2
#define REVISIONS 4
#define NOBODY OPERATORS

/* Phases of an edit. */
#define READS 0
#define HAS_READ 1
#define WAITS 2
#define MADE 3
#define REFUSED 4
#define UNKNOWN 5
#define HAS_STAMPED 6

byte revision;                    /* of the document in the store */
byte stamp;                       /* highest revision that any edit announced before writing it */
byte author[REVISIONS + 1];       /* operator whose edit created each revision */
byte phase[OPERATORS];
byte read[OPERATORS];             /* revision that the edit is based on */
byte sent[OPERATORS];             /* base revision of the last write plus one; 0: not written yet */
byte write[OPERATORS];            /* revision expected by the write in flight plus one; 0: none */
byte late[OPERATORS];             /* the same for an earlier write that has not arrived yet */
byte current[PROCESSES];          /* revision in force in each process */

/* Whether the document at revision r contains the edit of operator o. */
#define HOLDS(r, o) ((r >= 1 && author[1] == o) || (r >= 2 && author[2] == o) || (r >= 3 && author[3] == o) || (r >= 4 && author[4] == o))
#ifdef NO_CHANGE_ID
#define SEES_OWN(r, o) false
#else
#define SEES_OWN(r, o) HOLDS(r, o)
#endif

/* Whether a refusal based on the document read is final, because no earlier write
   can still take effect. */
#ifdef EARLY_REFUSE
#define MAY_REFUSE(o) (read[o] >= 1)
#else
#define MAY_REFUSE(o) (read[o] >= 1 && read[o] >= sent[o])
#endif

#ifdef BLIND_WRITE
#define MATCHES(expected) true
#else
#define MATCHES(expected) (revision == expected)
#endif

#ifdef LOWER
#define TAKES(p, r) (r != current[p])
#else
#define TAKES(p, r) (r > current[p])
#endif

/* Reads revision r, which may be an old value, but not one older than the base of
   the operator's last write. */
#define READ(o, r) \
	d_step { phase[o] == READS && r <= revision && r + 1 >= sent[o] -> \
		if \
		:: SEES_OWN(r, o) -> phase[o] = MADE; assert(HOLDS(revision, o)) \
		:: else -> read[o] = r; phase[o] = HAS_READ \
		fi }

/* Refuses the edit, because another operator's edit changed the same items. */
#define REFUSE(o) \
	d_step { phase[o] == HAS_READ && MAY_REFUSE(o) -> \
		phase[o] = REFUSED; \
		assert(!HOLDS(revision, o)) }

#ifdef LATE_STAMP
#define MAY_SEND HAS_READ
#define STAMP_LATE stamp = revision
#else
#define MAY_SEND HAS_STAMPED
#define STAMP_LATE skip
#endif
#define RAISE_STAMP(o) \
	d_step { phase[o] == HAS_READ -> \
		if \
		:: stamp <= read[o] -> stamp = read[o] + 1 \
		:: else -> skip \
		fi; \
		phase[o] = HAS_STAMPED }

#define SEND(o) \
	d_step { phase[o] == MAY_SEND -> \
		write[o] = read[o] + 1; \
		sent[o] = read[o] + 1; \
		phase[o] = WAITS }

/* The store applies a write of operator o if its expected revision matches. */
#define APPLY(o, expected) \
	if \
	:: MATCHES(expected) && revision < REVISIONS -> \
		assert(!HOLDS(revision, o)); \
		assert(phase[o] != REFUSED); \
		revision++; \
		author[revision] = o \
	:: else -> skip \
	fi

/* The write arrives at the store, and its reply arrives or is lost. */
#define ANSWERED(o) \
	d_step { phase[o] == WAITS && write[o] > 0 -> \
		if \
		:: MATCHES(write[o] - 1) && revision < REVISIONS -> phase[o] = MADE \
		:: else -> phase[o] = READS \
		fi; \
		APPLY(o, write[o] - 1); \
		write[o] = 0; \
		STAMP_LATE }
#define ANSWER_LOST(o) \
	d_step { phase[o] == WAITS && write[o] > 0 -> \
		APPLY(o, write[o] - 1); \
		write[o] = 0; \
		phase[o] = READS }

/* The operator stops waiting before the write arrives at the store. */
#define TIMEOUT(o) \
	d_step { phase[o] == WAITS && late[o] == 0 -> \
		late[o] = write[o]; \
		write[o] = 0; \
		phase[o] = READS }
#define ARRIVES_LATE(o) \
	d_step { late[o] > 0 -> APPLY(o, late[o] - 1); late[o] = 0 }
#define NEVER_ARRIVES(o) \
	d_step { late[o] > 0 -> late[o] = 0 }

#define GIVE_UP(o) \
	d_step { phase[o] == READS && sent[o] > 0 -> phase[o] = UNKNOWN }

/* A process receives revision r, possibly an old one, from the store or in a
   possibly late message from a peer. */
#define TAKE(p, r) \
	d_step { r <= revision && TAKES(p, r) -> \
		assert(r > current[p]); \
		current[p] = r }

/* A process whose document has the stamp's revision considers it current. */
#define PROVE(p) \
	d_step { current[p] > 0 && current[p] == stamp -> assert(current[p] == revision) }

#define OPERATOR(o) \
	:: READ(o, 0) \
	:: READ(o, 1) \
	:: READ(o, 2) \
	:: READ(o, 3) \
	:: READ(o, 4) \
	:: REFUSE(o) \
	:: RAISE_STAMP(o) \
	:: SEND(o) \
	:: ANSWERED(o) \
	:: ANSWER_LOST(o) \
	:: TIMEOUT(o) \
	:: ARRIVES_LATE(o) \
	:: NEVER_ARRIVES(o) \
	:: GIVE_UP(o)

#define PROCESS(p) \
	:: TAKE(p, 1) \
	:: TAKE(p, 2) \
	:: TAKE(p, 3) \
	:: TAKE(p, 4) \
	:: PROVE(p)

active proctype system() {
	d_step {
		author[1] = NOBODY;
		author[2] = NOBODY;
		author[3] = NOBODY;
		author[4] = NOBODY
	}
end:	do
	OPERATOR(0)
	OPERATOR(1)
	OPERATOR(2)
	PROCESS(0)
	PROCESS(1)
	od
}
