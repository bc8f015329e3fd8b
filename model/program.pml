/*
 * The protocol by which hosts run the calls of one program: two hosts and a log
 * that may delay, lose, duplicate and reorder appends.
 *
 * The log is a sequence of records. A host is not told whether an append took
 * effect. It applies records in order and acts only on records that it has
 * read. A host may pause at any point, because another process may run, and it
 * may crash and restart without state. An append may take effect long after it
 * was sent.
 *
 * Each rule of the protocol can be disabled with a macro. model/check.sh
 * verifies that the properties hold with all rules, and that each build with
 * one rule disabled violates a property.
 */

#define HOSTS     2
#ifndef CALLS
#define CALLS     1   /* number of calls, none of them idempotent */
#endif
#ifndef LOG
#define LOG       6   /* maximum number of records in a run */
#endif
#ifndef MAX_IN_FLIGHT
#define MAX_IN_FLIGHT 2 /* maximum number of appends in flight */
#endif
#ifndef TRIES
#define TRIES     2   /* maximum number of attempts in a run */
#endif
#define CRASHES   1   /* maximum number of crashes in a run */
#define BUDGET    1   /* tokens; a call costs one */
#define SLICE     1   /* tokens that one grant adds */

#define NONE      255

/* Kinds of records. */
#define CLAIM     1   /* the host becomes the owner of the slot */
#define INTENT    2   /* the owner is about to run a call */
#define OUTCOME   3   /* the call ran */
#define UNKNOWN   4   /* the call may have run */
#define VOID      5   /* the call did not run */
#define GRANT     6   /* the owner may use "value" tokens of the budget in total */

typedef Record { byte kind; byte host; byte epoch; byte call; byte attempt; byte value }

Record ledger[LOG];
byte ledgerLength = 0;

byte executions[CALLS];     /* executions by the target, by call */
bool reportedNotRun[CALLS]; /* the last response was "not run" and the caller has not retried */
byte consumedTokens = 0;    /* tokens that executions cost */
byte attemptCount = 0;
byte crashCount = 0;
byte sendCount[CALLS];
byte unanswered[CALLS];     /* requests without a response, including those to a crashed host */

/* State of a host: the result of the records that it has applied, and the call
 * that it is running. */
typedef Host {
	byte cursor;
	byte epoch;             /* epoch of the slot */
	byte owner;
	byte incarnation;       /* changes when the host restarts */
	byte intentCall;        /* call of the open intent */
	byte intentAttempt;
	byte granted;
	byte spent;
	byte forfeited;
	byte settled;           /* bit set of the calls with an outcome "ran" or "unknown" */
	byte call;              /* call that this host is running */
	byte attempt;
	byte stage;             /* 0 idle, 1 intent sent, 2 dispatched, 3 executed, 4 outcome sent */
	byte abandoned;         /* attempt whose intent was not read in time */
	bool claimPending;      /* the host has not yet claimed the slot */
}

Host hosts[HOSTS];

/* Appends that have not taken effect. They may take effect at any time, even
 * after the host that sent them has crashed. */
chan inFlight = [MAX_IN_FLIGHT] of { byte, byte, byte, byte, byte, byte };

inline append(kind_, host_, epoch_, call_, attempt_, value_) {
	if
	:: nfull(inFlight) -> inFlight ! kind_, host_, epoch_, call_, attempt_, value_
	:: full(inFlight) -> skip /* the append is lost */
	fi
}

/* Log makes appends in flight take effect, once or more, in any order. An append
 * that it never chooses is lost. */
proctype Log() {
	byte kind_, host_, epoch_, call_, attempt_, value_;
	do
	:: atomic { nempty(inFlight) && ledgerLength < LOG ->
		if
		:: inFlight ? kind_, host_, epoch_, call_, attempt_, value_
		:: inFlight ? <kind_, host_, epoch_, call_, attempt_, value_> /* duplicated by a retry */
		:: len(inFlight) > 1 ->  /* reordered with the next append */
			inFlight ? kind_, host_, epoch_, call_, attempt_, value_;
			inFlight ! kind_, host_, epoch_, call_, attempt_, value_;
			inFlight ? kind_, host_, epoch_, call_, attempt_, value_
		fi;
		ledger[ledgerLength].kind = kind_; ledger[ledgerLength].host = host_;
		ledger[ledgerLength].epoch = epoch_; ledger[ledgerLength].call = call_;
		ledger[ledgerLength].attempt = attempt_; ledger[ledgerLength].value = value_;
		ledgerLength++
	   }
	:: timeout -> break
	od
}

/* dispatch sends the host's call to the target. */
inline dispatch(self) {
	hosts[self].stage = 2
}

