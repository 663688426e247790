/* A request's life: design sections 1.1 (items 1 to 4), 3.1, 3.2 and 3.8.
 *
 * One request of LENGTH tokens, one caller, two entry hosts, two successive owners, two engines and the
 * record of the request. Entry hosts, owners and an engine may die at any step (DEATHS together: two for safety, one for liveness); the
 * first owner may also be taken for dead while it is only paused, and then goes on with what it had
 * queued. The caller may give up on its first entry host at any step (silent connection) and come back
 * at the second with the token, if it has had a chunk, or with the request id alone. Frames from an
 * owner to an entry host are late by any time, so those of an old owner or attempt arrive late, and
 * between two owners in any order.
 *
 * Safety: one final answer for each connection; each chunk in offset order, once, of the caller's own
 * request, and from one consistent text (the tokens of a next attempt follow the very tokens that it
 * was given); an attempt starts at most once in the fleet, the next one only after its engine died;
 * nothing runs after `not-run` was told, and `not-run` is not told after anything ran. Liveness: the
 * caller gets a final answer unless both its entry hosts die, with no deadline to help (ANSWERED), and
 * in the end no engine holds a stream (FREED).
 *
 * Fairness: weak fairness of the processes: each live host, engine and the collection of orphaned
 * streams take steps; a frame sent arrives while both ends live.
 *
 * Abstracted: admission (a refusal is a choice of the owner), ranks and queue order, memory amounts (a
 * stream holds memory until it is released), KV cache, authentication. The
 * two record hosts are one record that is created if absent; the loss of both copies before the owner
 * has put them again is outside (see LOST_RECORD, which shows that it then runs twice). Cancel is the
 * same step as the deadline.
 *
 * check LIFE: one final answer, own chunks in order, nothing runs twice, `not-run` is true
 * live ANSWERED answered -DLIVE -DDEATHS=1: the caller gets a final answer while one of its entry hosts lives
 * live FREED freed -DLIVE -DDEATHS=1: a live engine's stream ends and is released (engine 0)
 * mutant LOST_RECORD of LIFE -DLOST_RECORD: the record is not put again when its hosts die
 * mutant BLIND_RECORD of LIFE -DBLIND_RECORD: a record is put without looking for one that is there
 * mutant OTHER_ENGINE of LIFE -DOTHER_ENGINE: after an owner's death the attempt goes to any engine
 * mutant NOT_RUN_GUESS of LIFE -DNOT_RUN_GUESS: a refusal is told as `not-run` though an owner kept silent
 * mutant NOT_RUN_RETRY of LIFE -DNOT_RUN_RETRY: a retry's refusal is told as `not-run` though the first host may go on
 * mutant ATTACH_STARTS of LIFE -DATTACH_STARTS: a host that found a record submits the request again
 * mutant FORGETS_FIRST of LIFE -DFORGETS_FIRST: a refusal after a reconnect is told as `not-run`
 * mutant OTHER_TEXT of LIFE -DOTHER_TEXT: an attach does not compare what the next attempt was given
 * mutant NO_MARK of LIFE -DNO_MARK: `not-run` is told without marking the record as ended
 * mutant ANY_FRAME of LIFE -DANY_FRAME: chunks are taken without comparing the request
 * mutant OLD_CONNECTION of LIFE -DOLD_CONNECTION: frames of a connection that was replaced are taken
 * mutant ANY_OWNER of LIFE -DANY_OWNER: chunks of an owner that was replaced are taken
 * mutant ONE_RELAY of ANSWERED -DONE_RELAY: an owner relays to the host that attached last only
 * mutant NO_TAKEOVER of ANSWERED -DNO_TAKEOVER: an entry host does not go to the new owner
 * mutant NO_COLLECTION of FREED -DNO_COLLECTION: orphaned streams are not collected
 */

#define LENGTH 2
#ifndef DEATHS
#define DEATHS 2
#endif
#define NO 2                       /* no host, no owner, no engine */

