/*
 * Ordered promotion (core/failover/ordered.go): 3 upstreams, 2 instances that may both
 * coordinate the group, and a platform that carries out promotions.
 *
 * Log. The model keeps only how many entries an upstream has received, and whether they
 * include one write that is followed until its acknowledgement. A write is acknowledged
 * once a replica has received it. A replica receives the whole log of the primary at
 * once, or nothing.
 *
 * Platform. An order stays in flight forever. The platform may accept it at any later
 * time and any number of times, unless it has seen a higher token. An accepted order
 * takes effect later; accepted orders take effect in any sequence. A promotion ends all
 * pauses.
 *
 * Time. The wait for accepted orders to take effect is a guard: the waiting instance
 * continues once no accepted order is left without effect. Since orders can be accepted
 * at any time, this assumes no more than a wait for the longest time of a promotion.
 *
 * Any step may be delayed by steps of other processes, which covers pauses, lost answers
 * and crashes of instances. The answer to a token draw may be lost; the instance then
 * draws again.
 *
 * Each macro removes one guard and must give a counterexample:
 *   NO_ALL      choose a target after only one replica was paused
 *   NO_HIGHEST  choose any replica
 *   NO_RAISE    do not show the platform the token before replicas are paused
 *   NO_WAIT     do not wait for orders that were accepted earlier
 *   NO_FIRST    pause replicas before the token is drawn
 *   NO_SETTLE   begin another change before this instance's order has taken effect
 *   OWN_DRAW    after its first draw, an instance takes every token that was drawn before
 *               its own for one of its own draws with a lost answer
 *   RESUME      let replicas receive again after a change was given up
 */

#ifndef TOKENS
#define TOKENS 3 /* highest token */
#endif
#define WRITES 2 /* longest log */
#define N 3
#define NONE 7

byte primary;
byte received[N];   /* number of log entries */
bool hasWrite[N];   /* the log contains the followed write */
bool paused[N];     /* the replica receives nothing */
bool acked, lostWrite, written; /* state of the followed write */

byte storeToken;                     /* last token drawn from the store */
byte orderTarget[TOKENS + 1] = NONE; /* target of the order in flight, by token */
byte highestSeen;                    /* highest token that the platform has seen */
byte pendingTarget[TOKENS + 1] = NONE; /* target of the order that was accepted and has not taken effect, by token */
byte pendingCount;                   /* number of such orders */

#define RECEIVES(u) (u != primary && !paused[u])

/* An order that makes u the primary takes effect: the other upstreams lose what u has not
 * received, and all pauses end. */
inline promote(u) {
	if
	:: u != primary ->
		primary = u;
		if
		:: acked && !hasWrite[u] -> lostWrite = true
		:: else
		fi;
		for (i : 0 .. N - 1) {
			paused[i] = false;
			if
			:: received[i] > received[u] -> received[i] = received[u]; hasWrite[i] = hasWrite[i] && hasWrite[u]
			:: else
			fi
		}
	:: else
	fi
}

/* Writes at the primary, replication and acknowledgement. */
active proctype Upstreams() {
	byte i, u;
	do
	:: atomic { received[primary] < WRITES -> received[primary]++;
		if
		:: !written -> written = true; hasWrite[primary] = true
		:: true
		fi }
	:: atomic { select(u : 0 .. N - 1);
		if
		:: RECEIVES(u) -> received[u] = received[primary]; hasWrite[u] = hasWrite[primary];
			if
			:: hasWrite[u] -> acked = true
			:: else
			fi
		:: else
		fi; u = 0 }
	od
}

/* The platform accepts orders and, later, performs them. */
active proctype Platform() {
	byte i, t = 1;
	do
	:: atomic { select(t : 1 .. TOKENS);
		if
		:: orderTarget[t] != NONE && t >= highestSeen && pendingTarget[t] == NONE ->
			highestSeen = t;
			if
			:: orderTarget[t] != primary -> pendingTarget[t] = orderTarget[t]; pendingCount++
			:: else
			fi
		:: else
		fi; t = 1 }
	:: atomic { select(t : 1 .. TOKENS);
		if
		:: pendingTarget[t] != NONE -> promote(pendingTarget[t]); pendingTarget[t] = NONE; pendingCount--; assert(!lostWrite)
		:: else
		fi; t = 1; i = 0 }
	od
}

