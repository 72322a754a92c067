/* Renting: work that waits while the cloud has machines for it, and no controller asks for one. */
#include "fixture.h"

/* Time in which a machine is rented, boots, and gets its first task. */
#define FIRST_TASK_WITHIN_S 40
/* Run time of a task that does not end during a test. */
#define LONG_TASK_S 1000
/* Time after which machines that nothing needs have been returned. */
#define RETURNED_WITHIN_S 30

static SimOptions
options_with_zones (guint zones)
{
  SimOptions options = default_options;
  options.zones = zones;
  return options;
}

static void
run_until_tasks_run (guint tasks, double within_s)
{
  double end = sim_now () + within_s;
  while (sim_tasks_running (NULL) < tasks && sim_now () < end)
    sim_run (0.5);
  g_assert_cmpuint (sim_tasks_running (NULL), ==, tasks);
}

static void
last_task_of_an_array (void)
{
  const SimOptions options = options_with_zones (4);
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "normal", options.machine_cpus + 1, 1, LONG_TASK_S, 600);
  run_until_tasks_run (options.machine_cpus + 1, FIRST_TASK_WITHIN_S);
  sim_run (RETURNED_WITHIN_S);
  sim_machine_kill (sim_least_busy_machine ());
  sim_run (2 * options.lease_s);
  run_until_tasks_run (options.machine_cpus + 1, FIRST_TASK_WITHIN_S);
  sim_run (RETURNED_WITHIN_S);
  g_assert_cmpuint (sim_machine_count (), ==, 2);
  g_assert_cmpstr (sim_violations (), ==, "");
  sim_stop ();
}

/* Guards against the last task of an array that waits for good after its machine was taken: divided
 * among the pools, its demand was too small for any of them. */
static void
test_last_task_of_an_array (void)
{
  with_seeds (last_task_of_an_array);
}

static void
small_task (void)
{
  for (guint zones = 1; zones <= 4; zones += 3) {
    const SimOptions options = options_with_zones (zones);
    start_cluster (&options);
    sim_submit ("wk-000001", "team0", "normal", 1, 0.01, 20, 600);
    run_until_tasks_run (1, FIRST_TASK_WITHIN_S);
    g_assert_cmpuint (sim_machine_count (), ==, 1);
    finish_and_check (100);
  }
}

/* Guards against a single small task for which an idle deployment rents no machine, or several. */
static void
test_small_task (void)
{
  with_seeds (small_task);
}

static void
spot_machines_gone (void)
{
  const SimOptions options = options_with_zones (2);
  start_cluster (&options);
  sim_submit_in_zone ("wk-000001", "team0", 4, 2, LONG_TASK_S, "z1");
  run_until_tasks_run (4, FIRST_TASK_WITHIN_S);
  sim_cloud_no_spot ("z1");
  sim_machine_kill (sim_machine_of ("wk-000001"));
  sim_run (2 * options.lease_s);
  run_until_tasks_run (4, FIRST_TASK_WITHIN_S);
  sim_submit_in_zone ("wk-000002", "team1", 4, 2, LONG_TASK_S, "z1");
  run_until_tasks_run (8, FIRST_TASK_WITHIN_S);
  g_assert_cmpuint (sim_machine_count (), ==, 2);
  g_assert_cmpstr (sim_violations (), ==, "");
  sim_stop ();
}

/* Guards against a job bound to a zone without spot machines that waits for good, and no on-demand
 * machine is rented, while a spot pool that cannot serve it is open. */
static void
test_spot_machines_gone (void)
{
  with_seeds (spot_machines_gone);
}

static void
spot_pool_open (void)
{
  const SimOptions options = options_with_zones (2);
  start_cluster (&options);
  sim_cloud_no_spot ("z1");
  sim_submit ("wk-000001", "team0", "normal", 40, 1, LONG_TASK_S, 600);
  run_until_tasks_run (40, 2 * FIRST_TASK_WITHIN_S);
  g_auto (GStrv) machines = sim_machine_names ("z1");
  g_assert_cmpuint (g_strv_length (machines), ==, 0);
  sim_stop ();
}

