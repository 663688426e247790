/* At-most-once calls: design sections 1.1 (items 4 and 5) and 3.3.
 *
 * One idempotency key. Three attempts of its caller run at two hosts, in any overlap: a caller that
 * gives up on an answer starts the next attempt while the first may still be in progress. Each host
 * may die and restart once, between any two steps. A pause is a step taken late, so the free
 * interleaving covers it. The KV service may be out at any step: a step that needs it is then taken
 * later or replaced by the answer for an outage, and both are always possible here. Each CAS is
 * answered, or loses its answer after the effect, or is lost, or takes effect late, after its sender
 * stopped waiting. The first attempt is at host 0, without loss of generality.
 *
 * Abstracted: bodies and their hashes, the HTTP exchange, the retention lease (a key is forgotten
 * only after 24 h, which no step here reaches), the service itself (it runs what is sent to it), and
 * batching. The CAS on the revision of an intent is a comparison of its write id here, which is as
 * strict because a write id is used for one intent. A deadline is a choice that every waiting step
 * has. The holder's life is judged by a failure detector that may be wrong about live hosts, so both
 * answers to a found intent are allowed.
 *
 * `not-run` speaks of the attempt that it answers. Read as a statement on the key, it is wrong:
 * see KEY_MEANING, whose trace needs no fault of the host that answers.
 *
 * check CALL: at most one call is sent; an attempt told `not-run` sent none; no stale in-progress
 * mutant SEND_UNRESOLVED of CALL -DSEND_UNRESOLVED: a lost CAS answer is taken for an accepted create
 * mutant PLAIN_PUT of CALL -DPLAIN_PUT: the intent is written without compare-and-swap
 * mutant TAKE_OVER of CALL -DTAKE_OVER: a retry that finds a dead holder's intent sends the call
 * mutant REUSED_ID of CALL -DREUSED_ID: write ids start again when a host restarts
 * mutant VOID_SENT of CALL -DVOID_SENT: the intent is voided at the deadline although the call was sent
 * mutant VOID_BLIND of CALL -DVOID_BLIND: an intent is voided by a plain delete
 * mutant NOT_RUN_SENT of CALL -DNOT_RUN_SENT: the deadline is answered `not-run` although the call was sent
 * mutant STALE_INTENT of CALL -DSTALE_INTENT: in-progress is answered for an intent past its deadline
 * mutant KEY_MEANING of CALL -DKEY_MEANING: `not-run` is read as a statement on the key
 */

#define ATTEMPTS 3
#define HOSTS 2

mtype = { ABSENT, INTENT, DONE };                              /* KV record */
mtype = { NOT_RUN, IN_PROGRESS, UNKNOWN, RAN, STORED };        /* answers */

mtype kv = ABSENT;
byte kv_id;                  /* write id of the record */
byte kv_attempt;             /* attempt that wrote it, its stored deadline */

byte incarnation[HOSTS];     /* grows when the host dies and restarts */
#ifdef REUSED_ID
byte serial[HOSTS];          /* write ids given out by this incarnation */
#endif
byte late_id[ATTEMPTS];      /* write id of a create that is still on its way, or 0 */

byte started;
byte calls;
bool sent[ATTEMPTS];
bool expired[ATTEMPTS];      /* the deadline in the intent has passed */
bool told_not_run[ATTEMPTS];

inline create(id, a) {
#ifdef PLAIN_PUT
    kv = INTENT; kv_id = id; kv_attempt = a
#else
    if
    :: kv == ABSENT -> kv = INTENT; kv_id = id; kv_attempt = a
    :: else
    fi
#endif
}

inline tell(a, answer) {
    told_not_run[a] = (answer == NOT_RUN);
    assert(!(answer == NOT_RUN && sent[a]));
#ifdef KEY_MEANING
    assert(!(answer == NOT_RUN && calls > 0));
#endif
    assert(!(answer == STORED && calls == 0))
}

/* What a retry answers when the key holds a record that is not its own. */
inline answer_found(a) {
    if
    :: kv == DONE -> tell(a, STORED)
#ifdef STALE_INTENT
    :: kv == INTENT -> assert(!expired[kv_attempt]); tell(a, IN_PROGRESS)
#else
    :: kv == INTENT && !expired[kv_attempt] -> tell(a, IN_PROGRESS)
#endif
    :: kv == INTENT -> tell(a, UNKNOWN)
    fi
}

