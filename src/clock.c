#include "clock.h"

gint64
kr_now (void)
{
  return g_get_monotonic_time ();
}

double
kr_wall_clock_s (void)
{
  return (double) g_get_real_time () / G_USEC_PER_SEC;
}

guint
kr_timer_add (guint ms, GSourceFunc func, gpointer data)
{
  return g_timeout_add (ms, func, data);
}

void
kr_timer_remove (guint id)
{
  g_source_remove (id);
}

void
kr_timer_clear (guint *id)
{
  if (*id)
    kr_timer_remove (*id);
  *id = 0;
}

/* --- stall detector ------------------------------------------------------------------ */
typedef struct {
  GSource source;
  gint64 limit_us;
  gint64 last_check; /* monotonic us */
} StallSource;

static gint64 longest_iteration_us;

guint
kr_longest_iteration_ms (void)
{
  gint64 longest_us = longest_iteration_us;
  longest_iteration_us = 0;
  return (guint) (longest_us / 1000);
}

static gboolean
stall_prepare (GSource *source, gint *timeout_ms)
{
  const StallSource *stall = (const StallSource *) source;
  longest_iteration_us = MAX (longest_iteration_us, kr_now () - stall->last_check);
  *timeout_ms = -1;
  return FALSE;
}

/* Called in each iteration of the main loop before any source is dispatched. */
static gboolean
stall_check (GSource *source)
{
  StallSource *stall = (StallSource *) source;
  gint64 now = kr_now ();
  gboolean stalled = now - stall->last_check > stall->limit_us;
  stall->last_check = now;
  return stalled;
}

static gboolean
stall_dispatch (GSource *source, GSourceFunc func, gpointer data)
{
  func (data);
  return G_SOURCE_CONTINUE;
}

void
kr_stall_detector_add (guint ms, GSourceFunc func, gpointer data)
{
  static GSourceFuncs funcs = { stall_prepare, stall_check, stall_dispatch, NULL, NULL, NULL };
  StallSource *stall = (StallSource *) g_source_new (&funcs, sizeof *stall);
  stall->limit_us = (gint64) ms * 1000;
  stall->last_check = kr_now ();
  g_source_set_priority (&stall->source, G_PRIORITY_HIGH);
  g_source_set_callback (&stall->source, func, data, NULL);
  g_source_attach (&stall->source, NULL);
  g_source_unref (&stall->source);
}
