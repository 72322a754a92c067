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

/* --- standing still ------------------------------------------------------------------ */
typedef struct {
  GSource source;
  gint64 limit, last;
} Stall;

static gboolean
stall_prepare (GSource *source, gint *timeout_ms)
{
  *timeout_ms = -1;
  return FALSE;
}

/* Each turn of the main loop comes by here before it dispatches anything. */
static gboolean
stall_check (GSource *source)
{
  Stall *s = (Stall *) source;
  gint64 now = kr_now ();
  gboolean stood = now - s->last > s->limit;
  s->last = now;
  return stood;
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
  Stall *s = (Stall *) g_source_new (&funcs, sizeof *s);
  s->limit = (gint64) ms * 1000;
  s->last = kr_now ();
  g_source_set_priority (&s->source, G_PRIORITY_HIGH);
  g_source_set_callback (&s->source, func, data, NULL);
  g_source_attach (&s->source, NULL);
  g_source_unref (&s->source);
}