mtype = { CHUNK, FINISHED, FAILED, REFUSED };              /* frames */
mtype = { IDLE, NEW, OPEN, CLOSED };                       /* request at an entry host */
mtype = { NONE, QUEUED, RUNNING, BROKEN };                 /* work at an owner */
mtype = { EMPTY, STREAMING, DONE, RELEASED };             /* stream at an engine */
mtype = { OK, RAN, UNKNOWN, NOT_RUN };                     /* final answers */

/* Caller. */
byte at_entry = 0;
byte got;                          /* tokens received */
byte got_first;                    /* of these, made by attempt 1 */
bool got_second;                   /* one was made by attempt 2 */
bool answered_finally;

/* Entry hosts. */
bool entry_dead[2];
mtype entry[2] = IDLE;
byte e_off[2];                     /* next offset */
byte e_first[2];                   /* tokens of attempt 1 that were passed on */
bool no_text[2];                   /* it came in by a token and has not the text before its offset */
byte e_eng[2] = NO;
byte e_att[2];
byte e_own[2] = NO;                /* owner attached last */
bool fresh[2];                     /* this host created the record */
byte may_hold[2];                  /* owners that were sent the request and have not handed it back */

/* Owners. */
bool owner_dead[2];
bool declared;                     /* owner 0 is taken for dead, rightly or not */
mtype owner[2] = NONE;
byte o_eng[2] = NO;
byte o_att[2];
byte o_has[2];                     /* tokens known */
byte o_sent[4];                    /* next offset to relay, by owner and entry host */
byte o_first[2];                   /* tokens of attempt 1 that it or a host attached has */
byte o_to[2];                      /* entry hosts attached, one bit each */
chan frames[4] = [1] of { mtype, byte, byte };   /* kind, attempt that made the token, offset */

/* Engines: at most one stream of this request on each. */
bool engine_dead[2];
mtype stream[2] = EMPTY;
byte s_att[2];
byte s_off[2];
bool placed;                       /* the first placement is on engine 0, by symmetry */
byte starts[3];                    /* per attempt */
byte base;                         /* offset from which the tokens are those of attempt 2 */

/* Record. */
byte r_eng = NO;
byte r_att;
bool r_ended;

bool told_not_run;
byte deaths;

/* The owner may send a frame: the connection is open and has room. */
#define ATTACHED(o, e) ((o_to[o] >> (e)) & 1)
#define ROOM(o, e) (ATTACHED(o, e) && entry[e] == OPEN && nfull(frames[o * 2 + e]))
#define LIVE_ENTRY(e) (!entry_dead[e])
#define LIVE_OWNER(o) (!owner_dead[o])
#define HOLDS(g) (stream[g] == STREAMING || stream[g] == DONE)
#define VERSION(o, k) ((o_att[o] == 2 && (k) >= base) -> 2 : 1)

/* What nobody reads any more is forgotten, which keeps the search small. */
inline close_entry(e) {
    entry[e] = CLOSED; e_off[e] = 0; e_first[e] = 0; e_eng[e] = NO; e_att[e] = 0; e_own[e] = NO;
    fresh[e] = false; may_hold[e] = 0; no_text[e] = false;
    o_to[0] = o_to[0] & ~(1 << e); o_to[1] = o_to[1] & ~(1 << e);
    o_sent[e] = 0; o_sent[2 + e] = 0;
    drain(e); drain(2 + e)
}

inline drain(c) {
    do
    :: nempty(frames[c]) -> frames[c]?_,_,_
    :: empty(frames[c]) -> break
    od
}

inline drop_work(o) {
    owner[o] = NONE; o_eng[o] = NO; o_att[o] = 0; o_has[o] = 0; o_first[o] = 0; o_to[o] = 0;
    o_sent[o * 2] = 0; o_sent[o * 2 + 1] = 0
}

