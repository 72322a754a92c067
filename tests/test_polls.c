/* Users' polls about thousands of live jobs: after any fault is over, no accepted job may be
 * without an answer for 75 s, whatever becomes of the others (the checker's rule `forgotten`). */
#include "fixture.h"
#include <stdlib.h>

#define FORGOTTEN_AFTER_S 75.0 /* the protocol's bound, checked by the fakes */
#define CALM_S (FORGOTTEN_AFTER_S + 25)

static SimOptions
options_with_rate (double state_rps)
{
  SimOptions options = default_options;
  options.state_rps = state_rps;
  options.write_rps = 2000;
  options.slow_response_share = 0.02;
  return options;
}

static char *
job_id (guint number)
{
  return g_strdup_printf ("wk-%06u", number);
}

/* Submits jobs that live to the end of the test, waits until all are accepted, and adds jobs that
 * make the list of live jobs longer. */
static void
start_jobs (guint jobs, guint others)
{
  for (guint i = 0; i < jobs; i++) {
    g_autofree char *id = job_id (i + 1), *team = g_strdup_printf ("team%u", i % 3);
    sim_submit (id, team, "normal", 1, 1, 1000, 2000);
  }
  for (guint i = 0; i < jobs; i++) {
    g_autofree char *id = job_id (i + 1);
    while (*sim_reported_state (id) == 0)
      sim_run (1);
  }
  sim_copy_live_job ("wk-000001", others);
}

/* Runs on without faults for longer than the bound, with all users polling. */
static void
check_calm (void)
{
  sim_faults_over ();
  sim_run (CALM_S);
  g_assert_cmpstr (sim_violations (), ==, "");
  sim_stop ();
}

static void
test_list_longer_than_a_poll_waits (void)
{
  SimOptions options = options_with_rate (g_getenv ("RPS") ? atof (g_getenv ("RPS")) : 60);
  start_cluster (&options);
  start_jobs (300, g_getenv ("JOBS") ? (guint) atoi (g_getenv ("JOBS")) : 10000);
  sim_run (10);
  g_test_message ("accepted at %.0f s", sim_now ());
  sim_state_outage (TRUE);
  sim_run (4);
  sim_state_outage (FALSE);
  check_calm ();
}

/* Starts enough polls at once for the nodes to answer them from a list of the live jobs. */
static void
wait_for_broken_pages (void)
{
  for (guint i = 0; i < 60 && sim_job_pages_left_to_break (); i++) {
    sim_state_outage (TRUE);
    sim_run (4);
    sim_state_outage (FALSE);
    sim_run (4);
  }
  g_assert_cmpuint (sim_job_pages_left_to_break (), ==, 0);
}

static void
test_broken_page_taken_for_end (void)
{
  for (SimPageFault fault = 0; fault < SIM_PAGE_FAULTS; fault++) {
    SimOptions options = options_with_rate (150);
    start_cluster (&options);
    start_jobs (500, 0);
    sim_state_delay (0.2);
    sim_break_job_pages (fault, 6);
    wait_for_broken_pages ();
    sim_state_delay (0);
    g_test_message ("fault %u", fault);
    check_calm ();
  }
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/polls/list-longer-than-a-poll-waits", test_list_longer_than_a_poll_waits);
  g_test_add_func ("/polls/broken-page-taken-for-end", test_broken_page_taken_for_end);
  return g_test_run ();
}
