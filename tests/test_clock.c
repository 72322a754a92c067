/* The real clock and main loop: what the tests of whole nodes replace. */
#include "clock.h"

static GString *order;
static GMainLoop *loop;

static gboolean
stood_still (gpointer data)
{
  g_string_append (order, "stall ");
  return G_SOURCE_CONTINUE;
}

static gboolean
stand (gpointer data)
{
  g_string_append (order, "stand ");
  g_usleep (1500000);
  return G_SOURCE_REMOVE;
}

static gboolean
note (gpointer data)
{
  g_string_append (order, data);
  return G_SOURCE_REMOVE;
}

static gboolean
end (gpointer data)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

/* Standing still is noticed before what came due meanwhile is handled, once, and not where the loop
 * merely waits. */
static void
test_stall (void)
{
  order = g_string_new (NULL);
  loop = g_main_loop_new (NULL, FALSE);
  kr_stall_detector_add (1000, stood_still, NULL);
  for (guint ms = 50; ms <= 4000; ms += 50) /* as a node's duties do */
    kr_timer_add (ms, note, (gpointer) "");
  kr_timer_add (500, stand, NULL);
  kr_timer_add (1200, note, (gpointer) "due ");
  kr_timer_add (3500, end, NULL);
  g_main_loop_run (loop);
  g_assert_cmpstr (order->str, ==, "stand stall due ");
  g_main_loop_unref (loop);
  g_string_free (order, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/clock/stall", test_stall);
  return g_test_run ();
}