inline answer(e, kind) {
    close_entry(e);
#ifdef NO_MARK
    r_ended = r_ended || r_eng != NO;
#else
    r_ended = true;                /* a record that is absent is created as ended */
#endif
    if
    :: at_entry == e ->
        assert(!answered_finally);
        answered_finally = true;
        assert(kind != OK || got == LENGTH);
        if
        :: kind == NOT_RUN -> assert(starts[1] == 0); told_not_run = true
        :: else
        fi
    :: else
    fi
}

/* The entry host opens the request: by token, by record, or as a new one. */
inline open(e) {
    atomic {
        LIVE_ENTRY(e) && entry[e] == IDLE && at_entry == e ->
        if
        :: got > 0 -> e_eng[e] = (r_eng == NO -> 0 : r_eng); e_att[e] = (r_eng == NO -> 1 : r_att); e_off[e] = got;
            e_first[e] = got_first; no_text[e] = true; entry[e] = OPEN
        :: got == 0 -> entry[e] = NEW
        fi
    }
}

inline place(e) {
    atomic {
        LIVE_ENTRY(e) && entry[e] == NEW ->
        if
#ifdef BLIND_RECORD
        :: true ->
#else
        :: r_eng == NO && !r_ended ->
#endif
            fresh[e] = true;
            if
            :: !engine_dead[0] -> e_eng[e] = 0
            :: !engine_dead[1] && (placed || engine_dead[0]) -> e_eng[e] = 1
            fi;
            placed = true;
            r_eng = e_eng[e]; r_att = 1; e_att[e] = 1; entry[e] = OPEN
#ifndef BLIND_RECORD
        :: r_eng != NO && !r_ended -> e_eng[e] = r_eng; e_att[e] = r_att; entry[e] = OPEN
        :: r_ended -> answer(e, UNKNOWN)
#endif
        fi
    }
}

#ifdef OTHER_TEXT
#define FORKED(e, o) false
#else
#define FORKED(e, o) (o_att[o] == 2 && stream[o_eng[o]] != EMPTY && e_first[e] > base || \
    o_att[o] == 1 && e_off[e] > e_first[e])
#endif
/* The owner relays to each host that attached; a later one does not replace an earlier one. */
inline join(o, e) {
#ifdef ONE_RELAY
    o_to[o] = 1 << e;
#else
    o_to[o] = o_to[o] | (1 << e);
#endif
    o_sent[o * 2 + e] = e_off[e];
    if :: e_first[e] > o_first[o] -> o_first[o] = e_first[e] :: else fi
}

#define KNOWN(e) (!engine_dead[e_eng[e]] && stream[e_eng[e]] != EMPTY || e_off[e] > 0)
#ifdef ATTACH_STARTS
#define MAY_START(e) true
#else
#define MAY_START(e) (fresh[e] || KNOWN(e))
#endif

/* A new connection starts empty: what the one before it carried is dropped first. */
#ifdef OLD_CONNECTION
#define OLD_FRAMES_GONE(o, e) true
#else
#define OLD_FRAMES_GONE(o, e) empty(frames[(o) * 2 + (e)])
#endif

/* Submit or attach; the owner recognises a request that it has. A host that only found the record
   starts nothing: it attaches to what the owner or the engine has. */
