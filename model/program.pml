/*
 * The core protocol of a program: two hosts, an adversarial log, and the
 * calls of one program.
 *
 * The log is a sequence of records. A host appends without learning whether
 * the append took effect, reads records in order, and acts only on what it has
 * read. Hosts pause at any point (another process runs), crash and come back
 * without memory. An append may land much later than it was sent.
 *
 * Each rule of the protocol can be left out with a macro. model/check.sh
 * verifies that the properties hold with all rules, and that every build
 * without one of them fails.
 */

#define HOSTS     2
#ifndef CALLS
#define CALLS     1   /* non-idempotent calls */
#endif
#ifndef LOG
#define LOG       6   /* most records of a run */
#endif
#ifndef FLYING
#define FLYING    2   /* most appends that have neither landed nor been lost */
#endif
#ifndef TRIES
#define TRIES     2   /* attempts at calls in a run */
#endif
#define CRASHES   1
#define BUDGET    1   /* tokens; a call costs 1 */
#define SLICE     1

#define NONE      255

/* Kinds of records. */
#define CLAIM     1
#define INTENT    2
#define OUTCOME   3   /* ran */
#define UNKNOWN   4
#define VOID      5   /* not run */
#define GRANT     6

typedef Record { byte kind; byte host; byte epoch; byte call; byte attempt; byte value }

Record ledger[LOG];
byte length = 0;

byte runs[CALLS];         /* executions by the target */
bool refusedNotRun[CALLS];/* the caller was told "not run" and has not sent again */
byte consumed = 0;        /* tokens consumed at targets */
byte attempts = 0;
byte crashes = 0;
byte sends[CALLS];
byte waiting[CALLS];      /* sends without an answer; those to a crashed host stay */

/* What a host knows: the fold of what it has read, and its own call. */
typedef Host {
	byte cursor;
	byte epoch;           /* of the slot */
	byte owner;
	byte id;              /* incarnation */
	byte intentCall;      /* open intent */
	byte intentAttempt;
	byte granted;
	byte spent;
	byte forfeited;
	byte done;            /* bit by call that has an outcome "ran" or "unknown" */
	byte call;            /* call that this host works on */
	byte attempt;
	byte stage;           /* 0 idle, 1 intent sent, 2 dispatched, 3 run, 4 outcome sent */
	byte abandoned;       /* attempt that this host gave up */
	bool wants;           /* wants to claim, once */
}

Host hosts[HOSTS];

/* Records that were sent and have not landed. They may land at any time, also
 * after their host has crashed. */
chan flying = [FLYING] of { byte, byte, byte, byte, byte, byte };

inline append(kind_, host_, epoch_, call_, attempt_, value_) {
	if
	:: nfull(flying) -> flying ! kind_, host_, epoch_, call_, attempt_, value_
	:: full(flying) -> skip /* the append is lost */
	fi
}

/* Log lets any record in flight take effect, once or twice, in any order. A
 * record that is never chosen is lost. */
proctype Log() {
	byte kind_, host_, epoch_, call_, attempt_, value_;
	do
	:: atomic { nempty(flying) && length < LOG ->
		if
		:: flying ? kind_, host_, epoch_, call_, attempt_, value_
		:: flying ? <kind_, host_, epoch_, call_, attempt_, value_> /* the writer repeats it */
		:: len(flying) > 1 ->  /* overtaken by the next one */
			flying ? kind_, host_, epoch_, call_, attempt_, value_;
			flying ! kind_, host_, epoch_, call_, attempt_, value_;
			flying ? kind_, host_, epoch_, call_, attempt_, value_
		fi;
		ledger[length].kind = kind_; ledger[length].host = host_;
		ledger[length].epoch = epoch_; ledger[length].call = call_;
		ledger[length].attempt = attempt_; ledger[length].value = value_;
		length++
	   }
	:: timeout -> break
	od
}

/* dispatch runs the host's call at the target. */
inline dispatch(me) {
	hosts[me].stage = 2
}

