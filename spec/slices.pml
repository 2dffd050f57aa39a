/*
 * The lease of a quota shard, which depends on promises of standbys (core/lease), and the
 * slices of tokens that its owner grants (core/quota; docs/design.md, section 6).
 *
 * Three instances: each of them may own the shard, with a non-empty set of the others as
 * standbys. One holder can have two slices. Any step may be delayed while time passes,
 * which covers pauses. Messages are never removed: the newest promise request and promise
 * of each pair of instances may be received late, again or never. Older ones can be left
 * out, since they only bind the standby longer and prove less to the owner. An update
 * takes effect once, at any time after it was sent, if the object still has the expected
 * version; its sender learns the outcome by a read at any later time, or never. A crashed
 * instance does not return: its restart has a new id, which no lease names.
 *
 * Two parts are checked, each within bounds. Without SLICES: three instances, a takeover
 * and changes of standbys, no grants. With SLICES: two instances that take over from each
 * other, with releases, a crash and grants.
 *
 * Checked: there are never two valid owners, and never more than BURST spendable tokens.
 * Each macro NO_... removes one guard and must give a counterexample.
 */
#define N 3
#define SLICE_LIFETIME 2 /* in ticks */
#define BURST 2
#ifdef SLICES
#define PROMISE_DURATION 2 /* in ticks */
#define LAST_TICK 4 /* enough for a takeover at 2 and its first grant at 4 */
#define MAXEPOCH 3
#else
#define PROMISE_DURATION 1
#define LAST_TICK 2
#define MAXEPOCH 2
#endif
#define MAXCRASHES 1
#define MAXVERSION 3

byte now, crashes;

/* The lease object in the store. Sets of instances are bit masks. */
byte storeVersion = 1, storeOwner = 0, storeStandbys = 6, storeEpoch = 1;

/* The lease that each instance knows. */
byte knownVersion[N] = 1, knownOwner[N] = 0, knownStandbys[N] = 6, knownEpoch[N] = 1;
bool crashed[N], released[N];

/* Owner i: time + 1 of its newest promise request. For each standby j, at index 3 * i + j:
 * time + 1 of the newest request that the standby answered by a promise, and of the newest
 * whose promise the owner received. */
byte requestedAt[N], requestedEpoch[N], promiseSent[9], promiseReceived[9];

/* Standby: time + 1 of its last promise, and the last epoch whose owner released the lease. */
byte lastPromise[N], releasedEpoch[N];

/* Update of each instance: whether its outcome is unknown to the instance, whether the store
 * may still apply it, and its contents. */
bool putPending[N], putInFlight[N];
byte expectedVersion[N], nextStandbys[N], nextEpoch[N], proposedAt[N];

/* The owner's token bucket, and the time before which it grants nothing. */
byte level[N], grantsFrom[N];

/* Slices: 0 unused, 1 granted but not received, 2 at the holder. expires holds for the
 * holder, grantExpires for the owner. */
byte sliceState[2], sliceTokens[2], expires[2], grantExpires[2], grantedBy[2], grantedEpoch[2];
byte sliceRequestedAt; /* time + 1 of the holder's newest request for a slice */

/* Temporaries. */
byte i, j, k, required, outstanding, owners, spendable;
bool ok;

#define contains(set, x) (((set) >> (x)) & 1)

/* Conditions under which standby j promises: it knows no later epoch than the request names,
 * and has no update of unknown outcome. */
#ifdef NO_EPOCH
#define epochAccepted true
#else
#define epochAccepted (knownEpoch[j] <= requestedEpoch[i])
#endif
#ifdef NO_SILENCE
#define noPutPending true
#else
#define noPutPending (!putPending[j])
#endif
/* Whether no promise of instance i prevents its takeover. */
#ifdef NO_PROMISE
#define noPromiseBinds true
#else
#define noPromiseBinds (lastPromise[i] == 0 || now >= lastPromise[i] - 1 + PROMISE_DURATION || releasedEpoch[i] == knownEpoch[i])
#endif

/* required := the standbys whose promises owner x needs. While the outcome of a change of
 * standbys is unknown, these are the old and the new standbys. */
inline computeRequired(x) {
	required = knownStandbys[x];
#ifndef NO_UNION
	if
	:: putPending[x] && nextEpoch[x] == knownEpoch[x] -> required = required | nextStandbys[x]
	:: else
	fi
#endif
}

