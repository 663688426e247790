/* Configuration: design sections 1.1 (item 8) and 3.5. Two searches over one file.
 *
 * SPREAD: the store takes up to three writes on two keys (sets and deletions, in any order). Two hosts
 * learn them by watch events (which may be missing, so that there are gaps), by reading the range, and
 * from each other, by deltas and snapshots that may arrive late or in another order (two are on their
 * way at a time). Host 1 may restart empty once. A tombstone may be purged at any time, so every
 * retention period is covered. The invariants, at every change of a host:
 *   - a host shows for each key a state at least as new as the last write at or below its complete
 *     revision; a key deleted there is not in force;
 *   - what a host shows for a key never gets older, deletions included, until it restarts.
 *
 * OPERATORS: two operators write one key through two hosts: create, update or delete with the revision
 * that they read, possibly an old one. Each CAS may lose its answer, be lost, or take effect late. The
 * invariants: 409 is never told for an accepted write, success never for one that was not accepted, no
 * write takes effect twice, and none replaces a revision that it did not name.
 *
 * Abstracted: values, datagrams, who watches, the choice of the peer to pull from (any
 * that announced a higher complete revision), the read once per minute, and time. Not covered: that a change is everywhere
 * within 10 s, which is a matter of rates, not of these rules.
 *
 * check SPREAD -DSPREAD: what a host shows is complete and never gets older
 * check OPERATORS -DOPERATORS: no accepted write is told 409, undone or applied twice
 * mutant GAP of SPREAD -DGAP: the complete revision moves although changes in between are missing
 * mutant ANY_REVISION of SPREAD -DANY_REVISION: an item is replaced whatever its revision
 * mutant NO_FLOOR of SPREAD -DNO_FLOOR: a delta is sent although tombstones in its range were purged
 * mutant SNAPSHOT_FLOOR of SPREAD -DSNAPSHOT_FLOOR: a host that took a snapshot sends deltas from before it
 * mutant DROP_NEWER of SPREAD -DDROP_NEWER: a snapshot drops keys whose item is newer than the snapshot
 * mutant BELOW_COMPLETE of SPREAD -DBELOW_COMPLETE: an item at or below the complete revision is applied
 * mutant OLD_SNAPSHOT of SPREAD -DOLD_SNAPSHOT: a snapshot older than the complete revision drops keys
 * mutant BLIND_PUT of OPERATORS -DBLIND_PUT: configuration is written without the expected revision
 * mutant CONFLICT_UNRESOLVED of OPERATORS -DCONFLICT_UNRESOLVED: another's write id found after a lost answer is told as 409
 * mutant RESENT_CREATE of OPERATORS -DRESENT_CREATE: a create whose answer was lost is sent again
 * mutant NO_WRITE_ID of OPERATORS -DNO_WRITE_ID: any change found after a lost answer is told as 409
 */

#define KEYS 2
#define HOSTS 2
#define REVISIONS 3

#ifdef SPREAD

/* The store. A history entry belongs to one revision; at[k] is the live revision of a key or 0. */
byte store_rev;
bool key_of[REVISIONS + 1];
bool deletion[REVISIONS + 1];
byte at[KEYS];

typedef Host {
    byte item[KEYS];       /* revision of the item held, tombstones included; 0 if none */
    byte complete;
    byte floor;            /* tombstones up to here may be missing */
    byte shown[KEYS]       /* ghost: newest state shown of each key since the start */
}
Host host[HOSTS];
bool restarted;

/* A delta or snapshot on its way. */
typedef Message {
    bool used;
    bool snapshot;
    byte to;
    byte after;
    byte complete;
    byte item[KEYS]
}
Message message[2];

/* The last write to a key at or below a revision, or 0. */
inline last_write(k, limit, result) {
    result = 0;
    r = 1;
    do
    :: r <= limit -> if :: key_of[r] == k -> result = r :: else fi; r++
    :: else -> break
    od;
    r = 0
}

inline check_key(h, k) {
    last_write(k, host[h].complete, last);
    if
    :: last == 0
    :: last > 0 && deletion[last] -> assert(host[h].item[k] == 0 || host[h].item[k] >= last)
    :: last > 0 && !deletion[last] -> assert(host[h].item[k] >= last)
    fi;
    if
    :: host[h].item[k] != 0 -> last = host[h].item[k]
    :: host[h].item[k] == 0 && last > 0 && !deletion[last] -> last = 0
    :: else
    fi;
    assert(last >= host[h].shown[k]);
    host[h].shown[k] = last;
    last = 0
}

