#include "fixture.h"
#include <string.h>

const SimOptions default_options = {
  .nodes = 3,
  .machine_cpus = 8,
  .report_s = 2,
  .lease_s = 12,
  .cancel_s = 40,
  .spot_price = 0.2,
  .max_machines = 8,
  .value_kb = 16,
  .write_rps = 50,
};
guint32 seed;

void
start_cluster (const SimOptions *o)
{
  sim_start (seed, o);
  sim_run (3);
}

void
submit_jobs (guint tasks, double run_s)
{
  sim_submit ("wk-000001", "team0", "normal", tasks, 1, run_s, 600);
  sim_submit ("wk-000002", "team1", "normal", tasks, 1, run_s, 600);
  sim_submit ("wk-000003", "team2", "urgent", tasks, 2, run_s, 600);
}

void
run_until_finished (double within_s)
{
  double end = sim_now () + within_s;
  while (!sim_all_jobs_finished () && sim_now () < end)
    sim_run (5);
}

void
assert_all_machines_released (void)
{
  g_assert_cmpuint (sim_machine_count (), ==, 0);
  g_assert_cmpuint (sim_recorded_machines (), ==, 0);
}

void
finish_and_check (double within_s)
{
  sim_faults_over ();
  run_until_finished (within_s);
  while (!sim_liveness_checked ())
    sim_run (1);
  g_assert_cmpstr (sim_violations (), ==, "");
  g_assert_true (sim_all_jobs_finished ());
  g_assert_cmpuint (sim_tasks_started (), >, 0);
  sim_stop ();
}

void
with_seeds (void (*test) (void))
{
  guint32 given = seed;
  for (guint i = 0; i < 4; i++, seed++)
    test ();
  seed = given;
}

void
set_machine_links (const char *machine, SimLinkState state)
{
  for (guint i = 0; i < default_options.nodes; i++) {
    g_autofree char *node = g_strdup_printf ("n%u", i);
    sim_set_link_both (machine, node, state);
  }
}

void
set_links_to_machine (const char *machine, SimLinkState state)
{
  for (guint i = 0; i < default_options.nodes; i++) {
    g_autofree char *node = g_strdup_printf ("n%u", i);
    sim_set_link (node, machine, state);
  }
}

void
set_peer_links (SimLinkState state)
{
  for (guint i = 0; i < default_options.nodes; i++) {
    g_autofree char *a = g_strdup_printf ("n%u", i);
    g_autofree char *b = g_strdup_printf ("n%u", (i + 1) % default_options.nodes);
    sim_set_link_both (a, b, state);
  }
}

void
set_worker_links (const char *node, SimLinkState state)
{
  for (guint i = 0; i < 12; i++) {
    g_autofree char *m = g_strdup_printf ("host-%06u", i);
    sim_set_link_both (node, m, state);
  }
}

void
set_successor_links (const char *machine, SimLinkState state)
{
  for (guint i = 1; i < default_options.nodes; i++) {
    g_autofree char *n = g_strdup_printf ("n%u", i);
    sim_set_link_both ("n0", n, state);
    sim_set_link_both (machine, n, state);
    sim_set_link_both ("cloud", n, state);
  }
}

void
crash_and_restart (guint node, double down_s)
{
  sim_node_kill (node);
  sim_run (down_s);
  sim_node_start (node);
}

void
crash_and_restart_all (guint nodes, double down_s)
{
  for (guint i = 0; i < nodes; i++)
    sim_node_kill (i);
  sim_run (down_s);
  for (guint i = 0; i < nodes; i++)
    sim_node_start (i);
}

char *
job_json_with (const char *field, const char *value)
{
  json_t *job = json_pack ("{ss ss ss ss ss si sf sf sf ss sf sn sn sb sb sb sf sf sf sn}", "Id",
                           "wk-7", "Lane", "l", "Crew", "team0", "Form", "array", "Rank", "normal",
                           "Shifts", 1, "Cores", 1.0, "Accelerators", 0.0, "MemGb", 1.0, "Cargo",
                           "img", "PullGb", 0.5, "Hulls", "Harbor", "OneZone", 0, "Apart", 0,
                           "Driftwood", 1, "SailS", 1.0, "MooringS", 0.0, "StowS", 0.0, "TideS");
  if (field && value)
    json_object_set_new (job, field, kr_json_decode (value, strlen (value), NULL));
  else if (field)
    json_object_del (job, field);
  char *text = kr_json_encode (job);
  json_decref (job);
  return text;
}

void
fixture_init (int *argc, char ***argv)
{
  const char *fixed = g_getenv ("KR_TEST_SEED");
  g_test_init (argc, argv, NULL);
  /* A fixed default seed gives the same result in each run. */
  seed = fixed ? (guint32) g_ascii_strtoull (fixed, NULL, 10) : 20261201;
  if (g_getenv ("KR_TEST_LOG"))
    sim_log_to_stderr ();
  g_test_message ("seed %u", seed);
}
