/*
 * Configuration: two operators change one document by compare-and-swap, with
 * lost answers; three processes adopt documents that they read from the
 * platform, possibly stale, or from each other, and may restart.
 *
 * Names match the Go code: Change, confirm (package config), Adopt
 * (config.Holder), sync (entry.syncWith and agent.sync).
 *
 * Properties:
 *   - of two changes to one generation exactly one is accepted, and no
 *     accepted change is lost;
 *   - a change reported as lost did not take effect;
 *   - the generation in force at a process never falls;
 *   - two processes with the same generation have the same document.
 *
 * Broken variants, which spin must reject:
 *   BROKEN_BLIND_WRITE  operators write without comparing
 *   BROKEN_ADOPT        processes adopt whatever they read
 */

#define OPERATORS 2
#define PROCESSES 3
#define HISTORY 4

/* The document in the platform's service: its generation is its version, and
 * its change is the id of the operator who wrote it (0 is the first one). */
byte generation = 1;
byte change = 0;
/* Who wrote each generation. */
byte written[HISTORY];
bool accepted[OPERATORS];
bool lostRace[OPERATORS];
/* Generation and change in force at each process; 0 before the first. */
byte inForce[PROCESSES];
byte inForceChange[PROCESSES];

inline record() {
	written[generation] = id + 1;
	change = id + 1
}

proctype Operator(byte id) {
	byte base, seen, seenChange;
	bool ok, lost;
	byte back = 0;

	/* Change: read, edit, swap. */
	atomic { base = generation };
	atomic {
		ok = false; lost = false;
#ifdef BROKEN_BLIND_WRITE
		generation = base + 1; record(); ok = true;
#else
		if
		:: generation == base -> generation = base + 1; record(); ok = true
		:: generation == base -> generation = base + 1; record(); ok = true; lost = true
		:: generation != base -> skip
		:: true -> lost = true /* The write never arrived. */
		fi
#endif
	};
	if
	:: ok && !lost -> accepted[id] = true; goto end
	:: else -> skip
	fi;
	/* confirm: the id of the change in the document decides. */
	do
	:: back < 2 ->
		back = back + 1;
		if
		:: true -> skip /* The read failed. */
		:: true -> atomic { seen = generation; seenChange = change };
			if
			:: seenChange == id + 1 -> accepted[id] = true; goto end
			:: seenChange != id + 1 && seen == base + 1 -> lostRace[id] = true; goto end
			:: seenChange != id + 1 && seen > base + 1 && !lost -> lostRace[id] = true; goto end
			:: else -> break /* Reported as unknown. */
			fi
		fi
	:: else -> break
	od;
end:
	/* An accepted change stands in the history; a lost one does not. */
	atomic {
		byte g;
		byte found = 0;
		for (g : 0 .. HISTORY - 1) {
			if
			:: written[g] == id + 1 -> found = found + 1
			:: else -> skip
			fi
		};
		assert(!accepted[id] || found == 1);
		assert(!lostRace[id] || found == 0)
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
		/* One generation is one document, at every process. */
		assert(inForceChange[id] == written[inForce[id]])
}

/* Process goes on for ever: its state is finite. */
proctype Process(byte id) {
	byte g;
	do
	:: atomic { true -> /* A fresh read. */
		g = generation;
		Adopt(g, written[g]);
		g = 0 }
	:: atomic { true -> /* A stale read: any generation that was written. */
		g = 1;
		do
		:: g < generation -> g = g + 1
		:: break
		od;
		Adopt(g, written[g]);
		g = 0 }
	:: atomic { true -> /* sync with another process. */
		g = (id + 1) % PROCESSES;
		Adopt(inForce[g], inForceChange[g]);
		g = 0 }
	:: atomic { inForce[id] != 0 -> /* Restart: a process keeps nothing, and is unready until it adopts. */
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
