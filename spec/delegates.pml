/*
 * Limits by delegated parts (core/quota/delegate.go and transfer.go).
 *
 * The model has two parts, which are checked one after the other:
 *
 *   default      An instance delegates its part to one of two collectors, renews and releases
 *                it, and changes the collector. Messages are late, reordered or lost. No two
 *                collectors may use the part at a time, and no token of the one may be spent
 *                while the other uses the part.
 *   -DTRANSFERS  A collector transfers tokens to another one. Its level and the tokens of it
 *                that may still be spent never exceed the burst.
 *
 * Each macro named in delegates.sh removes one guard; an assertion must then fail. Clocks run
 * at the same rate here: the margins for their drift are not in the model.
 */

#ifndef TRANSFERS

#define LIFE   3  /* life of a delegation, with the spending of its tokens */
#define SPEND  1  /* time for which a granted token may be spent */
#define END    6  /* last tick */
#define SENDS  4  /* delegations that are sent */
#define NONE   31

byte now = 0;

/* Collectors. */
byte until[2];    /* the part is in force before this time */
byte spendEnd[2]; /* granted tokens may be spent before this time */
byte number[2];   /* highest number handled */

/* A delegation on its way, and a reply, in two slots each. */
typedef Message { bool used; byte to; byte number; byte sent; bool release }
typedef Answer { bool used; byte from; byte number; byte reading }
Message messages[2];
Answer answers[2];

/* The delegating instance. */
byte target = 0;
bool known = true; /* a reading of the collector's clock is known, at first that of time 0 */
byte reading, readingAt;
#ifdef NO_ARRIVAL
byte askedAt;
#endif
byte last = 0;      /* number of the last delegation */
byte released = 0;  /* number of the delegation that releases the part, or 0 */
byte freeAt = 0;    /* the part has no collector from this time on */

inline send(slot, isRelease) {
  atomic {
    !messages[slot].used && (slot == 0 || messages[0].used) && last < SENDS && (isRelease || released == 0) ->
    last++;
    messages[slot].used = true; messages[slot].to = target; messages[slot].number = last; messages[slot].release = isRelease;
    if
    :: known ->
#ifdef NO_ARRIVAL
       messages[slot].sent = reading + (now - askedAt); /* counts from the earlier question */
#else
       messages[slot].sent = reading + (now - readingAt)
#endif
    :: else -> messages[slot].sent = NONE
    fi;
#ifdef NO_ARRIVAL
    askedAt = now;
#endif
    if
    :: isRelease -> released = last;
#ifdef NO_CONFIRMATION
       freeAt = now + SPEND
#endif
    :: !isRelease && known -> freeAt = now + LIFE
    :: else
    fi
  }
}

inline clear(slot) {
  messages[slot].used = false; messages[slot].to = 0; messages[slot].number = 0; messages[slot].sent = 0; messages[slot].release = false
}

inline deliver(slot) {
  atomic {
    messages[slot].used ->
    if
    :: !answers[slot].used -> /* else the answer is lost */
       answers[slot].used = true; answers[slot].from = messages[slot].to; answers[slot].number = messages[slot].number; answers[slot].reading = now
    :: true
    fi;
    c = messages[slot].to;
#ifdef NO_ECHO
    if
    :: messages[slot].sent != NONE -> messages[slot].sent = now
    :: else
    fi;
#endif
    if
#ifdef NO_NUMBER
    :: messages[slot].sent != NONE ->
#else
    :: messages[slot].sent != NONE && messages[slot].number > number[c] ->
#endif
       if
       :: messages[slot].release ->
          number[c] = messages[slot].number;
          if
          :: now < until[c] -> until[c] = now; spendEnd[c] = now + SPEND
          :: else
          fi
       :: !messages[slot].release && messages[slot].sent + LIFE - SPEND > now ->
          number[c] = messages[slot].number;
          until[c] = messages[slot].sent + LIFE - SPEND;
          spendEnd[c] = until[c] + SPEND;
          assert(now >= spendEnd[1 - c]) /* no token of the other collector may be spent */
       :: else
       fi
    :: else
    fi;
    clear(slot); c = 0
  }
}

inline receive(slot) {
  atomic {
    answers[slot].used ->
    if
    :: answers[slot].from == target && answers[slot].number == last ->
       if
       :: released == last && released != 0 && known && now + SPEND < freeAt ->
#ifdef NO_SPENDING
          freeAt = now
#else
          freeAt = now + SPEND
#endif
       :: else
       fi;
       known = true; reading = answers[slot].reading; readingAt = now
    :: else
    fi;
    answers[slot].used = false; answers[slot].from = 0; answers[slot].number = 0; answers[slot].reading = 0
  }
}

active proctype Instance() {
  byte c = 0;
  do
  :: now < END -> now++
  :: send(0, false)
  :: send(1, false)
  :: send(0, true)
  :: send(1, true)
  :: deliver(0)
  :: deliver(1)
  :: atomic { messages[0].used -> clear(0) } /* lost */
  :: atomic { messages[1].used -> clear(1) }
  :: receive(0)
  :: receive(1)
  :: atomic {
#ifdef NO_WAIT
       now < END ->
#else
       now >= freeAt ->
#endif
       target = 1 - target; known = false; released = 0; reading = 0; readingAt = 0
     }
  :: now == END -> break
  od
}

#else

#define BURST 2
#define LIFE  2 /* life of a transferred token, from the request */
#define SPEND 2 /* time for which a granted token may be spent */
#define END   7
#define TOKENS 2

byte now = 0;
byte level = BURST;

/* Transferred tokens. */
mtype = { free, asked, sent, borrowed, granted, gone };
mtype state[TOKENS];
byte askedAt[TOKENS], arrivedAt[TOKENS], grantedAt[TOKENS], holdEnd[TOKENS];
byte k, spendable, outstanding;

/* Tokens of the lender that may still be spent. */
inline count() {
  spendable = 0; outstanding = 0; k = 0;
  do
  :: k < TOKENS ->
     if
     :: (state[k] == sent || state[k] == borrowed) && now < askedAt[k] + LIFE -> spendable++
     :: state[k] == granted && now < grantedAt[k] + SPEND -> spendable++
     :: else
     fi;
     if
     :: state[k] != free && state[k] != asked && now < holdEnd[k] -> outstanding++
     :: else
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

proctype Token(byte i) {
  state[i] = asked; askedAt[i] = now;
  atomic { /* the request arrives, at any time */
    level > 0 -> level--; state[i] = sent;
#ifdef NO_HOLD
    holdEnd[i] = now
#else
#ifdef NO_SPENDING_TIME
    holdEnd[i] = now + LIFE
#else
    holdEnd[i] = now + LIFE + SPEND
#endif
#endif
  };
  if
  :: atomic { state[i] = borrowed; arrivedAt[i] = now } /* the reply arrives, at any time */
  :: state[i] = gone
  fi;
  if
  :: atomic {
#ifdef NO_ASKED_TIME
       state[i] == borrowed && now < arrivedAt[i] + LIFE ->
#else
       state[i] == borrowed && now < askedAt[i] + LIFE ->
#endif
       state[i] = granted; grantedAt[i] = now
     }
  :: state[i] != granted -> state[i] = gone
  fi
}

active proctype Lender() {
  do
  :: atomic {
       now < END -> now++;
       count();
       if
       :: level + outstanding < BURST -> level++
       :: else
       fi;
       assert(level + spendable <= BURST)
     }
  :: now == END -> break
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < TOKENS -> state[i] = free; run Token(i); i++
    :: else -> break
    od
  }
}

#endif
