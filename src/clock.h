/* Time and timers in one place, so that tests can run whole nodes in simulated time. */
#pragma once
#include <glib.h>

gint64 kr_now (void);          /* us, steady */
double kr_wall_clock_s (void); /* s since the epoch */
/* As g_timeout_add, and its end. */
guint kr_timer_add (guint ms, GSourceFunc func, gpointer data);
void kr_timer_remove (guint id);
void kr_timer_clear (guint *id); /* removes it if set, and unsets it */
/* Calls `func` when the process has stood still for longer than that, before anything else that
 * came up meanwhile is handled. */
void kr_stall_detector_add (guint ms, GSourceFunc func, gpointer data);