/* applyRecord applies the next record and starts the actions that follow. */
inline applyRecord(self) {
	d_step {
		offset = hosts[self].cursor;
		hosts[self].cursor++
	}
	if
	:: ledger[offset].kind == CLAIM ->
		if
		:: ledger[offset].epoch > hosts[self].epoch ->
			hosts[self].epoch = ledger[offset].epoch;
			hosts[self].owner = ledger[offset].host;
#ifndef NO_FORFEIT
			hosts[self].forfeited = hosts[self].granted - hosts[self].spent;
#endif
			if /* a host that loses the slot abandons a call that is not dispatched */
			:: hosts[self].owner != hosts[self].incarnation && hosts[self].stage == 1 ->
				hosts[self].stage = 0; hosts[self].call = NONE
			:: else
			fi
		:: else
		fi
	:: ledger[offset].kind == GRANT ->
		if
		:: ledger[offset].epoch == hosts[self].epoch && ledger[offset].value > hosts[self].granted && ledger[offset].value <= BUDGET ->
			hosts[self].granted = ledger[offset].value
		:: else
		fi
	:: ledger[offset].kind == INTENT ->
		accepted = (ledger[offset].epoch == hosts[self].epoch);
#ifndef NO_SINGLE
		accepted = accepted && hosts[self].intentAttempt == NONE;
#endif
#ifndef NO_SETTLED
		accepted = accepted && !(hosts[self].settled & (1 << ledger[offset].call));
#endif
		if
		:: accepted ->
			hosts[self].intentCall = ledger[offset].call;
			hosts[self].intentAttempt = ledger[offset].attempt;
			if
			:: ledger[offset].attempt == hosts[self].attempt && hosts[self].stage == 1 -> dispatch(self)
#ifndef NO_VOID
			:: ledger[offset].attempt == hosts[self].abandoned && hosts[self].abandoned != NONE ->
				append(VOID, hosts[self].incarnation, hosts[self].epoch, ledger[offset].call, ledger[offset].attempt, 0)
#else
			:: ledger[offset].attempt == hosts[self].abandoned && hosts[self].abandoned != NONE ->
				hosts[self].call = ledger[offset].call; hosts[self].attempt = ledger[offset].attempt; dispatch(self)
#endif
			:: else
			fi
		:: else ->
			if
			:: ledger[offset].attempt == hosts[self].attempt && hosts[self].stage == 1 ->
				hosts[self].stage = 0; hosts[self].call = NONE /* refused as "moved", not run */
			:: else
			fi
		fi
	:: ledger[offset].kind == OUTCOME || ledger[offset].kind == UNKNOWN || ledger[offset].kind == VOID ->
		if
		:: ledger[offset].attempt == hosts[self].intentAttempt ->
			hosts[self].intentAttempt = NONE;
			hosts[self].intentCall = NONE;
			if
			:: ledger[offset].kind != VOID ->
				hosts[self].settled = hosts[self].settled | (1 << ledger[offset].call);
				if
				:: ledger[offset].kind == OUTCOME ->
					hosts[self].spent = hosts[self].spent + 1;
					if
					:: hosts[self].forfeited > 0 && hosts[self].spent + hosts[self].forfeited > hosts[self].granted ->
						hosts[self].forfeited = hosts[self].forfeited - 1
					:: else
					fi
				:: else
				fi
			:: else
			fi
		:: else
		fi;
		if
		:: ledger[offset].attempt == hosts[self].attempt && hosts[self].stage == 4 ->
			hosts[self].stage = 0; hosts[self].call = NONE
		:: else
		fi
	fi
}

/* mayStartCall is true if the host owns the slot, is idle, and the rules below
 * permit the call. */
#ifdef NO_SINGLE
#define noOpenIntent(self) true
#else
#define noOpenIntent(self) (hosts[self].intentAttempt == NONE || hosts[self].intentAttempt == hosts[self].abandoned)
#endif
#ifdef NO_SETTLED
#define unsettled(self, c) true
#else
#define unsettled(self, c) (!(hosts[self].settled & (1 << c)))
#endif
#define mayStartCall(self, c) (hosts[self].owner == hosts[self].incarnation && hosts[self].stage == 0 && unsettled(self, c) && noOpenIntent(self))

#ifndef WITH_BUDGET
#define mayReserve(self) true
#elif defined(NO_GRANT)
#define mayReserve(self) true
#else
#define mayReserve(self) (hosts[self].spent + hosts[self].forfeited + 1 <= hosts[self].granted)
#endif

/* startCall records the intent to run a caller's call. */
inline startCall(self, c) {
	sendCount[c]++;
	unanswered[c]++;
	reportedNotRun[c] = false;
	attemptCount++;
	hosts[self].call = c; hosts[self].attempt = attemptCount; hosts[self].stage = 1;
#ifdef NO_INTENT
	dispatch(self)
#else
	append(INTENT, hosts[self].incarnation, hosts[self].epoch, c, attemptCount, 0)
#endif
}

