/* Leaving servers and draining hosts: design sections 1.1 (items 6 and 7), 4.2 and 6 (shutdown).
 *
 * SERVER: an engine is marked as leaving (spec.leaving, its own report or the host list). Two hosts own
 * it one after the other, or both at once while they disagree. A tick is a second. The host that takes
 * the operator's write tells the owners directly, within DIRECT ticks; the engine's own report comes
 * within REPORT ticks; configuration that spreads by gossip alone may take CONFIGURATION ticks. Streams
 * that run may go on for any time. Safety: no dispatch later than BOUND ticks after the mark, and a
 * stream that runs is never cancelled because its engine leaves.
 *
 * DRAIN: a host drains while a caller holds an address, another host still shows it in entry answers,
 * an entry host sends it work as the owner of an engine, and it has requests open in both roles. Ticks
 * are seconds; an entry answer lives LIFETIME ticks; a host that has not heard of the draining may
 * still hand out the address for GOSSIP ticks. Safety: the host closes with nothing open and no work
 * queued, no request in progress is cut off, and a caller whose connect is refused goes on to the next
 * address. Liveness under weak fairness: the host closes, if the open requests end (by their deadlines),
 * and the request that met it is answered.
 *
 * Abstracted: which of the three sources told of the leaving server (the slowest that is fast enough
 * counts), more than one engine, more than one caller, the bytes of a half-sent answer. A request
 * written on an idle connection in the moment in which the host closes it is answered by nobody and
 * counts as a refused connect: the caller repeats it, with the same id, at the next address.
 *
 * check SERVER -DSERVER: a leaving server gets nothing new after the bound and keeps what runs
 * check DRAIN -DDRAIN: a draining host closes with nothing open and cuts nothing off
 * live CLOSES closes -DDRAIN -DLIVE: it closes
 * live SERVED served -DDRAIN -DLIVE: the request that met it is answered
 * mutant GOSSIP_ONLY of SERVER -DGOSSIP_ONLY: spec.leaving reaches the owner by configuration alone
 * mutant QUEUE_STAYS of SERVER -DQUEUE_STAYS: queued work is still sent to an engine that leaves
 * mutant CUT_RUNNING of SERVER -DCUT_RUNNING: a leaving engine's streams are cancelled
 * mutant CLOSE_EARLY of DRAIN -DCLOSE_EARLY: the host closes without waiting for open requests
 * mutant KEEP_QUEUE of DRAIN -DKEEP_QUEUE: queued work is not handed back
 * mutant TAKE_WORK of DRAIN -DTAKE_WORK: a draining owner still queues what is sent to it
 * mutant CLOSE_AT_ONCE of DRAIN -DCLOSE_AT_ONCE: the host stops accepting before entry answers run out
 * mutant NO_NEXT of SERVED -DNO_NEXT: a caller whose connect is refused does not try the next address
 */

#ifdef SERVER
#define BOUND 5
#define DIRECT 2
#define CONFIGURATION 10
#ifdef GOSSIP_ONLY
#define DELAY CONFIGURATION
#else
#define DELAY DIRECT
#endif

bool leaving;                /* the mark is set */
byte since;                  /* ticks since then, counted up to BOUND + 1 */
byte left[2];                /* ticks within which the host must have heard */
bool knows[2];
byte queued[2];
byte running;
bool cancelled;

inline hear(h) { atomic { leaving && !knows[h] -> knows[h] = true } }

inline submit(h) {
    atomic { queued[h] < 2 && !knows[h] -> queued[h]++ }          /* placement stops with the owner */
}

#ifdef QUEUE_STAYS
#define MAY_DISPATCH(h) true
#else
#define MAY_DISPATCH(h) (!knows[h])
#endif

inline dispatch(h) {
    atomic {
        queued[h] > 0 && running < 3 && MAY_DISPATCH(h) ->
        assert(!leaving || since <= BOUND);
        queued[h]--; running++
    }
}

inline hand_back(h) { atomic { knows[h] && queued[h] > 0 -> queued[h]-- } }

active proctype hosts() {
end:
    do
    :: submit(0)
    :: submit(1)
    :: dispatch(0)
    :: dispatch(1)
    :: hear(0)
    :: hear(1)
    :: hand_back(0)
    :: hand_back(1)
#ifdef CUT_RUNNING
    :: atomic { leaving && running > 0 -> running--; cancelled = true }
#endif
    :: atomic { running > 0 -> running-- }                        /* a stream ends by itself */
    :: assert(!cancelled)
    od
}

