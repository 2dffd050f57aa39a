/*
 * Ordered promotion: 3 upstreams, 2 instances that may both act for the group, and a
 * platform that carries promotions out.
 *
 * Log. Only the length of what an upstream has received counts, and whether that holds
 * the one write that is followed to its acknowledgement. A write is acknowledged once a
 * replica has received it. Replicas receive the whole log of the primary at once, or
 * nothing.
 *
 * Platform. An order stays in flight for ever and may be accepted at any later moment
 * and any number of times, unless a higher token was seen. An accepted order takes
 * effect later, in any order with others. It ends all pauses.
 *
 * Time. The wait for accepted orders to take effect is a guard: an instance that waits
 * goes on once no order is accepted and without effect. Orders are accepted at any time,
 * so that this is no more than the wait for the longest time of a promotion.
 *
 * Interleaving covers pauses, lost answers and crashes of instances: an instance may stop
 * anywhere. An answer to a draw may be lost, after which the instance draws again.
 *
 * Each macro removes one guard and must give a counterexample:
 *   NO_ALL      choose after one replica has paused
 *   NO_HIGHEST  choose any replica
 *   NO_RAISE    do not show the platform the token first
 *   NO_WAIT     do not wait for orders that are accepted already
 *   NO_FIRST    pause before the token is drawn
 *   NO_SETTLE   begin another change before the own order has taken effect
 *   OWN_DRAW    take an own draw without an answer for a draw that nobody came before
 *   RESUME      let a replica receive again after a change was given up
 */

#ifndef TOKENS
#define TOKENS 3 /* highest token */
#endif
#define WRITES 2 /* longest log */
#define N 3
#define NONE 7

byte primary;
byte size[N];
bool has[N];      /* the log holds the write that is followed */
bool held[N];     /* receiving is paused */
bool acked, lost, written;

byte drawn;                    /* newest token in the store */
byte target[TOKENS + 1] = NONE; /* orders in flight, by token */
byte fence;                    /* highest token that the platform has seen */
byte effect[TOKENS + 1] = NONE; /* orders that were accepted and have no effect yet */
byte effects;

#define RECEIVES(u) (u != primary && !held[u])

inline lead(u) {
	if
	:: u != primary ->
		primary = u;
		if
		:: acked && !has[u] -> lost = true
		:: else
		fi;
		for (i : 0 .. N - 1) {
			held[i] = false;
			if
			:: size[i] > size[u] -> size[i] = size[u]; has[i] = has[i] && has[u]
			:: else
			fi
		}
	:: else
	fi
}

/* The primary's log, replication and acknowledgement. */
active proctype Group() {
	byte i, u;
	do
	:: atomic { size[primary] < WRITES -> size[primary]++;
		if
		:: !written -> written = true; has[primary] = true
		:: true
		fi }
	:: atomic { select(u : 0 .. N - 1);
		if
		:: RECEIVES(u) -> size[u] = size[primary]; has[u] = has[primary];
			if
			:: has[u] -> acked = true
			:: else
			fi
		:: else
		fi; u = 0 }
	od
}

active proctype Platform() {
	byte i, t = 1;
	do
	:: atomic { select(t : 1 .. TOKENS);
		if
		:: target[t] != NONE && t >= fence && effect[t] == NONE ->
			fence = t;
			if
			:: target[t] != primary -> effect[t] = target[t]; effects++
			:: else
			fi
		:: else
		fi; t = 1 }
	:: atomic { select(t : 1 .. TOKENS);
		if
		:: effect[t] != NONE -> lead(effect[t]); effect[t] = NONE; effects--; assert(!lost)
		:: else
		fi; t = 1; i = 0 }
	od
}

inline draw() {
	atomic {
		drawn < TOKENS ->
		before = drawn; drawn++; token = drawn;
#ifdef OWN_DRAW
		rival = before != 0 && before != newest && !mine;
		mine = true;
#else
		rival = before != 0 && before != newest;
#endif
		if
		:: newest = token
		:: token = 0 /* the answer is lost */
		fi
	}
}

inline clear() {
#ifndef NO_RAISE
	if
	:: rival ->
		atomic {
			if
			:: fence < token -> fence = token
			:: else
			fi
		};
#ifndef NO_WAIT
		effects == 0
#endif
	:: else
	fi
#else
	skip
#endif
}

inline pauseall() {
	atomic {
		received[0] = NONE; received[1] = NONE; received[2] = NONE
	}
	for (k : 0 .. N - 1) {
#ifdef NO_ALL
		if :: true -> skip :: true -> goto choose fi;
#endif
		atomic {
			if
			:: k == old -> skip
			:: k != old && k == primary -> old = k; goto again
			:: else -> held[k] = true; received[k] = size[k]
			fi
		}
	}
}

active [2] proctype Instance() {
	byte k, old, best, token, newest, before;
	byte received[N];
	bool rival, mine;
	old = 0;
again:
#ifdef NO_FIRST
	pauseall();
	if :: token == 0 -> draw() :: else fi;
	if :: token == 0 -> goto again :: else fi;
#else
	if :: token == 0 -> draw() :: else fi;
	if :: token == 0 -> goto again :: else fi;
	clear();
	pauseall();
#endif
choose:
	atomic {
		best = NONE;
		for (k : 0 .. N - 1) {
			if
			:: received[k] == NONE || k == old -> skip
			:: else ->
				if
#ifdef NO_HIGHEST
				:: true -> best = k
				:: best != NONE -> skip
#else
				:: best == NONE -> best = k
				:: best != NONE && received[k] > received[best] -> best = k
				:: best != NONE && received[k] <= received[best] -> skip
#endif
				fi
			fi
		}
		k = 0; received[0] = 0; received[1] = 0; received[2] = 0
	}
	if
	:: best == NONE -> goto again
	:: else
	fi;
	target[token] = best;
	if
	:: effect[token] != NONE || fence == token && primary == best -> /* answered */
#ifndef NO_SETTLE
		effects == 0;
#endif
		old = best; best = 0; token = 0; goto again
	:: fence > token -> token = 0; best = 0; goto again /* refused */
#ifdef RESUME
	:: atomic { for (k : 0 .. N - 1) { held[k] = false } }; goto again
#endif
	fi
}
