/*
 * Acceptance of configurations (core/config), their distribution to the instances, and the
 * freshness rule (core/cluster/freshness.go).
 *
 * The model has two parts, which are checked one after the other:
 *
 *   -DACCEPT  Operators change different files of the head by conditional updates. The
 *             answer of the store may be lost before or after the update takes effect,
 *             or the update may take effect later. Operators crash and repeat their
 *             operation under its id.
 *   default   Revision 2, which withdraws a key, follows revision 1. Failure domain 0
 *             consists of watcher 0, failure domain 1 of watcher 1 and instance 2. The
 *             store fails and returns, responses are delayed and reordered, instances
 *             crash and restart. No step is ever forced, so an instance may be paused
 *             at any time.
 *
 * Each macro named in spread.sh removes one guard; an assertion must then fail.
 */

#ifdef ACCEPT

#define OPERATORS   3
#define MAX_CRASHES 1 /* crashes per operator */
#define MAX_LOST    1 /* lost answers in total */

/* The head: its revision, a bit for each operator's file, and a bit for each operation id. */
byte revision = 0;
byte files = 0;
byte operations = 0;
byte effectCount[OPERATORS]; /* how often each operation took effect */
byte toldSuccess[OPERATORS]; /* 1: the operator learned that its operation succeeded */
byte lostAnswers = 0;
/* For each operator, a put whose answer was lost and that takes effect later. */
bool latePut[OPERATORS];
byte latePutRevision[OPERATORS];
byte latePutFiles[OPERATORS];

/* The store performs a put of the operation op, if the head still has the revision ifRevision. */
inline performPut(op, ifRevision, newFiles, done) {
  if
#ifdef NO_CONDITION
  :: true ->
#else
  :: revision == ifRevision ->
#endif
     assert((files & ~(newFiles)) == 0); /* no accepted change may be lost */
     revision++; files = newFiles; operations = operations | (1 << op); effectCount[op]++; done = 1;
     assert(effectCount[op] <= 1)          /* no operation may take effect twice */
#ifndef NO_CONDITION
  :: else -> done = 0
#endif
  fi
}

/* Operator op changes its file. It repeats the operation until it learns the outcome. */
proctype Operator(byte op) {
  byte readRevision, baseFiles, crashes = 0;
  bool baseKept = false, done;
again:
  atomic {
    /* Read the head. */
    readRevision = revision;
#ifdef NO_MERGE
    if
    :: !baseKept -> baseFiles = files; baseKept = true
    :: else
    fi;
#else
    baseFiles = files;
#endif
#ifndef NO_ID
    if
    :: (operations & (1 << op)) -> toldSuccess[op] = 1; goto finished
    :: else
    fi
#endif
  };
  if
  :: crashes < MAX_CRASHES -> crashes++; baseKept = false; goto again
  :: true
  fi;
  atomic {
    if
    :: true -> /* the answer arrives */
       performPut(op, readRevision, baseFiles | (1 << op), done);
       if
       :: done -> toldSuccess[op] = 1; goto finished
       :: else -> goto again
       fi
    :: lostAnswers < MAX_LOST -> /* the put takes effect, the answer is lost */
       lostAnswers++; performPut(op, readRevision, baseFiles | (1 << op), done); goto again
    :: lostAnswers < MAX_LOST -> lostAnswers++; goto again /* the put is lost */
    :: lostAnswers < MAX_LOST && !latePut[op] -> /* the put takes effect later, the answer is lost */
       lostAnswers++; latePut[op] = true; latePutRevision[op] = readRevision; latePutFiles[op] = baseFiles | (1 << op); goto again
    :: crashes < MAX_CRASHES -> /* crash after the put took effect */
       crashes++; baseKept = false; performPut(op, readRevision, baseFiles | (1 << op), done); goto again
    fi
  };
finished:
  assert(effectCount[op] == 1);
  assert(files & (1 << op))
}

/* The store performs the late puts. */
proctype LatePuts() {
  byte op;
  bool done;
end:
  do
  :: atomic { latePut[0] -> op = 0; latePut[0] = false; performPut(op, latePutRevision[0], latePutFiles[0], done) }
  :: atomic { latePut[1] -> op = 1; latePut[1] = false; performPut(op, latePutRevision[1], latePutFiles[1], done) }
  :: atomic { latePut[2] -> op = 2; latePut[2] = false; performPut(op, latePutRevision[2], latePutFiles[2], done) }
  od
}

init {
  atomic { run Operator(0); run Operator(1); run Operator(2); run LatePuts() }
}

#else

