/*
 * The keeper of one account's quota: joins, death, cuts and freezes.
 *
 * The quota is one unit, which the bucket of a keeper has again once the lease on it has expired.
 * Node 0 is preferred to node 1, and node 1 to node 2. Node 0 joins later, so node 1 is the keeper at
 * first. The rows are the sessions in the store; a node reads them when it can, and its view is the
 * preferred node among them. A session ends if its node is dead, frozen, or cut from the others and aware
 * of that. A cut node reaches neither the store nor the others.
 *
 * A node that becomes the keeper in its view waits. It asks each other node to yield: one that granted
 * leases and knows of a majority stops, and hands on which leases are valid, so that the new keeper
 * grants at once. Otherwise the new keeper must wait for the leases that were valid when it began, and, for a node that does not
 * answer, until that node has looked at its majority again. A keeper grants only while it knows of a
 * majority: the nodes that take it for the keeper and that it reaches. This knowledge may be old until
 * the keeper looks again. A keeper that gains a majority waits as at first for those that may know of one
 * still. A frozen node starts again when it goes on.
 *
 * Time is not modelled. A step that needs a waiting time is possible only once what it waits for has
 * passed: the leases of the mask ledger have expired, and the nodes of the mask await have looked again.
 * Own shares are not modelled: they are reserved by the rate, not by leases.
 *
 * Claim: no two valid leases on the unit. Since a lease is spent at its node alone, this bounds what all
 * nodes spend.
 *
 * Broken variants, each of which must fail: NO_WAIT (a new keeper grants again at once what a dead one has
 * granted), NO_STOP (the former keeper goes on after it has yielded), NO_LEDGER (it hands on the unit
 * without the leases), NO_MAJORITY (a keeper grants to any node), NO_AWAIT (a new keeper waits for leases
 * only, not for a keeper that does not answer), NO_RESTART (a frozen keeper goes on as before), and
 * CLOCK_STOPS (a lease does not expire at a node while that is frozen).
 */

#ifndef CUTS
#define CUTS 1
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#ifndef FREEZES
#define FREEZES 1
#endif
#define N 3
#define BIT(i) (1 << (i))
#define OTHERS(i) (7 & ~BIT(i))
#define PREFERRED(m) (((m) & 1) -> 0 : (((m) & 2) -> 1 : 2))

byte alive = 6, frozen = 0, cutOff = 0, rows = 6; /* masks */
byte view[N];
byte granting = 2;  /* mask: nodes that grant leases */
byte waiting = 0; /* mask */
byte yielded = 0; /* mask: nodes that name their successor until they read the rows */
byte majority = 2; /* mask: nodes that know of a majority */
byte ledger[N];   /* masks, by granting node: valid leases that the keeper must wait for */
byte await[N];    /* masks: nodes that must look at their majority again */
byte valid = 0;   /* mask, by granting node: leases on the unit */
byte holder[N];
byte joins = 0, deaths = 0, cuts = 0, freezes = 0;

#define RUNS(i) ((alive & BIT(i)) && !(frozen & BIT(i)))
#define REACHES(i, j) (RUNS(i) && RUNS(j) && ((i) == (j) || !((cutOff & BIT(i)) || (cutOff & BIT(j)))))
#define SUPPORTS(j, i) (REACHES(i, j) && view[j] == (i) && !(yielded & BIT(j)))
#define HAS_MAJORITY(i) (SUPPORTS(0, i) + SUPPORTS(1, i) + SUPPORTS(2, i) >= 2)
#ifdef NO_MAJORITY
#define MAJORITY(i) true
#define KNOWS_MAJORITY(i) true
#else
#define MAJORITY(i) HAS_MAJORITY(i)
#define KNOWS_MAJORITY(i) (majority & BIT(i))
#endif

#ifdef CLOCK_STOPS
#define SPENDABLE(g) (frozen & BIT(holder[g]))
#else
#define SPENDABLE(g) false
#endif

byte late = 0; /* mask, by granting node: leases that have expired for all but their frozen holder */
byte lateHolder[N];

inline forget(i) {
	granting = granting & ~BIT(i); waiting = waiting & ~BIT(i); yielded = yielded & ~BIT(i);
	majority = majority & ~BIT(i); ledger[i] = 0; await[i] = 0
}

/* Node i need not be waited for any more; its last lease counts from now. */
inline looked_for(k, i) {
	if
	:: await[k] & BIT(i) -> await[k] = await[k] & ~BIT(i); ledger[k] = ledger[k] | (valid & BIT(i))
	:: else
	fi
}
inline looked(i) { looked_for(0, i); looked_for(1, i); looked_for(2, i) }

inline wait_for_others(i) {
#ifdef NO_WAIT
	ledger[i] = 0;
#else
	ledger[i] = valid;
#endif
#ifdef NO_AWAIT
	await[i] = 0
#else
	await[i] = OTHERS(i) & alive & ~frozen
#endif
}

