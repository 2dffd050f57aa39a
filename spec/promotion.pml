/*
 * Promotion by a majority of the upstreams, and acknowledgement of writes (core/failover):
 * 3 upstreams, 2 coordinators and one group object in the store.
 *
 * Messages. A request stays available forever once it was sent. Each upstream may perform
 * it at any later time and any number of times. This covers loss, delay, duplication and
 * reordering. A conditional update of the object stays available until it takes effect or
 * finds another version. Coordinators never use the store's answer to an update, but read
 * the object, so every answer may be lost after the update took effect. Any step may be
 * delayed by steps of other processes, which covers pauses. A coordinator may crash between
 * any two steps and then starts again with another operation id and without memory.
 *
 * Log. Offset i of the log of u contains the term in which the entry was written. Since a
 * term has one primary, (offset, term) identifies the entry. logTerm is the newest term
 * whose start the log contains.
 *
 * Writes. One arbitrary write is followed until its acknowledgement. The bits of reports
 * are the upstreams whose reports count for it; a report may be old when it is used.
 *
 * Each macro removes one guard and must give a counterexample:
 *   NO_ACK_MAJORITY   acknowledge after the primary's report alone
 *   NO_FENCED_CHECK   count reports with any fenced term
 *   NO_LOG_TERM       count reports with any log term
 *   NO_FENCE_MAJORITY choose after a single upstream was fenced
 *   NO_CHOOSE_HIGHEST choose any upstream of the fenced majority
 *   NO_CONDITION      record the term regardless of the object's version
 *   NO_CLAMPED_START  start the new term at the end of the chosen log, not clamped by the
 *                     starts of later recorded terms
 *   NO_START_RULE     a follower adopts the term before its log reaches the term's start
 * LIVE checks instead that a coordinator that crashes at most once gives the group a
 * primary while upstream 0, the old primary, is down. No step can then repeat forever, so
 * it is enough to check the states in which no step is left.
 */

#ifndef TERMS
#define TERMS 3  /* highest term */
#endif
#ifndef LENGTH
#define LENGTH 2 /* longest log */
#endif
#define N 3
#define NONE 7
#define FENCE_ANSWERS 12 /* (TERMS + 1) * N */
#define ANSWER(t, u) ((t) * N + (u)) /* index of the answer of u to the fence of term t */

/* Whether a report of u counts for the followed write. */
#if defined(NO_FENCED_CHECK)
#define REPORT_COUNTS(u) (logTerm[u] == writeTerm)
#elif defined(NO_LOG_TERM)
#define REPORT_COUNTS(u) (fenced[u] == writeTerm)
#else
#define REPORT_COUNTS(u) (logTerm[u] == writeTerm && fenced[u] == writeTerm)
#endif

#define REPORTED(u) (reports & (1 << (u)))
#ifdef NO_ACK_MAJORITY
#define ENOUGH_REPORTS (writeTerm != 0 && REPORTED(writePrimary))
#else
#define ENOUGH_REPORTS (writeTerm != 0 && REPORTED(writePrimary) && reports != (1 << writePrimary))
#endif

/* Whether the record of term t may take effect, whether the object still has the version
   that the coordinator read, and whether a coordinator waits for fence answers of term t. */
#ifdef NO_CONDITION
#define RECORD_APPLIES(t) true
#define OBJECT_UNCHANGED true
#define CLAIM_OPEN(t) (term < t)
#else
#define RECORD_APPLIES(t) (recordVersion[t] == version)
#define OBJECT_UNCHANGED (version == v)
#define CLAIM_OPEN(t) (term < t && claim == t)
#endif

/* The group object: version, newest recorded term, claim, and the recorded terms. */
byte version, term = 1, claim = 1, claimOp = NONE;
byte primary[TERMS + 1] = NONE;
byte termStart[TERMS + 1];

/* The upstreams. */
byte fenced[N] = 1;
byte logTerm[N] = 1;
byte logLength[N];
byte entryTerm[N * LENGTH];
bool isPrimary[N], isFollower[N];

/* Requests that were sent, and the answers to fences. */
bool fenceSent[TERMS + 1];
bool fenceAnswered[FENCE_ANSWERS];
byte fenceLogTerm[FENCE_ANSWERS], fenceLogLength[FENCE_ANSWERS];
bool recordSent[TERMS + 1];  /* updates that record a term, by term */
byte recordVersion[TERMS + 1], recordPrimary[TERMS + 1], recordStart[TERMS + 1], recordOp[TERMS + 1];

