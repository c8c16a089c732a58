/*
 * Ownership of one engine while the store is restored from an older copy.
 *
 * A restore loses the writes since the copy and raises the generation, which is in every
 * answer. Versions of rows go back and are given out again. The engine does not check
 * tokens. The nodes of the mask COPY have a session in the copy, and node 0 is the owner;
 * the others join in the seconds that are lost, or later. Only the nodes of the copy
 * are known to a taker: sessions that were lost are in no table, and nodes
 * that registered since know the generation.
 *
 * A node that learns of a generation ends its ownership, keeps a claim if its lease was
 * valid, and registers a new session. A row of an earlier generation may be taken over by
 * the node with the claim, or once settled: a lease has passed since the taker learned
 * of the generation, and for all but one of the nodes that it knows a lease has passed
 * since these learned of it; or once the longest extension by witnesses is over. A row of
 * the current generation may be taken over if its owner's session has ended. A token of
 * a later generation is higher, within a generation it is the row's token plus one. The
 * key of an ownership row names the generation, so a late write of an earlier
 * generation does not reach the row of this one.
 *
 * An owner that does not know the generation extends its lease by the consents of
 * witnesses that do not know it either: of all of them if they are fewer than
 * three, otherwise of all but one. The witnesses are the nodes that were there when the
 * session was last renewed. A takeover may get no response, or be applied late. A node
 * may crash and come back. A node that is cut from the store and from those that know the
 * generation does not learn of it for as long as that lasts.
 *
 * Time is not modelled. A step that needs a waiting time of a lease since an event is
 * possible only once the leases, and the rounds for them, that began before the
 * event are over: each has a mask of the nodes that had not learned of the generation
 * since it began. Within one generation, that a session ends only after its lease is
 * taken from extension.pml.
 *
 * Claim: the tokens of the commands sent to the engine never fall and are never shared by
 * two nodes, and no two nodes may send at the same time.
 *
 * Broken variants, each of which must fail: NO_GENERATION_TOKEN (the row's token plus one
 * only), RESUME_FROM_ROW (a node that is named in an old row resumes the ownership with its
 * token), NO_SETTLING (an old row is taken over at once), STALE_CLAIM (a claim is kept
 * although the lease had run out), CONSENT_ACROSS (a witness that knows the generation
 * consents to a lease of an earlier one), NO_CONFIRMATION (settled after a lease, without
 * asking which nodes know the generation), EARLY_CONFIRMATION (a confirmation counts at
 * once: a consent from just before it backs a lease that is still valid), ONE_KEY with
 * MAX_VERSION=4 (the key of the row names no generation, so a late write of an earlier one
 * may meet a version that was given out again, even of a node that has not learned
 * of the generation), ONE_KEY with NO_GENERATION_CHECK (a takeover that is answered in a later
 * generation counts), and ALL_BUT_ONE (of two witnesses, one consent is enough).
 *
 * Settled is safe only if fewer nodes without knowledge of the generation may be left, or
 * are unknown to the taker, than the owner needs consents. The code has OLD_WITNESSES (only
 * nodes that have been there for longer than a restore takes back are witnesses) with
 * MIN_CONSENTS=2 (no extension by a single consent), which hold for any COPY and CRASHES=1.
 * Without the first, NODES=4 with two in the copy fails (both others joined in the lost
 * seconds), without the second CRASHES=1 (the owner joined while one of two was down), and
 * without both COPY=1. The other variants are checked without them, since few nodes then
 * never extend a lease.
 */

#ifndef NODES
#define NODES 3
#endif
#ifndef COPY
#define COPY 3 /* mask */
#endif
#ifndef RESTORES
#define RESTORES 1
#endif
#ifndef CRASHES
#define CRASHES 0
#endif
/* The nodes of the copy that need not have confirmed. */
#ifndef UNCONFIRMED_NODES
#define UNCONFIRMED_NODES 1
#endif
#ifndef MIN_CONSENTS
#define MIN_CONSENTS 1
#endif
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#define ALL ((1 << NODES) - 1)
#define BIT(i) (1 << (i))
#define POPCOUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define FIRST_TOKEN(g) ((g) * 8 + 1)

/* The store: its generation, and the ownership row. */
byte gen = 1;
byte rowVersion = 1;
byte rowGen = 1; /* in which the row's content was decided */
byte rowNode = 0;
byte rowToken = FIRST_TOKEN(1);
bool rowEnded = false; /* the session in the row has ended, or the row was released */

/* A takeover that may be applied late. */
bool late = false;
byte lateNode;
byte lateGen;
byte lateVersion;
byte lateToken;

/* Nodes. */
byte alive = COPY;   /* mask */
byte knows[4];       /* generation; 0 before the first join */
bool valid[4];       /* the lease, of the known generation */
byte since[4];       /* mask: nodes that learned of no generation since the lease began */
byte witnesses[4];   /* mask */
bool ended[4];       /* the session was fenced */
byte own[4];         /* token, or 0 */
bool claim[4];
byte crashes = 0;

