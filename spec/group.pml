/* Group reservation for prompts beyond one engine: design section 3.4.
 *
 * Two groups of two members compete for three engines with room for one member each; the second group
 * has any pair of them. The owner of a group reserves in ascending order of engine id, releases all on
 * the first refusal and tries again, serves one segment on each member and releases. Each owner may die
 * at any step. A pause is a step taken late; the term of a reservation may run out at any step of a
 * live owner too (a pause above the term), and one engine may restart and forget what it held. A
 * reservation or release may arrive late, after its sender went on, or not at all. These faults are at
 * most FAULTS together.
 *
 * Safety: an engine works only under a reservation of the very attempt that sends the segment; a
 * reservation ends only by a release of its own attempt, its term or a restart; without faults a
 * refused group holds nothing when it tries again; no deadlock. Liveness, under weak fairness of the
 * processes (owners, network, engine timers): each owner ends or dies (groups_end), and in the end no
 * engine holds anything (nothing_left).
 *
 * Abstracted: bytes (a member fills an engine), KV export and import, draining of engines for a group
 * that waited long. Deadline and cancel leave by the same release as the end of the work.
 *
 * check RESERVE: no work without the reservation of this attempt, no deadlock
 * live GROUPS_END groups_end -DFAULTS=1: an owner that lives gets its members
 * live NOTHING_LEFT nothing_left -DFAULTS=1: every reservation is given back, whoever died
 * mutant HOLD_AND_WAIT of RESERVE -DHOLD_AND_WAIT -DOPPOSITE: a refused group keeps what it has, without order
 * mutant NO_CHECK of RESERVE -DNO_CHECK: an engine works without looking for the reservation
 * mutant NO_ATTEMPT of RESERVE -DNO_ATTEMPT: reservation and release name the group, not the attempt
 * mutant NO_RELEASE of RESERVE -DNO_RELEASE: a refused group waits for the term instead of releasing
 * mutant OPPOSITE of GROUPS_END -DOPPOSITE: members are reserved in no common order
 * mutant NO_TERM of NOTHING_LEFT -DNO_TERM: a reservation has no term
 */

#define GROUPS 2
#define ENGINES 3
#define TRIES 3                /* attempt numbers, reused after this many */
#ifndef FAULTS
#define FAULTS 2
#endif

/* A reservation is 0 or its group and attempt. Two are equal for an engine if NAME is. */
#define ID(g, t) ((g) * TRIES + (t) + 1)
#define GROUP_OF(id) (((id) - 1) / TRIES)
#ifdef NO_ATTEMPT
#define SAME(a, b) ((a) != 0 && (b) != 0 && GROUP_OF(a) == GROUP_OF(b))
#else
#define SAME(a, b) ((a) == (b))
#endif

#define HOLDS(g, e) (held[e] != 0 && GROUP_OF(held[e]) == (g))

byte held[ENGINES];
byte late_reserve[GROUPS];     /* reservation on its way, 0 if none */
byte late_reserve_to[GROUPS];
byte late_release[GROUPS];     /* release on its way, 0 if none */
byte late_release_to[GROUPS];
byte first[GROUPS];            /* members, in the order in which they are reserved */
byte second[GROUPS];
byte current[GROUPS];          /* reservation that the owner renews, 0 when it has ended */
bool dead[GROUPS];
byte faults;

inline release_at(e, id) {
    if
    :: held[e] != 0 && SAME(held[e], id) -> assert(held[e] == id); held[e] = 0
    :: else
    fi
}

inline reserve(e) {
    if
    :: atomic { held[e] == 0 || SAME(held[e], current[g]) -> held[e] = current[g] }
#ifdef HOLD_AND_WAIT
#else
    :: atomic { held[e] != 0 && !SAME(held[e], current[g]) -> skip }; goto refused
#endif
    :: atomic { faults < FAULTS && late_reserve[g] == 0 ->
        faults++; late_reserve[g] = current[g]; late_reserve_to[g] = e }; goto refused
    fi
}

inline segment(e) {
    if
#ifdef NO_CHECK
    :: atomic { assert(held[e] == current[g]) }
#else
    :: atomic { SAME(held[e], current[g]) -> assert(held[e] == current[g]) }
    :: atomic { !SAME(held[e], current[g]) -> skip }; goto refused
#endif
    fi
}

inline give_back(e) {
    if
    :: atomic { release_at(e, current[g]) }
    :: atomic { faults < FAULTS && late_release[g] == 0 ->
        faults++; late_release[g] = current[g]; late_release_to[g] = e }
    fi
}

proctype owner(byte g) {
    byte t;
    bool again;
    {
        again = false;
try:    atomic {
            again = false;
            assert(faults > 0 || !(HOLDS(g, 0) || HOLDS(g, 1) || HOLDS(g, 2)));
            current[g] = ID(g, t)
        }
        reserve(first[g]);
        reserve(second[g]);
        segment(first[g]);
        segment(second[g]);
        goto release;
refused:
        again = true;
#ifdef NO_RELEASE
        goto next;
#endif
release:
        give_back(first[g]);
        give_back(second[g]);
next:   atomic {
            if                                            /* a number is free when nothing has it */
            :: late_reserve[g] != 0 || late_release[g] != 0 || HOLDS(g, 0) || HOLDS(g, 1) ||
                HOLDS(g, 2) -> t = (t + 1) % TRIES
            :: else -> t = 0
            fi;
            if
            :: again -> goto try
            :: else -> current[g] = 0
            fi
        }
    } unless { dead[g] };
    atomic { current[g] = 0; t = 0; again = false }
}

inline deliver(g) {
    if
    :: atomic { late_reserve[g] != 0 ->
        if
        :: held[late_reserve_to[g]] == 0 -> held[late_reserve_to[g]] = late_reserve[g]
        :: skip
        fi;
        late_reserve[g] = 0; late_reserve_to[g] = 0 }
    :: atomic { late_release[g] != 0 ->
        if
        :: release_at(late_release_to[g], late_release[g])
        :: skip
        fi;
        late_release[g] = 0; late_release_to[g] = 0 }
    fi
}

active proctype network() {
end:
    do
    :: deliver(0)
    :: deliver(1)
    od
}

/* A term runs out when nobody renews it, and by a fault when its owner is paused for too long. */
inline expire(e) {
    atomic {
#ifdef NO_TERM
        faults < FAULTS && held[e] != 0 -> faults++; held[e] = 0      /* a restart only */
#else
        held[e] != 0 && (held[e] != current[GROUP_OF(held[e])] || faults < FAULTS) ->
        if
        :: held[e] == current[GROUP_OF(held[e])] -> faults++
        :: else
        fi;
        held[e] = 0
#endif
    }
}

active proctype engines() {
end:
    do
    :: expire(0)
    :: expire(1)
    :: expire(2)
    od
}

active proctype deaths() {
end:
    do
    :: current[0] != 0 && !dead[0] -> dead[0] = true
    :: current[1] != 0 && !dead[1] -> dead[1] = true
    :: break
    od
}

init {
    atomic {
#ifdef OPPOSITE
        first[0] = 1; second[0] = 0;
#else
        first[0] = 0; second[0] = 1;
#endif
        if
        :: first[1] = 0; second[1] = 1
        :: first[1] = 1; second[1] = 2
        :: first[1] = 0; second[1] = 2
        fi;
        run owner(0);
        run owner(1)
    }
}

#define IDLE (current[0] == 0 && current[1] == 0)
#define EMPTY (held[0] == 0 && held[1] == 0 && held[2] == 0)
ltl groups_end { <>[] IDLE }
ltl nothing_left { <>[] EMPTY }
