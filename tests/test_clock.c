/* The real clock and main loop, which the tests of whole nodes replace with simulated ones. */
#include "clock.h"

static GString *events;
static GMainLoop *loop;

static gboolean
on_stall (gpointer data)
{
  g_string_append (events, "stall ");
  return G_SOURCE_CONTINUE;
}

static gboolean
block_loop (gpointer data)
{
  g_string_append (events, "block ");
  g_usleep (1500000);
  return G_SOURCE_REMOVE;
}

static gboolean
log_event (gpointer data)
{
  g_string_append (events, data);
  return G_SOURCE_REMOVE;
}

static gboolean
quit (gpointer data)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

/* A stall of the main loop is reported once, before the timers that came due meanwhile are
 * dispatched. A loop that only waits for its next timer is not reported. */
static void
test_stall (void)
{
  events = g_string_new (NULL);
  loop = g_main_loop_new (NULL, FALSE);
  kr_stall_detector_add (1000, on_stall, NULL);
  for (guint ms = 50; ms <= 4000; ms += 50) /* as a node's periodic timers do */
    kr_timer_add (ms, log_event, (gpointer) "");
  kr_timer_add (500, block_loop, NULL);
  kr_timer_add (1200, log_event, (gpointer) "due ");
  kr_timer_add (3500, quit, NULL);
  g_main_loop_run (loop);
  g_assert_cmpstr (events->str, ==, "block stall due ");
  g_main_loop_unref (loop);
  g_string_free (events, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/clock/stall", test_stall);
  return g_test_run ();
}
