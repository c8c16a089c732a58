/*
 * Settings revisions: two operators race through different nodes, answers are
 * lost, and nodes learn revisions from the table and from peers.
 *
 * A change is one transaction on the head revision and the change's own id.
 * After a lost answer the node looks for its id before it tries again. A node
 * applies a revision only when it follows its own; a fresh node starts from a
 * peer's snapshot.
 *
 * Claims: no change is accepted twice; a change that was answered as accepted
 * is in the log; no node ever moves backwards; the operator that lost a race on
 * a document is told so (its base is checked in the same transaction), and no
 * operator is told of a conflict with a change that was in fact accepted.
 *
 * Broken variants: NO_ID (try again without looking for the id), BACKWARDS
 * (take whatever revision a peer sends), NO_BASE (do not check the base).
 */

#define NODES 2
#define MAX_REV 3

byte head = 0;
byte logged[MAX_REV + 1];   /* id of the change at each revision */
byte base[MAX_REV + 1];     /* head revision that the change was based on */
byte rev[NODES];            /* revision in force at each node */
byte count[3];              /* how often the change with each id is in the log */

#ifdef NO_ID
#define FRESH(id) true
#else
#define FRESH(id) (count[id] == 0)
#endif

inline commit(id, at) {
	head++;
	logged[head] = id;
	base[head] = at;
	count[id]++
}

/* An operator's change through a node; it was made while looking at `saw`. */
proctype Operator(byte id) {
	byte saw;
	byte at;
	bool lost;
	bool done = false;
	saw = head;
retry:
#ifndef NO_ID
	if
	:: count[id] > 0 -> done = true; goto end
	:: else -> skip
	fi;
#endif
	at = head;
	if
#ifndef NO_BASE
	:: at != saw ->                       /* conflict: the operator is told */
	   assert(count[id] == 0);
	   goto end
#endif
	:: else -> skip
	fi;
	if
	:: atomic {
		(head == at && head < MAX_REV && FRESH(id)) -> commit(id, saw);
		if
		:: lost = false
		:: lost = true
		fi
	   };
	   if
	   :: lost -> goto retry
	   :: else -> done = true
	   fi
	:: head != at -> goto retry
	:: goto end                           /* the table stays down: unknown */
	fi;
end:
	assert(count[id] <= 1);
	assert(!done || count[id] == 1);
	assert(!done || base[head] <= head)
}

proctype Node(byte me) {
	byte got;
	byte before;
	do
	:: atomic { rev[me] < head -> rev[me]++ }        /* from the table, in order */
	:: got = rev[1 - me];                            /* a peer's answer, which may be late */
	   before = rev[me];
#ifdef BACKWARDS
	   rev[me] = got;
#else
	   atomic {
		if
		:: got > rev[me] -> rev[me] = got
		:: else -> skip
		fi
	   }
#endif
	   assert(rev[me] >= before)
	:: timeout -> break
	od
}

/* Every change in the log was based on the revision before it. */
#define ORDERED(r) (logged[r] == 0 || base[r] == r - 1)

active proctype Audit() {
	end: do
	:: atomic { !(ORDERED(1) && ORDERED(2) && ORDERED(3)) -> assert(false) }
	od
}

init {
	atomic {
		run Node(0);
		run Node(1);
		run Operator(1);
		run Operator(2)
	}
}
