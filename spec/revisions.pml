/*
 * Configuration revisions: internal/cluster/dotterrevision. Operators race each
 * other by compare-and-swap; answers are lost, writes arrive late, reads answer
 * old values; processes take revisions from the store and from each other.
 *
 * variant: GOOD
 * variant: LOWER expect-fail         a process takes a lower revision
 * variant: BLIND_WRITE expect-fail   the store is written without comparing
 * variant: NO_CHANGE_ID expect-fail  a write whose answer was lost is repeated unseen
 * variant: LATE_STAMP expect-fail    the stamp is raised after the document is written
 * variant: EARLY_REFUSE expect-fail  an edit is refused while an earlier write may still land
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
byte stamp;                       /* highest revision that an edit was about to write */
byte author[REVISIONS + 1];       /* whose edit made each revision */
byte phase[OPERATORS];
byte read[OPERATORS];             /* revision that the edit is being made on */
byte sent[OPERATORS];             /* one above the revision on which it was last written; 0: not yet */
byte write[OPERATORS];            /* one above the revision that the write in flight expects; 0: none */
byte late[OPERATORS];             /* the same for an earlier write that is still on its way */
byte current[PROCESSES];          /* revision in force in each process */

/* Whether the document of a revision holds the edit of operator o. */
#define HOLDS(r, o) ((r >= 1 && author[1] == o) || (r >= 2 && author[2] == o) || (r >= 3 && author[3] == o) || (r >= 4 && author[4] == o))
#ifdef NO_CHANGE_ID
#define SEES_OWN(r, o) false
#else
#define SEES_OWN(r, o) HOLDS(r, o)
#endif

/* Whether a refusal on the document read is final: no earlier write can land. */
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

/* Reads revision r, the newest or an old value, but none older than the last write's base. */
#define READ(o, r) \
	d_step { phase[o] == READS && r <= revision && r + 1 >= sent[o] -> \
		if \
		:: SEES_OWN(r, o) -> phase[o] = MADE; assert(HOLDS(revision, o)) \
		:: else -> read[o] = r; phase[o] = HAS_READ \
		fi }

/* Another operator's change touches the same items. */
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

/* The store carries out a write of operator o that expects a revision. */
#define APPLY(o, expected) \
	if \
	:: MATCHES(expected) && revision < REVISIONS -> \
		assert(!HOLDS(revision, o)); \
		assert(phase[o] != REFUSED); \
		revision++; \
		author[revision] = o \
	:: else -> skip \
	fi

/* The write is carried out; its answer arrives, or is lost. */
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

/* The operator stops waiting while the write is still on its way. */
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

/* A process is offered revision r by the store, old values included, or by a
   peer, late messages included. */
#define TAKE(p, r) \
	d_step { r <= revision && TAKES(p, r) -> \
		assert(r > current[p]); \
		current[p] = r }

/* A process whose document bears the stamp's revision takes it for current. */
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
