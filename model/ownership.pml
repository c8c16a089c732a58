/*
 * Ownership of one engine that ignores fencing tokens or, with -DCHECKS, refuses
 * commands with an old token.
 *
 * OWNERS processes may own the engine one after another, up to token MAX_TOKEN. A
 * takeover is possible at any time, and the former owner continues to grant and to
 * send commands until the new owner asks it to yield. The model relies on no clock.
 * ENTRIES entry nodes request grants and open streams, and may pause between any
 * two steps. The response to a grant request and the release of a grant may be
 * lost. With -DRESTART the engine may restart without adapters once. With -DKILL an
 * owner may crash.
 *
 * The engine has two slots for three adapters, so every load needs an eviction. An
 * adapter on the stable list of the ownership row is evicted only after the row was
 * written under the current token.
 *
 * Claim: no adapter is unloaded while a stream uses it.
 *
 * Broken variants, each of which must fail: NO_PIN (evict without checking the
 * pins), NO_INTENT (evict a stable adapter without writing the row), NO_QUARANTINE
 * (grant and evict while a former owner may still send commands), NO_BAR (evict
 * before the entry nodes have fenced older grants), NO_FENCE (with CHECKS: the
 * engine ignores the token after all), NO_LEASE (with CHECKS and RESTART: send
 * commands without a valid lease).
 */

#ifndef OWNERS
#define OWNERS 2
#endif
#ifndef ENTRIES
#define ENTRIES 2
#endif
/* Fencing token of the last owner, which is one more than the number of takeovers. */
#ifndef MAX_TOKEN
#define MAX_TOKEN OWNERS
#endif

/* Ownership row in the table. */
byte rowToken = 1;
byte rowOwner = 0;
byte stableAdapters = 1; /* mask of adapters */
byte formerOwners = 0;   /* mask of former owners that may still send commands */

/* State of the engine. */
byte loaded = 3;             /* mask of adapters */
byte engineToken = 1;
bool restarted = false;
byte streamAdapter[ENTRIES]; /* adapter of the running stream, or 0 */

/* State of each owner. */
bool leaseValid[OWNERS];      /* the owner has a valid lease */
bool isOwner[OWNERS];
bool ownerAlive[OWNERS];
byte ownerToken[OWNERS];
byte assumedLoaded[OWNERS];   /* adapters that the owner assumes to be loaded */
byte locked[OWNERS];          /* adapters that the owner must not grant or evict yet */
byte evicting[OWNERS];        /* adapter that the owner is evicting, or 0 */
byte fencedEntries[OWNERS];   /* mask of entry nodes that have fenced older grants */
bool commandInFlight[OWNERS];
byte pin[OWNERS * ENTRIES];   /* adapters pinned by each owner for each entry node */

/* Grant registry of each entry node. */
byte entryFence[ENTRIES];
bool grantRequested[ENTRIES];
bool grantRevoked[ENTRIES];
bool grantStarted[ENTRIES];
byte grantToken[ENTRIES];
byte grantAdapter[ENTRIES];

#define PIN(o, e) pin[(o) * ENTRIES + (e)]
#if ENTRIES == 2
#define PINNED(o, a) ((PIN(o, 0) | PIN(o, 1)) & (a))
#define IN_USE(a) (streamAdapter[0] == (a) || streamAdapter[1] == (a))
#define ALL_FENCED(o) (fencedEntries[o] == 3)
#else
#define PINNED(o, a) (PIN(o, 0) & (a))
#define IN_USE(a) (streamAdapter[0] == (a))
#define ALL_FENCED(o) (fencedEntries[o] == 1)
#endif
#define POPCOUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))

#ifdef NO_QUARANTINE
#define NO_FORMER_OWNERS true
#else
#define NO_FORMER_OWNERS (formerOwners == 0)
#endif

#ifdef NO_BAR
#define MAY_EVICT(o) true
#else
#define MAY_EVICT(o) ALL_FENCED(o)
#endif

#ifdef NO_PIN
#define UNPINNED(o, a) true
#else
#define UNPINNED(o, a) (!PINNED(o, a))
#endif

/* An engine that checks fencing tokens loses its token in a restart until the next
 * command. Its owner therefore needs a valid lease as well. */