proctype attempt(byte a; byte h) {
    byte inc, id, tries;
    atomic {
        started == a -> started++;                       /* the caller starts them in this order */
        inc = incarnation[h];
#ifdef REUSED_ID
        id = 1 + h * 16 + serial[h];
        serial[h]++
#else
        id = 1 + a
#endif
    }
    {
        /* Step 1: create the intent. */
        if
        :: atomic { tell(a, NOT_RUN) }; goto end            /* the KV service is out */
        :: atomic { kv == ABSENT -> create(id, a) }; goto send
        :: atomic { kv != ABSENT ->
#ifdef PLAIN_PUT
            create(id, a) }; goto send
#else
            skip }; goto found
#endif
        :: atomic { create(id, a) }            /* the answer is lost */
        :: late_id[a] = id                               /* on its way, or lost: see network */
        fi;
#ifdef SEND_UNRESOLVED
        goto send;
#endif
resolve:
        if
        :: atomic { kv != ABSENT && kv_id == id -> skip }; goto send
        :: atomic { kv != ABSENT && kv_id != id -> skip }; goto found
        :: atomic { kv == ABSENT && tries == 0 -> tries = 1; create(id, a) }; goto resolve
        :: atomic { expired[a] = true; tell(a, NOT_RUN) }; goto void   /* deadline, still not known */
        fi;
send:   /* Step 2: send once, unless the deadline has come. */
        if
        :: atomic { calls++; sent[a] = true; assert(calls <= 1); assert(!told_not_run[a]) }
        :: atomic { expired[a] = true; tell(a, NOT_RUN) }; goto void
        fi;
        /* Step 3: the outcome. */
        if
        :: atomic { kv == INTENT && kv_id == id -> kv = DONE }
        :: expired[a] = true                              /* the KV service stays out */
        fi;
#ifdef NOT_RUN_SENT
        if
        :: atomic { expired[a] -> tell(a, NOT_RUN) }; goto end
        :: else
        fi;
#endif
#ifdef VOID_SENT
        if
        :: expired[a] -> goto void
        :: else
        fi;
#endif
        atomic { tell(a, RAN) }; goto end;
found:  /* Step 4: a retry never sends. */
#ifdef TAKE_OVER
        if
        :: atomic { kv == INTENT -> kv_id = id }; goto send
        :: else
        fi;
#endif
        atomic {
            if
            :: kv != ABSENT -> answer_found(a)
            :: else -> tell(a, NOT_RUN)                   /* it was voided since */
            fi
        }; goto end;
void:   /* Step 5: the writer knows that it never sent, and deletes its own intent. */
        atomic {
            if
            :: kv == INTENT && kv_id == id -> skip
            :: else -> goto end
            fi
        };
        tries = 0;
        do
        :: atomic { tries < 2 ->
            tries++;
            if
#ifdef VOID_BLIND
            :: kv != ABSENT -> kv = ABSENT; kv_id = 0; kv_attempt = 0
#else
            :: kv == INTENT && kv_id == id -> kv = ABSENT; kv_id = 0; kv_attempt = 0
#endif
            :: else
            fi
           }
           if
           :: break                                       /* answered */
           :: skip                                        /* the answer is lost: once more */
           fi
        :: tries == 2 -> break
        od;
        goto end
    } unless { incarnation[h] != inc };
end:
    atomic {                                             /* forgets what nobody reads any more */
        told_not_run[a] = false; sent[a] = false; tries = 0;
        if
        :: late_id[a] == 0 && kv_id != id -> expired[a] = false
        :: else
        fi;
        id = 0; inc = 0
    }
}

/* Creates that take effect after their sender stopped waiting, or never. */
inline deliver(a) {
    atomic {
        late_id[a] != 0 ->
        if
        :: create(late_id[a], a)
        :: skip
        fi;
        late_id[a] = 0;
        if
        :: kv_attempt != a || kv != INTENT -> expired[a] = false
        :: else
        fi
    }
}

active proctype network() {
end:
    do
    :: deliver(0)
    :: deliver(1)
    :: deliver(2)
    od
}

inline die(h) {
    atomic {
        incarnation[h] < 1 -> incarnation[h]++;
#ifdef REUSED_ID
        serial[h] = 0
#endif
    }
}

active proctype faults() {
end:
    do
    :: die(0)
    :: die(1)
    od
}

init {
    byte a;
    atomic {
        do
        :: a < ATTEMPTS ->
            if
            :: run attempt(a, 0)
            :: a > 0 -> run attempt(a, 1)
            fi;
            a++
        :: else -> break
        od;
        a = 0
    }
}
