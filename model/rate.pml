/*
 * Tokens of one workspace in one data centre: a holder that lends them, its
 * successor, and two hosts that spend. Time passes in ticks. Messages may take
 * any time; grants expire at their spender, counted from before it asked.
 *
 * Property: in every interval, admitted requests are at most rate * t + burst.
 * Each rule can be left out with a macro, and the property must break then.
 */

#define RATE   1   /* tokens a tick */
#define BURST  2
#define TTL    2   /* ticks in which a grant may be used */
#define LEASE  1   /* ticks in which a holder may act without proof */
#define WAIT   (TTL + LEASE)
#ifndef END
#define END    8   /* ticks of a run */
#endif
#define NONE   255

byte now = 0;
byte level = 0;         /* requests admitted beyond the rate, never below zero */

/* Holder 0 holds until it is replaced by holder 1. */
byte tokens[2];
byte loan[2];           /* tokens lent and not expired; one loan each suffices */
byte loanUntil[2];
bool holds[2];
byte accrueFrom = 0;    /* of holder 1 */
byte proofUntil = 0;    /* up to when holder 0 may act */
bool replaced = false;

/* One host asks each holder: when it asked, what it has, and until when. */
byte askedAt[2];
bool asking[2];
byte grant[2];
byte grantUntil[2];
byte flyingGrant[2];

#ifdef NO_LOANS
#define room(h) (BURST)
#else
#define room(h) (BURST - (now < loanUntil[h] -> loan[h] : 0))
#endif

#ifdef NO_LEASE
#define mayAct(h) holds[h]
#else
#define mayAct(h) (holds[h] && (h == 1 || now < proofUntil))
#endif

inline admit() {
	d_step {
		level++;
		assert(level <= BURST)
	}
}

active proctype Fleet() {
	byte h;
	tokens[0] = BURST; holds[0] = true; proofUntil = LEASE;
	do
	/* Time passes: accounts accrue up to their caps. */
	:: d_step { now < END ->
		now++;
		level = (level > RATE -> level - RATE : 0);
		h = 0;
		do
		:: h < 2 ->
			if
			:: now >= loanUntil[h] -> loan[h] = 0
			:: else
			fi;
			if
			:: holds[h] && (h == 0 || now > accrueFrom) ->
				tokens[h] = tokens[h] + RATE;
				if
				:: tokens[h] > room(h) -> tokens[h] = room(h)
				:: else
				fi
			:: else
			fi;
			h++
		:: else -> break
		od;
		h = 0 }

	/* Holder 0 proves that it holds, as long as nobody has replaced it. */
	:: atomic { !replaced && proofUntil < now + LEASE -> proofUntil = now + LEASE }

	/* Holder 1 takes over. Holder 0 goes on until its lease has run out. */
	:: atomic { !replaced ->
		replaced = true; holds[1] = true; tokens[1] = 0;
#ifdef NO_WAIT
		accrueFrom = now
#else
		accrueFrom = now + WAIT
#endif
		}

	/* A host asks a holder. */
	:: atomic { !asking[0] -> asking[0] = true; askedAt[0] = now }
	:: atomic { !asking[1] && replaced -> asking[1] = true; askedAt[1] = now }

	/* The holder lends what it has. */
	:: atomic { asking[0] && flyingGrant[0] == 0 && mayAct(0) && tokens[0] > 0 && loan[0] == 0 ->
		flyingGrant[0] = tokens[0]; loan[0] = tokens[0]; loanUntil[0] = now + TTL; tokens[0] = 0 }
	:: atomic { asking[1] && flyingGrant[1] == 0 && mayAct(1) && tokens[1] > 0 && loan[1] == 0 ->
		flyingGrant[1] = tokens[1]; loan[1] = tokens[1]; loanUntil[1] = now + TTL; tokens[1] = 0 }

	/* The grant arrives, perhaps too late to be used. */
	:: atomic { flyingGrant[0] > 0 && grant[0] == 0 ->
		grant[0] = flyingGrant[0]; grantUntil[0] = askedAt[0] + TTL; flyingGrant[0] = 0; asking[0] = false }
	:: atomic { flyingGrant[1] > 0 && grant[1] == 0 ->
		grant[1] = flyingGrant[1]; grantUntil[1] = askedAt[1] + TTL; flyingGrant[1] = 0; asking[1] = false }

	/* Requests spend grants. */
#ifdef NO_EXPIRY
	:: atomic { grant[0] > 0 -> grant[0]--; admit() }
	:: atomic { grant[1] > 0 -> grant[1]--; admit() }
#else
	:: atomic { grant[0] > 0 && now < grantUntil[0] -> grant[0]--; admit() }
	:: atomic { grant[1] > 0 && now < grantUntil[1] -> grant[1]--; admit() }
	:: atomic { grant[0] > 0 && now >= grantUntil[0] -> grant[0] = 0 }
	:: atomic { grant[1] > 0 && now >= grantUntil[1] -> grant[1] = 0 }
#endif
	:: now >= END -> break
	od
}