#if defined(CHECKS) && !defined(NO_LEASE)
#define MAY_COMMAND(o) leaseValid[o]
#else
#define MAY_COMMAND(o) true
#endif

/* The engine accepts a command with the owner's token. */
#if defined(CHECKS) && !defined(NO_FENCE)
#define ACCEPTS(o) (ownerToken[o] >= engineToken)
#else
#define ACCEPTS(o) true
#endif

/* A command that an engine with token checks accepts raises the engine's token, also
 * after a restart in which the engine lost it. */
inline raise_engine_token(me) {
#ifdef CHECKS
	if
	:: ownerToken[me] > engineToken -> engineToken = ownerToken[me]
	:: else -> skip
	fi
#else
	skip
#endif
}

inline take_over(me) {
	atomic {
		!isOwner[me] && !leaseValid[me] && ownerAlive[me] && rowToken < MAX_TOKEN && rowOwner != me ->
		leaseValid[rowOwner] = false;
#ifndef CHECKS
		formerOwners = formerOwners | (1 << rowOwner);
#endif
		rowOwner = me;
		rowToken++;
		ownerToken[me] = rowToken;
		fencedEntries[me] = 0;
		evicting[me] = 0;
		PIN(me, 0) = 0;
#if ENTRIES == 2
		PIN(me, 1) = 0;
#endif
		leaseValid[me] = true
	}
	/* The response to the transaction is lost or delayed, so the row is read back. */
	atomic {
		if
		:: leaseValid[me] && rowOwner == me ->
#ifdef CHECKS
			engineToken = ownerToken[me];
#endif
			assumedLoaded[me] = loaded;
#if defined(CHECKS) || defined(NO_QUARANTINE)
			locked[me] = 0;
#else
			locked[me] = loaded & (7 - stableAdapters);
#endif
			isOwner[me] = true
		:: else -> skip
		fi
	}
}

/* An entry node fences grants with older tokens and reports its running stream. */
inline fence_entry(me, e) {
	atomic {
		isOwner[me] && !(fencedEntries[me] & (1 << e)) ->
		fencedEntries[me] = fencedEntries[me] | (1 << e);
#ifndef NO_BAR
		if
		:: ownerToken[me] > entryFence[e] -> entryFence[e] = ownerToken[me]
		:: else -> skip
		fi;
		if
		:: grantStarted[e] && grantToken[e] < ownerToken[me] -> PIN(me, e) = PIN(me, e) | grantAdapter[e]
		:: else -> skip
		fi
#endif
	}
}

/* A former owner yields when it has no command in flight, or has crashed. */
inline remove_former_owner(me, s) {
	atomic {
		isOwner[me] && rowOwner == me && (formerOwners & (1 << s)) && s != me &&
		(!commandInFlight[s] || !ownerAlive[s]) ->
		formerOwners = formerOwners & (7 - (1 << s));
		isOwner[s] = false;
		if
		:: formerOwners == 0 -> locked[me] = 0; assumedLoaded[me] = loaded
		:: else -> skip
		fi
	}
}

/* An owner drops the pin of a grant that has not started, and revokes the grant. */
inline reconcile_pin(me, e) {
	atomic {
		isOwner[me] && PIN(me, e) != 0 && !grantStarted[e] ->
		if
		:: grantRequested[e] -> grantRevoked[e] = true
		:: else -> skip
		fi;
		PIN(me, e) = 0
	}
}

/* Evicts adapter v and loads adapter l. The owner may pause between any two steps. */
inline swap(me, v, l) {
	atomic {
		isOwner[me] && MAY_COMMAND(me) && NO_FORMER_OWNERS && MAY_EVICT(me) && !commandInFlight[me] && evicting[me] == 0 &&
		(assumedLoaded[me] & v) && !(assumedLoaded[me] & l) && !(locked[me] & v) && UNPINNED(me, v) ->
		evicting[me] = v;
		commandInFlight[me] = true;
		intentWritten = true
	}
#ifndef CHECKS
#ifndef NO_INTENT
	atomic {
		if
		:: !(stableAdapters & v) -> skip /* not on the stable list: it is in a swap slot */
		:: (stableAdapters & v) && rowToken == ownerToken[me] -> stableAdapters = (stableAdapters & (7 - v)) | l
		:: else -> intentWritten = false
		fi
	}
#endif
#endif
	if
	:: intentWritten ->
		atomic {
			if
			:: ACCEPTS(me) && ownerAlive[me] ->
				raise_engine_token(me);
				assert(!IN_USE(v));
				loaded = loaded & (7 - v)
			:: else -> skip
			fi;
			assumedLoaded[me] = assumedLoaded[me] & (7 - v)
		}
		atomic {
			if
			:: ACCEPTS(me) && ownerAlive[me] && POPCOUNT(loaded) < 2 ->
				raise_engine_token(me);
				loaded = loaded | l;
				assumedLoaded[me] = assumedLoaded[me] | l
			:: else -> skip
			fi
		}
	:: else -> skip
	fi;
	atomic { evicting[me] = 0; commandInFlight[me] = false }
}

