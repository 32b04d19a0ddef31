// variant: GOOD
// variant: STARTED_BEFORE_LOGGED expect-fail
// variant: SEGMENTS_RECREATED expect-fail
// variant: TAKEOVER_IGNORES_UNREACHABLE expect-fail
// variant: LOST_ANSWER_TAKEN_AS_WRITTEN expect-fail
//
// The attempt log of one shard (internal/task): two owners, one repeatable task,
// two workers, a ring of two segments.
//
// Modelled: the log as a ring of fixed keys written by compare-and-swap against
// the version that the writer read there; takeover at any moment, also while
// the other owner is paused between any two steps (each owner is a process that
// the other may overtake anywhere, and one that wakes goes on with what it
// had read); answers of the store lost after the write took effect or without
// effect, resolved by reading back; attempts named in the log before they start; starts under way
// for any time, or lost, and refused by epoch; workers cut off from one owner
// and not from the other; inventory at a raised epoch; ends kept by the worker
// until they are logged.
// Not modelled: clocks and leases (what a lapsed lease proves is assumed), room,
// checkpoints, handing over between shards, several tasks in one segment,
// carrying forward (each segment states the whole state instead).
//
// Carried by: claim and write: dottershardlog Open, Write, resolve; reserve:
// dotterowner reserve, start; inventory: dotterowner inventoried, settleAbsent;
// end: dotterowner logEnd.

#define OWNERS 2
#define WORKERS 2
#define RING 2
#define MAXNUMBER 6      /* segments written */
#define MAXATTEMPT 2
#define MAXEPOCH 3

#define IDLE 0           /* the task waits */
#define BOUND 1          /* an attempt is logged, its end is not */
#define ENDED 2          /* done */

/* The ring in the store: what each key holds and its version. */
typedef Segment {
	byte version;        /* 0: absent */
	byte number;
	byte epoch;
	byte writer;
	byte state;
	byte attempt;
	byte worker
}
Segment ring[RING];

/* Workers. */
byte seen[WORKERS];      /* highest epoch */
byte running[WORKERS];   /* attempt that runs, 0: none */
byte finished[WORKERS];  /* attempt that ended and isn't acknowledged, 0: none */
bool cut[4];             /* cut[owner*WORKERS+worker] */
byte everRan[3];         /* starts of each attempt */

/* One start under way, to arrive at any time or never. */
bool sent;
byte sentWorker, sentAttempt, sentEpoch;

inline runs(w, a) {
	assert(running[0] == 0 && running[1] == 0);  /* one place at a time */
	assert(everRan[a] == 0);                     /* an attempt starts once */
	everRan[a]++;
	running[w] = a
}

/* arrive lets a start reach its worker, which refuses older epochs and
   ignores one that it knows. */
inline arrive(w, a, e) {
	if
	:: e < seen[w] -> skip
	:: else ->
		seen[w] = e;
		if
		:: running[w] == a || finished[w] == a -> skip
		:: else -> runs(w, a)
		fi
	fi
}

proctype Network() {
end:
	do
	:: atomic { sent -> sent = false; arrive(sentWorker, sentAttempt, sentEpoch) }
	:: atomic { sent -> sent = false }
	:: atomic { running[0] != 0 -> finished[0] = running[0]; running[0] = 0 }
	:: atomic { running[1] != 0 -> finished[1] = running[1]; running[1] = 0 }
	od
}

/* Changes of the network between owners and workers: one cut may come and go. */
proctype Cuts() {
	byte i;
	atomic { select(i : 0 .. 3); cut[i] = true }
	atomic { cut[i] = false }
}

/* write puts the owner's state into the next segment. ok tells whether it got in. */
inline write() {
	k = (number + 1) % RING;
	atomic {
		if
		:: number >= MAXNUMBER -> ok = false
#ifdef SEGMENTS_RECREATED
		/* Create if absent, after deleting the segment before it: the version that
		   was read plays no part. */
		:: number < MAXNUMBER && ring[k].version == 0 ->
			ring[k].version = 1;
			ring[k].number = number + 1; ring[k].epoch = epoch; ring[k].writer = me;
			ring[k].state = state; ring[k].attempt = attempt; ring[k].worker = worker;
			ring[(k + 1) % RING].version = 0;
			number++;
			ok = true
		:: number < MAXNUMBER && ring[k].version != 0 -> ok = false
#else
		:: number < MAXNUMBER && ring[k].version == version[k] ->
			ring[k].version++;
			ring[k].number = number + 1; ring[k].epoch = epoch; ring[k].writer = me;
			ring[k].state = state; ring[k].attempt = attempt; ring[k].worker = worker;
			if
			:: version[k] = ring[k].version; number++; ok = true
			:: ok = false; lost = true       /* the answer is lost */
			fi
		:: number < MAXNUMBER && ring[k].version == version[k] ->
			ok = false; lost = true          /* no effect and no answer */
		:: number < MAXNUMBER && ring[k].version != version[k] -> ok = false
#endif
		fi
	};
	if
	:: lost ->
		/* Read back and compare the writer and the number. */
		atomic {
			lost = false;
#ifdef LOST_ANSWER_TAKEN_AS_WRITTEN
			version[k]++; number++; ok = true;
#endif
			if
#ifdef LOST_ANSWER_TAKEN_AS_WRITTEN
			:: ok -> skip
#endif
			:: !ok && ring[k].writer == me && ring[k].epoch == epoch && ring[k].number == number + 1 ->
				version[k] = ring[k].version; number++; ok = true
			:: else -> skip
			fi
		}
	:: else -> skip
	fi
}

