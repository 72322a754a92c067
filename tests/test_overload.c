/* Work that must not use up a node's processor time: sending the same command or the same deletion
 * again and again. */
#include "fixture.h"

/* Guards against many concurrent commands to one machine. Jobs were cancelled on some hundred
 * machines, which then stopped responding. Their owner sent each machine one command for each job
 * and then a further one each second, while the earlier ones still waited for their timeout of
 * 1.5 s, until its main loop was blocked for 20 s (bench/mutes.toml, seed 1: 1,271 tasks to stop at
 * 124.8 to 125.1 s, node berth-1 logged a process stall at 145.9 s; see /http/many-calls for the
 * cost of each call). The cause: nothing recorded that a command to a machine was under way. One at
 * a time is enough, as it carries all kills. */
static void
test_one_command_per_machine (void)
{
  start_cluster (&default_options);
  for (guint i = 0; i < 6; i++) {
    g_autofree char *id = g_strdup_printf ("wk-%06u", i + 1);
    sim_submit (id, "team0", "normal", 8, 1, 100, 600);
  }
  sim_run (40);
  g_assert_cmpuint (sim_tasks_running (NULL), >=, 40);
  g_auto (GStrv) names = sim_machine_names (NULL);
  for (guint i = 0; names[i]; i++)
    sim_machine_pause (names[i], TRUE);
  for (guint i = 0; i < 6; i++) {
    g_autofree char *id = g_strdup_printf ("wk-%06u", i + 1);
    sim_cancel (id);
  }
  sim_run (10);
  for (guint i = 0; names[i]; i++)
    sim_machine_pause (names[i], FALSE);
  g_assert_cmpuint (sim_max_concurrent_commands (), ==, 1);
  finish_and_check (200);
}

/* Guards against refused deletions that are repeated too often. During an outage of the cloud the
 * owner of a shard requested the same deletions each second, and ten times a second during a
 * takeover, each with a log line (bench/mutes.toml: 6,456, 14,306, 7,597 and 11,332 such lines on
 * seeds 1 to 4, 3,119 of them by one owner within 14 s of its takeover), on 4% of a core. The
 * cause: the next tick simply repeated a refused deletion. An interval of two seconds between
 * requests costs no more than two seconds of the machine's price. */
static void
refused_deletions (void)
{
  start_cluster (&default_options);
  submit_jobs (16, 100);
  sim_run (30);
  sim_cloud_outage (TRUE);
  g_auto (GStrv) names = sim_machine_names (NULL);
  guint dead = 0;
  /* Every second machine, and never the last one, is killed: an owner that gets reports from no
   * machine takes the fault for its own. */
  for (guint i = 0; names[i] && names[i + 1]; i += 2, dead++)
    sim_machine_kill (names[i]);
  sim_run (60);
  guint before = sim_refused_deletions ();
  sim_run (20);
  guint requested = sim_refused_deletions () - before;
  g_assert_cmpuint (requested, >, 0);
  g_assert_cmpuint (requested, <=, dead * (20 / 2 + 1));
  sim_cloud_outage (FALSE);
  finish_and_check (300);
}

static void
test_refused_deletions (void)
{
  with_seeds (refused_deletions);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/overload/one-command-per-machine", test_one_command_per_machine);
  g_test_add_func ("/overload/refused-deletions", test_refused_deletions);
  return g_test_run ();
}
