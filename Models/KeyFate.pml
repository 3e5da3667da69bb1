/*
 * One key, one fate: the order of the platform's log decides whether a key runs, and who runs it.
 *
 * Two attempts at one key (three with -DATTEMPTS=3, which takes minutes), each on a box process of its own that may
 * crash at any point or be paused for as long as it likes (any process may stop taking steps). An append may take effect at once, turn up late, or never; whichever it
 * is, the attempt does not learn it. Another client may void the key. Checked: the key runs at most once, and whoever
 * was told "not run" was told the truth, then and for ever after.
 *
 * A variant that includes this file defines one of the BROKEN_ names; the checker must find its fault.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#define VOIDER ATTEMPTS
#define LOG_LENGTH 8

mtype = { none, claim, voided, settled_not_run, settled_completed };

mtype log_kind[LOG_LENGTH];
byte log_by[LOG_LENGTH];
byte log_next = 0;

/* Appends on their way whose answers were lost. */
mtype on_its_way[ATTEMPTS + 1] = none;

byte runs = 0;
bool told_not_run = false;

inline append(kind, by)
{
    d_step {
        assert(log_next < LOG_LENGTH);
        log_kind[log_next] = kind;
        log_by[log_next] = by;
        log_next++;
    }
}

/* The answer to an append never counts; only what is read back does. */
inline append_somehow(kind, by)
{
    if
    :: append(kind, by)
    :: on_its_way[by] = kind
    :: skip
    fi
}

inline run_once()
{
    atomic {
        runs++;
        assert(runs <= 1);
        assert(!told_not_run);
    }
}

/* What each broken variant does otherwise. */
#ifdef BROKEN_SEND_ON_ANY_FATE
#define MAY_SEND(condition) true
#else
#define MAY_SEND(condition) (condition)
#endif

#ifdef BROKEN_SEND_AFTER_GIVE_UP
#define MAY_STILL_SEND(condition) true
#else
#define MAY_STILL_SEND(condition) (condition)
#endif

#ifdef BROKEN_SEND_BEFORE_READ_BACK
inline send_at_once()
{
    is_sent = true;
    run_once()
}
#else
inline send_at_once()
{
    skip
}
#endif

inline tell_not_run()
{
    atomic {
        told_not_run = true;
        assert(runs == 0);
    }
}

#ifdef BROKEN_SETTLE_ON_TIME_OUT
inline tell_after_give_up()
{
    tell_not_run()
}
#else
inline tell_after_give_up()
{
    skip
}
#endif

proctype Attempt(byte self)
{
    byte position = 0;
    mtype decided_kind = none;
    byte decided_by = 0;
    bool given_up = false;
    bool is_sent = false;
    bool is_settled = false;

    append_somehow(claim, self);
    send_at_once();
end:
    do
    /* Read the next record. */
    :: position < log_next ->
        atomic {
            if
            :: decided_kind == none && (log_kind[position] == claim || log_kind[position] == voided) ->
                decided_kind = log_kind[position];
                decided_by = log_by[position]
            :: else
            fi;
            if
            :: log_kind[position] == settled_not_run && decided_kind == claim && log_by[position] == decided_by -> tell_not_run()
            :: else
            fi;
            if
            :: decided_kind == voided -> tell_not_run()
            :: else
            fi;
            position++
        }
    /* Send, once, when the own claim was read back as the first. */
    :: decided_kind == claim && !is_sent && MAY_SEND(decided_by == self) && MAY_STILL_SEND(!given_up && !is_settled) ->
        is_sent = true;
        run_once()
    /* The answer came back. */
    :: is_sent && !is_settled && decided_by == self && decided_kind == claim ->
        is_settled = true;
        append(settled_completed, self)
    /* No longer waited for. */
    :: !given_up && !is_sent ->
        given_up = true;
        tell_after_give_up()
    /* A claim that turned up late, or was read back and then given up on, is settled by the only one who could run it. */
    :: given_up && !is_sent && !is_settled && decided_kind == claim && decided_by == self ->
        is_settled = true;
        append(settled_not_run, self)
    /* Crash. */
    :: break
    od
}

proctype Voider()
{
    append_somehow(voided, VOIDER)
}

proctype Network()
{
    byte at = 0;
end:
    do
    :: at <= ATTEMPTS && on_its_way[at] != none ->
        atomic {
            append(on_its_way[at], at);
            on_its_way[at] = none
        }
    :: at < ATTEMPTS -> at++
    :: at > 0 -> at--
    od
}

init
{
    atomic {
        run Attempt(0);
        run Attempt(1);
#if ATTEMPTS > 2
        run Attempt(2);
#endif
        run Voider();
        run Network()
    }
}