active proctype clock() {
    atomic { leaving = true; left[0] = DELAY; left[1] = DELAY }
end:
    do
    :: atomic {
        (knows[0] || left[0] > 0) && (knows[1] || left[1] > 0) && since <= BOUND ->
        since++;
        if :: left[0] > 0 -> left[0]-- :: else fi;
        if :: left[1] > 0 -> left[1]-- :: else fi
       }
    od
}
#endif

#ifdef DRAIN
#define LIFETIME 3
#define GOSSIP 1
#define NEVER 255

mtype = { WAITS, CONNECTED, SENT, ANSWERED };   /* a caller */
mtype = { SERVES, DRAINS, CLOSED };             /* the host */

mtype host = SERVES;
byte accepts = NEVER;        /* ticks for which a draining host still accepts */
byte stale = NEVER;          /* ticks for which another host may still hand out its address */
byte address = 0;            /* ticks for which the caller may use the address that it has */
mtype caller = WAITS;
bool open_here;              /* the caller's request is open at the host as its entry host */
bool answered;

/* The host as the owner of an engine, for another entry host. */
mtype = { NOWHERE, QUEUED, RUNNING, MOVED, DONE };
mtype work = NOWHERE;

bool cut;                    /* a request in progress was cut off */
bool refused_early;          /* a connect was refused while the address was good */

#define OPEN_WORK (work == RUNNING || work == QUEUED)

active proctype the_host() {
    do
    :: atomic { host == SERVES -> host = DRAINS; stale = GOSSIP;
#ifdef CLOSE_AT_ONCE
        accepts = 0
#else
        accepts = LIFETIME
#endif
       }
#ifndef KEEP_QUEUE
    :: atomic { host == DRAINS && work == QUEUED -> work = MOVED }
#endif
    :: atomic { host != CLOSED && open_here -> open_here = false; caller = ANSWERED }
    :: atomic { host == SERVES && work == QUEUED -> work = RUNNING }
    :: atomic { host != CLOSED && work == RUNNING -> work = DONE }
#ifdef CLOSE_EARLY
    :: atomic { host == DRAINS && accepts == 0 -> host = CLOSED;
#else
#ifdef KEEP_QUEUE
    :: atomic { host == DRAINS && accepts == 0 && !open_here && work != RUNNING -> host = CLOSED;
#else
    :: atomic { host == DRAINS && accepts == 0 && !open_here && !OPEN_WORK -> host = CLOSED;
#endif
#endif
        cut = open_here || OPEN_WORK;
        assert(!cut); goto done }
    od;
done: skip
}

/* An entry host submits work to the engine that the host owns, knowing of the draining or not. */
active proctype entry_host() {
end:
    do
    :: atomic { host == SERVES && work == NOWHERE -> work = QUEUED }
#ifdef TAKE_WORK
    :: atomic { host == DRAINS && work == NOWHERE -> work = QUEUED; assert(host == SERVES) }
#else
    :: atomic { host == DRAINS && work == NOWHERE -> work = MOVED }
#endif
    :: atomic { host == CLOSED && work == NOWHERE -> work = MOVED }   /* the connection is refused */
    :: atomic { work == MOVED -> work = DONE }                        /* resubmitted to the new owner */
    od
}

active proctype a_caller() {
    /* The entry answer: the address may still be handed out by a host that has not heard. */
    if
    :: atomic { host == SERVES || stale > 0 && stale != NEVER -> address = LIFETIME }
    :: atomic { host != SERVES -> caller = ANSWERED }                 /* it got other addresses */
    fi;
    do
    :: atomic { caller == WAITS && host != CLOSED && accepts > 0 -> open_here = true; caller = SENT }
    :: atomic { caller == WAITS && (host == CLOSED || accepts == 0) ->
        assert(host != SERVES);
        refused_early = (address > GOSSIP);
        assert(!refused_early);
#ifdef NO_NEXT
        goto done
#else
        caller = ANSWERED; goto done                                  /* at the next address */
#endif
       }
    :: atomic { caller == ANSWERED -> answered = true; goto done }
    od;
done: skip
}

/* Time goes on; a timer that is not set stands still. */
active proctype clock() {
end:
    do
    :: atomic {
        host == DRAINS && accepts > 0 ->
        accepts--;
        if :: stale > 0 -> stale-- :: else fi;
        if :: address > 0 -> address-- :: else fi
       }
    :: atomic { host == SERVES && address > 0 -> address-- }
    od
}

ltl closes { <> (host == CLOSED) }
ltl served { <> (caller == ANSWERED) }
#endif
