/*
 * What an ordered promotion must keep (core/failover/holder.go, gate.go): 3 upstreams, 2
 * gateways, a coordinator that makes one change after the other, and a platform that carries out
 * its orders. ordered.pml has several coordinators and the time that accepted orders take.
 *
 * Logs. Commits are numbered in the order in which primaries make them, so that these numbers
 * compare like positions with their terms. A log is the set of its commits. A replica receives
 * the whole log of the primary at once, or nothing. A commit is answered by the primary once a
 * replica has received it, and acknowledged when a gateway passes the answer on, which may be at
 * any later time. The bounds of a commit are exact.
 *
 * Upstreams. A pause proves nothing, since a replica that restarts receives again; any replica
 * receives at any time. D may be unlisted at first, and may leave for good at any time. The
 * first primary may crash; it comes back with its log, and as the primary if it was neither
 * demoted nor replaced.
 *
 * Platform. An order stays in flight forever and is carried out at any time and any number of
 * times, unless a higher token was seen. A late DEMOTE takes effect at any time.
 *
 * Gateways. Gateway 1 may leave any freeze without an answer. A freeze ends only once neither the
 * coordinator relies on it nor its order can be carried out; then the gateway answers the commits
 * that were under way in doubt. So an order is assumed to be carried out, and the answer to a
 * commit to arrive, before the freeze ends.
 *
 * Coordinator. It gives up a change whose freeze has ended. Before each change it may be
 * replaced by an instance that knows of no commit. It
 * goes on only if all gateways answered the freeze or the old primary was demoted; without either
 * commits are lost (GAP).
 *
 * A run is too large for a crash and a silent gateway together. With STAYS_UP no upstream
 * crashes; with ALL_ANSWER gateway 1 answers each freeze.
 *
 * Each macro removes one guard and must give a counterexample:
 *   NO_FREEZE     do not freeze the gateways
 *   NO_ANSWERS    freeze the gateways without waiting for their answers
 *   NO_FLOOR      order an upstream that lacks commits which the gateways have told
 *   DROP_FLOOR    give up the floor after a time
 *   NO_PROOF      take a demoted upstream for the holder without proof that it led
 *   NO_SILENT     ignore a gateway that does not answer, although the old primary is demoted
 *   NO_RAISE      do not show the platform the token after an order of this instance
 *   LATE_ORDER    send an order although the freeze has ended
 *   NO_RESET      a freeze leaves what an earlier announcement permitted
 *   ANY_TERM      a gateway passes commits that its newest one includes only by its number
 *   OLD_COMMIT    an announcement permits commits of terms before the one that ends
 *   NO_BOUND      forget what a demoted holder had once it has left
 *   GAP           go on without the answer of a gateway and without the old primary
 * These show what the model assumes:
 *   LOOSE         the least position of an acknowledged commit is lower than the commit
 *   LATE_ANSWER   the answer to a commit arrives after the freeze has ended
 *   FORGET        a gateway restarts, forgets what it acknowledged and answers the freeze
 *   RETURN_LEADS  a demoted upstream leads again after a restart
 */

#ifndef TOKENS
#define TOKENS 2 /* highest token */
#endif
#ifndef WRITES
#define WRITES 2 /* number of commits */
#endif
#ifndef TERMS
#define TERMS 3  /* highest term */
#endif
#define N 3
#define D 2
#define NONE 7

#ifdef ANY_TERM
#define SAME_TERM(c, d) true
#else
#define SAME_TERM(c, d) (commitTerm[c] == commitTerm[d])
#endif
#define BIT(c) (1 << ((c) - 1))
#define POS(l) ((l) >= 8 -> 4 : ((l) >= 4 -> 3 : ((l) >= 2 -> 2 : (l))))
#define UP(u) (u != down && !(u == D && gone))
#define RECEIVES(u) (u != primary && UP(u))
#define LISTED(u) (u != D || listed)
#define EXECUTABLE(t) (orderTarget[t] != NONE && t >= highestSeen)

byte primary;         /* or NONE after a demotion */
byte leader;          /* the last primary */
byte term = 1;
byte down = NONE;     /* the upstream that has crashed */
bool gone, listed;    /* D has left; D is listed */
byte log[N];
byte writes;          /* number of commits */
byte commitTerm[WRITES + 1];
byte present;         /* commits of the present term */
byte answered;        /* commits that a primary has answered */
byte acked;           /* commits that a gateway has acknowledged */

byte orderTarget[TOKENS + 1] = NONE; /* target of the order in flight, by token */
byte highestSeen;     /* highest token that the platform has seen */

/* The gates. */
byte gateAcked[2], gateTerm[2], gateToken[2], gateKept[2], doubt[2];
bool frozen[2], announced[2];

bool fresh;           /* the coordinator relies on its freeze */
byte silent;          /* gateways that did not answer it */