/* The followed write. It must not be acknowledged if a majority was fenced for a later
   term before it was written. */
byte writeTerm, writeOffset, writePrimary, reports;
bool acknowledged, mustNotAcknowledge;
bool holdsWrite[TERMS + 1]; /* the primary of the term had the write when it was promoted */
bool promoted[TERMS + 1];   /* the primary of the term was promoted */

/* Temporaries, which are not part of the state. */
hidden byte i, temporary, containsWrite, movedOn;

/* Clamps the position of term ct and offset cp to the recorded starts of the later terms up
   to clast. */
inline clamp(ct, cp, clast) {
	i = ct + 1;
	do
	:: i > clast -> break
	:: else ->
		if
		:: primary[i] != NONE && cp > termStart[i] -> cp = termStart[i]; ct = i
		:: else
		fi;
		i++
	od
}

/* Sets containsWrite to whether the log of cu contains the followed write. */
inline checkContainsWrite(cu) {
	containsWrite = 0;
	if
	:: writeTerm != 0 && logLength[cu] > writeOffset && entryTerm[cu * LENGTH + writeOffset] == writeTerm -> containsWrite = 1
	:: else
	fi
}

/* Sets movedOn to the number of upstreams that are fenced for a later term than mt. */
inline countMovedOn(mt) {
	movedOn = (fenced[0] > mt) + (fenced[1] > mt) + (fenced[2] > mt)
}

/* Clears the entries of xu beyond the end of its log. */
inline clearTail(xu) {
	i = logLength[xu];
	do
	:: i >= LENGTH -> break
	:: else -> entryTerm[xu * LENGTH + i] = 0; i++
	od
}

/* Whether u can perform the fence request of term t with an effect. */
#define FENCEABLE(t, u) (fenceSent[t] && (fenced[u] < t || fenced[u] == t && CLAIM_OPEN(t) && !fenceAnswered[ANSWER(t, u)]))
/* Whether u is the primary of the term for which it is fenced, and accepts writes. */
#define ACTING_PRIMARY(u) (isPrimary[u] && logTerm[u] == fenced[u])

inline appendEntry(wu) {
	entryTerm[wu * LENGTH + logLength[wu]] = fenced[wu];
	logLength[wu]++
}

/* Upstream fu fences itself for term ft, and answers with the end of its log. */
inline performFence(fu, ft) {
	if
	:: fenced[fu] < ft -> fenced[fu] = ft; isFollower[fu] = false; isPrimary[fu] = false
	:: else
	fi;
	if
	:: CLAIM_OPEN(ft) -> fenceAnswered[ANSWER(ft, fu)] = true; fenceLogTerm[ANSWER(ft, fu)] = logTerm[fu]; fenceLogLength[ANSWER(ft, fu)] = logLength[fu]
	:: else
	fi
}

/* Upstream ru becomes the primary or a follower of the recorded term rt. */
inline performRecordedTerm(ru, rt, rp) {
	fenced[ru] = rt;
	if
	:: primary[rt] == ru ->
		/* The promoted upstream must have every acknowledged write. */
		isPrimary[ru] = true; isFollower[ru] = false;
		if
		:: logLength[ru] > termStart[rt] -> logLength[ru] = termStart[rt]; clearTail(ru)
		:: else
		fi;
		logTerm[ru] = rt;
		checkContainsWrite(ru);
		promoted[rt] = true; holdsWrite[rt] = containsWrite;
		assert(!(acknowledged && writeTerm < rt && containsWrite == 0))
	:: else ->
		isPrimary[ru] = false; isFollower[ru] = true;
		rp = logLength[ru];
		clamp(logTerm[ru], rp, rt);
		logLength[ru] = rp;
		clearTail(ru);
#ifdef NO_START_RULE
		logTerm[ru] = rt
#endif
	fi
}