/* read folds one record and reacts as the machine does. */
inline read(me) {
	d_step {
		r = hosts[me].cursor;
		hosts[me].cursor++
	}
	if
	:: ledger[r].kind == CLAIM ->
		if
		:: ledger[r].epoch > hosts[me].epoch ->
			hosts[me].epoch = ledger[r].epoch;
			hosts[me].owner = ledger[r].host;
#ifndef NO_FORFEIT
			hosts[me].forfeited = hosts[me].granted - hosts[me].spent;
#endif
			if /* an owner that loses the slot gives up what is not dispatched */
			:: hosts[me].owner != hosts[me].id && hosts[me].stage == 1 ->
				hosts[me].stage = 0; hosts[me].call = NONE
			:: else
			fi
		:: else
		fi
	:: ledger[r].kind == GRANT ->
		if
		:: ledger[r].epoch == hosts[me].epoch && ledger[r].value > hosts[me].granted && ledger[r].value <= BUDGET ->
			hosts[me].granted = ledger[r].value
		:: else
		fi
	:: ledger[r].kind == INTENT ->
		accepted = (ledger[r].epoch == hosts[me].epoch);
#ifndef NO_SINGLE
		accepted = accepted && hosts[me].intentAttempt == NONE;
#endif
#ifndef NO_SETTLED
		accepted = accepted && !(hosts[me].done & (1 << ledger[r].call));
#endif
		if
		:: accepted ->
			hosts[me].intentCall = ledger[r].call;
			hosts[me].intentAttempt = ledger[r].attempt;
			if
			:: ledger[r].attempt == hosts[me].attempt && hosts[me].stage == 1 -> dispatch(me)
#ifndef NO_VOID
			:: ledger[r].attempt == hosts[me].abandoned && hosts[me].abandoned != NONE ->
				append(VOID, hosts[me].id, hosts[me].epoch, ledger[r].call, ledger[r].attempt, 0)
#else
			:: ledger[r].attempt == hosts[me].abandoned && hosts[me].abandoned != NONE ->
				hosts[me].call = ledger[r].call; hosts[me].attempt = ledger[r].attempt; dispatch(me)
#endif
			:: else
			fi
		:: else ->
			if
			:: ledger[r].attempt == hosts[me].attempt && hosts[me].stage == 1 ->
				hosts[me].stage = 0; hosts[me].call = NONE /* moved, not run */
			:: else
			fi
		fi
	:: ledger[r].kind == OUTCOME || ledger[r].kind == UNKNOWN || ledger[r].kind == VOID ->
		if
		:: ledger[r].attempt == hosts[me].intentAttempt ->
			hosts[me].intentAttempt = NONE;
			hosts[me].intentCall = NONE;
			if
			:: ledger[r].kind != VOID ->
				hosts[me].done = hosts[me].done | (1 << ledger[r].call);
				if
				:: ledger[r].kind == OUTCOME ->
					hosts[me].spent = hosts[me].spent + 1;
					if
					:: hosts[me].forfeited > 0 && hosts[me].spent + hosts[me].forfeited > hosts[me].granted ->
						hosts[me].forfeited = hosts[me].forfeited - 1
					:: else
					fi
				:: else
				fi
			:: else
			fi
		:: else
		fi;
		if
		:: ledger[r].attempt == hosts[me].attempt && hosts[me].stage == 4 ->
			hosts[me].stage = 0; hosts[me].call = NONE
		:: else
		fi
	fi
}

/* mayStart says whether the owner may begin a call. */
#ifdef NO_SINGLE
#define noOpenIntent(me) true
#else
#define noOpenIntent(me) (hosts[me].intentAttempt == NONE || hosts[me].intentAttempt == hosts[me].abandoned)
#endif
#ifdef NO_SETTLED
#define unsettled(me, c) true
#else
#define unsettled(me, c) (!(hosts[me].done & (1 << c)))
#endif
#define mayStart(me, c) (hosts[me].owner == hosts[me].id && hosts[me].stage == 0 && unsettled(me, c) && noOpenIntent(me))

#ifndef WITH_BUDGET
#define mayReserve(me) true
#elif defined(NO_GRANT)
#define mayReserve(me) true
#else
#define mayReserve(me) (hosts[me].spent + hosts[me].forfeited + 1 <= hosts[me].granted)
#endif

/* start announces a call of a caller. */
inline start(me, c) {
	sends[c]++;
	waiting[c]++;
	refusedNotRun[c] = false;
	attempts++;
	hosts[me].call = c; hosts[me].attempt = attempts; hosts[me].stage = 1;
#ifdef NO_INTENT
	dispatch(me)
#else
	append(INTENT, hosts[me].id, hosts[me].epoch, c, attempts, 0)
#endif
}