proctype HostProcess(byte self) {
	byte offset;
	bool accepted;
	do
	:: atomic { hosts[self].cursor < ledgerLength -> applyRecord(self) }

	/* The host claims the slot. Any host may do so at any time, once per
	 * incarnation. */
	:: atomic { hosts[self].claimPending && hosts[self].owner != hosts[self].incarnation ->
		hosts[self].claimPending = false;
		append(CLAIM, hosts[self].incarnation, hosts[self].epoch + 1, NONE, NONE, 0) }

#ifdef WITH_BUDGET
	/* The owner extends the granted slice of the budget. */
	:: atomic { hosts[self].owner == hosts[self].incarnation && hosts[self].stage == 0 && hosts[self].granted < BUDGET &&
		hosts[self].spent + hosts[self].forfeited + 1 > hosts[self].granted && empty(inFlight) ->
		append(GRANT, hosts[self].incarnation, hosts[self].epoch, NONE, NONE, hosts[self].granted + SLICE) }
#endif

	/* A caller sends a call or retries it. */
	:: atomic { sendCount[0] < 2 && mayStartCall(self, 0) && mayReserve(self) && attemptCount < TRIES -> startCall(self, 0) }
#if CALLS > 1
	:: atomic { sendCount[1] < 2 && mayStartCall(self, 1) && mayReserve(self) && attemptCount < TRIES -> startCall(self, 1) }
#endif

#ifdef NO_READBACK
	/* Without the rule, the host dispatches after sending the append and does not
	 * wait until it reads the intent back. */
	:: atomic { hosts[self].stage == 1 -> dispatch(self) }
#endif

	/* The host abandons a call whose intent was not read in time, and responds
	 * "not run". */
	:: atomic { hosts[self].stage == 1 && hosts[self].abandoned == NONE ->
		hosts[self].abandoned = hosts[self].attempt;
		unanswered[hosts[self].call]--;
		reportedNotRun[hosts[self].call] = (unanswered[hosts[self].call] == 0);
		hosts[self].stage = 0; hosts[self].call = NONE; hosts[self].attempt = NONE }

	/* The target executes the call. */
	:: atomic { hosts[self].stage == 2 ->
		assert(!reportedNotRun[hosts[self].call]); /* a call reported as "not run" does not run */
		executions[hosts[self].call]++;
		assert(executions[hosts[self].call] <= 1); /* at most once */
#ifdef WITH_BUDGET
		consumedTokens++;
#endif
#ifdef WITH_BUDGET
		assert(consumedTokens <= BUDGET); /* within the budget */
#endif
		hosts[self].stage = 3 }

	/* The host appends the outcome, even if its epoch is outdated. */
	:: atomic { hosts[self].stage == 3 ->
		hosts[self].stage = 4;
		append(OUTCOME, hosts[self].incarnation, hosts[self].epoch, hosts[self].call, hosts[self].attempt, 0) }

	/* The new owner settles an open intent of its predecessor as unknown. */
	:: atomic { hosts[self].owner == hosts[self].incarnation && hosts[self].intentAttempt != NONE &&
		hosts[self].intentAttempt != hosts[self].attempt && hosts[self].intentAttempt != hosts[self].abandoned &&
		hosts[self].stage == 0 && empty(inFlight) ->
		append(UNKNOWN, hosts[self].incarnation, hosts[self].epoch, hosts[self].intentCall, hosts[self].intentAttempt, 0) }

	/* The host crashes and restarts without state. */
	:: atomic { self == 0 && crashCount < CRASHES ->
		crashCount++;
#ifndef NO_INCARNATION
		hosts[self].incarnation = HOSTS;
#endif
		hosts[self].cursor = 0; hosts[self].epoch = 0; hosts[self].owner = NONE;
		hosts[self].intentCall = NONE; hosts[self].intentAttempt = NONE;
		hosts[self].granted = 0; hosts[self].spent = 0; hosts[self].forfeited = 0; hosts[self].settled = 0;
		hosts[self].call = NONE; hosts[self].attempt = NONE; hosts[self].stage = 0; hosts[self].abandoned = NONE;
		hosts[self].claimPending = true }
	:: timeout -> break
	od
}

init {
	byte i = 0;
	atomic {
		do
		:: i < HOSTS ->
			hosts[i].incarnation = i; hosts[i].owner = NONE; hosts[i].intentCall = NONE; hosts[i].intentAttempt = NONE;
			hosts[i].call = NONE; hosts[i].attempt = NONE; hosts[i].abandoned = NONE; hosts[i].claimPending = true;
			i++
		:: else -> break
		od;
		run Log();
		run HostProcess(0);
		run HostProcess(1)
	}
}
