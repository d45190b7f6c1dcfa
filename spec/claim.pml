/*
 * Model of the claim protocol of package claim: a caller retries one idempotency
 * key at two agents. Replies of the platform can be lost, writes can be delayed,
 * any call to the platform can fail, and an agent can hang or crash at any step.
 *
 * The names are those of the Go code: read, swap (claim.Store), Take, confirm,
 * giveUp, Release, Finish (package claim), send (agent.runClaimed).
 *
 * Properties:
 *   - the upstream executes the call at most once (executions <= 1);
 *   - a job that was refused as not executed has not been executed and never
 *     will be.
 *
 * Broken variants, which spin must reject:
 *   BROKEN_SHARED_RUN  the jobs of a request share one run id
 *   BROKEN_STEAL       an agent takes over a claim whose owner seems to be down
 *   BROKEN_ASSUME      a lost reply to a claim is taken for a failed write, and
 *                      the agent claims again with a new run id, although the
 *                      first write may still take effect
 */

#define JOBS 3

mtype = { absent, claimed, void, done };

/* The record in the platform's service. Version 0: no record. */
mtype phase = absent;
byte owner = 0;
byte version = 0;

/* Delayed writes: the writer has timed out, but they may still take effect. */
bool delayed[JOBS];
mtype delayedPhase[JOBS];
byte delayedRun[JOBS];
byte delayedVersion[JOBS];

byte executions = 0;

inline apply(p, r, v, ok) {
	if
	:: version == v -> phase = p; owner = r; version = version + 1; ok = true
	:: else -> ok = false
	fi
}

/* swap: ok is set if the record was written, replyLost if no reply arrived. A
 * write without a reply has taken effect, never will, or is delayed. */
inline swap(p, r, v) {
	atomic {
		replyLost = false; ok = false;
		if
		:: true -> apply(p, r, v, ok)
		:: true -> apply(p, r, v, ok); replyLost = true
		:: true -> replyLost = true
		:: !delayed[id] -> delayed[id] = true; delayedPhase[id] = p; delayedRun[id] = r; delayedVersion[id] = v; replyLost = true
		fi
	}
}

/* read: readFailed is set if no reply arrived. */
inline read() {
	atomic {
		ok = false; replyLost = false;
		if
		:: true -> readFailed = false; seenPhase = phase; seenRun = owner; seenVersion = version
		:: true -> readFailed = true; seenPhase = absent; seenRun = 0; seenVersion = 0
		fi
	}
}

/* Release replaces the claim of a job that never starts by a void record. */
inline Release() {
	read();
	if
	:: readFailed -> skip
	:: !readFailed && seenVersion != 0 && seenRun != runID && seenPhase != void -> skip
	:: else -> swap(void, runID, seenVersion)
	fi
}

inline giveUp() {
	Release();
	refused = true
}

inline send() {
	executions = executions + 1;
	executed = true;
	assert(executions <= 1);
	assert(!refused)
}

proctype Job(byte id) {
	byte runID;
	bool ok, replyLost, readFailed;
	bool executed, refused;
	mtype seenPhase = absent;
	byte seenRun, seenVersion;
	byte attempts = 0;

#ifdef BROKEN_SHARED_RUN
	runID = 1;
#else
	runID = id + 1;
#endif

	/* Take. A crash needs no transition of its own: a process that is never
	 * scheduled again has crashed or hangs. */
	read();
	if
	:: readFailed -> refused = true; goto end
	:: !readFailed && seenVersion != 0 && seenPhase != void ->
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
	swap(claimed, runID, seenVersion);
	if
	:: ok && !replyLost -> goto started
	:: else -> skip
	fi;
#ifdef BROKEN_ASSUME
	refused = true;
	runID = runID + JOBS;
	read();
	if
	:: !readFailed && (seenVersion == 0 || seenPhase == void) ->
		swap(claimed, runID, seenVersion);
		if
		:: ok && !replyLost -> goto started
		:: else -> goto end
		fi
	:: else -> goto end
	fi;
#endif
	/* confirm */
	do
	:: attempts < 2 ->
		attempts = attempts + 1;
		read();
		if
		:: readFailed -> skip
		:: !readFailed && seenVersion != 0 && seenRun == runID -> goto started
		:: !readFailed && seenVersion != 0 && seenRun != runID && seenPhase != void -> goto end
		:: else -> break
		fi
	:: else -> break
	od;
	giveUp();
	goto end;
started:
	/* runClaimed: the agent may find the upstream unreachable before the send. */
	if
	:: true -> Release(); refused = true; goto end
	:: true -> send()
	fi;
	/* Finish */
	read();
	if
	:: !readFailed && seenVersion != 0 && seenRun == runID && seenPhase == claimed -> swap(done, runID, seenVersion)
	:: else -> skip
	fi;
end:
	atomic { assert(!(refused && executed)); seenPhase = absent; seenRun = 0; seenVersion = 0; ok = false; replyLost = false; readFailed = false; attempts = 0; runID = 0 }
}

/* DeliverDelayed applies delayed writes. */
proctype DeliverDelayed() {
	bool ok;
	do
	:: atomic { delayed[0] -> delayed[0] = false; apply(delayedPhase[0], delayedRun[0], delayedVersion[0], ok) }
	:: atomic { delayed[1] -> delayed[1] = false; apply(delayedPhase[1], delayedRun[1], delayedVersion[1], ok) }
	:: atomic { delayed[2] -> delayed[2] = false; apply(delayedPhase[2], delayedRun[2], delayedVersion[2], ok) }
	:: break
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. JOBS - 1) {
			run Job(i)
		};
		run DeliverDelayed()
	}
}