/* Guards against on-demand machines that are rented for work that an open spot pool can serve. */
static void
test_spot_pool_open (void)
{
  with_seeds (spot_pool_open);
}

static void
room_of_another_team (void)
{
  const SimOptions options = options_with_zones (2);
  start_cluster (&options);
  sim_submit_in_zone ("wk-000001", "team0", 4, 1, LONG_TASK_S, "z1");
  sim_submit_in_zone ("wk-000002", "team0", 4, 1, 40, "z1");
  run_until_tasks_run (8, FIRST_TASK_WITHIN_S);
  sim_submit_in_zone ("wk-000003", "team1", 2, 1, LONG_TASK_S, "z0");
  sim_submit_in_zone ("wk-000004", "team1", 1, 1, LONG_TASK_S, "z1");
  run_until_tasks_run (11, FIRST_TASK_WITHIN_S);
  while (g_strcmp0 (sim_reported_state ("wk-000002"), "done") != 0)
    sim_run (1);
  sim_run (RETURNED_WITHIN_S);
  sim_machine_kill (sim_machine_of ("wk-000004"));
  sim_run (2 * options.lease_s);
  run_until_tasks_run (7, FIRST_TASK_WITHIN_S);
  g_assert_cmpstr (sim_violations (), ==, "");
  sim_stop ();
}

/* Guards against a job bound to a zone that waits for good, as room on another team's machine there
 * counts as supply: that machine is busy and not moved, and no other is rented. */
static void
test_room_of_another_team (void)
{
  with_seeds (room_of_another_team);
}

static void
teams_in_two_zones (void)
{
  SimOptions options = options_with_zones (2);
  options.max_machines = 3;
  start_cluster (&options);
  sim_submit_in_zone ("wk-000001", "team0", 4, 2, 30, "z1");
  sim_submit_in_zone ("wk-000002", "team1", 4, 2, 30, "z0");
  /* No machine fits: nothing may be moved to and fro for it. */
  sim_submit_in_zone ("wk-000003", "team2", 1, 1, 30, "z0");
  sim_cancel ("wk-000003");
  run_until_tasks_run (8, 2 * FIRST_TASK_WITHIN_S);
  sim_submit ("wk-000004", "team2", "normal", 24, 1, 20, 600);
  sim_submit_in_zone ("wk-000005", "team2", 2, 2, 30, "z0");
  sim_submit_in_zone ("wk-000006", "team0", 2, 2, 30, "z0");
  finish_and_check (300);
}

/* Guards against teams that each have the machine of the other's zone. */
static void
test_teams_in_two_zones (void)
{
  with_seeds (teams_in_two_zones);
}

static void
no_capacity (void)
{
  SimOptions options = options_with_zones (2);
  options.max_machines = 1;
  start_cluster (&options);
  sim_cloud_no_spot ("z1");
  sim_submit ("wk-000001", "team0", "normal", 30, 1, 40, 600);
  sim_submit_in_zone ("wk-000002", "team1", 2, 1, 40, "z1");
  sim_run (150); /* beyond the time after which unmet demand is looked at */
  finish_and_check (600);
}

/* Guards against the invariant demand-asked taking a cloud without machines for a pool that nobody
 * asks, and against work that is not done with the only machine there is. */
static void
test_no_capacity (void)
{
  with_seeds (no_capacity);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/rental/last-task-of-an-array", test_last_task_of_an_array);
  g_test_add_func ("/rental/small-task", test_small_task);
  g_test_add_func ("/rental/spot-machines-gone", test_spot_machines_gone);
  g_test_add_func ("/rental/spot-pool-open", test_spot_pool_open);
  g_test_add_func ("/rental/room-of-another-team", test_room_of_another_team);
  g_test_add_func ("/rental/teams-in-two-zones", test_teams_in_two_zones);
  g_test_add_func ("/rental/no-capacity", test_no_capacity);
  return g_test_run ();
}