/* Draws a token. Another instance may hold an older token that the platform still
 * accepts if the previous token was drawn by another instance, or by this one with a lost
 * answer. */
inline drawToken() {
	atomic {
		storeToken < TOKENS ->
		previousToken = storeToken; storeToken++; token = storeToken;
#ifdef OWN_DRAW
		olderTokenElsewhere = previousToken != 0 && previousToken != lastDrawn && !hasDrawn;
		hasDrawn = true;
#else
		olderTokenElsewhere = previousToken != 0 && previousToken != lastDrawn;
#endif
		if
		:: lastDrawn = token
		:: token = 0 /* the answer is lost */
		fi
	}
}

/* Shows the platform the token, so that it refuses older orders, and waits for those that
 * it has accepted. */
inline raiseToken() {
#ifndef NO_RAISE
	if
	:: olderTokenElsewhere ->
		atomic {
			if
			:: highestSeen < token -> highestSeen = token
			:: else
			fi
		};
#ifndef NO_WAIT
		pendingCount == 0
#endif
	:: else
	fi
#else
	skip
#endif
}

/* Pauses all upstreams but the known primary and notes what each has received. Starts over
 * if one of them turns out to be the primary. */
inline pauseReplicas() {
	atomic {
		answered[0] = NONE; answered[1] = NONE; answered[2] = NONE
	}
	for (k : 0 .. N - 1) {
#ifdef NO_ALL
		if :: true -> skip :: true -> goto choose fi;
#endif
		atomic {
			if
			:: k == knownPrimary -> skip
			:: k != knownPrimary && k == primary -> knownPrimary = k; goto begin
			:: else -> paused[k] = true; answered[k] = received[k]
			fi
		}
	}
}

/* An instance that changes the primary again and again. */
active [2] proctype Instance() {
	byte k, knownPrimary, chosen, token, lastDrawn, previousToken;
	byte answered[N];
	bool olderTokenElsewhere, hasDrawn;
	knownPrimary = 0;
begin:
#ifdef NO_FIRST
	pauseReplicas();
	if :: token == 0 -> drawToken() :: else fi;
	if :: token == 0 -> goto begin :: else fi;
#else
	if :: token == 0 -> drawToken() :: else fi;
	if :: token == 0 -> goto begin :: else fi;
	raiseToken();
	pauseReplicas();
#endif
choose:
	atomic {
		chosen = NONE;
		for (k : 0 .. N - 1) {
			if
			:: answered[k] == NONE || k == knownPrimary -> skip
			:: else ->
				if
#ifdef NO_HIGHEST
				:: true -> chosen = k
				:: chosen != NONE -> skip
#else
				:: chosen == NONE -> chosen = k
				:: chosen != NONE && answered[k] > answered[chosen] -> chosen = k
				:: chosen != NONE && answered[k] <= answered[chosen] -> skip
#endif
				fi
			fi
		}
		k = 0; answered[0] = 0; answered[1] = 0; answered[2] = 0
	}
	if
	:: chosen == NONE -> goto begin
	:: else
	fi;
	orderTarget[token] = chosen;
	if
	:: pendingTarget[token] != NONE || highestSeen == token && primary == chosen -> /* the order was accepted or has taken effect */
#ifndef NO_SETTLE
		pendingCount == 0;
#endif
		knownPrimary = chosen; chosen = 0; token = 0; goto begin
	:: highestSeen > token -> token = 0; chosen = 0; goto begin /* the order is refused */
#ifdef RESUME
	:: atomic { for (k : 0 .. N - 1) { paused[k] = false } }; goto begin
#endif
	fi
}