/* An upstream performs the requests to it, replicates and, as the primary, writes. */
proctype upstream(byte u) {
	byte t, p;
endloop:
	do
	/* fence(t) */
	:: d_step { FENCEABLE(2, u) -> t = 2; performFence(u, t); t = 0 }
#if TERMS > 2
	:: d_step { FENCEABLE(3, u) -> t = 3; performFence(u, t); t = 0 }
#endif
	/* promote(t) or follow(t) of a recorded term t */
	:: d_step { primary[2] != NONE && fenced[u] <= 2 && !(fenced[u] == 2 && (isPrimary[u] || isFollower[u])) -> t = 2; performRecordedTerm(u, t, p); t = 0; p = 0 }
#if TERMS > 2
	:: d_step { primary[3] != NONE && fenced[u] <= 3 && !(fenced[u] == 3 && (isPrimary[u] || isFollower[u])) -> t = 3; performRecordedTerm(u, t, p); t = 0; p = 0 }
#endif
	/* replication of an entry or of the start of the term */
	:: d_step {
		isFollower[u] && ACTING_PRIMARY(primary[fenced[u]]) && fenced[primary[fenced[u]]] == fenced[u] &&
		(logLength[u] < logLength[primary[fenced[u]]] || logLength[u] >= termStart[fenced[u]] && logTerm[u] < fenced[u]) ->
		t = primary[fenced[u]];
		p = 0;
		do
		:: p == logLength[u] -> break
		:: else -> assert(entryTerm[u * LENGTH + p] == entryTerm[t * LENGTH + p]); p++
		od;
		if
		:: logLength[u] < logLength[t] -> entryTerm[u * LENGTH + logLength[u]] = entryTerm[t * LENGTH + logLength[u]]; logLength[u]++
		:: else
		fi;
		if
		:: logLength[u] >= termStart[fenced[u]] -> logTerm[u] = fenced[u]
		:: else
		fi;
		t = 0; p = 0
	   }
#ifndef LIVE
	/* a write that is not followed, on a connection of the term */
	:: d_step { ACTING_PRIMARY(u) && logLength[u] < LENGTH -> appendEntry(u) }
	:: d_step {
		ACTING_PRIMARY(u) && logLength[u] < LENGTH && writeTerm == 0 ->
		writeTerm = fenced[u]; writeOffset = logLength[u]; writePrimary = u;
		countMovedOn(writeTerm);
		mustNotAcknowledge = movedOn >= 2;
		appendEntry(u)
	   }
	/* a report that counts for the followed write */
	:: d_step {
		writeTerm != 0 && !acknowledged && !(reports & (1 << u)) && logLength[u] > writeOffset && REPORT_COUNTS(u) -> reports = reports | (1 << u)
	   }
#endif
	od
}

/* The gateway acknowledges the followed write. Every primary that was
   promoted in a later term must have it. */
proctype gateway() {
endwait:
	atomic {
		!acknowledged && ENOUGH_REPORTS ->
		acknowledged = true; reports = 0;
		assert(!mustNotAcknowledge);
		i = writeTerm + 1;
		do
		:: i > TERMS -> break
		:: else -> assert(!promoted[i] || holdsWrite[i]); i++
		od
	}
}

/* Changes the version of the object. A record that was sent for an older version can no
   longer take effect, and no coordinator needs the answers to fences before term nt. Both
   are cleared to reduce the number of states. */
inline changeObject(nt) {
	version++;
#ifndef NO_CONDITION
	i = 0;
	do
	:: i > TERMS -> break
	:: else ->
		recordSent[i] = false; recordVersion[i] = 0; recordPrimary[i] = 0; recordStart[i] = 0; recordOp[i] = 0;
		if
		:: i < nt -> temporary = 0;
			do
			:: temporary == N -> temporary = 0; break
			:: else -> fenceAnswered[ANSWER(i, temporary)] = false; fenceLogTerm[ANSWER(i, temporary)] = 0; fenceLogLength[ANSWER(i, temporary)] = 0; temporary++
			od
		:: else
		fi;
		i++
	od;
	i = 0
#endif
}

/* Records term st with the primary sp and the start ss. */
inline recordTerm(st, sp, ss) {
	/* A term is recorded once, and terms increase. */
	assert(primary[st] == NONE && st > term);
	primary[st] = sp; termStart[st] = ss;
	term = st; claim = st;
	changeObject(st + 1)
}

/* The store performs the updates that record a term. */
proctype store() {
	byte t, p, s;
endloop:
	do
	:: atomic {
		if
		:: recordSent[2] -> t = 2
#if TERMS > 2
		:: recordSent[3] -> t = 3
#endif
		fi;
		d_step {
			if
			:: RECORD_APPLIES(t) -> claimOp = recordOp[t]; p = recordPrimary[t]; s = recordStart[t]; recordTerm(t, p, s); p = 0; s = 0
			:: else
			fi;
			recordSent[t] = false; recordVersion[t] = 0; recordPrimary[t] = 0; recordStart[t] = 0; recordOp[t] = 0;
			t = 0
		}
	   }
	od
}

