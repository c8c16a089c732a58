/*
 * The at-most-once ledger: attempts of one call at different nodes.
 *
 * ATTEMPTS attempts share one idempotency key. The table may lose the answer
 * of a write that it applied; a node may die at any step; the service may lose
 * its answer after it ran the call. The row is written conditionally on its
 * version.
 *
 * Claims: the call runs at most once; when every attempt was answered
 * "not-run", it did not run; an attempt answered "ran" means that it ran.
 *
 * Broken variants: NO_ENTRY (send without entering the call first), RETRY (send
 * again after a lost answer of the service), LIE (say "not-run" after a send
 * that got no answer).
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

mtype = { absent, begun, ran, unknown, notrun };

mtype row = absent;  /* state of the entry */
byte version = 0;
byte owner = 255;    /* the attempt that entered it */
byte runs = 0;
byte answeredNotRun = 0;
byte answered = 0;
bool saidRan = false;

inline say_not_run() { atomic { answeredNotRun++; answered++ } }
inline say_unknown() { atomic { answered++ } }
inline say_ran() { atomic { answered++; saidRan = true } }

proctype Attempt(byte me) {
	byte seen;
	bool lost;
	bool mine;
	byte tries = 0;
	mtype state;
read:
	atomic { state = row; seen = version; mine = (owner == me) }
	if
	:: state == absent || state == notrun ->
#ifdef NO_ENTRY
		goto send;
#endif
		if
		:: atomic {
			version == seen -> row = begun; owner = me; version++; seen = version;
			if
			:: lost = false
			:: lost = true
			fi
		   };
		   if
		   :: lost -> goto read   /* settle by reading back */
		   :: else -> goto send
		   fi
		:: version != seen -> goto read
		:: say_not_run(); goto end     /* the table is down: nothing was written */
		:: goto end                    /* the node dies */
		fi
	:: state == begun && mine -> goto send
	:: state == begun && !mine ->
		if
		:: row != begun -> goto read
		:: say_unknown(); goto end     /* waited until the deadline */
		fi
	:: state == ran -> say_ran(); goto end
	:: state == unknown -> say_unknown(); goto end
	fi;
send:
	if
	:: runs++;                         /* the service runs it */
	   if
	   :: if
	      :: atomic { version == seen -> row = ran; version++ }
	      :: skip                      /* the outcome is never recorded */
	      fi;
	      say_ran()
	   :: if                           /* its answer is lost */
	      :: atomic { version == seen -> row = unknown; version++ }
	      :: skip
	      fi;
#ifdef RETRY
	      if
	      :: tries == 0 -> tries++; goto send
	      :: else -> skip
	      fi;
#endif
#ifdef LIE
	      say_not_run()
#else
	      say_unknown()
#endif
	   fi
	:: if                              /* it provably was not sent */
	   :: atomic { version == seen -> row = notrun; version++ }
	   :: skip
	   fi;
	   say_not_run()
	:: skip                            /* the node dies before it sends */
	fi;
end:
	assert(runs <= 1);
	assert(!saidRan || runs == 1);
	assert(answeredNotRun != ATTEMPTS || runs == 0)
}

init {
	atomic {
		byte i = 0;
		do
		:: i < ATTEMPTS -> run Attempt(i); i++
		:: else -> break
		od
	}
}
