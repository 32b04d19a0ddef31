/*
 * Model of the allotments of one tenant's cap (internal/job/dotterboard and
 * internal/placement/dotterquota). There are two shards; the cap is that of two tasks, and each
 * shard begins with a part for one. Owners are replaced at any time; a replaced owner goes on with
 * what it remembers until it tries to commit.
 *
 * A commit that takes effect although its answer is lost is the same as one whose owner
 * is replaced before it acts on the answer, and is therefore not modelled separately.
 *
 * variant: GOOD
 * variant: TWO_WRITES expect-fail   writes the grant before it lowers its own part
 * variant: KEEP_GRANT expect-fail   applies a grant without deleting it
 * variant: NO_HEAD expect-fail      commits without expecting the head
 * variant: GIVE_USED expect-fail    gives a part that its own runs use
 */

#define EPOCHS 3
#define WHOLE 2

#define OWNER(s, e) ((s) * (EPOCHS + 1) + (e))

byte head[2];     /* epoch of each shard's head */
byte part[2];     /* stored part of each shard */
byte grant[2];    /* stored grants to each shard, not applied */
byte use[2];      /* stored bindings, each of which may run */
byte mine[8];     /* by owner: its part, with the grants that it has read */
byte used[8];     /* by owner: bindings that it knows */
byte applied[8];  /* by owner: grants that it has read and not deleted */
bool giving[8];   /* only in variant TWO_WRITES: the grant is written */

#ifdef NO_HEAD
#define COMMITS(s, e) true
#else
#define COMMITS(s, e) (head[s] == e)
#endif

#define CHECK \
	assert(use[0] + use[1] <= WHOLE); \
	assert(part[0] + part[1] + grant[0] + grant[1] <= WHOLE)

#define TAKE_OVER(s) \
	d_step { head[s] < EPOCHS -> \
		head[s]++; \
		mine[OWNER(s, head[s])] = part[s]; \
		used[OWNER(s, head[s])] = use[s] }

/* Each commit stores the owner's part and deletes the grants that it has applied. */
#ifdef KEEP_GRANT
#define DELETED(s, e) skip
#else
#define DELETED(s, e) grant[s] = grant[s] - applied[OWNER(s, e)]
#endif
#define STORE(s, e) \
	part[s] = mine[OWNER(s, e)]; \
	DELETED(s, e); \
	applied[OWNER(s, e)] = 0

/* Reads a grant; its part may be used at once. */
#define READ(s, e) \
	d_step { e <= head[s] && grant[s] > applied[OWNER(s, e)] && mine[OWNER(s, e)] < WHOLE -> \
		applied[OWNER(s, e)]++; \
		mine[OWNER(s, e)]++ }

#define COMMIT(s, e) \
	d_step { e <= head[s] && applied[OWNER(s, e)] > 0 && COMMITS(s, e) -> \
		STORE(s, e); \
		CHECK }

/* Stores a binding; a binding may be stored before the part that it uses. */
#define BIND(s, e) \
	d_step { e <= head[s] && used[OWNER(s, e)] < mine[OWNER(s, e)] && COMMITS(s, e) -> \
		used[OWNER(s, e)]++; \
		use[s]++; \
		CHECK }

/* Stores the end of a run. An earlier owner does not learn of it. */
#define END(s, e) \
	d_step { e == head[s] && used[OWNER(s, e)] > 0 && use[s] > 0 -> \
		used[OWNER(s, e)]--; \
		use[s]-- }

#ifdef GIVE_USED
#define UNUSED(s, e) (mine[OWNER(s, e)] > 0)
#else
#define UNUSED(s, e) (used[OWNER(s, e)] < mine[OWNER(s, e)])
#endif

#ifdef TWO_WRITES
#define GIVE(s, e) \
	d_step { e <= head[s] && UNUSED(s, e) && !giving[OWNER(s, e)] && COMMITS(s, e) -> \
		grant[1 - s]++; \
		giving[OWNER(s, e)] = true; \
		mine[OWNER(s, e)]-- } \
	:: d_step { e <= head[s] && giving[OWNER(s, e)] && COMMITS(s, e) -> \
		giving[OWNER(s, e)] = false; \
		STORE(s, e) }
#else
#define GIVE(s, e) \
	d_step { e <= head[s] && UNUSED(s, e) && COMMITS(s, e) -> \
		mine[OWNER(s, e)]--; \
		grant[1 - s]++; \
		STORE(s, e); \
		CHECK }
#endif

#define ACT(s, e) \
	:: READ(s, e) \
	:: COMMIT(s, e) \
	:: BIND(s, e) \
	:: END(s, e) \
	:: GIVE(s, e)

active proctype system() {
	part[0] = 1;
	part[1] = 1;
end:	do
	:: TAKE_OVER(0)
	:: TAKE_OVER(1)
	ACT(0, 1)
	ACT(0, 2)
	ACT(0, 3)
	ACT(1, 1)
	ACT(1, 2)
	ACT(1, 3)
	od
}
