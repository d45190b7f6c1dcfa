// Package claim decides whether a call that must run at most once may start.
//
// A claim is one record in the platform's service for each idempotency key of a
// partner, created by compare-and-swap immediately before the start. A claim is
// never taken over from the run that holds it and never expires: either would allow
// a second run. A run whose claim could not be confirmed never starts. The protocol
// is specified in spec/claim.pml; its steps are named like the functions here.
package claim

// Phase is the state of a claim's run.
type Phase string

// Phases of a claim.
const (
	// Claimed means that the run may have started.
	Claimed Phase = "claimed"
	// Done means that the run ended and its response is stored.
	Done Phase = "done"
	// Void means that the run was abandoned before its start.
	Void Phase = "void"
)

// Record is the content of a claim.
type Record struct {
	// RunID is the id of the run that holds the key.
	RunID string
	Phase Phase
	// Fingerprint is the fingerprint of the request's content.
	Fingerprint uint64
	Agent       string
	// The stored response, when the phase is Done.
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted means that the body was too large to store.
	BodyOmitted bool
}

// Store reads and writes claims in the platform's service.
type Store struct {
	// Read returns the record of a key and its version; version 0 means absent.
	Read func(key string) (Record, uint64, error)
	// Swap writes the record if its version is still the given one; version 0
	// creates it. ok is false if the version differed. An error means that the
	// outcome is unknown.
	Swap func(key string, r Record, version uint64) (ok bool, err error)
}

// Verdict is what the caller of Take may do.
type Verdict int

// Verdicts of Take.
const (
	// Start means that this run holds the key and may be sent once.
	Start Verdict = iota
	// Replay means that an earlier run is done; its record is returned.
	Replay
	// Running means that an earlier run holds the key and has not ended, or
	// ended without storing an outcome. It may have run.
	Running
	// Mismatch means that the key was used with different content.
	Mismatch
	// Refuse means that the claim could not be confirmed. This run never
	// starts.
	Refuse
)

// confirmAttempts is how often a record is read to find out the outcome of a write.
const confirmAttempts = 3

// Take claims a key for the run with the given id. It returns Start only if the
// record in the platform's service names this run. The error is nil unless the
// verdict is Refuse, and may be nil then.
func Take(s Store, key, runID, agent string, fingerprint uint64) (Verdict, Record, error) {
	record := Record{RunID: runID, Phase: Claimed, Fingerprint: fingerprint, Agent: agent}
	current, version, err := s.Read(key)
	if err != nil {
		return Refuse, Record{}, err
	}
	if version != 0 && current.Phase != Void {
		return evaluate(current, fingerprint), current, nil
	}
	ok, err := s.Swap(key, record, version)
	if err == nil && ok {
		return Start, record, nil
	}
	return confirm(s, key, record, err)
}

// evaluate returns the verdict on a key whose record belongs to another run.
func evaluate(current Record, fingerprint uint64) Verdict {
	switch {
	case current.Fingerprint != fingerprint:
		return Mismatch
	case current.Phase == Done:
		return Replay
	default:
		return Running
	}
}

// confirm reads a claim back after its write was rejected or the reply was
// lost.
func confirm(s Store, key string, record Record, cause error) (Verdict, Record, error) {
	for range confirmAttempts {
		current, version, err := s.Read(key)
		if err != nil {
			cause = err
			continue
		}
		if version != 0 && current.RunID == record.RunID {
			return Start, record, nil
		}
		if version != 0 && current.Phase != Void {
			return evaluate(current, record.Fingerprint), current, nil
		}
		break
	}
	return giveUp(s, key, record, cause)
}

// giveUp refuses the run and tries to void its claim, so that a retry may claim
// the key again. A claim that could not be voided holds its key forever: retries
// get the verdict Running, that the call may have run, which is safe.
func giveUp(s Store, key string, record Record, cause error) (Verdict, Record, error) {
	_, _ = Release(s, key, record)
	return Refuse, Record{}, cause
}

// Release voids the claim of a run that has not started and never will. It
// reports whether the run's claim can no longer take effect.
func Release(s Store, key string, record Record) (bool, error) {
	voided := record
	voided.Phase = Void
	current, version, err := s.Read(key)
	if err != nil {
		return false, err
	}
	if version != 0 && current.RunID != record.RunID && current.Phase != Void {
		return true, nil // Another run holds the key; a delayed write of this run fails.
	}
	// Written even if the key has no record of this run: a delayed write of its
	// claim then finds another version and fails.
	return s.Swap(key, voided, version)
}

// Finish stores the response of a run, so that retries get the same one. Until it
// is stored, retries get the verdict Running, that the call may have run.
func Finish(s Store, key string, record Record) error {
	record.Phase = Done
	var cause error
	for range confirmAttempts {
		current, version, err := s.Read(key)
		if err != nil {
			cause = err
			continue
		}
		if version == 0 || current.RunID != record.RunID || current.Phase != Claimed {
			return nil
		}
		ok, err := s.Swap(key, record, version)
		if err == nil && ok {
			return nil
		}
		cause = err
	}
	return cause
}
