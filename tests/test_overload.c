/* What a node must not spend its processor time on: the same command or deletion again and again.
 */
#include "fixture.h"

/* What happened: jobs were cancelled on some hundred machines that then fell silent. Their owner
 * sent each machine a command a job, and from then on one more each second while the ones before
 * still waited for their time-out of 1.5 s, until its main loop had no turn for 20 s
 * (bench/mutes.toml, seed 1: 1,271 tasks to stop at 124.8 to 125.1 s, "berth-1 stood still" at
 * 145.9 s; see /http/many-calls for what each costs). Why: nothing noted that a command to a
 * machine was under way. One at a time is enough: it carries all kills. */
static void
test_one_command_a_machine (void)
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

/* What happened: with the cloud out, the owner of a part asked it for the same deletions each
 * second, and ten times a second during a takeover, each with a log line (bench/mutes.toml: 6,456,
 * 14,306, 7,597 and 11,332 such lines on seeds 1 to 4, 3,119 of them by one owner within 14 s of
 * its takeover), on 4% of a core. Why: a refused deletion was simply asked for by the next tick.
 * Two seconds between two of them lose nothing: what the machine costs meanwhile is two seconds of
 * its price. */
static void
refused_deletions (void)
{
  start_cluster (&default_options);
  submit_jobs (16, 100);
  sim_run (30);
  sim_cloud_outage (TRUE);
  g_auto (GStrv) names = sim_machine_names (NULL);
  guint dead = 0;
  for (guint i = 0; names[i] && names[i + 1];
       i += 2, dead++) /* one that hears nobody blames itself */
    sim_machine_kill (names[i]);
  sim_run (60);
  guint before = sim_refused_deletions ();
  sim_run (20);
  guint asked = sim_refused_deletions () - before;
  g_assert_cmpuint (asked, >, 0);
  g_assert_cmpuint (asked, <=, dead * (20 / 2 + 1));
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
  g_test_add_func ("/overload/one-command-a-machine", test_one_command_a_machine);
  g_test_add_func ("/overload/refused-deletions", test_refused_deletions);
  return g_test_run ();
}
