/* Sequences of events in which one task could run on two machines at once, each brought about on
 * purpose: whole nodes in simulated time, with the rule checker of the simulated cluster. */
#include "fixture.h"

/* A report is still on its way when a newer one arrives in the machine's response to a direct
 * command. The overtaken report tells the owner nothing new, but the response to it renews the
 * machine's lease. The machine then reaches no node any more, and its tasks run until that lease
 * expires: the owner must not start them elsewhere before that. */
static void
overtaken_report (void)
{
  SimOptions options = default_options;
  options.report_s = 6;
  options.lease_s = 20;
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "normal", 1, 2, 150, 600);
  /* The cancellation of this job makes the owner send the direct command. */
  sim_submit ("wk-000002", "team0", "normal", 1, 1, 150, 600);
  sim_run (25);
  sim_submit ("wk-000003", "team0", "normal", 7, 5, 150, 600); /* leaves room on other machines */
  sim_run (30);
  const char *machine = sim_machine_of ("wk-000002");
  g_assert_cmpstr (machine, ==, sim_machine_of ("wk-000001"));
  while (sim_report_in_flight (machine))
    sim_run (0.02);
  sim_delay_next_report (machine, 1.5);
  while (!sim_report_in_flight (machine))
    sim_run (0.02);
  sim_machine_stop_reports (machine, TRUE);
  sim_cancel ("wk-000002");
  sim_run (35);
  sim_machine_stop_reports (machine, FALSE);
  finish_and_check (400);
}

static void
test_overtaken_report (void)
{
  with_seeds (overtaken_report);
}

/* The leader's transaction that gives machines to one shard gets no response. The demand changes,
 * the leader gives the same machines to another shard, and then the first transaction is executed
 * after all. */
static void
late_assignment (void)
{
  SimOptions options = default_options;
  options.machine_cpus = 1;
  options.max_machines = 110; /* more than one chunk of a shard's machine record */
  start_cluster (&options);
  sim_submit ("wk-000002", "team1", "normal", 64, 1, 150, 600);
  sim_submit ("wk-000004", "team1", "normal", 12, 1, 150, 600);
  sim_run (30);
  sim_hold_commits ("c/berths/0/", 1, 25);
  sim_submit ("wk-000001", "team0", "urgent", 8, 1, 60, 600);
  while (sim_commits_left_to_hold ())
    sim_run (0.1);
  sim_cancel ("wk-000001");
  sim_submit ("wk-000003", "team1", "urgent", 8, 1, 60, 600);
  sim_run (22);
  /* This makes room in which tasks that a shard wrongly considers gone could start again. */
  sim_cancel ("wk-000004");
  sim_run (1.5);
  for (guint i = 0; i < 6; i++) { /* each job changes the second shard's machine record */
    g_autofree char *id = g_strdup_printf ("wk-00001%u", i);
    sim_submit (id, "team1", "normal", 12, 1, 30, 600);
    sim_run (0.7);
  }
  sim_run (60);
  finish_and_check (400);
}

static void
test_late_assignment (void)
{
  with_seeds (late_assignment);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/double-start/overtaken-report", test_overtaken_report);
  g_test_add_func ("/double-start/late-assignment", test_late_assignment);
  return g_test_run ();
}
