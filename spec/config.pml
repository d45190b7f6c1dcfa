/*
 * Model of configuration changes: two operators change one document by
 * compare-and-swap, and replies can be lost. Three processes adopt documents
 * that they read from the platform, where reads can be stale, or from each
 * other, and can restart.
 *
 * The names are those of the Go code: Change, confirm (package config), Adopt
 * (config.Holder), sync (entry.syncAgent and agent.sync).
 *
 * Properties:
 *   - of two changes to one generation exactly one is accepted, and no
 *     accepted change is overwritten;
 *   - a change that was reported as a conflict did not take effect;
 *   - the generation in force at a process never decreases;
 *   - two processes with the same generation have the same document.
 *
 * Broken variants, which spin must reject:
 *   BROKEN_BLIND_WRITE  operators write without comparing
 *   BROKEN_ADOPT        processes adopt documents of any generation
 */

#define OPERATORS 2
#define PROCESSES 3
#define HISTORY 4

/* The document in the platform's service. Its generation is also its version;
 * its change is the id of the operator that wrote it, 0 for the initial one. */
byte generation = 1;
byte change = 0;
/* The change id of each generation. */
byte history[HISTORY];
bool accepted[OPERATORS];
bool conflicted[OPERATORS];
/* Generation and change in force at each process; 0: none yet. */
byte inForce[PROCESSES];
byte inForceChange[PROCESSES];

inline record() {
	history[generation] = id + 1;
	change = id + 1
}

proctype Operator(byte id) {
	byte base, seen, seenChange;
	bool ok, replyLost;
	byte attempts = 0;

	/* Change: read, edit, swap. */
	atomic { base = generation };
	atomic {
		ok = false; replyLost = false;
#ifdef BROKEN_BLIND_WRITE
		generation = base + 1; record(); ok = true;
#else
		if
		:: generation == base -> generation = base + 1; record(); ok = true
		:: generation == base -> generation = base + 1; record(); ok = true; replyLost = true
		:: generation != base -> skip
		:: true -> replyLost = true /* The request was lost. */
		fi
#endif
	};
	if
	:: ok && !replyLost -> accepted[id] = true; goto end
	:: else -> skip
	fi;
	/* confirm: the change id in the document shows which write succeeded. */
	do
	:: attempts < 2 ->
		attempts = attempts + 1;
		if
		:: true -> skip /* The read failed. */
		:: true -> atomic { seen = generation; seenChange = change };
			if
			:: seenChange == id + 1 -> accepted[id] = true; goto end
			:: seenChange != id + 1 && seen == base + 1 -> conflicted[id] = true; goto end
			:: seenChange != id + 1 && seen > base + 1 && !replyLost -> conflicted[id] = true; goto end
			:: else -> break /* The outcome is reported as unknown. */
			fi
		fi
	:: else -> break
	od;
end:
	/* An accepted change is in the history; one with a conflict is not. */
	atomic {
		byte g;
		byte found = 0;
		for (g : 0 .. HISTORY - 1) {
			if
			:: history[g] == id + 1 -> found = found + 1
			:: else -> skip
			fi
		};
		assert(!accepted[id] || found == 1);
		assert(!conflicted[id] || found == 0)
	}
}

inline Adopt(g, c) {
		if
#ifdef BROKEN_ADOPT
		:: true -> assert(g >= inForce[id]); inForce[id] = g; inForceChange[id] = c
#else
		:: g > inForce[id] -> inForce[id] = g; inForceChange[id] = c
		:: else -> skip
#endif
		fi;
		/* A generation has the same document at every process. */
		assert(inForceChange[id] == history[inForce[id]])
}

/* Process never ends, but has finitely many states. */
proctype Process(byte id) {
	byte g;
	do
	:: atomic { true -> /* A fresh read. */
		g = generation;
		Adopt(g, history[g]);
		g = 0 }
	:: atomic { true -> /* A stale read: any generation written so far. */
		g = 1;
		do
		:: g < generation -> g = g + 1
		:: break
		od;
		Adopt(g, history[g]);
		g = 0 }
	:: atomic { true -> /* sync with another process. */
		g = (id + 1) % PROCESSES;
		Adopt(inForce[g], inForceChange[g]);
		g = 0 }
	:: atomic { inForce[id] != 0 -> /* Restart: the process loses its document and is not ready until it adopts one. */
		inForce[id] = 0;
		inForceChange[id] = 0 }
	od
}

init {
	atomic {
		run Operator(0);
		run Operator(1);
		run Process(0);
		run Process(1);
		run Process(2)
	}
}
