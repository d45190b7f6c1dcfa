/*
 * Relay of configuration between entries that forward straight to upstreams:
 * the operator writes versions to the store; the store turns some entries away,
 * reads may be stale, entries restart and fetch from each other.
 *
 * Names match the Go code: follow, adopt (direct), compare, fetch
 * (direct/peers.go), Adopt (rules.Holder).
 *
 * Properties:
 *   - within one lifetime the version in force at an entry never falls;
 *   - no entry has a version that was never written;
 *   - once nobody is turned away any more and all have compared, all entries
 *     have the newest version.
 *
 * Broken variants, which spin must reject:
 *   BROKEN_ADOPT    entries adopt whatever a peer or a stale read holds
 *   BROKEN_COMPARE  entries never ask a peer that knows more
 */

#define ENTRIES 3
#define VERSIONS 2

byte written = 1;       /* The newest version in the store. */
byte inForce[ENTRIES];  /* 0 before the first. */
bool away[ENTRIES];     /* The store turns the entry away. */
bool changesDone = false;
byte settled = 0;

inline adopt(me, version) {
	if
#ifdef BROKEN_ADOPT
	:: version > 0 ->
		assert(version >= inForce[me]);
		inForce[me] = version
#else
	:: version > inForce[me] -> inForce[me] = version
#endif
	:: else -> skip
	fi;
	assert(inForce[me] <= written)
}

active proctype Operator() {
	do
	:: written < VERSIONS -> written++
	:: written == VERSIONS -> break
	od;
	changesDone = true
}

active [ENTRIES] proctype Entry() {
	byte me = _pid - 1;
	byte peer;
	byte read;
	byte restarts = 0;
	/* The last entry is never served by the store. */
	away[me] = (me == ENTRIES - 1);
	do
	/* follow: a list or a watch, possibly of an older state. */
	:: !away[me] ->
		atomic {
			if
			:: read = written
			:: written > 1 -> read = written - 1
			fi
		};
		atomic { adopt(me, read); read = 0 }
	/* fetch: what a peer holds, sent before and adopted now. */
	:: atomic { peer = (me + 1) % ENTRIES; read = inForce[peer]; peer = 0 };
		atomic { adopt(me, read); read = 0 }
	:: atomic { peer = (me + 2) % ENTRIES; read = inForce[peer]; peer = 0 };
		atomic { adopt(me, read); read = 0 }
	/* A restart begins a new lifetime. */
	:: restarts < 1 && !changesDone -> restarts++; inForce[me] = 0
	:: changesDone -> break
	od;
	/* Calm: one more read from the store, then one more comparison each. */
	if
	:: !away[me] -> adopt(me, written)
	:: else -> skip
	fi;
	settled++;
	settled == ENTRIES;
#ifndef BROKEN_COMPARE
	peer = (me + 1) % ENTRIES;
	read = inForce[peer];
	adopt(me, read);
	peer = (me + 2) % ENTRIES;
	read = inForce[peer];
	adopt(me, read);
#endif
	assert(inForce[me] == VERSIONS)
}
