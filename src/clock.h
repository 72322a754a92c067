/* Time and timers. All code uses these functions, so that tests can run whole nodes in simulated
 * time. */
#pragma once
#include <glib.h>

gint64 kr_now (void);          /* monotonic time in us */
double kr_wall_clock_s (void); /* s since the epoch */
/* As g_timeout_add() and g_source_remove(). */
guint kr_timer_add (guint ms, GSourceFunc func, gpointer data);
void kr_timer_remove (guint id);
/* Removes the timer unless *id is 0, and sets *id to 0. */
void kr_timer_clear (guint *id);
/* Returns the milliseconds that the longest iteration of the main loop has taken since the last
 * call, without its wait for events. Counts only with kr_stall_detector_add(). */
guint kr_longest_iteration_ms (void);
/* Calls `func` whenever two iterations of the main loop are more than `ms` apart, e.g. because the
 * process was stopped; other timers must wake the loop more often than that. `func` is called
 * before any event that became due meanwhile is handled. Its return value is ignored. */
void kr_stall_detector_add (guint ms, GSourceFunc func, gpointer data);