inline take_item(h, k, rev, offered_complete) {
    if
#ifdef ANY_REVISION
    :: rev != 0 -> host[h].item[k] = rev
#else
#ifdef BELOW_COMPLETE
    :: rev > host[h].item[k] -> host[h].item[k] = rev
#else
    :: rev > host[h].item[k] && rev > host[h].complete -> host[h].item[k] = rev
#endif
#endif
    :: else
    fi
}

/* ConfigStore::apply */
inline apply(h, is_snapshot, m_after, m_complete, item0, item1) {
    take_item(h, 0, item0, m_complete);
    take_item(h, 1, item1, m_complete);
    if
#ifdef OLD_SNAPSHOT
    :: is_snapshot ->
        if :: item0 == 0 -> host[h].item[0] = 0 :: else fi;
        if :: item1 == 0 -> host[h].item[1] = 0 :: else fi;
#else
    :: is_snapshot && m_complete > host[h].complete ->
#ifdef DROP_NEWER
        if :: item0 == 0 -> host[h].item[0] = 0 :: else fi;
        if :: item1 == 0 -> host[h].item[1] = 0 :: else fi;
#else
        if :: item0 == 0 && host[h].item[0] <= m_complete -> host[h].item[0] = 0 :: else fi;
        if :: item1 == 0 && host[h].item[1] <= m_complete -> host[h].item[1] = 0 :: else fi;
#endif
#endif
#ifndef SNAPSHOT_FLOOR
        if :: m_complete > host[h].floor -> host[h].floor = m_complete :: else fi
#endif
    :: else
    fi;
    if
#ifdef GAP
    :: m_complete > host[h].complete -> host[h].complete = m_complete
#else
    :: m_after <= host[h].complete && m_complete > host[h].complete -> host[h].complete = m_complete
#endif
    :: else
    fi;
    check_key(h, 0);
    check_key(h, 1)
}

/* ConfigStore::delta, or a snapshot when the delta could lack tombstones. Items the sender holds
   above its own complete revision are included. */
inline answer_pull(m, from, h) {
    message[m].used = true;
    message[m].to = h;
    message[m].complete = host[from].complete;
    if
#ifdef NO_FLOOR
    :: true ->
#else
    :: host[h].complete >= host[from].floor ->
#endif
        message[m].after = host[h].complete;
        if :: host[from].item[0] > host[h].complete -> message[m].item[0] = host[from].item[0] :: else fi;
        if :: host[from].item[1] > host[h].complete -> message[m].item[1] = host[from].item[1] :: else fi
#ifndef NO_FLOOR
    :: else ->
        message[m].snapshot = true;
        message[m].item[0] = host[from].item[0];
        message[m].item[1] = host[from].item[1]
#endif
    fi
}

inline clear(m) {
    message[m].used = false; message[m].snapshot = false; message[m].to = 0;
    message[m].after = 0; message[m].complete = 0; message[m].item[0] = 0; message[m].item[1] = 0
}

inline purge(h, k) {
    atomic {
        host[h].item[k] != 0 && deletion[host[h].item[k]] && host[h].item[k] <= host[h].complete ->
        if
        :: host[h].item[k] > host[h].floor -> host[h].floor = host[h].item[k]
        :: else
        fi;
        host[h].item[k] = 0
    }
}

inline write(k, is_deletion) {
    atomic {
        store_rev < REVISIONS && (!is_deletion || at[k] != 0) ->
        store_rev++; key_of[store_rev] = k; deletion[store_rev] = is_deletion;
        at[k] = (is_deletion -> 0 : store_rev)
    }
}

/* One watch event with its gap before it; the range as a snapshot; a pull from the other host. */
inline learn(h) {
    if
    :: atomic { store_rev > 0 -> rev = 1;
        do :: rev < store_rev -> rev++ :: break od;
        if
        :: key_of[rev] == 0 -> apply(h, false, rev - 1, rev, rev, 0)
        :: else -> apply(h, false, rev - 1, rev, 0, rev)
        fi;
        rev = 0 }
    :: atomic { store_rev > 0 -> apply(h, true, 0, store_rev, at[0], at[1]) }
    :: atomic { !message[0].used && host[1 - h].complete > host[h].complete -> answer_pull(0, 1 - h, h) }
    :: atomic { message[0].used && !message[1].used && host[1 - h].complete > host[h].complete -> answer_pull(1, 1 - h, h) }
    fi
}