/* Compares the answers of a and b to the fence of term t. */
#define HIGHER(a, b) (fenceLogTerm[ANSWER(t, a)] > fenceLogTerm[ANSWER(t, b)] || fenceLogTerm[ANSWER(t, a)] == fenceLogTerm[ANSWER(t, b)] && fenceLogLength[ANSWER(t, a)] > fenceLogLength[ANSWER(t, b)])

/* Whether upstream a has answered the fence of term t with a log from an earlier term. */
#define USABLE_ANSWER(a) (fenceAnswered[ANSWER(t, a)] && fenceLogTerm[ANSWER(t, a)] < t)

/* Sets x to the upstream of ca and cb with the higher log. Both upstreams are fenced for term t,
   so the higher log contains every write that a majority has reported. */
inline choose(ca, cb) {
	if
#ifdef NO_CHOOSE_HIGHEST
	:: true -> x = ca
	:: true -> x = cb
#else
	:: HIGHER(ca, cb) -> x = ca
	:: HIGHER(cb, ca) -> x = cb
	:: !HIGHER(ca, cb) && !HIGHER(cb, ca) -> x = ca
	:: !HIGHER(ca, cb) && !HIGHER(cb, ca) -> x = cb
#endif
	fi
}

/* A coordinator with the operation id op. After a crash it continues with the id next; it
   does not crash if next is NONE. t is the claimed term, v the version of the object that
   it read, x the chosen upstream and p the start of the term. */
proctype coordinator(byte op, next) {
	byte t, v, x, p;
begin:
	atomic {
		if
		:: term > claim -> t = term + 1
		:: else -> t = claim + 1
		fi;
		if
		:: t > TERMS -> goto endstop
		:: else -> claim = t; claimOp = op; changeObject(t)
		fi
	}
	atomic {
		if
		:: claim == t && claimOp == op && term < t -> v = version; fenceSent[t] = true
		:: !(claim == t && claimOp == op && term < t) -> goto begin
		:: next != NONE -> goto crash
		fi
	}
	atomic {
		if
#ifdef NO_FENCE_MAJORITY
		:: OBJECT_UNCHANGED && USABLE_ANSWER(0) -> x = 0
		:: OBJECT_UNCHANGED && USABLE_ANSWER(1) -> x = 1
		:: OBJECT_UNCHANGED && USABLE_ANSWER(2) -> x = 2
#else
		:: OBJECT_UNCHANGED && USABLE_ANSWER(0) && USABLE_ANSWER(1) -> choose(0, 1)
		:: OBJECT_UNCHANGED && USABLE_ANSWER(0) && USABLE_ANSWER(2) -> choose(0, 2)
		:: OBJECT_UNCHANGED && USABLE_ANSWER(1) && USABLE_ANSWER(2) -> choose(1, 2)
#endif
		:: version != v -> goto begin
		:: next != NONE -> goto crash
		fi;
		p = fenceLogLength[ANSWER(t, x)];
#ifndef NO_CLAMPED_START
		temporary = fenceLogTerm[ANSWER(t, x)];
		clamp(temporary, p, term);
#endif
		recordSent[t] = true; recordVersion[t] = v; recordPrimary[t] = x; recordStart[t] = p; recordOp[t] = op;
		x = 0; p = 0
	}
	/* The upstreams perform promote and follow once the term is recorded, since every
	   coordinator may send these requests again. */
	atomic {
		if
#ifdef LIVE
		:: term >= t -> goto endstop
#else
		:: term >= t -> goto begin
#endif
		:: term < t && version != v -> goto begin
		fi
	}
crash:
	atomic { op = next; next = NONE; t = 0; x = 0; p = 0; goto begin }
endstop:
	skip
}

init {
	atomic {
		primary[1] = 0;
		isPrimary[0] = true; isFollower[1] = true; isFollower[2] = true;
#ifndef LIVE
		run upstream(0);
#endif
		run upstream(1); run upstream(2);
		run gateway(); run store();
#ifdef LIVE
		run coordinator(0, 2)
#else
		run coordinator(0, 2); run coordinator(1, NONE)
#endif
	}
#ifdef LIVE
	/* Every step makes progress, so each run ends, and the group then has a primary. */
	timeout -> assert(term > 1 && ACTING_PRIMARY(primary[term]) && fenced[primary[term]] == term)
#endif
}