inline promote(u) {
	assert((acked & ~log[u]) == 0);
	primary = u; leader = u; term++; present = 0;
	for (i : 0 .. N - 1) {
		if
		:: UP(i) -> log[i] = log[i] & log[u]
		:: else
		fi
	}
}

#define RECEIVE(u) atomic { primary != NONE && UP(primary) && RECEIVES(u) && (log[u] != log[primary] || (log[u] & present & ~answered)) -> \
	log[u] = log[primary]; answered = answered | (log[u] & present) }
#define CARRY_OUT(t) atomic { EXECUTABLE(t) && orderTarget[t] != primary && UP(orderTarget[t]) && term < TERMS -> \
	highestSeen = t; promote(orderTarget[t]); i = 0 }

active proctype Upstreams() {
	byte i;
	do
	:: atomic { writes < WRITES && term < TERMS && primary != NONE && UP(primary) ->
		writes++; commitTerm[writes] = term;
		log[primary] = log[primary] | BIT(writes); present = present | BIT(writes) }
	:: RECEIVE(0)
	:: RECEIVE(1)
	:: RECEIVE(2)
	:: atomic { !listed && !gone -> listed = true }
	:: atomic { !gone && primary != D -> gone = true; listed = false }
#ifndef STAYS_UP
	:: atomic { down == NONE && leader == 0 -> down = 0 }
	:: atomic { down != NONE ->
#ifdef RETURN_LEADS
		if
		:: primary == NONE && leader == down -> primary = down
		:: else
		fi;
#endif
		down = NONE }
#endif
	/* A late DEMOTE. */
	:: atomic { primary != NONE && UP(primary) && term < TERMS -> primary = NONE }
	/* The platform carries out an order. */
	:: CARRY_OUT(1)
	:: CARRY_OUT(2)
#if TOKENS > 2
	:: CARRY_OUT(3)
#endif
	od
}

#ifdef OLD_COMMIT
#define ANNOUNCED(c) (announced[g] && c <= gateKept[g])
#else
#define ANNOUNCED(c) (announced[g] && c <= gateKept[g] && commitTerm[c] == gateTerm[g])
#endif
#define MAY_PASS(c) ((answered & BIT(c)) && !(acked & BIT(c)) && !(doubt[g] & BIT(c)) && \
	(!frozen[g] || commitTerm[c] > gateTerm[g] || \
	c <= gateAcked[g] && SAME_TERM(c, gateAcked[g]) || ANNOUNCED(c)))
#ifdef LOOSE
#define LEAST(c) (c - 1)
#else
#define LEAST(c) c
#endif

/* Passes a commit. The last promoted upstream must have it, or the announced one. */
#define PASS(c) atomic { MAY_PASS(c) -> acked = acked | BIT(c); \
	gateAcked[g] = (LEAST(c) > gateAcked[g] -> LEAST(c) : gateAcked[g]); assert((log[leader] & BIT(c)) || ANNOUNCED(c)) }

active [2] proctype Gateway() {
	byte g;
	g = _pid - 1;
	do
	:: PASS(1)
	:: PASS(2)
#if WRITES > 2
	:: PASS(3)
#endif
	/* The freeze ends. */
	:: atomic { frozen[g] && !EXECUTABLE(gateToken[g]) ->
		fresh = fresh && g == 1 && silent;
		frozen[g] = false; announced[g] = false; gateKept[g] = 0; gateTerm[g] = 0;
#ifndef LATE_ANSWER
		doubt[g] = answered & ~acked
#endif
		}
#ifdef FORGET
	:: atomic { gateAcked[g] > 0 ->
		gateAcked[g] = 0; frozen[g] = false; announced[g] = false; gateKept[g] = 0; gateTerm[g] = 0;
		doubt[g] = answered & ~acked }
#endif
	od
}

/* Freezes a gateway and takes its answer. */
inline freezeGate(g) {
	if
	:: token > gateToken[g] || token == gateToken[g] && known > gateTerm[g] ->
#ifndef NO_RESET
		announced[g] = false; gateKept[g] = 0;
#endif
		skip
	:: else
	fi;
	gateToken[g] = token; frozen[g] = true;
	if
	:: known > gateTerm[g] -> gateTerm[g] = known
	:: else
	fi;
	if
	:: gateAcked[g] > floor -> floor = gateAcked[g]
	:: else
	fi
}

inline forgetAnswers() {
	position[0] = NONE; position[1] = NONE; position[2] = NONE; holder = NONE
}

/* Takes the answer of u to a pause or a demotion. */
inline takeAnswer(u) {
	if
	:: term > known -> known = term
	:: else
	fi;
	if
	:: u == primary -> forgetAnswers(); knownPrimary = u
	:: else -> position[u] = POS(log[u])
	fi
}

