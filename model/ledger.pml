/*
 * The at-most-once ledger: concurrent attempts of one call at different nodes.
 *
 * ATTEMPTS attempts share one idempotency key. The table may lose the response
 * to a write that it applied. A node may crash at any step. The response of the
 * service may be lost after it ran the call. Writes of the ledger entry are
 * conditional on its version.
 *
 * Claims: the call runs at most once. If every attempt responds "not-run", the
 * call did not run. If an attempt responds "ran", the call ran.
 *
 * Broken variants, each of which must fail: NO_ENTRY (send the call without
 * writing the ledger entry first), RETRY (send the call again after the response
 * of the service was lost), LIE (respond "not-run" to a call that was sent and
 * got no response).
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

mtype = { absent, begun, ran, unknown, notrun };

mtype state = absent; /* state of the ledger entry */
byte version = 0;
byte enteredBy = 255; /* attempt that wrote the entry */
byte runs = 0;
byte notRunResponses = 0;
byte responses = 0;
bool respondedRan = false;

inline respond_not_run() { atomic { notRunResponses++; responses++ } }
inline respond_unknown() { atomic { responses++ } }
inline respond_ran() { atomic { responses++; respondedRan = true } }

proctype Attempt(byte me) {
	byte seenVersion;
	bool responseLost;
	bool enteredByMe;
	byte retries = 0;
	mtype seenState;
read:
	atomic { seenState = state; seenVersion = version; enteredByMe = (enteredBy == me) }
	if
	:: seenState == absent || seenState == notrun ->
#ifdef NO_ENTRY
		goto send;
#endif
		if
		:: atomic {
			version == seenVersion -> state = begun; enteredBy = me; version++; seenVersion = version;
			if
			:: responseLost = false
			:: responseLost = true
			fi
		   };
		   if
		   :: responseLost -> goto read  /* read the entry back to learn the outcome */
		   :: else -> goto send
		   fi
		:: version != seenVersion -> goto read
		:: respond_not_run(); goto end  /* the table is down and nothing was written */
		:: goto end               /* the node crashes */
		fi
	:: seenState == begun && enteredByMe -> goto send
	:: seenState == begun && !enteredByMe ->
		if
		:: state != begun -> goto read
		:: respond_unknown(); goto end  /* deadline expired while another attempt ran */
		fi
	:: seenState == ran -> respond_ran(); goto end
	:: seenState == unknown -> respond_unknown(); goto end
	fi;
send:
	if
	:: runs++;                        /* the service runs the call */
	   if
	   :: if
	      :: atomic { version == seenVersion -> state = ran; version++ }
	      :: skip                     /* the outcome is never recorded */
	      fi;
	      respond_ran()
	   :: if                          /* the response of the service is lost */
	      :: atomic { version == seenVersion -> state = unknown; version++ }
	      :: skip
	      fi;
#ifdef RETRY
	      if
	      :: retries == 0 -> retries++; goto send
	      :: else -> skip
	      fi;
#endif
#ifdef LIE
	      respond_not_run()
#else
	      respond_unknown()
#endif
	   fi
	:: if                             /* the call was provably not sent */
	   :: atomic { version == seenVersion -> state = notrun; version++ }
	   :: skip
	   fi;
	   respond_not_run()
	:: skip                           /* the node crashes before it sends the call */
	fi;
end:
	assert(runs <= 1);
	assert(!respondedRan || runs == 1);
	assert(notRunResponses != ATTEMPTS || runs == 0)
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
