/*
 * Model of the replication of configuration between entries that forward
 * directly to upstreams. The operator writes versions to the store. Some entries
 * cannot reach the store, reads can be stale, and entries restart and fetch from
 * each other.
 *
 * The names are those of the Go code: poll, compareRevision, fetchSnapshot (package
 * direct), Adopt (rules.Holder).
 *
 * Properties:
 *   - between two restarts the version in force at an entry never decreases;
 *   - no entry has a version that was never written;
 *   - after the last change, once each entry that reaches the store has read it
 *     and all have compared versions, all entries have the newest version.
 *
 * Broken variants, which spin must reject:
 *   BROKEN_ADOPT    entries adopt any version from a peer or a stale read
 *   BROKEN_COMPARE  entries never fetch from a peer that is ahead
 */

#define ENTRIES 3
#define VERSIONS 2

byte written = 1;           /* The newest version in the store. */
byte inForce[ENTRIES];      /* 0: none yet. */
bool unreachable[ENTRIES];  /* The entry cannot reach the store. */
bool changesDone = false;
byte synced = 0;

inline Adopt(me, version) {
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
	/* The last entry never reaches the store. */
	unreachable[me] = (me == ENTRIES - 1);
	do
	/* poll: a listing or a watch of the store, possibly stale. */
	:: !unreachable[me] ->
		atomic {
			if
			:: read = written
			:: written > 1 -> read = written - 1
			fi
		};
		atomic { Adopt(me, read); read = 0 }
	/* fetchSnapshot: reads a peer's version and adopts it in a second step. */
	:: atomic { peer = (me + 1) % ENTRIES; read = inForce[peer]; peer = 0 };
		atomic { Adopt(me, read); read = 0 }
	:: atomic { peer = (me + 2) % ENTRIES; read = inForce[peer]; peer = 0 };
		atomic { Adopt(me, read); read = 0 }
	/* Restart. */
	:: restarts < 1 && !changesDone -> restarts++; inForce[me] = 0
	:: changesDone -> break
	od;
	/* After the last change: one more poll, and one more compareRevision and
	 * fetchSnapshot for each peer. */
	if
	:: !unreachable[me] -> Adopt(me, written)
	:: else -> skip
	fi;
	synced++;
	synced == ENTRIES;
#ifndef BROKEN_COMPARE
	peer = (me + 1) % ENTRIES;
	read = inForce[peer];
	Adopt(me, read);
	peer = (me + 2) % ENTRIES;
	read = inForce[peer];
	Adopt(me, read);
#endif
	assert(inForce[me] == VERSIONS)
}
