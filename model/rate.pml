/*
 * The rate limit of one workspace in one data centre: a coordinator that grants
 * tokens, the coordinator that replaces it, and two hosts that spend the tokens.
 * Time advances in ticks. Messages may be delayed by any time. A grant expires
 * at the host that received it, after a time that starts before its request.
 *
 * Property: in every interval of t ticks, at most rate * t + burst requests are
 * admitted. Each rule can be disabled with a macro, and the property must be
 * violated then.
 */

#define RATE      1   /* tokens per tick */
#define BURST     2
#define GRANT_TTL 2   /* ticks until a grant expires */
#define LEASE     1   /* ticks for which a proof of slot ownership is valid */
#define WAIT      (GRANT_TTL + LEASE)
#ifndef END
#define END       8   /* ticks in a run */
#endif
#define NONE      255

byte now = 0;
byte excess = 0;            /* requests admitted beyond the rate, never below zero */

/* Coordinator 0 is active until coordinator 1 replaces it. After that, it
 * continues to grant tokens until its lease expires. */
byte tokens[2];
byte outstanding[2];        /* tokens granted and not expired; the model limits each coordinator to one grant */
byte outstandingUntil[2];
bool isActive[2];
byte accrueFrom = 0;        /* tick after which coordinator 1 accrues tokens */
byte leaseUntil = 0;        /* expiry of the lease of coordinator 0 */
bool replaced = false;

/* State of the two hosts. Host 0 requests tokens from coordinator 0, and host 1
 * from coordinator 1. */
byte requestedAt[2];
bool requesting[2];
byte grant[2];
byte grantExpiresAt[2];
byte grantInFlight[2];

/* Upper limit of a coordinator's tokens. Outstanding grants count against it. */
#ifdef NO_LOANS
#define availableCap(index) (BURST)
#else
#define availableCap(index) (BURST - (now < outstandingUntil[index] -> outstanding[index] : 0))
#endif

#ifdef NO_LEASE
#define mayGrant(index) isActive[index]
#else
#define mayGrant(index) (isActive[index] && (index == 1 || now < leaseUntil))
#endif

inline admit() {
	d_step {
		excess++;
		assert(excess <= BURST)
	}
}

active proctype Fleet() {
	byte index;
	tokens[0] = BURST; isActive[0] = true; leaseUntil = LEASE;
	do
	/* Time advances, and accounts accrue tokens up to their caps. */
	:: d_step { now < END ->
		now++;
		excess = (excess > RATE -> excess - RATE : 0);
		index = 0;
		do
		:: index < 2 ->
			if
			:: now >= outstandingUntil[index] -> outstanding[index] = 0
			:: else
			fi;
			if
			:: isActive[index] && (index == 0 || now > accrueFrom) ->
				tokens[index] = tokens[index] + RATE;
				if
				:: tokens[index] > availableCap(index) -> tokens[index] = availableCap(index)
				:: else
				fi
			:: else
			fi;
			index++
		:: else -> break
		od;
		index = 0 }

	/* Coordinator 0 renews its lease while it has not been replaced. */
	:: atomic { !replaced && leaseUntil < now + LEASE -> leaseUntil = now + LEASE }

	/* Coordinator 1 takes over. Coordinator 0 continues until its lease expires,
	 * so that coordinator 1 has to wait for the lease and the grants. */
	:: atomic { !replaced ->
		replaced = true; isActive[1] = true; tokens[1] = 0;
#ifdef NO_WAIT
		accrueFrom = now
#else
		accrueFrom = now + WAIT
#endif
		}

	/* A host requests tokens. */
	:: atomic { !requesting[0] -> requesting[0] = true; requestedAt[0] = now }
	:: atomic { !requesting[1] && replaced -> requesting[1] = true; requestedAt[1] = now }

	/* A coordinator grants all its tokens. */
	:: atomic { requesting[0] && grantInFlight[0] == 0 && mayGrant(0) && tokens[0] > 0 && outstanding[0] == 0 ->
		grantInFlight[0] = tokens[0]; outstanding[0] = tokens[0]; outstandingUntil[0] = now + GRANT_TTL; tokens[0] = 0 }
	:: atomic { requesting[1] && grantInFlight[1] == 0 && mayGrant(1) && tokens[1] > 0 && outstanding[1] == 0 ->
		grantInFlight[1] = tokens[1]; outstanding[1] = tokens[1]; outstandingUntil[1] = now + GRANT_TTL; tokens[1] = 0 }

	/* A grant arrives, possibly after it has expired. */
	:: atomic { grantInFlight[0] > 0 && grant[0] == 0 ->
		grant[0] = grantInFlight[0]; grantExpiresAt[0] = requestedAt[0] + GRANT_TTL; grantInFlight[0] = 0; requesting[0] = false }
	:: atomic { grantInFlight[1] > 0 && grant[1] == 0 ->
		grant[1] = grantInFlight[1]; grantExpiresAt[1] = requestedAt[1] + GRANT_TTL; grantInFlight[1] = 0; requesting[1] = false }

	/* Requests spend granted tokens. */
#ifdef NO_EXPIRY
	:: atomic { grant[0] > 0 -> grant[0]--; admit() }
	:: atomic { grant[1] > 0 -> grant[1]--; admit() }
#else
	:: atomic { grant[0] > 0 && now < grantExpiresAt[0] -> grant[0]--; admit() }
	:: atomic { grant[1] > 0 && now < grantExpiresAt[1] -> grant[1]--; admit() }
	:: atomic { grant[0] > 0 && now >= grantExpiresAt[0] -> grant[0] = 0 }
	:: atomic { grant[1] > 0 && now >= grantExpiresAt[1] -> grant[1] = 0 }
#endif
	:: now >= END -> break
	od
}