/* The round of consents of an owner that does not know the generation. */
bool inRound = false;
byte roundNode;
byte roundSince;    /* mask, as since */
byte roundConsents; /* mask */

/* The highest token that a node has held, and that node. */
byte highestToken = FIRST_TOKEN(1);
byte highestNode = 0;

#define SENDS(j) (own[j] && valid[j])
#define EXTENDABLE(j) (SENDS(j) && knows[j] < gen)
#define ANY_EXTENDABLE (EXTENDABLE(0) || EXTENDABLE(1) || EXTENDABLE(2) || EXTENDABLE(3))
/* A lease has passed since node b learned of the generation. */
#define OLDER(j, b) (EXTENDABLE(j) && !(since[j] & BIT(b)))
#define OUTWAITED(b) (!OLDER(0, b) && !OLDER(1, b) && !OLDER(2, b) && !OLDER(3, b) && !(inRound && !(roundSince & BIT(b))))

#ifdef EARLY_CONFIRMATION
#define CONFIRMED(j) (knows[j] == gen)
#else
#define CONFIRMED(j) (knows[j] == gen && OUTWAITED(j))
#endif
#define UNCONFIRMED(j) ((COPY & BIT(j)) && !CONFIRMED(j))

#ifdef NO_CONFIRMATION
#define FEW_UNCONFIRMED true
#else
#define FEW_UNCONFIRMED (UNCONFIRMED(0) + UNCONFIRMED(1) + UNCONFIRMED(2) + UNCONFIRMED(3) <= UNCONFIRMED_NODES)
#endif

#ifdef NO_SETTLING
#define SETTLED(i) true
#else
#define SETTLED(i) (OUTWAITED(i) && FEW_UNCONFIRMED || !ANY_EXTENDABLE && !inRound)
#endif

#define MAY_TAKE(i) (rowGen == gen && rowEnded || rowGen < gen && (claim[i] || SETTLED(i)))

#ifdef NO_GENERATION_TOKEN
#define NEXT_TOKEN (rowToken + 1)
#else
#define NEXT_TOKEN (rowGen < gen -> FIRST_TOKEN(gen) : rowToken + 1)
#endif

#ifdef STALE_CLAIM
#define KEEPS_CLAIM(i) (own[i] != 0)
#else
#define KEEPS_CLAIM(i) SENDS(i)
#endif

#ifdef CONSENT_ACROSS
#define CONSENTS(i) true
#else
#define CONSENTS(i) (knows[i] == knows[roundNode])
#endif

#ifdef ALL_BUT_ONE
#define NEEDED(n) ((n) < 2 -> (n) : (n) - 1)
#else
#define NEEDED(n) ((n) < 3 -> (n) : (n) - 1)
#endif

#ifdef ONE_KEY
#define REACHES_ROW (lateGen == gen || knows[lateNode] < gen)
#else
#define REACHES_ROW (lateGen == gen)
#endif

#ifdef OLD_WITNESSES
#define CANDIDATES (alive & COPY)
#else
#define CANDIDATES alive
#endif

inline clear_round() { inRound = false; roundNode = 0; roundSince = 0; roundConsents = 0 }

inline begin_lease(i) { valid[i] = true; since[i] = ALL; witnesses[i] = CANDIDATES & ~BIT(i) }

inline end_lease(i) {
	valid[i] = false; since[i] = 0; witnesses[i] = 0;
	if
	:: inRound && roundNode == i && roundSince != ALL -> clear_round()
	:: else
	fi
}

/* Leases of earlier generations began before node i learned of this one. */
inline clear_since(j, i) {
	if
	:: knows[j] < gen -> since[j] = since[j] & ~BIT(i)
	:: else
	fi
}

inline learn(i) {
	claim[i] = KEEPS_CLAIM(i); own[i] = 0; ended[i] = false;
	end_lease(i);
	knows[i] = gen;
	clear_since(0, i); clear_since(1, i); clear_since(2, i); clear_since(3, i);
	roundSince = roundSince & ~BIT(i)
}

inline begin_ownership(i, t) {
	assert(t > highestToken || t == highestToken && i == highestNode);
	highestToken = t; highestNode = i; own[i] = t;
	begin_lease(i)
}

inline write_row(n, g, t) {
	rowVersion++; rowNode = n; rowGen = g; rowToken = t; rowEnded = false
}

/* A new session of node i; a late takeover of the one before fails its check. */
inline new_session(i) {
	own[i] = 0; ended[i] = false; end_lease(i);
	if
	:: rowGen == gen && rowNode == i -> rowEnded = true
	:: else
	fi;
	if
	:: late && lateNode == i && lateGen == gen -> late = false; lateNode = 0; lateGen = 0; lateVersion = 0; lateToken = 0
	:: else
	fi
}