inline attach(e, o) {
    atomic {
        LIVE_ENTRY(e) && entry[e] == OPEN && e_own[e] == NO && LIVE_OWNER(o) &&
        (o == 0 && !declared || o == 1 && declared) && OLD_FRAMES_GONE(o, e) ->
        e_own[e] = o;
        if
        :: owner[o] == NONE && no_text[e] && engine_dead[e_eng[e]] -> answer(e, RAN)
        :: owner[o] == NONE && !MAY_START(e) -> answer(e, UNKNOWN)
        :: owner[o] == NONE && MAY_START(e) && !(no_text[e] && engine_dead[e_eng[e]]) ->
            may_hold[e] = may_hold[e] | (1 << o);
            if
            :: owner[o] = QUEUED; o_eng[o] = e_eng[e]; o_att[o] = e_att[e]; o_has[o] = e_off[e];
                join(o, e)
            :: nfull(frames[o * 2 + e]) -> frames[o * 2 + e]!REFUSED,0,0
            fi
        :: owner[o] == BROKEN -> answer(e, RAN)
#ifndef OTHER_TEXT
        :: owner[o] != NONE && owner[o] != BROKEN && FORKED(e, o) ->
            answer(e, RAN)                        /* the next attempt continues another text */
#endif
        :: owner[o] != NONE && owner[o] != BROKEN && o_has[o] < e_off[e] && engine_dead[o_eng[o]] && no_text[e] -> answer(e, RAN)
        :: owner[o] != NONE && owner[o] != BROKEN && !FORKED(e, o) && !(o_has[o] < e_off[e] && engine_dead[o_eng[o]] && no_text[e]) ->
            may_hold[e] = may_hold[e] | (1 << o);
            join(o, e);
            if :: o_has[o] < e_off[e] -> o_has[o] = e_off[e] :: else fi
        fi
    }
}

/* The owner is dead, or taken for dead. */
inline lose_owner(e) {
    atomic {
        LIVE_ENTRY(e) && entry[e] == OPEN && (e_own[e] == 0 && declared || e_own[e] == 1 && owner_dead[1]) ->
        if
        :: e_own[e] == 1 -> answer(e, UNKNOWN)
#ifndef NO_TAKEOVER
        :: e_own[e] == 0 -> e_own[e] = NO;
#ifdef OTHER_ENGINE
            if :: e_eng[e] = 0 :: e_eng[e] = 1 fi
#else
            if
            :: r_eng != NO -> e_eng[e] = r_eng; e_att[e] = r_att
            :: else
            fi
#endif
#else
        :: e_own[e] == 0 -> e_own[e] = NO + 1
#endif
        fi
    }
}

inline take_chunk(e, made, off) {
    if
    :: off == e_off[e] ->
        e_off[e]++;
        if :: made == 1 -> e_first[e]++ :: else fi;
        if
        :: at_entry == e ->
            assert(got == off);
            assert(made == 2 || !got_second);     /* no text of attempt 1 after one of attempt 2 */
            assert(made == 1 || got_first <= base);
            if
            :: made == 1 -> got_first++
            :: else -> got_second = true
            fi;
            got++
        :: else
        fi
    :: else
    fi
}

inline receive(e, o) {
    atomic {
        LIVE_ENTRY(e) && nempty(frames[o * 2 + e]) ->
        frames[o * 2 + e]?kind,made,off;
        if
#ifdef ANY_OWNER
        :: entry[e] == OPEN ->
#else
        :: entry[e] == OPEN && e_own[e] == o ->
#endif
            if
            :: kind == CHUNK -> take_chunk(e, made, off)
            :: kind == FINISHED && e_off[e] == LENGTH -> answer(e, OK)
            :: kind == FINISHED && e_off[e] != LENGTH -> e_own[e] = NO    /* attach again */
            :: kind == FAILED -> answer(e, RAN)
            :: kind == REFUSED ->
                may_hold[e] = may_hold[e] & ~(1 << o);
                if
#ifdef NOT_RUN_GUESS
                :: true -> answer(e, NOT_RUN)
#else
                #ifdef NOT_RUN_RETRY
                :: may_hold[e] == 0 -> answer(e, NOT_RUN)
#else
                :: may_hold[e] == 0 && fresh[e] -> answer(e, NOT_RUN)
#endif
                :: else -> answer(e, UNKNOWN)
#endif
                fi
            fi
        :: else
        fi;
        kind = 0; made = 0; off = 0
    }
}

#ifdef ANY_FRAME
/* A frame that names another request, taken for this one. */
inline receive_foreign(e) {
    atomic { LIVE_ENTRY(e) && entry[e] == OPEN && at_entry == e -> assert(false) }
}
#endif

/* The connection to the owner was silent: a new one, attached at the offset. Frames of the old one
   may still arrive. */
