#include "clock.h"

gint64
kr_now (void)
{
  return g_get_monotonic_time ();
}

double
kr_time_of_day (void)
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