inline arrive(m) {
    atomic {
        message[m].used ->
        apply(message[m].to, message[m].snapshot, message[m].after, message[m].complete,
            message[m].item[0], message[m].item[1]);
        clear(m)
    }
}

inline restart(h) {
    atomic {
        !restarted ->
        restarted = true; host[h].item[0] = 0; host[h].item[1] = 0; host[h].complete = 0;
        host[h].floor = 0; host[h].shown[0] = 0; host[h].shown[1] = 0
    }
}

active proctype everything() {
    byte r, last, rev;
end:
    do
    :: write(0, false)
    :: write(0, true)
    :: atomic { store_rev > 0 && store_rev < REVISIONS -> store_rev++; key_of[store_rev] = 1; at[1] = store_rev }      /* key 0 is written first, by symmetry */
    :: write(1, true)
    :: learn(0)
    :: learn(1)
    :: arrive(0)
    :: arrive(1)
    :: purge(0, 0)
    :: purge(0, 1)
    :: purge(1, 0)
    :: purge(1, 1)
    :: restart(1)
    od
}
#endif

#ifdef OPERATORS
#define WRITERS 3
#ifdef RESENT_CREATE
#define MAY_RESEND(w) true
#else
#define MAY_RESEND(w) (kind_of[w] != CREATE)
#endif

mtype = { CREATE, UPDATE, DELETE };

byte store_rev;
byte current;                /* revision of the key, or 0 when it is absent */
byte write_id;               /* of the value */
byte accepted[WRITERS];      /* times that a write took effect */
bool late[WRITERS];          /* one more copy is on its way */
bool told_conflict[WRITERS];

inline cas(w, kind, expected, took) {
    took = false;
    if
#ifdef BLIND_PUT
    :: true ->
#else
    :: current == expected ->
#endif
        assert(current == expected);
        store_rev++;
        accepted[w]++;
        assert(accepted[w] <= 1);
        assert(!told_conflict[w]);
        took = true;
        if
        :: kind == DELETE -> current = 0; write_id = 0
        :: else -> current = store_rev; write_id = w + 1
        fi
#ifndef BLIND_PUT
    :: else
#endif
    fi
}

inline tell_conflict(w) { told_conflict[w] = true; assert(accepted[w] == 0) }

mtype kind_of[WRITERS];
byte expected_of[WRITERS];

proctype writer(byte w) {
    bool took;
    byte sends = 1;
    /* What the operator read, some time before: a GET may be answered by a stale host. */
    atomic {
        expected_of[w] = current;
        if
        :: current == 0 -> kind_of[w] = CREATE
        :: current != 0 -> kind_of[w] = UPDATE
        :: current != 0 -> kind_of[w] = DELETE
        fi
    }
    if
    :: atomic { cas(w, kind_of[w], expected_of[w], took);
        if
        :: took -> goto done
        :: else -> tell_conflict(w); goto done
        fi }
    :: atomic { cas(w, kind_of[w], expected_of[w], took); took = false }
    :: late[w] = true
    fi;
resolve:
    if
    :: goto done                                          /* the KV service is out: 503, unknown */
    :: atomic { current != 0 && write_id == w + 1 -> assert(accepted[w] == 1); goto done }
    :: atomic { current == 0 && kind_of[w] == DELETE -> goto done }   /* as wished, whoever did it */
    :: atomic { current == expected_of[w] && sends == 1 && MAY_RESEND(w) -> sends++;
        if
        :: cas(w, kind_of[w], expected_of[w], took); took = false
        :: skip
        fi;
        goto resolve }
#ifdef NO_WRITE_ID
    :: atomic { current != expected_of[w] -> tell_conflict(w); goto done }
#endif
#ifdef CONFLICT_UNRESOLVED
    :: atomic { current != 0 && current != expected_of[w] && write_id != w + 1 ->
        tell_conflict(w); goto done }
#endif
    fi;
done: skip
}

inline deliver(w) {
    atomic {
        late[w] -> late[w] = false;
        cas(w, kind_of[w], expected_of[w], took); took = false
    }
}

active proctype network() {
    bool took;
end:
    do
    :: deliver(0)
    :: deliver(1)
    :: deliver(2)
    od
}

/* Operator 1 writes once; operator 2 writes twice, the second time while the first may be late. */
init { atomic { run writer(0); run writer(1); run writer(2) } }
#endif