/* ok := whether instance x has a valid lease now. */
inline valid(x) {
	ok = !crashed[x] && knownOwner[x] == x && !released[x];
	computeRequired(x);
#ifdef NO_ALL
	/* One promise is enough: no other is required once a standby has promised. */
	for (k : 0 .. N - 1) {
		if
		:: contains(required, k) && promiseReceived[x * 3 + k] != 0 && now < promiseReceived[x * 3 + k] - 1 + PROMISE_DURATION -> required = 0
		:: else
		fi
	}
#endif
	for (k : 0 .. N - 1) {
		if
		:: contains(required, k) && !(promiseReceived[x * 3 + k] != 0 && now < promiseReceived[x * 3 + k] - 1 + PROMISE_DURATION) -> ok = false
		:: else
		fi
	}
}

/* outstanding := tokens granted by owner x that may still be spent, as the owner sees it. */
inline computeOutstanding(x) {
	outstanding = 0;
	for (k : 0 .. 1) {
		if
		:: sliceState[k] != 0 && grantedBy[k] == x && grantedEpoch[k] == knownEpoch[x] && now < grantExpires[k] -> outstanding = outstanding + sliceTokens[k]
		:: else
		fi
	}
}

inline checkInvariants() {
	owners = 0;
	for (j : 0 .. N - 1) {
		valid(j);
		owners = owners + ok
	}
	assert(owners <= 1);
	spendable = 0;
	for (k : 0 .. 1) {
		if
		:: sliceState[k] == 2 && now < expires[k] -> spendable = spendable + sliceTokens[k]
		:: else
		fi
	}
	assert(spendable <= BURST);
}

/* Resets the temporaries, so that they do not add states. */
inline resetTemporaries() {
	i = 0; j = 0; k = 0; required = 0; outstanding = 0; owners = 0; spendable = 0; ok = false
}

inline dropSlice(x) {
	sliceState[x] = 0; sliceTokens[x] = 0; expires[x] = 0; grantExpires[x] = 0; grantedBy[x] = 0; grantedEpoch[x] = 0
}

/* Instance x learns the lease object that is in the store. */
inline observe(x) {
	if
	:: storeEpoch != knownEpoch[x] ->
		released[x] = false; requestedAt[x] = 0; requestedEpoch[x] = 0;
		for (k : 0 .. N - 1) { promiseSent[x * 3 + k] = 0; promiseReceived[x * 3 + k] = 0 }
		level[x] = 0; grantsFrom[x] = 0;
		if
#ifdef NO_WAIT
		:: storeOwner == x -> grantsFrom[x] = 0
#else
		:: storeOwner == x -> grantsFrom[x] = (proposedAt[x] + SLICE_LIFETIME <= now -> 0 : proposedAt[x] + SLICE_LIFETIME)
#endif
		:: else
		fi
	:: else
	fi;
	knownVersion[x] = storeVersion; knownOwner[x] = storeOwner; knownStandbys[x] = storeStandbys; knownEpoch[x] = storeEpoch;
	if
	:: putPending[x] && expectedVersion[x] < storeVersion -> putPending[x] = false; putInFlight[x] = false; nextStandbys[x] = 0; nextEpoch[x] = 0; expectedVersion[x] = 0; proposedAt[x] = 0
	:: else
	fi
}

/* Instance x sends an update with itself as the owner in the epoch, and other standbys. */
inline propose(x, epoch) {
	putPending[x] = true; putInFlight[x] = true;
	expectedVersion[x] = knownVersion[x]; nextEpoch[x] = epoch;
#ifdef SLICES
	proposedAt[x] = now; nextStandbys[x] = 1 << (1 - x)
#else
	if
	:: nextStandbys[x] = 7 & ~(1 << x)
	:: nextStandbys[x] = 1 << ((x + 1) % 3)
	:: nextStandbys[x] = 1 << ((x + 2) % 3)
	fi
#endif
}

/* chooseInstance sets i to any instance, chooseOther sets j to any other one. */
#ifdef SLICES
inline chooseInstance() {
	if :: i = 0 :: i = 1 fi
}

inline chooseOther() {
	j = 1 - i
}
#else
inline chooseInstance() {
	if :: i = 0 :: i = 1 :: i = 2 fi
}

inline chooseOther() {
	if :: j = (i + 1) % 3 :: j = (i + 2) % 3 fi
}
#endif

