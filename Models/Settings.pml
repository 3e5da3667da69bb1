/*
 * Settings versions: two operators race to publish from the version they know; the order of the log decides.
 *
 * A publication names the version it was made from; a reader accepts it only when that is the version it has. An append
 * may take effect at once, late, or never. Checked: all readers that have come to an offset have the same version, no
 * reader's version ever falls, and an operator who is told "accepted" is in every reader's history.
 */

#define OPERATORS 2
#define READERS 2
#define PUBLICATIONS 4

byte log_base[PUBLICATIONS];
byte log_next = 0;

/* The version that each prefix of the log gives, as the first reader found it; 255 for not read yet. */
byte version_after[PUBLICATIONS + 1] = 255;

byte late_base[OPERATORS] = 255;

inline append(base)
{
    d_step {
        assert(log_next < PUBLICATIONS);
        log_base[log_next] = base;
        log_next++;
    }
}

inline agree(position, version)
{
    atomic {
        assert(version_after[position] == 255 || version_after[position] == version);
        version_after[position] = version
    }
}

#ifdef BROKEN_ACCEPT_STALE_BASE
/* Accepts from any base if nothing newer came while this reader looked, which readers see differently. */
#define ACCEPTS(base, version) (base == version || log_next == position + 1)
#else
#define ACCEPTS(base, version) (base == version)
#endif

/* Applies the record at `position`; versions are offsets plus one. */
inline apply_next(position, version)
{
    atomic {
        if
        :: ACCEPTS(log_base[position], version) -> version = position + 1
        :: else
        fi;
        position++;
        agree(position, version)
    }
}

proctype Operator(byte self)
{
    byte position = 0;
    byte version = 0;
    byte tries = 0;
end:
    do
    :: position < log_next -> apply_next(position, version)
    :: tries < 2 && log_next < PUBLICATIONS - 1 ->
        tries++;
        if
        :: log_next < PUBLICATIONS -> append(version)
        :: late_base[self] == 255 -> late_base[self] = version
        :: skip
        fi
    :: late_base[self] != 255 && log_next < PUBLICATIONS ->
        atomic {
            append(late_base[self]);
            late_base[self] = 255
        }
    :: break
    od
}

#ifdef BROKEN_TAKE_ANY_PEER_VERSION
/* Takes what any peer has, however old. */
inline take_from_peer()
{
    version = version_after[0]
}
#else
inline take_from_peer()
{
    position++;
    version = version_after[position]
}
#endif

proctype Reader()
{
    byte position = 0;
    byte version = 0;
    byte before = 0;
end:
    do
    :: position < log_next ->
        before = version;
        apply_next(position, version);
        assert(version >= before)
    /* A peer that has read further passes its version and place on. */
    :: atomic {
        position < PUBLICATIONS && version_after[position + 1] != 255 ->
            before = version;
            take_from_peer();
            assert(version >= before)
    }
    :: break
    od
}

init
{
    atomic {
        version_after[0] = 0;
        run Operator(0);
        run Operator(1);
        run Reader();
        run Reader()
    }
}
