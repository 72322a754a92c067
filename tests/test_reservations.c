/* Machines reserved for a waiting job that may stop others' tasks: only as long as its tasks may
 * start. All teams are in one shard. */
#include "fixture.h"

#define LIMIT_CPUS 4

static SimOptions
options_with_limit (guint machines)
{
  SimOptions options = default_options;
  options.nodes = 1;
  options.teams = 4;
  options.team_limit = LIMIT_CPUS;
  options.max_machines = machines;
  return options;
}

static void
run_until_tasks_run (guint tasks)
{
  while (sim_tasks_running (NULL) < tasks && sim_now () < 60)
    sim_run (0.5);
  g_assert_cmpuint (sim_tasks_running (NULL), ==, tasks);
}

static void
team_at_its_limit (void)
{
  const SimOptions options = options_with_limit (1);
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "normal", 4, 1, 20, 600);
  sim_submit ("wk-000002", "team1", "normal", 4, 1, 20, 600);
  run_until_tasks_run (8);
  sim_submit ("wk-000003", "team2", "urgent", 40, 2, 25, 600);
  sim_run (10);
  g_assert_cmpuint (sim_tasks_running ("wk-000003"), ==, 2);
  /* Its limit allows two at once, beside which four of the other tasks fit. */
  sim_run (10);
  g_assert_cmpuint (sim_tasks_running ("wk-000001") + sim_tasks_running ("wk-000002"), >, 0);
  sim_run (70);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "done");
  g_assert_cmpstr (sim_reported_state ("wk-000002"), ==, "done");
  finish_and_check (900);
}

/* Guards against a machine that stays reserved for a job whose team is at its limit, while others
 * wait beside the room on it, and against tasks that are stopped for it in vain. */
static void
test_team_at_its_limit (void)
{
  with_seeds (team_at_its_limit);
}

static void
below_the_limit_again (void)
{
  const SimOptions options = options_with_limit (1);
  start_cluster (&options);
  sim_submit ("wk-000001", "team2", "idle", 4, 1, 100, 900);
  sim_submit ("wk-000002", "team3", "idle", 4, 1, 100, 900);
  run_until_tasks_run (8);
  /* Two jobs with reservations at once; each team is at its limit, below it, and at it again. */
  sim_submit ("wk-000005", "team0", "urgent", 6, 2, 15, 600);
  sim_submit ("wk-000006", "team1", "urgent", 6, 2, 15, 600);
  sim_run (75);
  g_assert_cmpstr (sim_reported_state ("wk-000005"), ==, "done");
  g_assert_cmpstr (sim_reported_state ("wk-000006"), ==, "done");
  finish_and_check (1500);
}

/* Guards against a reservation that is lost for good once the team was at its limit. */
static void
test_below_the_limit_again (void)
{
  with_seeds (below_the_limit_again);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/reservations/team-at-its-limit", test_team_at_its_limit);
  g_test_add_func ("/reservations/below-the-limit-again", test_below_the_limit_again);
  return g_test_run ();
}