inline reconnect(e) {
    atomic {
        LIVE_ENTRY(e) && entry[e] == OPEN && e_own[e] < NO && deaths < DEATHS ->
        deaths++; e_own[e] = NO;
#ifndef FORGETS_FIRST
        may_hold[e] = may_hold[e] | 4          /* a refusal from now on proves nothing */
#endif
    }
}

/* Deadline or cancel; the cancel reaches the owner or is lost. */
inline expire(e) {
    atomic {
        LIVE_ENTRY(e) && (entry[e] == OPEN || entry[e] == NEW) ->
        if
        :: e_own[e] < NO && LIVE_OWNER(e_own[e]) -> cancel(e_own[e])
        :: true
        fi;
        if
        :: may_hold[e] == 0 && (fresh[e] || entry[e] == NEW && r_eng == NO && !r_ended) -> answer(e, NOT_RUN)
        :: else -> answer(e, UNKNOWN)
        fi
    }
}

inline cancel(o) {
    if
    :: owner[o] == RUNNING && HOLDS(o_eng[o]) -> stream[o_eng[o]] = RELEASED
    :: else
    fi;
    drop_work(o)
}

inline dispatch(o) {
    atomic {
        LIVE_OWNER(o) && owner[o] == QUEUED && !engine_dead[o_eng[o]] ->
        if
        :: stream[o_eng[o]] == EMPTY ->
            starts[o_att[o]]++;
            assert(starts[o_att[o]] <= 1);
            assert(!told_not_run);
            assert(o_att[o] == 1 || engine_dead[1 - o_eng[o]]);
            stream[o_eng[o]] = STREAMING; s_att[o_eng[o]] = o_att[o]; s_off[o_eng[o]] = o_has[o];
            if :: o_att[o] == 2 -> base = o_has[o] :: else fi
        :: else                               /* the engine recognises the attempt */
        fi;
        if
#ifndef OTHER_TEXT
        :: o_att[o] == 2 && o_first[o] > base ->
            owner[o] = BROKEN
#endif
        :: else -> owner[o] = RUNNING
        fi
    }
}

inline pull(o) {
    atomic {
        LIVE_OWNER(o) && owner[o] == RUNNING && !engine_dead[o_eng[o]] && o_has[o] < s_off[o_eng[o]] ->
        o_has[o]++
    }
}

inline relay(o, e) {
    atomic {
        LIVE_OWNER(o) && owner[o] == RUNNING && o_sent[o * 2 + e] < o_has[o] && ROOM(o, e) ->
        frames[o * 2 + e]!CHUNK,VERSION(o, o_sent[o * 2 + e]),o_sent[o * 2 + e];
        o_sent[o * 2 + e]++
    }
}

/* The end, or the failure, to each host attached; after the last one the work is forgotten. */
inline finish(o, e) {
    atomic {
        LIVE_OWNER(o) && ROOM(o, e) &&
        (owner[o] == BROKEN || owner[o] == RUNNING && o_has[o] == LENGTH && o_sent[o * 2 + e] == LENGTH) ->
        frames[o * 2 + e]!(owner[o] == BROKEN -> FAILED : FINISHED),0,0;
        o_to[o] = o_to[o] & ~(1 << e); o_sent[o * 2 + e] = 0;
        if
        :: o_to[o] == 0 -> drop_work(o)
        :: else
        fi
    }
}

/* The stream was released behind the owner's back. */
inline give_up(o) {
    atomic {
        LIVE_OWNER(o) && owner[o] == RUNNING && o_has[o] < LENGTH && !engine_dead[o_eng[o]] &&
        stream[o_eng[o]] == RELEASED ->
        owner[o] = BROKEN
    }
}