proctype node(byte i) {
	byte token;
	do
	/* It joins, or comes back after a crash. */
	:: atomic { !(alive & BIT(i)) -> learn(i); claim[i] = false; new_session(i); alive = alive | BIT(i) }
	:: atomic { (alive & BIT(i)) && crashes < CRASHES -> crashes++; own[i] = 0; claim[i] = false; end_lease(i); alive = alive & ~BIT(i) }
	/* The lease runs out. */
	:: atomic { valid[i] -> end_lease(i) }
	/* An answer of the store or a peer names a later generation. */
	:: atomic { (alive & BIT(i)) && knows[i] < gen -> learn(i) }
	/* Renewal, or a new session after the old one was fenced. */
	:: atomic { (alive & BIT(i)) && knows[i] == gen && ended[i] -> new_session(i) }
	:: atomic { (alive & BIT(i)) && knows[i] == gen && own[i] && !ended[i] && (!valid[i] || witnesses[i] != (CANDIDATES & ~BIT(i))) ->
		begin_lease(i) }
	/* It ends the session of the owner. */
	:: atomic { (alive & BIT(i)) && knows[i] == gen && rowGen == gen && !rowEnded && rowNode != i && !valid[rowNode] ->
		rowEnded = true;
		if
		:: (alive & BIT(rowNode)) && knows[rowNode] == gen -> ended[rowNode] = true
		:: else
		fi }
	/* Takeover. */
	:: atomic { (alive & BIT(i)) && knows[i] == gen && !ended[i] && !own[i] && rowVersion < MAX_VERSION && MAY_TAKE(i) ->
		token = NEXT_TOKEN;
		if
		:: write_row(i, gen, token); begin_ownership(i, token)
		:: write_row(i, gen, token) /* no response */
		:: !late -> late = true; lateNode = i; lateGen = gen; lateVersion = rowVersion; lateToken = token
		fi;
		token = 0 }
	/* Its session wrote the row in a takeover without a response. */
	:: atomic { (alive & BIT(i)) && knows[i] == gen && !own[i] && !ended[i] && rowGen == gen && rowNode == i && !rowEnded -> begin_ownership(i, rowToken) }
#ifdef RESUME_FROM_ROW
	:: atomic { (alive & BIT(i)) && knows[i] == gen && !own[i] && crashes == 0 && rowGen < gen && rowNode == i -> begin_ownership(i, rowToken) }
#endif
	/* It releases the engine. */
	:: atomic { (alive & BIT(i)) && knows[i] == gen && own[i] && rowGen == gen && rowNode == i && !rowEnded && rowVersion < MAX_VERSION ->
		own[i] = 0; end_lease(i); rowVersion++; rowEnded = true }
	/* A round of consents. */
	:: atomic { EXTENDABLE(i) && since[i] != ALL && !inRound -> inRound = true; roundNode = i; roundSince = ALL; roundConsents = 0 }
	:: atomic { inRound && roundNode == i && roundSince != ALL -> clear_round() }
	:: atomic { inRound && roundNode != i && (alive & BIT(i)) && (witnesses[roundNode] & BIT(i)) && !(roundConsents & BIT(i)) && CONSENTS(i) ->
		roundConsents = roundConsents | BIT(i) }
	:: atomic { inRound && roundNode == i && valid[i] && POPCOUNT(roundConsents) >= MIN_CONSENTS && POPCOUNT(roundConsents) >= NEEDED(POPCOUNT(witnesses[i])) ->
		since[i] = roundSince; clear_round() }
	/* A command. */
	:: atomic { SENDS(i) ->
		assert(!(i != 0 && SENDS(0)) && !(i != 1 && SENDS(1)) && !(i != 2 && SENDS(2)) && !(i != 3 && SENDS(3)));
		assert(own[i] == highestToken && i == highestNode) }
	od
}

proctype store() {
	byte n;
	do
	/* The copy is that of the first state. */
	:: atomic { gen <= RESTORES ->
		gen++; rowVersion = 1; rowGen = 1; rowNode = 0; rowToken = FIRST_TOKEN(1); rowEnded = false }
	/* A takeover is applied late, with or without a response. */
	:: atomic { late && rowVersion == lateVersion && rowVersion < MAX_VERSION && REACHES_ROW ->
		write_row(lateNode, lateGen, lateToken);
		n = lateNode;
		if
		:: lateGen == gen && (alive & BIT(n)) && knows[n] == gen && !ended[n] && !own[n] -> begin_ownership(n, lateToken)
#ifdef NO_GENERATION_CHECK
		:: lateGen < gen && (alive & BIT(n)) ->
			if
			:: knows[n] < gen -> learn(n)
			:: else
			fi;
			begin_ownership(n, lateToken)
#endif
		:: true
		fi;
		late = false; lateNode = 0; lateGen = 0; lateVersion = 0; lateToken = 0; n = 0 }
	od
}

init {
	atomic {
		byte i = 0;
		do
		:: i < NODES ->
			if
			:: COPY & BIT(i) -> knows[i] = 1
			:: else
			fi;
			i++
		:: else -> break
		od;
		own[0] = rowToken; begin_lease(0);
		i = 0;
		do
		:: i < NODES -> run node(i); i++
		:: else -> break
		od;
		run store() }
}
