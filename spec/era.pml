/* Proofs of the configuration across restores of the store: decisions/store-eras.md.
 *
 * The operator writes versions; the store acknowledges them. The store may go back to any copy taken
 * before, also one from before an earlier restore. That begins a new era, in which revisions count
 * from the copy's again. The operator then writes its newest version again. Other writers raise the
 * revision at any time. Two hosts read the store, continue a watch after the revision that they know,
 * and hear of each other's version in force. An era is settled for a host at some time after it
 * noticed the restore, when the operator has written again.
 *
 * PROOF: whenever a host takes an answer for proof of its version, no newer version has ever been
 * acknowledged, and its version never decreases.
 *
 * Abstracted: the age of a proof, which only ever makes a host trust less; reads are instants, as a
 * proof counts from the sending of its call; how a host learns of the era, from the first answer.
 *
 * check PROOF: no proof of an older version, no version that reverts
 * mutant REVISION_ONLY of PROOF -DREVISION_ONLY: a watch continues after a revision of another era
 * mutant COPY_PROOF of PROOF -DCOPY_PROOF: the first read in an era proves what it shows
 * mutant MOVED_PROOF of PROOF -DMOVED_PROOF: a known version at another revision counts as written again
 * mutant NO_ENTRIES of PROOF -DNO_ENTRIES: a process that starts takes its first era for settled
 * mutant ANY_VERSION of PROOF -DANY_VERSION: an older version of the copy replaces the one in force
 */

#define ERAS 3
#define VERSIONS 3
#define REVISIONS 4
#define COPIES 2

byte acknowledged = 1;                    /* newest version that was ever acknowledged */
byte era = 1, revision = 1;               /* of the store */
byte version = 1, written = 1;            /* what it holds, and at which revision */
byte copies, copy_revision[COPIES], copy_version[COPIES], copy_written[COPIES];

byte known_era[2], known_revision[2];     /* up to which a host knows the history */
byte first[2];                            /* first revision that it saw in the era */
byte force[2], force_era[2], force_at[2]; /* version in force, and where it was seen written */
bool unsettled[2];

/* A process that starts learns of a restore from the entries of hosts. */
#ifdef NO_ENTRIES
#define STARTS_UNSETTLED false
#else
#define STARTS_UNSETTLED (era > 1)
#endif

inline confirm(h) { assert(force[h] >= acknowledged) }

inline enter(h) {
    if
    :: known_era[h] < era ->
        unsettled[h] = STARTS_UNSETTLED || known_era[h] > 0;
        known_era[h] = era; first[h] = revision
    :: else
    fi
}

/* The store returned its version. */
inline see(h) {
    bool again = written > first[h];
#ifdef MOVED_PROOF
    if
    :: version == force[h] && force_era[h] < era && written != force_at[h] -> again = true
    :: else
    fi;
#endif
#ifdef COPY_PROOF
    again = true;
#endif
    if
#ifdef ANY_VERSION
    :: version != force[h] ->
#else
    :: version > force[h] ->
#endif
        assert(version > force[h]);
        force[h] = version; force_at[h] = written;
        if
        :: again || !unsettled[h] -> force_era[h] = era
        :: else -> force_era[h] = 0
        fi
    :: version == force[h] && (again || !unsettled[h]) -> force_era[h] = era; force_at[h] = written
    :: else
    fi;
    known_revision[h] = revision;
    if
    :: (again || !unsettled[h]) && force[1 - h] <= force[h] -> confirm(h)
    :: else
    fi;
    again = false
}

#ifdef REVISION_ONLY
#define CONTINUES(h) (known_era[h] > 0 && known_revision[h] <= revision)
#else
#define CONTINUES(h) (known_era[h] == era && known_revision[h] <= revision)
#endif

active proctype operator() {
end:
    do
    :: atomic { version == acknowledged && acknowledged < VERSIONS && revision < REVISIONS ->
        revision++; version++; written = revision; acknowledged = version }
    :: atomic { version < acknowledged && revision < REVISIONS ->
        revision++; version = acknowledged; written = revision }
    :: atomic { revision < REVISIONS -> revision++ }                 /* another writer */
    od
}

active proctype restorer() {
    byte which;
end:
    do
    :: atomic { copies < COPIES ->
        copy_revision[copies] = revision; copy_version[copies] = version;
        copy_written[copies] = written; copies++ }
    :: atomic { era < ERAS && copies > 0 ->
        select(which : 0 .. copies - 1);
        era++; revision = copy_revision[which]; version = copy_version[which];
        written = copy_written[which]; which = 0 }
    od
}

active [2] proctype host() {
    byte me = _pid - 2;
end:
    do
    :: atomic { true -> enter(me); see(me) }                          /* exact read */
    :: atomic { CONTINUES(me) ->                                      /* watch */
        if
        :: written > known_revision[me] -> see(me)
        :: else ->
            known_revision[me] = revision;
            if
#ifdef REVISION_ONLY
            :: force[1 - me] <= force[me] -> confirm(me)
#else
            :: (!unsettled[me] || force_era[me] == era) && force[1 - me] <= force[me] -> confirm(me)
#endif
            :: else
            fi
        fi }
    :: atomic { unsettled[me] && known_era[me] == era && version == acknowledged ->
        unsettled[me] = false }
    od
}