/* The engine died: the next attempt, recorded first, or the end. An engine dies once here. */
inline next_attempt(o) {
    atomic {
        LIVE_OWNER(o) && (owner[o] == QUEUED || owner[o] == RUNNING) && engine_dead[o_eng[o]] &&
        !(owner[o] == RUNNING && o_has[o] == LENGTH) ->
        if
        :: o_has[o] == LENGTH -> owner[o] = RUNNING           /* nothing is left to generate */
        :: o_has[o] < LENGTH && o_att[o] == 1 && r_att == 1 ->
            o_first[o] = o_has[o]; o_att[o] = 2; o_eng[o] = 1 - o_eng[o]; owner[o] = QUEUED; r_att = 2; r_eng = o_eng[o]
        :: o_has[o] < LENGTH -> owner[o] = BROKEN
        fi
    }
}

/* Answered, or past its deadline with nobody left to answer. */
#define OVER (answered_finally || entry_dead[1] && (at_entry == 1 || entry_dead[0]))

/* The request is over: the owner releases what it holds. */
inline release(o) {
    atomic { LIVE_OWNER(o) && owner[o] != NONE && OVER -> cancel(o) }
}

proctype entry_host(byte e) {
    mtype kind;
    byte made, off;
end:
    do
    :: open(e)
    :: place(e)
    :: attach(e, 0)
    :: attach(e, 1)
    :: lose_owner(e)
    :: receive(e, 0)
    :: receive(e, 1)
    :: reconnect(e)
#ifdef ANY_FRAME
    :: receive_foreign(e)
#endif
#ifndef LIVE
    :: expire(e)
#endif
    od
}

proctype owner_host(byte o) {
end:
    do
    :: dispatch(o)
    :: pull(o)
    :: relay(o, 0)
    :: relay(o, 1)
    :: finish(o, 0)
    :: finish(o, 1)
    :: give_up(o)
    :: next_attempt(o)
    :: release(o)
    od
}

inline generate(g) {
    atomic {
        !engine_dead[g] && stream[g] == STREAMING ->
        if
        :: s_off[g] < LENGTH -> s_off[g]++
        :: s_off[g] == LENGTH -> stream[g] = DONE
        fi
    }
}

#define CLAIMED(g) (LIVE_OWNER(0) && owner[0] == RUNNING && o_eng[0] == g || \
    LIVE_OWNER(1) && owner[1] == RUNNING && o_eng[1] == g)

proctype engine(byte g) {
end:
    do
    :: generate(g)
#ifndef NO_COLLECTION
    :: atomic { !engine_dead[g] && HOLDS(g) && !CLAIMED(g) && OVER -> stream[g] = RELEASED }
#endif
    od
}

active proctype caller() {
end:
    atomic { !answered_finally && at_entry == 0 -> at_entry = 1 }
}

active proctype faults() {
end:
    do
    :: atomic { deaths < DEATHS && !entry_dead[0] -> entry_dead[0] = true; deaths++; close_entry(0) }
    :: atomic { deaths < DEATHS && !entry_dead[1] -> entry_dead[1] = true; deaths++; close_entry(1) }
    :: atomic { deaths < DEATHS && !owner_dead[0] -> owner_dead[0] = true; deaths++; drop_work(0); declared = true }
    :: atomic { deaths < DEATHS && !owner_dead[1] -> owner_dead[1] = true; deaths++; drop_work(1) }
    :: atomic { deaths < DEATHS && !declared -> declared = true; deaths++ }
    :: atomic { deaths < DEATHS && !engine_dead[0] && !engine_dead[1] -> engine_dead[0] = true; deaths++ }
    :: atomic { deaths < DEATHS && !engine_dead[0] && !engine_dead[1] -> engine_dead[1] = true; deaths++ }
#ifdef LOST_RECORD
    :: atomic { r_eng != NO && deaths < DEATHS -> r_eng = NO; r_att = 0; deaths++ }
#endif
    od
}

init {
    atomic {
        run entry_host(0); run entry_host(1); run owner_host(0); run owner_host(1);
        run engine(0); run engine(1)
    }
}

ltl answered { <> (answered_finally || entry_dead[1]) }
ltl freed { [] ((HOLDS(0) && !engine_dead[0]) -> <> (!HOLDS(0) || engine_dead[0])) }