#ifdef NO_BOUND
#define HAS_BOUND true
#else
#define HAS_BOUND (!silent || holder == NONE || position[best] >= position[holder])
#endif
#ifdef OLD_COMMIT
#define KEEP(g) gateKept[g] = u; announced[g] = true
#else
#define KEEP(g) gateKept[g] = u; announced[g] = true; gateTerm[g] = (known > gateTerm[g] -> known : gateTerm[g])
#endif
#define ASK(u) atomic { LISTED(u) && UP(u) && u != knownPrimary && position[u] == NONE -> takeAnswer(u) }

active proctype Coordinator() {
	byte u, token, known, frozenTerm, knownPrimary, holder, best, other, least, floor;
	byte position[N];
	bool led, attempted;
	known = 1;
	if
	:: listed = true
	:: true
	fi;
begin:
	atomic {
		token < TOKENS -> token++;
		fresh = false; silent = 0; attempted = false; led = false; frozenTerm = 0;
		forgetAnswers();
		if
		:: true
#ifdef NO_RAISE
		:: token > 1 -> floor = 0; knownPrimary = leader; known = term; highestSeen = token
		fi
#else
		:: token > 1 -> floor = 0; knownPrimary = leader; known = term /* another instance */
		fi;
		highestSeen = token
#endif
	}
	do
	:: ASK(0)
	:: ASK(1)
	:: ASK(2)
	/* The old primary is shown to lead, and demoted then. */
#ifdef GAP
	:: atomic { knownPrimary != NONE && LISTED(knownPrimary) && !UP(knownPrimary) -> attempted = true }
#endif
	:: atomic { knownPrimary != NONE && LISTED(knownPrimary) && UP(knownPrimary) -> led = (knownPrimary == primary) };
		atomic {
			if
			:: UP(knownPrimary) ->
				if
				:: knownPrimary == primary && known + 1 > term -> primary = NONE
				:: else
				fi;
				u = knownPrimary; knownPrimary = NONE;
				takeAnswer(u);
				if
#ifdef NO_PROOF
				:: knownPrimary == NONE -> holder = u
#else
				:: knownPrimary == NONE && led -> holder = u
#endif
				:: else
				fi
			#ifdef GAP
			:: else -> attempted = true
#else
			:: else
#endif
			fi; u = 0; led = false }
#ifndef NO_FREEZE
	:: atomic { frozenTerm < known ->
#ifdef NO_ANSWERS
		if
		:: freezeGate(0)
		:: true
		fi;
#else
		freezeGate(0);
#endif
		if
		:: freezeGate(1); silent = 0
#ifndef ALL_ANSWER
#ifdef NO_SILENT
		:: silent = 0
#else
		:: silent = 1
#endif
#endif
		fi;
		fresh = true; frozenTerm = known }
#endif
#ifdef DROP_FLOOR
	:: atomic { floor > 0 -> floor = 0 }
#endif
	/* Choose. */
	:: atomic {
#ifdef NO_FREEZE
		!fresh &&
#else
		fresh && frozenTerm >= known &&
#endif
#ifdef GAP
		(!silent || attempted || holder != NONE) &&
#else
		(!silent || holder != NONE) &&
#endif
		(holder != NONE && LISTED(holder) ||
			(knownPrimary == 0 || position[0] != NONE) && (knownPrimary == 1 || position[1] != NONE) &&
			(knownPrimary == D || !listed || position[D] != NONE)) ->
		best = NONE; other = NONE;
		if
		:: silent && holder != NONE -> least = position[holder]
		:: else -> least = floor
		fi;
		for (u : 0 .. N - 1) {
			if
			:: LISTED(u) && u != knownPrimary && position[u] != NONE ->
				if
				:: best == NONE -> best = u
				:: else ->
					if
					:: position[u] > position[best] -> best = u
					:: else
					fi
				fi;
				if
				:: u == holder -> skip
				:: u != holder && other == NONE -> other = u
				:: else ->
					if
					:: position[u] > position[other] -> other = u
					:: else
					fi
				fi
			:: else
			fi
		}
		u = 0;
		if
		:: other != NONE ->
			if
			:: position[other] >= least -> best = other
			:: else
			fi
		:: else
		fi;
		other = NONE; least = 0;
		if
#ifdef NO_FLOOR
		:: best != NONE -> break
#else
		:: best != NONE && position[best] >= floor && HAS_BOUND -> break
#endif
		:: else -> best = NONE
		fi }
	/* The change is given up. */
	:: token < TOKENS -> goto begin
	od;
	/* Announce. */
	atomic {
		u = position[best];
		KEEP(0);
		if
		:: gateToken[1] == token -> KEEP(1)
		:: true
		fi;
		u = 0 };
	/* Order. */
	if
	:: atomic {
#if !defined(LATE_ORDER) && !defined(NO_FREEZE)
		fresh ->
#endif
		orderTarget[token] = best }
#if !defined(LATE_ORDER) && !defined(NO_FREEZE)
	:: atomic { !fresh -> skip } /* too late for an order */
#endif
	fi;
	atomic {
		fresh = false;
		knownPrimary = best; best = NONE };
	goto begin
}