proctype Machine(byte me) {
	byte r;
	bool accepted;
	do
	:: atomic { hosts[me].cursor < length -> read(me) }

	/* Claim the slot. Any host may believe that it should. */
	:: atomic { hosts[me].wants && hosts[me].owner != hosts[me].id ->
		hosts[me].wants = false;
		append(CLAIM, hosts[me].id, hosts[me].epoch + 1, NONE, NONE, 0) }

#ifdef WITH_BUDGET
	/* Extend the budget slice. */
	:: atomic { hosts[me].owner == hosts[me].id && hosts[me].stage == 0 && hosts[me].granted < BUDGET &&
		hosts[me].spent + hosts[me].forfeited + 1 > hosts[me].granted && empty(flying) ->
		append(GRANT, hosts[me].id, hosts[me].epoch, NONE, NONE, hosts[me].granted + SLICE) }
#endif

	/* A caller sends a call, for the first time or again. */
	:: atomic { sends[0] < 2 && mayStart(me, 0) && mayReserve(me) && attempts < TRIES -> start(me, 0) }
#if CALLS > 1
	:: atomic { sends[1] < 2 && mayStart(me, 1) && mayReserve(me) && attempts < TRIES -> start(me, 1) }
#endif

#ifdef NO_READBACK
	/* Mutant: dispatch once the append was sent, without reading it back. */
	:: atomic { hosts[me].stage == 1 -> dispatch(me) }
#endif

	/* Give up a call whose intent was not read in time. */
	:: atomic { hosts[me].stage == 1 && hosts[me].abandoned == NONE ->
		hosts[me].abandoned = hosts[me].attempt;
		waiting[hosts[me].call]--;
		refusedNotRun[hosts[me].call] = (waiting[hosts[me].call] == 0);
		hosts[me].stage = 0; hosts[me].call = NONE; hosts[me].attempt = NONE }

	/* The target runs the call. */
	:: atomic { hosts[me].stage == 2 ->
		assert(!refusedNotRun[hosts[me].call]); /* told "not run" and run all the same */
		runs[hosts[me].call]++;
		assert(runs[hosts[me].call] <= 1);      /* at most once */
#ifdef WITH_BUDGET
		consumed++;
#endif
#ifdef WITH_BUDGET
		assert(consumed <= BUDGET);             /* within the budget */
#endif
		hosts[me].stage = 3 }

	/* The outcome goes to the log, from whatever epoch. */
	:: atomic { hosts[me].stage == 3 ->
		hosts[me].stage = 4;
		append(OUTCOME, hosts[me].id, hosts[me].epoch, hosts[me].call, hosts[me].attempt, 0) }

	/* A successor rules that the outcome of an inherited intent is unknown. */
	:: atomic { hosts[me].owner == hosts[me].id && hosts[me].intentAttempt != NONE &&
		hosts[me].intentAttempt != hosts[me].attempt && hosts[me].intentAttempt != hosts[me].abandoned &&
		hosts[me].stage == 0 && empty(flying) ->
		append(UNKNOWN, hosts[me].id, hosts[me].epoch, hosts[me].intentCall, hosts[me].intentAttempt, 0) }

	/* The host is replaced by one without memory. */
	:: atomic { me == 0 && crashes < CRASHES ->
		crashes++;
#ifndef NO_INCARNATION
		hosts[me].id = HOSTS;
#endif
		hosts[me].cursor = 0; hosts[me].epoch = 0; hosts[me].owner = NONE;
		hosts[me].intentCall = NONE; hosts[me].intentAttempt = NONE;
		hosts[me].granted = 0; hosts[me].spent = 0; hosts[me].forfeited = 0; hosts[me].done = 0;
		hosts[me].call = NONE; hosts[me].attempt = NONE; hosts[me].stage = 0; hosts[me].abandoned = NONE;
		hosts[me].wants = true }
	:: timeout -> break
	od
}

init {
	byte i = 0;
	atomic {
		do
		:: i < HOSTS ->
			hosts[i].id = i; hosts[i].owner = NONE; hosts[i].intentCall = NONE; hosts[i].intentAttempt = NONE;
			hosts[i].call = NONE; hosts[i].attempt = NONE; hosts[i].abandoned = NONE; hosts[i].wants = true;
			i++
		:: else -> break
		od;
		run Log();
		run Machine(0);
		run Machine(1)
	}
}