#define N 3           /* instances */
#define BOUND 1       /* FreshnessBound in ticks */
#ifndef MAX_CRASHES
#define MAX_CRASHES 1 /* crashes in total */
#endif
#define TOO_OLD (BOUND + 1) /* stands for every age above BOUND, so that time need not be limited */
#if defined(NO_BOUND) || defined(NO_REPORT_AGE)
#define NEVER (TOO_OLD + 1)
#else
#define NEVER TOO_OLD /* only these variants distinguish "too old" from "never" */
#endif

byte headRevision = 1;
bool accepted = false; /* revision 2 was accepted; W in freshness.go */
byte acceptedAge = 0;
bool headRead = false; /* a watcher has read revision 2; A in freshness.go */
byte headReadAge = 0;
byte firstReader = N;  /* the watcher that read it first; N: none */

byte installed[N];    /* the revision in force; 0: none */
byte newest[N];       /* the newest revision that is known to exist */
byte confirmedAge[N]; /* the age of the last confirmation */
byte reportAge0[N], reportAge1[N]; /* the ages of the watchers' outage reports */
bool storeFailed[2]; /* the last store call of the watcher failed */
byte crashes = 0;

/* For each watcher, a response of the store in flight: its revision, and its age, which
   counts from the time the call was sent. */
bool pollPending[2];
byte pollRevision[2], pollAge[2];

/* Responses between instances in flight. Their ages increase meanwhile, since they count
   from the time the request was sent. The model responds to a request at once, because a
   delay before the response could only increase the ages. Response 0 goes from instance 0
   to instance 1; a response of the store may overtake it. Response 1 goes from instance 1
   to instance 2 and takes no time; with it, instance 1 relays what it knows. */
#define RESPONSES 2
bool responsePending[RESPONSES];
byte responseInstalled[RESPONSES], responseNewest[RESPONSES], responseConfirmedAge[RESPONSES], responseReportAge0[RESPONSES], responseReportAge1[RESPONSES];

#define MAX(a,b) ((a) > (b) -> (a) : (b))

#ifdef NO_BOUND
#define CONFIRMED(i) (confirmedAge[i] < NEVER)
#else
#define CONFIRMED(i) (confirmedAge[i] <= BOUND)
#endif

#ifdef NO_REPORT_AGE
#define REPORT0_COUNTS(i) (reportAge0[i] < NEVER)
#define REPORT1_COUNTS(i) (reportAge1[i] < NEVER)
#else
#define REPORT0_COUNTS(i) (reportAge0[i] <= BOUND)
#define REPORT1_COUNTS(i) (reportAge1[i] <= BOUND)
#endif

#ifdef ANY_DOMAIN
#define GENERAL_OUTAGE(i) (REPORT0_COUNTS(i) || REPORT1_COUNTS(i))
#else
#define GENERAL_OUTAGE(i) (REPORT0_COUNTS(i) && REPORT1_COUNTS(i))
#endif

#ifdef NO_SEEN
#define SERVES_IN_OUTAGE(i) (GENERAL_OUTAGE(i))
#else
#define SERVES_IN_OUTAGE(i) (GENERAL_OUTAGE(i) && newest[i] <= installed[i])
#endif

/* Instance i still serves under revision 1 after the time that the freshness rule allows: W + F
   with a confirmation, max(W, A) + F in an outage. F is BOUND. */
#define SERVES_TOO_LATE(i) (installed[i] == 1 && accepted && \
  (CONFIRMED(i) && acceptedAge > BOUND || SERVES_IN_OUTAGE(i) && headRead && acceptedAge > BOUND && headReadAge > BOUND))

inline checkBound() {
  assert(!SERVES_TOO_LATE(0)); assert(!SERVES_TOO_LATE(1)); assert(!SERVES_TOO_LATE(2))
}

#define INCREASE_AGE(x) x = (x < TOO_OLD -> x + 1 : x)

/* Time advances by one tick, which increases all ages. */
inline passTime() {
  INCREASE_AGE(confirmedAge[0]); INCREASE_AGE(confirmedAge[1]); INCREASE_AGE(confirmedAge[2]);
  INCREASE_AGE(reportAge0[0]); INCREASE_AGE(reportAge0[1]); INCREASE_AGE(reportAge0[2]);
  INCREASE_AGE(reportAge1[0]); INCREASE_AGE(reportAge1[1]); INCREASE_AGE(reportAge1[2]);
  s = 0;
#ifndef POLL_AT_RECEIPT
  do
  :: s < 2 -> if :: pollPending[s] -> INCREASE_AGE(pollAge[s]) :: else fi; s++
  :: else -> break
  od;
  s = 0;
#endif
#ifndef AGE_AT_RECEIPT
  do
  :: s < RESPONSES ->
     if
     :: responsePending[s] -> INCREASE_AGE(responseConfirmedAge[s]); INCREASE_AGE(responseReportAge0[s]); INCREASE_AGE(responseReportAge1[s])
     :: else
     fi;
     s++
  :: else -> break
  od;
  s = 0;
#endif
  if :: accepted -> INCREASE_AGE(acceptedAge) :: else fi;
  if :: headRead -> INCREASE_AGE(headReadAge) :: else fi
}