proctype Owner(byte me) {
	byte number, epoch, state, attempt, worker, k, i;
	byte version[RING];
	byte phase;          /* of the bound attempt: 0 unknown, 1 never sent, 2 sent */
	bool ok, lost;

claim:
	if
	:: epoch >= MAXEPOCH -> goto done
	:: else -> skip
	fi;
	d_step {
		/* Read the whole ring. */
		number = 0; epoch = 0; state = IDLE; attempt = 0; worker = 0;
		i = 0;
		do
		:: i < RING ->
			version[i] = ring[i].version;
			if
			:: ring[i].version != 0 && ring[i].number > number ->
				number = ring[i].number; epoch = ring[i].epoch; state = ring[i].state;
				attempt = ring[i].attempt; worker = ring[i].worker
			:: else -> skip
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		epoch++;
		phase = 0
	};
	if
	:: epoch > MAXEPOCH -> goto done
	:: else -> skip
	fi;
	write();
	if
	:: !ok -> goto retry
	:: else -> skip
	fi;

work:
	if
	:: state == ENDED -> goto done
	:: state == IDLE && attempt >= MAXATTEMPT -> goto done
	:: state == IDLE && attempt < MAXATTEMPT ->
		/* Reserve the next attempt on a worker that the owner reaches. */
		if
		:: worker = 0
		:: worker = 1
		fi;
		atomic {
			if
			:: cut[me * WORKERS + worker] -> goto work
			:: else -> if :: epoch > seen[worker] -> seen[worker] = epoch :: else -> skip fi
			fi
		};
		if
		:: seen[worker] > epoch -> goto retry
		:: else -> skip
		fi;
		attempt++; state = BOUND; phase = 1;
#ifdef STARTED_BEFORE_LOGGED
		atomic { if :: !sent -> sent = true; sentWorker = worker; sentAttempt = attempt; sentEpoch = epoch :: else -> skip fi };
		phase = 2;
#endif
		write();
		if
		:: !ok -> goto retry
		:: else -> skip
		fi
	:: state == BOUND && phase == 1 ->
		/* Send the start. */
		atomic {
			if
			:: !sent -> sent = true; sentWorker = worker; sentAttempt = attempt; sentEpoch = epoch; phase = 2
			:: else -> goto work
			fi
		}
	:: state == BOUND && phase != 1 ->
		/* Ask the worker. */
		atomic {
			if
#ifdef TAKEOVER_IGNORES_UNREACHABLE
			:: cut[me * WORKERS + worker] && phase == 0 -> ok = true; i = 1
#else
			:: cut[me * WORKERS + worker] -> ok = false; i = 0
#endif
			:: !cut[me * WORKERS + worker] && seen[worker] > epoch -> ok = false; i = 2
			:: !cut[me * WORKERS + worker] && seen[worker] <= epoch ->
				ok = true;
				i = 0;
				if
				:: finished[worker] == attempt -> i = 3
				:: running[worker] == attempt -> i = 0; phase = 2
				:: finished[worker] != attempt && running[worker] != attempt ->
					/* Never started; a start of an older epoch can't come in any more. */
					if
					:: seen[worker] < epoch && phase == 0 -> phase = 1
					:: seen[worker] == epoch && phase == 0 -> phase = 1
					:: else -> skip
					fi
				fi;
				seen[worker] = epoch
			fi
		};
		if
		:: i == 2 -> goto retry
		:: i == 1 ->
			/* Broken: taken for ended. */
			i = 0; state = IDLE; write();
			if :: !ok -> goto retry :: else -> skip fi
		:: i == 3 ->
			/* Log the end, either final or to be tried again; then acknowledge. */
			i = 0;
			if
			:: state = IDLE
			:: state = ENDED
			fi;
			write();
			if
			:: !ok -> goto retry
			:: else -> skip
			fi;
			atomic {
				if
				:: !cut[me * WORKERS + worker] && seen[worker] == epoch && finished[worker] == attempt -> finished[worker] = 0
				:: else -> skip
				fi
			}
		:: else -> skip
		fi
	fi;
	goto work;

retry:
	/* Deposed, or the write could not be made: read again, or give up. */
	if
	:: goto claim
	:: goto done
	fi;
done:
	skip
}

init {
	atomic {
		run Network();
		run Cuts();
		run Owner(0);
		run Owner(1)
	}
}
