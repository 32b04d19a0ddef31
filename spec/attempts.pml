// variant: GOOD
// variant: STARTED_BEFORE_LOGGED expect-fail
// variant: SEGMENTS_RECREATED expect-fail
// variant: TAKEOVER_IGNORES_UNREACHABLE expect-fail
// variant: LOST_ANSWER_TAKEN_AS_WRITTEN expect-fail
//
// Model of the attempt log of one task shard (internal/task): two owners, one
// repeatable task, two workers, a ring buffer of two segments.
//
// Modelled:
// - The log is a ring of fixed keys. Each write is a compare-and-swap against the
//   version that the writer last read from the key.
// - An owner may take over at any moment, also while the other owner is paused
//   between any two steps. An owner that resumes continues with the state it had
//   read before.
// - The store's reply to a write may be lost, whether or not the write took
//   effect. The writer resolves this by reading the segment back.
// - An attempt is recorded in the log before it is started.
// - A start command may be delayed arbitrarily or lost. A worker refuses start
//   commands of an older epoch.
// - A worker may be unreachable for one owner and reachable for the other.
// - A new owner queries the workers' inventory with a raised epoch.
// - A worker keeps the end of an attempt until the owner has logged it.
//
// Not modelled: clocks and leases (the conclusions drawn from an expired lease
// are assumed to hold), worker capacity, checkpoints, moving tasks between
// shards, several tasks in one segment, and carrying entries forward to newer
// segments (here each segment holds the whole state).
//
// Implemented by: claim and write in dottershardlog (Open, Write, resolve);
// reserve in dotterowner (reserve, start); inventory in dotterowner
// (handleInventory, resolveAbsent); end in dotterowner (logEnd).

#define OWNERS 2
#define WORKERS 2
#define RING 2
#define MAXNUMBER 6      /* limit of segments written */
#define MAXATTEMPT 2
#define MAXEPOCH 3

#define IDLE 0           /* no attempt is in progress */
#define BOUND 1          /* an attempt is logged, but not its end */
#define ENDED 2          /* the task is done */

/* The ring of keys in the store, each with its content and version. */
typedef Segment {
	byte version;        /* 0: the key does not exist */
	byte number;
	byte epoch;
	byte writer;
	byte state;
	byte attempt;
	byte worker
}
Segment ring[RING];

/* Workers. */
byte seen[WORKERS];      /* highest epoch that the worker has received */
byte running[WORKERS];   /* running attempt, 0: none */
byte finished[WORKERS];  /* ended attempt that is not yet acknowledged, 0: none */
bool cut[4];             /* cut[owner*WORKERS+worker]: the owner cannot reach the worker */
byte everRan[3];         /* number of starts of each attempt */

/* One start command in transit, which may arrive at any time or never. */
bool sent;
byte sentWorker, sentAttempt, sentEpoch;

inline runs(w, a) {
	assert(running[0] == 0 && running[1] == 0);  /* at most one attempt runs at a time */
	assert(everRan[a] == 0);                     /* an attempt starts at most once */
	everRan[a]++;
	running[w] = a
}

/* arrive delivers a start command to its worker, which refuses older epochs and
   ignores an attempt that it already has. */
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

/* Network partitions: one link between an owner and a worker may fail and recover. */
proctype Cuts() {
	byte i;
	atomic { select(i : 0 .. 3); cut[i] = true }
	atomic { cut[i] = false }
}

/* write writes the owner's state to the next segment and sets ok if it succeeded. */
inline write() {
	k = (number + 1) % RING;
	atomic {
		if
		:: number >= MAXNUMBER -> ok = false
#ifdef SEGMENTS_RECREATED
		/* Create the key if it does not exist and delete the other segment. The
		   version read earlier is not compared. */
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
			:: ok = false; lost = true       /* took effect, but the reply is lost */
			fi
		:: number < MAXNUMBER && ring[k].version == version[k] ->
			ok = false; lost = true          /* no effect, and the reply is lost */
		:: number < MAXNUMBER && ring[k].version != version[k] -> ok = false
#endif
		fi
	};
	if
	:: lost ->
		/* Read the segment back and compare its writer, epoch and number. */
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
	byte phase;          /* start command of the logged attempt: 0 unknown, 1 never sent, 2 sent */
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
		/* Reserve the next attempt on a worker that the owner can reach. */
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
		/* Send the start command. */
		atomic {
			if
			:: !sent -> sent = true; sentWorker = worker; sentAttempt = attempt; sentEpoch = epoch; phase = 2
			:: else -> goto work
			fi
		}
	:: state == BOUND && phase != 1 ->
		/* Query the worker's inventory. */
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
					/* Never started, and the worker will refuse a start command of an older epoch. */
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
			/* Assume that the attempt has ended, although the worker cannot be reached. */
			i = 0; state = IDLE; write();
			if :: !ok -> goto retry :: else -> skip fi
		:: i == 3 ->
			/* Log the end, as final or to be retried, and then acknowledge it. */
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
	/* Another owner has taken over, or the write failed: read the ring again, or give up. */
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
