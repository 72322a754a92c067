/* Revisions, fencing tokens, leases and attempt ids from 2^63 on. */
#include "fixture.h"

static void
run_past_half_of_the_range (void)
{
  SimOptions options = default_options;
  options.first_revision = (guint64) G_MAXINT64 - 40;
  start_cluster (&options);
  submit_jobs (20, 20);
  sim_run (10);
  g_assert_cmpuint (sim_tasks_running (NULL), >, 0);
  crash_and_restart (0, 10);
  sim_cancel ("wk-000001");
  finish_and_check (400);
}

/* Guards against an unsigned integer that is read, compared or written as a negative one or as 0.
 */
static void
test_revisions_past_half_of_the_range (void)
{
  with_seeds (run_past_half_of_the_range);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/large-numbers/revisions-past-half-of-the-range",
                   test_revisions_past_half_of_the_range);
  return g_test_run ();
}
