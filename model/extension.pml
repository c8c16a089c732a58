/*
 * Leases that are extended by witnesses while the store cannot be reached.
 *
 * An owner writes its WITNESSES witnesses into its session row. It may extend its lease
 * by a round of CONSENTS consents. A taker, which need not be known to the owner, may end
 * the session only if the row has not changed for a lease and PROMISES witnesses of
 * that row have promised to consent no more, or their own sessions have ended. The row
 * may list other witnesses after each renewal, a renewal may get no response and be
 * applied late, witnesses restart and forget their promises, and their sessions may end.
 *
 * Time is not modelled. A step that needs a waiting time longer than a lease is possible
 * only once the lease that it outwaits is over, and aborts the rounds that began before.
 *
 * Claim: no session is fenced while its holder has a valid lease.
 *
 * Broken variants, each of which must fail: NO_PROMISES (the taker asks nobody, as when
 * consent is asked of the members that the owner knows and the taker joined after them),
 * NO_WAIT (a witness promises right after it consented), FORGETS (the successor of a
 * witness consents for it), NO_LEASE_CHECK (a witness consents after its own session has
 * ended), NO_VERSION (the taker does not check that the row is still the one it
 * gathered promises for), NO_PENDING (the owner counts consents only of the witnesses in
 * the last confirmed row, although a later write got no response), CLOCK_STOPS (the owner counts
 * its lease on a clock that stops while its VM is suspended), and too small quorums.
 */

#ifndef CONSENTS
#define CONSENTS 2
#endif
#ifndef PROMISES
#define PROMISES 2
#endif
/* The row lists the first WITNESSES candidates, and after a change the last ones. */
#ifndef WITNESSES
#define WITNESSES 3
#endif
#define CANDIDATES (WITNESSES + 1)
#define FIRST_SET ((1 << WITNESSES) - 1)
#define LAST_SET (FIRST_SET << 1)
#define MAX_VERSION 2
#define POPCOUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define BIT(i) (1 << (i))

/* Session row of the owner. */
byte rowVersion = 1;
byte rowWitnesses = FIRST_SET; /* mask */
bool fenced = false;

/* The owner. */
byte knownVersion = 1;
byte knownWitnesses = FIRST_SET;
byte pendingWitnesses = 0; /* of a write without a response, or 0 */
bool pendingApplies = false; /* that write may still be applied */
bool leaseValid = true;
byte leaseBackers = 0;      /* mask */
bool leaseIsOlder = true;   /* it counts from before the row's last change */
bool renewalFresh = false;  /* the response in flight would extend the lease */
bool inRound = false;
bool roundIsOlder = false; /* it began before the row's last change */
byte roundConsents = 0; /* mask */

/* Witnesses. */
byte promisedVersion[CANDIDATES]; /* consents to rows up to this version are refused */
bool leaseOfWitness[CANDIDATES];
bool sessionEnded[CANDIDATES];
bool restarted[CANDIDATES];

/* The taker. */
byte watchedVersion = 0; /* the row was unchanged at this version for a lease */
byte watchedWitnesses = 0;
byte promises = 0; /* mask */

#define BACKED_BY(i) (leaseValid && (leaseBackers & BIT(i)))

#ifdef NO_PENDING
#define PENDING_CONSENTS true
#else
#define PENDING_CONSENTS (pendingWitnesses == 0 || POPCOUNT(roundConsents & pendingWitnesses) >= CONSENTS)
#endif

#ifdef FORGETS
#define SAME_PROCESS(i) true
#else
#define SAME_PROCESS(i) (!restarted[i])
#endif

#ifdef NO_LEASE_CHECK
#define OWN_LEASE(i) true
#else
#define OWN_LEASE(i) (leaseOfWitness[i] || restarted[i])
#endif

#ifdef NO_WAIT
#define OUTWAITED(i) true
#else
#define OUTWAITED(i) (!BACKED_BY(i))
#endif

#ifdef NO_VERSION
#define ROW_UNCHANGED true
#else
#define ROW_UNCHANGED (watchedVersion == rowVersion)
#endif

#ifdef CLOCK_STOPS
#define LEASE_OUTWAITED true
#else
#define LEASE_OUTWAITED (!(leaseValid && leaseIsOlder))
#endif

#ifdef NO_PROMISES
#define ENOUGH_PROMISES true
#else
#define ENOUGH_PROMISES (POPCOUNT(promises) >= PROMISES)
#endif

