/*
 * The lease on the configuration, with a relay between the store and a box: a key that was taken away must not be
 * served later than a bound, at any box, whatever waits, hangs or arrives late.
 *
 * The relay reads the store; the box asks the relay or reads the store itself. Each answer may be made at any time
 * after its question and may arrive at any time after that, and either side may stand still in between. An answer
 * vouches for the moment at which its question was sent, less the age of what a relay knew when it answered. The box may
 * be suspended, and its clock must count that time. Checked:
 * no request with the key is served more than BOUND after the store acknowledged that the key is gone; and no version
 * falls.
 */

#define MOST_TIME 6
#define MOST_READS 2
#define MOST_SUSPENDED 3
#define LIMIT 2
#define BOUND 2

byte now = 0;
/* When the store acknowledged the version without the key; 255 for not yet. Version 1 is the one without it. */
byte revoked_at = 255;

/* What the relay and the box hold, and the moment it vouches for; -1 for never. */
byte relay_version = 0;
short relay_vouched = -1;
byte box_version = 0;
short box_vouched = -1;

#define STORE_VERSION (revoked_at != 255)

#ifdef BROKEN_RELAY_VOUCHES_FOR_ARRIVAL
#define RELAY_VOUCHES_FOR now
#else
#define RELAY_VOUCHES_FOR asked
#endif

#ifdef BROKEN_BOX_VOUCHES_FOR_ARRIVAL
#define BOX_VOUCHES_FOR (BOX_NOW - age)
#else
#define BOX_VOUCHES_FOR (asked - age)
#endif

/* How long the box has been suspended, all together. */
byte suspended = 0;

#ifdef BROKEN_CLOCK_STOPS_WHILE_SUSPENDED
#define BOX_NOW (now - suspended)
#else
#define BOX_NOW now
#endif

/* Takes an answer: a newer version replaces the one held; an equal one renews the lease. */
inline take(held_version, held_vouched, version, vouched)
{
    if
    :: version > held_version -> held_version = version; held_vouched = vouched
    :: version == held_version && vouched > held_vouched -> held_vouched = vouched
    :: else
    fi
}

active proctype Clock()
{
end:
    do
    :: now < MOST_TIME -> now++
    :: d_step { now < MOST_TIME && suspended < MOST_SUSPENDED -> now++; suspended++ }
    :: else -> break
    od
}

active proctype Operator()
{
    revoked_at = now
}

active proctype Relay()
{
    byte asked;
    byte version;
    byte reads = 0;
end:
    do
    :: reads < MOST_READS ->
        reads++;
        asked = now;
        version = STORE_VERSION;
        d_step { take(relay_version, relay_vouched, version, RELAY_VOUCHES_FOR) }
    :: break
    od
}

active proctype Box()
{
    byte asked;
    byte version;
    byte before;
    short age;
    byte reads = 0;
end:
    do
    :: reads < MOST_READS ->
        reads++;
        asked = BOX_NOW;
        if
        :: version = STORE_VERSION; age = 0
        :: d_step { relay_vouched >= 0 -> version = relay_version; age = now - relay_vouched }
        fi;
        d_step {
            before = box_version;
            take(box_version, box_vouched, version, BOX_VOUCHES_FOR);
            assert(box_version >= before)
        }
    /* A request with the key. */
    :: d_step {
        box_vouched >= 0 && box_version == 0 && BOX_NOW - box_vouched <= LIMIT ->
            assert(revoked_at == 255 || now <= revoked_at + BOUND)
    }
    :: break
    od
}
