/* Machines that are in the records and in a summary of their owner, but not in the leader's machine
 * list: the cloud has taken them, or a new leader's list is older than they are. */
#include "fixture.h"

static SimOptions
options_with_two_zones (void)
{
  SimOptions options = default_options;
  options.zones = 2;
  return options;
}

static void
run_until_tasks_run (guint tasks)
{
  while (sim_tasks_running (NULL) < tasks && sim_now () < 60)
    sim_run (1);
  g_assert_cmpuint (sim_tasks_running (NULL), >=, tasks);
}

static void
reclaimed_machines (void)
{
  const SimOptions options = options_with_two_zones ();
  start_cluster (&options);
  sim_submit_in_zone ("wk-000001", "team0", 120, 1, 40, "z1");
  run_until_tasks_run (options.max_machines * options.machine_cpus);
  g_auto (GStrv) machines = sim_machine_names ("z1");
  for (guint i = 0; machines[i]; i += 2) {
    sim_machine_kill (machines[i]);
    sim_run (1.2);
  }
  finish_and_check (400);
}

/* Guards against a leader that crashes after the cloud has taken machines without a notice, while a
 * job is bound to a zone. */
static void
test_reclaimed_machines (void)
{
  with_seeds (reclaimed_machines);
}

static void
new_leader (void)
{
  SimOptions options = options_with_two_zones ();
  options.boot_min_s = 0.2;
  options.boot_max_s = 1;
  options.list_lag_s = 15;
  options.max_machines = 40;
  start_cluster (&options);
  for (guint i = 0; i < options.nodes; i++) {
    g_autofree char *id = g_strdup_printf ("wk-00000%u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i);
    sim_submit_in_zone (id, team, 30, 1, 40, "z1");
  }
  run_until_tasks_run (80);
  guint machines = sim_machine_count ();
  crash_and_restart (0, 10);
  g_assert_cmpuint (sim_machine_count (), <=, machines);
  finish_and_check (400);
}

/* Guards against a leader whose first machine lists lack machines that already run tasks, while
 * jobs are bound to a zone: it must neither crash nor rent machines in their place. */
static void
test_new_leader (void)
{
  with_seeds (new_leader);
}

static void
rental_answered_late (void)
{
  SimOptions options = default_options;
  options.boot_min_s = 0.2;
  options.boot_max_s = 0.6;
  start_cluster (&options);
  sim_set_link ("cloud", "n0", SIM_LINK_HOLD);
  sim_submit ("wk-000001", "team0", "normal", 30, 1, 20, 600);
  while (sim_machine_count () == 0 && sim_now () < 60)
    sim_run (0.1);
  sim_state_outage (TRUE);
  sim_run (1.3);
  sim_set_link ("cloud", "n0", SIM_LINK_UP);
  sim_run (1);
  sim_state_outage (FALSE);
  finish_and_check (400);
}

/* Guards against a leader that reads freed memory after a machine has reported before the answer to
 * its rental arrives. */
static void
test_rental_answered_late (void)
{
  with_seeds (rental_answered_late);
}

static void
deletion_carried_out_late (void)
{
  SimOptions options = default_options;
  options.boot_min_s = 0.2;
  options.boot_max_s = 0.6;
  start_cluster (&options);
  submit_jobs (20, 20);
  run_until_tasks_run (20);
  sim_set_link ("n0", "cloud", SIM_LINK_HOLD);
  crash_and_restart (0, 0.5);
  sim_submit ("wk-000004", "team0", "normal", 30, 1, 20, 600);
  sim_run (20);
  sim_set_link ("n0", "cloud", SIM_LINK_UP);
  run_until_finished (400);
  sim_run (90);
  assert_all_machines_released ();
  finish_and_check (10);
}

/* Guards against machines that no controller knows of: rentals and deletions of a leader that has
 * ended are carried out 20 s later. */
static void
test_rental_and_deletion_carried_out_late (void)
{
  with_seeds (deletion_carried_out_late);
}

static void
back_with_new_session (void)
{
  start_cluster (&default_options);
  submit_jobs (40, 20);
  run_until_tasks_run (20);
  g_auto (GStrv) machines = sim_machine_names (NULL);
  for (guint i = 0; machines[i]; i++) {
    sim_delay_next_report (machines[i], 3);
    sim_run (0.7);
    if (sim_machine_alive (machines[i]))
      sim_machine_begin_session (machines[i]);
    if (i == 2)
      crash_and_restart (0, 0.5);
    sim_replay_old_reports ();
  }
  finish_and_check (400);
}

/* Guards against tasks that start twice, or are taken for running, after a worker came back within
 * a second under another session, while reports of the session before still arrive. */
static void
test_back_with_new_session (void)
{
  with_seeds (back_with_new_session);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/unlisted-machines/reclaimed", test_reclaimed_machines);
  g_test_add_func ("/unlisted-machines/new-leader", test_new_leader);
  g_test_add_func ("/unlisted-machines/rental-answered-late", test_rental_answered_late);
  g_test_add_func ("/unlisted-machines/rental-and-deletion-carried-out-late",
                   test_rental_and_deletion_carried_out_late);
  g_test_add_func ("/unlisted-machines/back-with-new-session", test_back_with_new_session);
  return g_test_run ();
}
