/*
 * The claim protocol of package claim: two agents, a caller that resends one
 * idempotency key through both, lost answers, writes that arrive late, a
 * platform that fails at any call, and agents that freeze or die at any step.
 *
 * Names match the Go code: read, swap (claim.Store), Take, confirm, giveUp,
 * Release, Finish (package claim), send (agent.runClaimed).
 *
 * Properties:
 *   - the upstream runs the call at most once (runs <= 1);
 *   - a job that was refused as not run was not run and never will be.
 *
 * Broken variants, which spin must reject:
 *   BROKEN_SHARED_RUN  two jobs of a request use one run id
 *   BROKEN_STEAL       an agent takes over a claim whose holder looks dead
 *   BROKEN_ASSUME      a lost answer to a claim counts as not claimed, and the
 *                      agent claims again under a new run id while the late
 *                      write is forgotten
 */

#define JOBS 3

mtype = { absent, claimed, void, done };

/* The record in the platform's service. Version 0 means absent. */
mtype phase = absent;
byte holder = 0;
byte version = 0;

/* Writes whose sender has given up waiting, still on their way. */
bool late[JOBS];
mtype latePhase[JOBS];
byte lateRun[JOBS];
byte lateVersion[JOBS];

byte runs = 0;

inline apply(p, r, v, ok) {
	if
	:: version == v -> phase = p; holder = r; version = version + 1; ok = true
	:: else -> ok = false
	fi
}

/* swap: ok tells whether it was written, lost that no answer came. A lost
 * write took effect, or never will, or is still on its way. */
inline swap(p, r, v) {
	atomic {
		lost = false; ok = false;
		if
		:: true -> apply(p, r, v, ok)
		:: true -> apply(p, r, v, ok); lost = true
		:: true -> lost = true
		:: !late[id] -> late[id] = true; latePhase[id] = p; lateRun[id] = r; lateVersion[id] = v; lost = true
		fi
	}
}

/* read: failed tells that no answer came. */
inline read() {
	atomic {
		ok = false; lost = false;
		if
		:: true -> failed = false; seenPhase = phase; seenRun = holder; seenVersion = version
		:: true -> failed = true; seenPhase = absent; seenRun = 0; seenVersion = 0
		fi
	}
}

/* Release writes a void record over a claim that never starts. */
inline Release() {
	read();
	if
	:: failed -> skip
	:: !failed && seenVersion != 0 && seenRun != mine && seenPhase != void -> skip
	:: else -> swap(void, mine, seenVersion)
	fi
}

inline giveUp() {
	Release();
	refused = true
}

inline send() {
	runs = runs + 1;
	ran = true;
	assert(runs <= 1);
	assert(!refused)
}

proctype Job(byte id) {
	byte mine;
	bool ok, lost, failed;
	bool ran, refused;
	mtype seenPhase = absent;
	byte seenRun, seenVersion;
	byte back = 0;

#ifdef BROKEN_SHARED_RUN
	mine = 1;
#else
	mine = id + 1;
#endif

	/* Take. Each end of this process stands for a death as well: a process
	 * that is never scheduled again is frozen or dead. */
	read();
	if
	:: failed -> refused = true; goto end
	:: !failed && seenVersion != 0 && seenPhase != void ->
#ifdef BROKEN_STEAL
		if
		:: seenPhase == claimed -> skip
		:: else -> goto end
		fi
#else
		goto end
#endif
	:: else -> skip
	fi;
	swap(claimed, mine, seenVersion);
	if
	:: ok && !lost -> goto started
	:: else -> skip
	fi;
#ifdef BROKEN_ASSUME
	refused = true;
	mine = mine + JOBS;
	read();
	if
	:: !failed && (seenVersion == 0 || seenPhase == void) ->
		swap(claimed, mine, seenVersion);
		if
		:: ok && !lost -> goto started
		:: else -> goto end
		fi
	:: else -> goto end
	fi;
#endif
	/* confirm */
	do
	:: back < 2 ->
		back = back + 1;
		read();
		if
		:: failed -> skip
		:: !failed && seenVersion != 0 && seenRun == mine -> goto started
		:: !failed && seenVersion != 0 && seenRun != mine && seenPhase != void -> goto end
		:: else -> break
		fi
	:: else -> break
	od;
	giveUp();
	goto end;
started:
	/* runClaimed: the upstream may turn out to be unreachable before the send. */
	if
	:: true -> Release(); refused = true; goto end
	:: true -> send()
	fi;
	/* Finish */
	read();
	if
	:: !failed && seenVersion != 0 && seenRun == mine && seenPhase == claimed -> swap(done, mine, seenVersion)
	:: else -> skip
	fi;
end:
	atomic { assert(!(refused && ran)); seenPhase = absent; seenRun = 0; seenVersion = 0; ok = false; lost = false; failed = false; back = 0; mine = 0 }
}

/* Late delivers the writes that were still on their way. */
proctype Late() {
	bool ok;
	do
	:: atomic { late[0] -> late[0] = false; apply(latePhase[0], lateRun[0], lateVersion[0], ok) }
	:: atomic { late[1] -> late[1] = false; apply(latePhase[1], lateRun[1], lateVersion[1], ok) }
	:: atomic { late[2] -> late[2] = false; apply(latePhase[2], lateRun[2], lateVersion[2], ok) }
	:: break
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. JOBS - 1) {
			run Job(i)
		};
		run Late()
	}
}
