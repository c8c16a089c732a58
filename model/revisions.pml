/*
 * Settings revisions: two operators submit conflicting changes through different
 * nodes, responses are lost, and nodes receive revisions from the table and from
 * peers.
 *
 * A change is one transaction on the head revision and the id of the change.
 * After a lost response the node looks up the id before it retries. A node applies
 * a revision from the table only if it directly follows the node's own; a new node
 * starts from a peer's snapshot.
 *
 * Claims: no change is accepted twice. A change that was reported as accepted is
 * in the log. The revision of a node never decreases. The operator whose change
 * lost a race on a document gets a conflict, since the base revision is checked in
 * the same transaction. No operator gets a conflict for a change that was accepted.
 *
 * Broken variants, each of which must fail: NO_ID (retry without looking up the
 * id), BACKWARDS (apply any revision that a peer sends), NO_BASE (do not check the
 * base revision).
 */

#define NODES 2
#define MAX_REV 3

byte head = 0;
byte loggedId[MAX_REV + 1]; /* id of the change at each revision */
byte baseRev[MAX_REV + 1];  /* head revision that each change is based on */
byte nodeRev[NODES];        /* revision in force at each node */
byte accepted[3];           /* log entries with each change id */

#ifdef NO_ID
#define ID_UNUSED(id) true
#else
#define ID_UNUSED(id) (accepted[id] == 0)
#endif

inline commit(id, base) {
	head++;
	loggedId[head] = id;
	baseRev[head] = base;
	accepted[id]++
}

/* Submits an operator's change through a node. The change is based on `baseHead`. */
proctype Operator(byte id) {
	byte baseHead;
	byte headRead;
	bool responseLost;
	bool confirmed = false;
	baseHead = head;
retry:
#ifndef NO_ID
	if
	:: accepted[id] > 0 -> confirmed = true; goto end
	:: else -> skip
	fi;
#endif
	headRead = head;
	if
#ifndef NO_BASE
	:: headRead != baseHead ->                  /* the operator gets a conflict */
	   assert(accepted[id] == 0);
	   goto end
#endif
	:: else -> skip
	fi;
	if
	:: atomic {
		(head == headRead && head < MAX_REV && ID_UNUSED(id)) -> commit(id, baseHead);
		if
		:: responseLost = false
		:: responseLost = true
		fi
	   };
	   if
	   :: responseLost -> goto retry
	   :: else -> confirmed = true
	   fi
	:: head != headRead -> goto retry
	:: goto end                                 /* the table stays down, outcome unknown */
	fi;
end:
	assert(accepted[id] <= 1);
	assert(!confirmed || accepted[id] == 1);
	assert(!confirmed || baseRev[head] <= head)
}

proctype Node(byte me) {
	byte received;
	byte previous;
	do
	:: atomic { nodeRev[me] < head -> nodeRev[me]++ }  /* from the table, in order */
	:: received = nodeRev[1 - me];              /* from a peer; the response may be delayed */
	   previous = nodeRev[me];
#ifdef BACKWARDS
	   nodeRev[me] = received;
#else
	   atomic {
		if
		:: received > nodeRev[me] -> nodeRev[me] = received
		:: else -> skip
		fi
	   }
#endif
	   assert(nodeRev[me] >= previous)
	:: timeout -> break
	od
}

/* Each change in the log is based on the revision directly before it. */
#define BASED_ON_PREVIOUS(r) (loggedId[r] == 0 || baseRev[r] == r - 1)

active proctype Audit() {
	end: do
	:: atomic { !(BASED_ON_PREVIOUS(1) && BASED_ON_PREVIOUS(2) && BASED_ON_PREVIOUS(3)) -> assert(false) }
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