active proctype system() {
	atomic {
#ifdef SLICES
		level[0] = BURST;
		storeStandbys = 2; knownStandbys[0] = 2; knownStandbys[1] = 2; crashed[2] = true
#else
		if
		:: skip
		:: storeStandbys = 2;
			for (i : 0 .. N - 1) { knownStandbys[i] = 2 }
			i = 0
		fi
#endif
	}
	do
	:: atomic { now < LAST_TICK -> /* time passes, and owners refill their buckets */
		for (i : 0 .. N - 1) {
			computeOutstanding(i);
#ifdef NO_PHI
			outstanding = 0;
#endif
			if
#ifdef SLICES
			:: knownOwner[i] == i && !crashed[i] && now >= grantsFrom[i] && level[i] + outstanding < BURST -> level[i] = level[i] + 1
#endif
			:: else
			fi
		}
		now++;
		for (j : 0 .. 1) { /* slices that have expired for both sides, received or not */
			if
#ifdef NO_EXPIRY
			:: sliceState[j] == 2 && now >= expires[j] && now >= grantExpires[j] -> dropSlice(j)
#else
			:: sliceState[j] != 0 && now >= expires[j] && now >= grantExpires[j] -> dropSlice(j)
#endif
			:: else
			fi
		}
		/* Clear requests and promises that have expired, since they have no effect. */
		if
		:: sliceRequestedAt != 0 && now >= sliceRequestedAt - 1 + SLICE_LIFETIME -> sliceRequestedAt = 0
		:: else
		fi;
		for (i : 0 .. N - 1) {
			if
			:: lastPromise[i] != 0 && now >= lastPromise[i] - 1 + PROMISE_DURATION -> lastPromise[i] = 0
			:: else
			fi;
			if
			:: requestedAt[i] != 0 && now >= requestedAt[i] - 1 + PROMISE_DURATION -> requestedAt[i] = 0; requestedEpoch[i] = 0
			:: else
			fi;
			if
			:: grantsFrom[i] <= now -> grantsFrom[i] = 0
			:: else
			fi;
			for (j : 0 .. N - 1) {
				if
				:: promiseReceived[i * 3 + j] != 0 && now >= promiseReceived[i * 3 + j] - 1 + PROMISE_DURATION -> promiseReceived[i * 3 + j] = 0
				:: else
				fi;
#ifndef NO_SEND_TIME
				if
				:: promiseSent[i * 3 + j] != 0 && now >= promiseSent[i * 3 + j] - 1 + PROMISE_DURATION -> promiseSent[i * 3 + j] = 0
				:: else
				fi
#else
				skip
#endif
			}
		}
		checkInvariants(); resetTemporaries() }
	:: atomic { /* the owner requests promises */
		chooseInstance();
		if
		:: knownOwner[i] == i && !crashed[i] && !released[i] -> requestedAt[i] = now + 1; requestedEpoch[i] = knownEpoch[i]
		:: else
		fi;
		resetTemporaries() }
	:: atomic { /* a standby promises */
		chooseInstance(); chooseOther();
		if
		:: requestedAt[i] != 0 && !crashed[j] && promiseSent[i * 3 + j] != requestedAt[i] && epochAccepted && noPutPending ->
			promiseSent[i * 3 + j] = requestedAt[i]; lastPromise[j] = now + 1
		:: else
		fi;
		resetTemporaries() }
	:: atomic { /* the owner receives a promise */
		chooseInstance(); chooseOther();
		if
		:: knownOwner[i] == i && !crashed[i] && promiseSent[i * 3 + j] != 0 && promiseReceived[i * 3 + j] != promiseSent[i * 3 + j] ->
#ifdef NO_SEND_TIME
			promiseReceived[i * 3 + j] = now + 1; promiseSent[i * 3 + j] = now + 1;
#else
			promiseReceived[i * 3 + j] = promiseSent[i * 3 + j];
#endif
			checkInvariants()
		:: else
		fi;
		resetTemporaries() }
	:: atomic { /* a standby proposes itself as the owner */
		chooseInstance();
		if
		:: !crashed[i] && !putPending[i] && knownOwner[i] != i && contains(knownStandbys[i], i) && knownEpoch[i] < MAXEPOCH && knownVersion[i] < MAXVERSION && noPromiseBinds ->
			propose(i, knownEpoch[i] + 1)
		:: else
		fi;
		resetTemporaries() }
#ifndef SLICES
	:: atomic { /* the owner proposes other standbys */
		chooseInstance();
		if
		:: !crashed[i] && !putPending[i] && knownOwner[i] == i && !released[i] && knownVersion[i] < MAXVERSION ->
			propose(i, knownEpoch[i]); checkInvariants()
		:: else
		fi;
		resetTemporaries() }
#endif
	:: atomic { /* an update takes effect */
		chooseInstance();
		if
		:: putInFlight[i] && expectedVersion[i] == storeVersion ->
			storeVersion++; storeOwner = i; storeStandbys = nextStandbys[i]; storeEpoch = nextEpoch[i]; putInFlight[i] = false
		:: else
		fi;
		resetTemporaries() }
	:: atomic { /* an instance reads the object, or receives the answer to its update */
		chooseInstance();
		if
		:: !crashed[i] && knownVersion[i] < storeVersion -> observe(i); checkInvariants()
		:: else
		fi;
		resetTemporaries() }
#ifdef SLICES
	:: atomic { /* the owner stops and releases the lease to its standby */
		chooseInstance();
		if
		:: knownOwner[i] == i && !crashed[i] && !released[i] ->
#ifndef NO_STOP
			released[i] = true;
#endif
			chooseOther();
			releasedEpoch[j] = knownEpoch[i]
		:: else
		fi;
		resetTemporaries() }
	:: atomic { /* an instance crashes; its restart is another instance */
		chooseInstance();
		if
		:: !crashed[i] && crashes < MAXCRASHES ->
			crashes++;
#ifdef NO_INCARNATION
			lastPromise[i] = 0; putPending[i] = false; requestedAt[i] = 0;
			for (k : 0 .. N - 1) { promiseSent[i * 3 + k] = 0; promiseReceived[i * 3 + k] = 0 }
#else
			crashed[i] = true; requestedAt[i] = 0; requestedEpoch[i] = 0; lastPromise[i] = 0; releasedEpoch[i] = 0;
			released[i] = false; level[i] = 0; grantsFrom[i] = 0; knownVersion[i] = 0; knownOwner[i] = 0; knownStandbys[i] = 0; knownEpoch[i] = 0;
			for (k : 0 .. N - 1) { promiseSent[i * 3 + k] = 0; promiseReceived[i * 3 + k] = 0 }
#endif
		:: else
		fi;
		resetTemporaries() }
	:: atomic { sliceRequestedAt = now + 1 } /* the holder requests a slice */
	:: atomic { /* the owner grants all tokens that it has */
		chooseInstance();
		if
		:: sliceRequestedAt != 0 && !crashed[i] && knownOwner[i] == i && level[i] > 0 && now >= grantsFrom[i] && (sliceState[0] == 0 || sliceState[1] == 0) ->
			valid(i);
#ifdef NO_VALID
			ok = true;
#endif
			if
			:: ok ->
				j = (sliceState[0] == 0 -> 0 : 1);
				sliceState[j] = 1; sliceTokens[j] = level[i]; expires[j] = sliceRequestedAt - 1 + SLICE_LIFETIME;
				grantExpires[j] = now + SLICE_LIFETIME; grantedBy[j] = i; grantedEpoch[j] = knownEpoch[i]; level[i] = 0
			:: else
			fi
		:: else
		fi;
		resetTemporaries() }
	:: atomic { /* the holder receives a slice */
		if :: j = 0 :: j = 1 fi;
		if
#ifdef NO_EXPIRY
		:: sliceState[j] == 1 -> sliceState[j] = 2; expires[j] = now + SLICE_LIFETIME; checkInvariants()
#else
		:: sliceState[j] == 1 && now < expires[j] -> sliceState[j] = 2; checkInvariants()
#endif
		:: else
		fi;
		resetTemporaries() }
	:: atomic { /* the holder spends a token and reports it */
		if :: j = 0 :: j = 1 fi;
		if
		:: sliceState[j] == 2 && sliceTokens[j] > 0 && now < expires[j] ->
			sliceTokens[j]--;
			if
			:: sliceTokens[j] == 0 -> dropSlice(j)
			:: else
			fi
		:: else
		fi;
		resetTemporaries() }
#endif
	:: now == LAST_TICK -> break
	od
}