/* Applies a write of the row. */
inline change_row(witnesses) {
	rowVersion++;
	rowWitnesses = witnesses;
	leaseIsOlder = true;
	roundIsOlder = true;
	pendingApplies = false
}

/* Aborts a round in which the witness consented longer than a lease ago. */
inline outwait_round(i) {
	if
	:: roundConsents & BIT(i) -> inRound = false; roundConsents = 0
	:: else
	fi
}

proctype owner() {
	byte set;
	do
	/* The lease runs out. */
	:: atomic { leaseValid -> leaseValid = false; leaseBackers = 0; inRound = false; roundConsents = 0 }
	/* Renewal; another witness may take the place of one in the row. */
	:: atomic { !fenced && rowVersion < MAX_VERSION && rowVersion == knownVersion ->
		if
		:: set = FIRST_SET
		:: set = LAST_SET
		fi;
		pendingWitnesses = set;
		if
		:: change_row(set); renewalFresh = true
		:: pendingApplies = true /* lost, or applied late */
		fi }
	/* The response to a renewal that was applied. */
	:: atomic { !fenced && pendingWitnesses && !pendingApplies && rowVersion > knownVersion ->
		knownVersion = rowVersion; knownWitnesses = rowWitnesses; pendingWitnesses = 0;
		if
		:: renewalFresh -> leaseValid = true; leaseIsOlder = true; leaseBackers = 0; renewalFresh = false
		:: else
		fi }
	/* A round of consents. */
	:: atomic { leaseValid && !inRound -> inRound = true; roundIsOlder = false; roundConsents = 0 }
	:: atomic { inRound && leaseValid && POPCOUNT(roundConsents & knownWitnesses) >= CONSENTS && PENDING_CONSENTS ->
		leaseIsOlder = roundIsOlder; leaseBackers = roundConsents; inRound = false; roundConsents = 0 }
	od
}

/* The store applies a write late. */
proctype store() {
	do
	:: atomic { pendingApplies && !fenced && rowVersion == knownVersion ->
		change_row(pendingWitnesses) }
	od
}

proctype witness(byte i) {
	leaseOfWitness[i] = true;
	do
	:: atomic { inRound && promisedVersion[i] < knownVersion && SAME_PROCESS(i) && OWN_LEASE(i) ->
		roundConsents = roundConsents | BIT(i) }
	:: atomic { leaseOfWitness[i] -> leaseOfWitness[i] = false }
	:: atomic { !leaseOfWitness[i] && !sessionEnded[i] -> sessionEnded[i] = true }
	:: atomic { !restarted[i] -> restarted[i] = true; sessionEnded[i] = true; leaseOfWitness[i] = false; promisedVersion[i] = 0 }
	/* It promises the taker to consent no more to the watched row. */
	:: atomic { watchedVersion && !(promises & BIT(i)) && (watchedWitnesses & BIT(i)) && !restarted[i] && OUTWAITED(i) ->
#ifndef NO_WAIT
		outwait_round(i);
#endif
		promisedVersion[i] = watchedVersion; promises = promises | BIT(i) }
	od
}

proctype taker() {
	byte i;
	do
	/* The row was unchanged for longer than a lease. */
	:: atomic { !fenced && watchedVersion != rowVersion && LEASE_OUTWAITED ->
		renewalFresh = false;
		if
		:: inRound && roundIsOlder -> inRound = false; roundConsents = 0
		:: else
		fi;
		 watchedVersion = rowVersion; watchedWitnesses = rowWitnesses; promises = 0 }
	/* The session of a witness ended longer than a lease ago. */
	:: atomic { watchedVersion ->
		i = 0;
		do
		:: i < CANDIDATES - 1 -> i++
		:: break
		od;
		if
		:: sessionEnded[i] && (watchedWitnesses & BIT(i)) && !BACKED_BY(i) -> outwait_round(i); promises = promises | BIT(i)
		:: else
		fi;
		i = 0 }
	:: atomic { !fenced && watchedVersion && ROW_UNCHANGED && ENOUGH_PROMISES ->
		fenced = true; pendingApplies = false; assert(!leaseValid) }
	od
}

init {
	atomic { run owner(); run store(); run witness(0); run witness(1); run witness(2);
#if WITNESSES > 2
	run witness(3);
#endif
	run taker() }
}