/* Instance i learns that revision r exists, and installs it. Instance 2 may fail to obtain
   the contents of the revision. */
inline noteRevision(i, r) {
  newest[i] = MAX(newest[i], r);
  if
#ifdef NO_MONOTONE
  :: r > 0 && r != installed[i] ->
#else
  :: r > installed[i] ->
#endif
     if
     :: assert(r >= installed[i]); installed[i] = r
     :: i == 2
     fi
  :: else
  fi
}

inline setIfLower(v, age) {
  if :: age < v -> v = age :: else fi
}

/* Instance i learns that no revision above r was accepted more than age ticks ago. */
inline addConfirmation(i, r, age) {
  if
#ifdef CONFIRM_ANY
  :: r > 0 ->
#else
  :: r > 0 && r <= installed[i] ->
#endif
     setIfLower(confirmedAge[i], age)
  :: else
  fi
}

/* Instance j sends the response s. */
inline respond(s, j) {
  /* A watcher whose last store call failed renews its outage report. */
  if :: j == 0 && storeFailed[0] -> reportAge0[0] = 0 :: else fi;
  if :: j == 1 && storeFailed[1] -> reportAge1[1] = 0 :: else fi;
  responseInstalled[s] = installed[j]; responseNewest[s] = newest[j]; responseConfirmedAge[s] = confirmedAge[j];
  responseReportAge0[s] = reportAge0[j]; responseReportAge1[s] = reportAge1[j]; responsePending[s] = true
}

inline dropResponse(s) {
  responsePending[s] = false; responseInstalled[s] = 0; responseNewest[s] = 0; responseConfirmedAge[s] = 0; responseReportAge0[s] = 0; responseReportAge1[s] = 0
}

inline receiveResponse(s, i) {
  noteRevision(i, responseNewest[s]);
  addConfirmation(i, responseInstalled[s], responseConfirmedAge[s]);
  setIfLower(reportAge0[i], responseReportAge0[s]);
  setIfLower(reportAge1[i], responseReportAge1[s]);
  dropResponse(s)
}

inline receivePollResult(i) {
  storeFailed[i] = false;
  if
  :: pollRevision[i] == 2 && !headRead -> headRead = true; firstReader = i
  :: else
  fi;
  noteRevision(i, pollRevision[i]);
  addConfirmation(i, pollRevision[i], pollAge[i]);
  pollPending[i] = false; pollAge[i] = 0; pollRevision[i] = 0
}

/* A watcher's call to the store, its response, and its failure. Any call may fail, so the
   store may be unreachable for any of the watchers and operators at any time. */
#define WATCHER_STEPS(i) \
  :: atomic { !pollPending[i] -> pollPending[i] = true; pollRevision[i] = headRevision } \
  :: atomic { pollPending[i] -> receivePollResult(i); checkBound() } \
  :: atomic { storeFailed[i] = true; pollPending[i] = false; pollAge[i] = 0; pollRevision[i] = 0 }

inline clearState(i) {
  installed[i] = 0; newest[i] = 0; confirmedAge[i] = NEVER; reportAge0[i] = NEVER; reportAge1[i] = NEVER
}

active proctype Fleet() {
  byte s;
  d_step {
    clearState(0); clearState(1); clearState(2);
    installed[0] = 1; installed[1] = 1; installed[2] = 1; newest[0] = 1; newest[1] = 1; newest[2] = 1
  };
end:
  do
  :: atomic { passTime(); checkBound() }
  :: atomic { !accepted -> headRevision = 2; accepted = true }
  WATCHER_STEPS(0)
  WATCHER_STEPS(1)
  :: atomic { true -> respond(0, 0) }
  :: atomic { responsePending[0] -> receiveResponse(0, 1); checkBound() }
  :: atomic { true -> respond(1, 1); receiveResponse(1, 2); checkBound() }
  /* Crash and restart. The bound does not hold if the only watcher that has read the new
     revision is lost, so that watcher does not crash. */
  :: atomic { crashes < MAX_CRASHES && firstReader != 1 -> crashes++; clearState(1); storeFailed[1] = false; pollPending[1] = false; pollAge[1] = 0; pollRevision[1] = 0; dropResponse(0) }
  :: atomic { crashes < MAX_CRASHES -> crashes++; clearState(2) }
  od
}

#endif
