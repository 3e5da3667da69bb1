/*
 * Usage reports by one leader at a time: the platform must never get two reports of one window with other counts,
 * whoever leads, whatever answers are lost or carried out late, and although the store may come back from a copy that
 * lacks what was written last.
 *
 * The store's log is a row of records: a claim, or the report of the one window that matters here. Each append names the
 * end of the log that its writer knows. An append may get no answer and be carried out at any later time, if the log
 * ends as it expected then. A box leads while the last claim that it knows of in the present history is its own. It
 * writes the window's report, with counts of its own, before it sends it.
 */

#define BOXES 2
#define MOST_RECORDS 4
#define MOST_COPIES 1
#define NOBODY 255

/* The log: who wrote each record, in which history, and whether it is a report. */
byte writer[MOST_RECORDS];
byte era_of[MOST_RECORDS];
bool is_report[MOST_RECORDS];
/* Of a claim: whether the window is left out by this leader and all that follow it. */
bool leaves_out[MOST_RECORDS];
byte log_end = 0;
byte era = 0;

/* What was sent to the platform: the box whose counts these are. */
byte sent = NOBODY;
/* The window is over at some time, and only then may be reported. */
bool window_is_over = false;

inline send(counts)
{
    assert(sent == NOBODY || sent == counts);
    sent = counts
}

/* The report that holds: the newest of the present history. */
inline find_report(found, index)
{
    found = NOBODY;
    index = 0;
    do
    :: index < log_end ->
        if
#ifdef BROKEN_ANY_HISTORY
        :: is_report[index] -> found = writer[index]
#else
        :: is_report[index] && era_of[index] == era -> found = writer[index]
#endif
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0
}

/*
 * Whether the window is left out: the last claim of the present history says so, or there is none and the window is over,
 * so that a report may have been sent that the store lost; or a report of an earlier history is there.
 */
inline find_left_out(left_out, index)
{
    left_out = window_is_over;
    index = 0;
    do
    :: index < log_end ->
        if
#ifdef BROKEN_LEFT_OUT_FORGOTTEN
        :: !is_report[index] && era_of[index] == era -> left_out = false
#else
        :: !is_report[index] && era_of[index] == era -> left_out = leaves_out[index]
#endif
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0;
    do
    :: index < log_end ->
        if
        :: is_report[index] && era_of[index] < era -> left_out = true
        :: else
        fi;
        index++
    :: else -> break
    od;
    index = 0;
#ifdef BROKEN_NOTHING_LEFT_OUT
    left_out = false
#endif
}

inline append(who, in_era, report, left_out)
{
    leaves_out[log_end] = left_out;
    writer[log_end] = who;
    era_of[log_end] = in_era;
    is_report[log_end] = report;
    log_end++
}

proctype box(byte own)
{
    byte known_end = 0;
    byte known_era = 0;
    bool leads = false;
    bool may_report = false;
    byte found = NOBODY;
    byte index = 0;
    bool left_out = false;
    /* An append without an answer: the end that it expects, and its history. */
    bool is_late = false;
    byte late_end = 0;
    byte late_era = 0;

    do
    /* Claims: reads the log, and appends if nobody has written since. */
    :: log_end < MOST_RECORDS - 1 ->
        atomic {
            known_end = log_end;
            known_era = era;
            find_left_out(left_out, index);
            find_report(found, index)
        };
        atomic {
            if
            :: log_end == known_end && era == known_era && log_end < MOST_RECORDS ->
                append(own, era, false, left_out);
                known_end = log_end;
                leads = true;
                may_report = !left_out && found == NOBODY
            :: else -> leads = false
            fi;
            found = NOBODY
        }
    /* Writes the report and sends it. */
    :: leads && may_report && window_is_over && known_end < MOST_RECORDS ->
        atomic {
            if
#ifdef BROKEN_NO_CONDITION
            :: known_era == era && log_end < MOST_RECORDS ->
#else
            :: log_end == known_end && known_era == era && log_end < MOST_RECORDS ->
#endif
                append(own, era, true, false);
                known_end = log_end;
                find_report(found, index)
            /* The answer is lost: the append may be done later, or was done. */
            :: log_end == known_end && known_era == era && log_end < MOST_RECORDS && !is_late ->
                is_late = true;
                late_end = known_end;
                late_era = known_era;
                found = NOBODY;
                leads = false
            :: !(log_end == known_end && known_era == era) -> found = NOBODY; leads = false
            fi
        };
        if
        :: found != NOBODY -> send(found)
        :: else
        fi;
        found = NOBODY
    /* A leader that follows sends what the log holds. */
    :: leads && known_era == era && log_end == known_end ->
        atomic { find_report(found, index) };
        if
        :: found != NOBODY -> send(found)
        :: else
        fi;
        found = NOBODY
    :: is_late ->
        atomic {
            if
            :: log_end == late_end && log_end < MOST_RECORDS -> append(own, late_era, true, false)
            :: else
            fi;
            is_late = false
        }
    :: break
    od
}

proctype store()
{
    byte copies = 0;
    do
    :: copies < MOST_COPIES ->
        atomic {
            /* The copy lacks some of the last records. */
            do
            :: log_end > 0 -> log_end--
            :: break
            od;
            era++;
            copies++
        }
    :: !window_is_over -> window_is_over = true
    :: break
    od
}

init
{
    atomic {
        run box(0);
        run box(1);
        run store()
    }
}