proctype Owner(byte me) {
	bool intentWritten;
	do
	:: take_over(me)
	:: fence_entry(me, 0)
	:: remove_former_owner(me, 0)
	:: remove_former_owner(me, 1)
	:: reconcile_pin(me, 0)
#if ENTRIES == 2
	:: fence_entry(me, 1)
	:: reconcile_pin(me, 1)
#endif
#if OWNERS == 3
	:: remove_former_owner(me, 2)
#endif
	:: swap(me, 1, 4)
	:: swap(me, 2, 4)
	:: swap(me, 4, 1)
	:: swap(me, 4, 2)
	:: atomic { isOwner[me] && !leaseValid[me] && !commandInFlight[me] -> isOwner[me] = false } /* it finds that its session was fenced */
#ifdef KILL
	:: atomic { ownerAlive[me] && me != OWNERS - 1 && rowToken < MAX_TOKEN -> ownerAlive[me] = false; break }
#endif
	od
}

inline request_grant(o, a) {
	atomic {
		isOwner[o] && ownerAlive[o] && !grantRequested[e] && !grantStarted[e] && PIN(o, e) == 0 &&
		(assumedLoaded[o] & a) && !(locked[o] & a) && evicting[o] != a ->
		PIN(o, e) = a;
		grantRequested[e] = true;
		grantRevoked[e] = false;
		grantToken[e] = ownerToken[o];
		grantAdapter[e] = a
	}
}

/* Receives the grant, runs the stream and releases the grant. */
inline use_grant(grantor) {
	atomic {
		grantRequested[e] = false;
		if
		:: !grantRevoked[e] && grantToken[e] >= entryFence[e] -> grantStarted[e] = true; entryFence[e] = grantToken[e]
		:: skip /* the response is lost or too late */
		fi
	}
	if
	:: grantStarted[e] ->
		atomic {
			if
			:: loaded & grantAdapter[e] -> streamAdapter[e] = grantAdapter[e]
			:: else -> skip
			fi
		}
		streamAdapter[e] = 0;
		grantStarted[e] = false
	:: else -> skip
	fi;
	if
	:: PIN(grantor, e) = 0
	:: skip /* the release is lost */
	fi
}

proctype Entry(byte e) {
	do
	:: request_grant(0, 1); use_grant(0)
	:: request_grant(0, 2); use_grant(0)
	:: request_grant(0, 4); use_grant(0)
	:: request_grant(1, 1); use_grant(1)
	:: request_grant(1, 2); use_grant(1)
	:: request_grant(1, 4); use_grant(1)
#if OWNERS == 3
	:: request_grant(2, 1); use_grant(2)
	:: request_grant(2, 2); use_grant(2)
	:: request_grant(2, 4); use_grant(2)
#endif
	od
}

proctype Restart() {
	atomic {
		restarted = true;
		loaded = 0;
		engineToken = 0;
		streamAdapter[0] = 0;
#if ENTRIES == 2
		streamAdapter[1] = 0
#endif
	}
}

init {
	atomic {
		byte i = 0;
		do
		:: i < OWNERS -> ownerAlive[i] = true; i++
		:: else -> break
		od;
		leaseValid[0] = true;
		isOwner[0] = true;
		ownerToken[0] = 1;
		assumedLoaded[0] = 3;
		fencedEntries[0] = (1 << ENTRIES) - 1;
		run Owner(0);
		run Owner(1);
#if OWNERS == 3
		run Owner(2);
#endif
		run Entry(0);
#if ENTRIES == 2
		run Entry(1);
#endif
#ifdef RESTART
		run Restart();
#endif
	}
}