inline read_rows(i) {
	view[i] = PREFERRED(rows | BIT(i));
	yielded = yielded & ~BIT(i);
	if
	:: view[i] != i -> forget(i); looked(i)
	:: else
	fi
}

proctype node(byte i) {
	byte j;
	do
	:: atomic { i == 0 && !(alive & BIT(i)) && joins < 1 -> joins++; alive = alive | BIT(i); rows = rows | BIT(i); view[i] = i }
	:: atomic { RUNS(i) && deaths < DEATHS -> deaths++; alive = alive & ~BIT(i); forget(i); looked(i) }
	:: atomic { RUNS(i) && freezes < FREEZES -> freezes++; frozen = frozen | BIT(i); looked(i) }
	:: atomic { (frozen & BIT(i)) -> frozen = frozen & ~BIT(i);
#ifndef NO_RESTART
		forget(i);
#endif
		if
		/* With its clock stopped, it takes a lease that has expired for valid. */
		:: (late & BIT(0)) && lateHolder[0] == i -> assert(!valid)
		:: (late & BIT(1)) && lateHolder[1] == i -> assert(!valid)
		:: (late & BIT(2)) && lateHolder[2] == i -> assert(!valid)
		:: else
		fi;
		j = 0;
		do
		:: j < N ->
			if
			:: lateHolder[j] == i -> late = late & ~BIT(j); lateHolder[j] = 0
			:: else
			fi;
			j++
		:: else -> break
		od;
		j = 0 }
	:: atomic { RUNS(i) && !cutOff && cuts < CUTS -> cuts++; cutOff = BIT(i) }
	:: atomic { (cutOff & BIT(i)) -> cutOff = 0 }
	/* Its session ends, or is registered again. */
	:: atomic { (rows & BIT(i)) && (!RUNS(i) || (cutOff & BIT(i)) && !(majority & BIT(i))) -> rows = rows & ~BIT(i) }
	:: atomic { RUNS(i) && !(cutOff & BIT(i)) && !(rows & BIT(i)) -> rows = rows | BIT(i) }
	:: atomic { RUNS(i) && !(cutOff & BIT(i)) && (view[i] != PREFERRED(rows | BIT(i)) || (yielded & BIT(i))) -> read_rows(i) }
	/* It becomes the keeper. */
	:: atomic { RUNS(i) && view[i] == i && !((granting | waiting | yielded) & BIT(i)) -> waiting = waiting | BIT(i); wait_for_others(i) }
	/* It asks another node to yield. */
	:: atomic { (waiting & BIT(i)) && RUNS(i) ->
		if
		:: j = 0
		:: j = 1
		:: j = 2
		fi;
		if
		:: j != i && REACHES(i, j) && (granting & BIT(j)) && KNOWS_MAJORITY(j) ->
			waiting = waiting & ~BIT(i); granting = granting | BIT(i);
			/* It takes the majority for granted until it looks. */
			majority = majority | BIT(i);
			/* The former keeper hands on what it accounts for. */
#ifdef NO_LEDGER
			ledger[i] = 0;
#else
			ledger[i] = ledger[j] & valid;
#endif
			await[i] = await[j] & ~BIT(i);
#ifndef NO_STOP
			granting = granting & ~BIT(j);
			if
			:: view[j] == j -> yielded = yielded | BIT(j)
			:: else
			fi;
			majority = majority & ~BIT(j);
			looked(j)
#endif
		:: else
		fi;
		j = 0 }
	/* It begins to grant. */
	:: atomic { (waiting & BIT(i)) && RUNS(i) && !(ledger[i] & valid) && !await[i] -> waiting = waiting & ~BIT(i); granting = granting | BIT(i) }
	/* It looks at its majority. */
	:: atomic { RUNS(i) && MAJORITY(i) && !(majority & BIT(i)) && (granting & BIT(i)) -> majority = majority | BIT(i); looked(i); wait_for_others(i) }
	:: atomic { RUNS(i) && !MAJORITY(i) && (majority & BIT(i)) -> majority = majority & ~BIT(i); looked(i) }
	/* It grants a lease to node j. */
	:: atomic { RUNS(i) && (granting & BIT(i)) && KNOWS_MAJORITY(i) && !(ledger[i] & valid) && !await[i] ->
		if
		:: j = 0
		:: j = 1
		:: j = 2
		fi;
		if
		:: REACHES(i, j) && view[j] == i ->
			assert(!valid);
			valid = valid | BIT(i); holder[i] = j; ledger[i] = ledger[i] | BIT(i)
		:: else
		fi;
		j = 0 }
	/* A lease that it granted expires. */
	:: atomic { (valid & BIT(i)) ->
		if
		:: SPENDABLE(i) -> late = late | BIT(i); lateHolder[i] = holder[i]
		:: else
		fi;
		valid = valid & ~BIT(i); holder[i] = 0 }
	od
}

init {
	atomic {
		view[0] = 0; view[1] = 1; view[2] = 1;
		run node(0); run node(1); run node(2) }
}
