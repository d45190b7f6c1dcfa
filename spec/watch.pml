/*
 * Model of the entries that follow those that watch the store. The operator writes a
 * new version at any time. Watchers read the store, may stop at any time, and send
 * messages with their version and the time at which the store confirmed it; messages
 * arrive late, out of order or not at all. A follower takes the confirmation over if
 * its copy is as new, fetches the watcher's copy if it is older, and reads the store
 * itself when its confirmation is FRESH ticks old.
 *
 * The names are those of the Go code: poll, compareRevision, fetchSnapshot, followFor,
 * confirm (package direct). The order of a change and of the store's answer is that of
 * the store.
 *
 * Property: a version that was written more than FRESH ticks ago is in the follower's
 * copy, whatever the watchers do.
 *
 * Broken variants, which spin must reject:
 *   BROKEN_BEHIND  the confirmation is taken over though the copy is older
 *   BROKEN_AGE     the confirmation counts from the arrival of the message
 *   BROKEN_FOLLOW  the follower never reads the store itself
 */

#define WATCHERS 2
#define FRESH 2
#define TICKS 6

byte now = 1;
byte written = 1;        /* The newest version in the store. */
byte changedAt = 0;      /* When version 2 was written; 0 if it was not. */
byte version[WATCHERS];  /* The watchers' copies, */
byte confirmed[WATCHERS]; /* and when the store last confirmed each. */
/* The message on its way from each watcher. */
byte sentVersion[WATCHERS];
byte sentConfirmed[WATCHERS];
byte followerVersion = 1;
byte followerConfirmed = 1;

active proctype Operator() {
	do
	:: atomic { written == 1 && now < TICKS -> written = 2; changedAt = now; break }
	:: now >= TICKS -> break
	od
}

active [WATCHERS] proctype Watcher() {
	byte me = _pid - 1;
	do
	/* poll: the store answers with its newest version. */
	:: atomic { version[me] = written; confirmed[me] = now }
	/* A message leaves; one that is still on its way is lost. */
	:: atomic { sentVersion[me] = version[me]; sentConfirmed[me] = confirmed[me] }
	/* Killed, cut off from the store, or turned away by it. */
	:: break
	:: now >= TICKS -> break
	od
}

/* compareRevision: handles the message of a watcher. */
inline compareRevision(from) {
	if
	:: sentVersion[from] > followerVersion ->
		/* fetchSnapshot: the watcher's copy of this moment. */
		if
		:: version[from] > followerVersion -> followerVersion = version[from]
		:: else -> skip
		fi;
#ifdef BROKEN_BEHIND
		if
		:: true -> followerVersion = 1 /* The fetch failed. */
		:: true -> skip
		fi;
		if
		:: sentConfirmed[from] > followerConfirmed -> followerConfirmed = sentConfirmed[from]
		:: else -> skip
		fi
#endif
	:: else ->
#ifdef BROKEN_AGE
		followerConfirmed = now
#else
		if
		:: sentConfirmed[from] > followerConfirmed -> followerConfirmed = sentConfirmed[from]
		:: else -> skip
		fi
#endif
	fi
}

active proctype Follower() {
	do
	:: atomic { now < TICKS && sentVersion[0] > 0 -> compareRevision(0) }
	:: atomic { now < TICKS && sentVersion[1] > 0 -> compareRevision(1) }
	:: now >= TICKS -> break
	od
}

/* The clock goes on once the follower has done what is due: followFor. */
active proctype Clock() {
	do
	:: atomic {
		now < TICKS ->
#ifndef BROKEN_FOLLOW
		if
		:: now - followerConfirmed >= FRESH ->
			followerVersion = written;
			followerConfirmed = now
		:: else -> skip
		fi;
#endif
		now++;
		assert(!(changedAt > 0 && now - changedAt > FRESH + 1 && followerVersion < 2))
	}
	:: now >= TICKS -> break
	od
}
