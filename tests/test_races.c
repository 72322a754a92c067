/* What arrives late, twice, unanswered or at the worst moment, in simulated time: commands,
 * reports, answers, questions and cancellations around takeovers. The stand-ins watch every rule;
 * docs/incidents/meetings.md lists these together with test_meetings.c. */
#include "fixture.h"

/* One-task jobs come four a second for minutes, and a quarter of them is cancelled, at any moment
 * from before the first report to about the end. */
static void
small_jobs (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  SimOptions o = default_options;
  o.run_time_jitter = 0.8;
  start_cluster (&o);
  for (guint i = 0; i < 480; i++) {
    g_autofree char *id = g_strdup_printf ("wk-01%04u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit (id, team, i % 5 ? "normal" : "urgent", 1, 1, 4, 60);
    sim_run (0.25);
    if (i % 4 == 3) {
      guint back = (guint) g_rand_int_range (random, 0, 40);
      g_autofree char *cancelled = g_strdup_printf ("wk-01%04u", i - MIN (i, back));
      sim_cancel (cancelled);
    }
    if (i % 160 == 80)
      crash_and_restart (i % 3, 0.3);
  }
  finish_and_check (300);
}

static void
test_small_jobs (void)
{
  with_seeds (small_jobs);
}

/* New machines are up within two seconds and get work at once, while writes lag or are lost, and
 * the leader and the owners end. */
static void
quick_boots (void)
{
  SimOptions o = default_options;
  o.boot_min_s = 0.2;
  o.boot_max_s = 2;
  o.max_machines = 20;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
  for (guint i = 0; i < 9; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0200%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_state_delay (i % 2 ? 0.8 : 0.3);
    sim_delay_commits (i % 3 ? 0.3 : 0);
    sim_submit (id, team, "normal", 30, 1, 10, 100);
    sim_run (0.7 + 0.3 * (i % 4));
    crash_and_restart (i % 3, i % 2 ? 0.2 : 7);
    sim_run (5);
  }
  sim_delay_commits (0);
  sim_state_delay (0);
  finish_and_check (400);
}

static void
test_quick_boots (void)
{
  with_seeds (quick_boots);
}

/* Direct commands are held up on their way, of owners that have ended or lost their part by then as
 * well, and are carried out after those of the new one. */
static void
late_commands (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
  sim_delay_commands (0.5);
  submit_jobs (50, 20);
  sim_run (30);
  for (guint i = 0; i < 6; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0300%02u", i);
    sim_submit (id, "team0", "urgent", 12, 1, 15, 60);
    sim_run (6);
    if (i % 2)
      sim_cancel (id);
    sim_run (0.3);
    if (i % 3 == 2)
      sim_state_refuse_node (i % 2, TRUE);
    else
      crash_and_restart (i % 3, i % 2 ? 0.2 : 8);
    sim_run (9);
    sim_state_refuse_node (0, FALSE);
    sim_state_refuse_node (1, FALSE);
  }
  sim_delay_commands (0);
  finish_and_check (400);
}

static void
test_late_commands (void)
{
  with_seeds (late_commands);
}

/* Transactions are carried out at once and only their answers are lost, while users ask all the
 * other nodes, which read what was written. */
static void
lost_answers (void)
{
  SimOptions o = default_options;
  o.poll_after_change = TRUE;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
  for (guint i = 0; i < 30; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0400%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_drop_commit_responses (1 + i % 3);
    sim_submit (id, team, "normal", 2, 1, 6, 100);
    sim_run (1 + 0.1 * (i % 7));
    if (i % 3 == 1)
      sim_cancel (id);
    if (i % 10 == 5)
      crash_and_restart (i % 3, 0.2);
  }
  finish_and_check (200);
}

static void
test_lost_answers (void)
{
  with_seeds (lost_answers);
}

/* Jobs are cancelled in the seconds in which their part changes hands: it is given back to a node
 * that has been away, which another one held it for meanwhile. */
static void
cancel_at_handover (double cancel_after_s)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 16, 1, 500, 2000);
  sim_submit ("wk-000002", "team0", "normal", 16, 1, 500, 2000);
  sim_run (35);
  crash_and_restart (0, 9); /* another takes the part, and hands it back some 8 s after this */
  sim_run (cancel_after_s);
  sim_cancel ("wk-000001");
  sim_run (0.4);
  sim_cancel ("wk-000002");
  sim_run (40);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "cancelled");
  g_assert_cmpstr (sim_reported_state ("wk-000002"), ==, "cancelled");
  g_assert_cmpuint (sim_tasks_running (NULL), ==, 0);
  finish_and_check (20);
}

static void
test_cancel_at_handover (void)
{
  for (guint i = 0; i < 16; i++, seed++)
    cancel_at_handover (i < 4 ? 0.3 * i : 6 + 0.3 * i);
  seed -= 16;
}

/* Right after a job was accepted, ended or confirmed as cancelled, its user asks all nodes within
 * milliseconds and repeats the submission there: no node answers anything older. A crowd asks as
 * well, so that questions share requests, and the service answers slowly. */
static void
close_looks (void)
{
  SimOptions o = default_options;
  o.poll_after_change = TRUE;
  o.run_time_jitter = 0.8;
  start_cluster (&o);
  sim_state_delay (0.2);
  for (guint i = 0; i < 60; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0500%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit (id, team, "normal", 1 + i % 2, 1, 5, 100);
    for (guint k = 0; k < 15; k++) {
      g_autofree char *path = g_strdup_printf ("/api/jobs/wk-0500%02u", (i + k) % 60);
      sim_request_async (k % 3, "GET", path, NULL);
      sim_run (0.05);
    }
    if (i % 4 == 2) {
      g_autofree char *cancelled = g_strdup_printf ("wk-0500%02u", i / 2);
      sim_cancel (cancelled);
    }
    if (i % 20 == 10)
      crash_and_restart (i % 3, i % 40 == 10 ? 0.2 : 8);
  }
  sim_state_delay (0);
  finish_and_check (300);
}

static void
test_close_looks (void)
{
  with_seeds (close_looks);
}

/* Old reports reach every node just as owners and the leader change: before, in and after the
 * takeover, also of machines that have gone and of sessions that are over. */
static void
old_reports (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
  submit_jobs (60, 12);
  sim_run (35);
  for (guint i = 0; i < 9; i++) {
    const char *busiest = sim_busiest_machine ();
    if (i % 3 == 1 && busiest)
      sim_machine_kill (busiest);
    sim_node_kill (i % 3);
    sim_run (i % 2 ? 0.2 : 5.8);
    sim_replay_old_reports ();
    if (i % 2)
      sim_node_start (i % 3);
    for (guint k = 0; k < 8; k++) {
      sim_run (0.5);
      sim_replay_old_reports ();
    }
    if (i % 2 == 0)
      sim_node_start (i % 3);
    sim_run (8);
  }
  finish_and_check (400);
}

static void
test_old_reports (void)
{
  with_seeds (old_reports);
}

/* Every team is at its limit. Jobs of each are cancelled while machines that hold their tasks hang
 * or are cut off, and owners and the leader change: what waits takes their place no sooner than
 * they are surely gone. */
static void
teams_at_limits (void)
{
  SimOptions o = default_options;
  o.team_limit = 16;
  o.run_time_jitter = 0.3;
  start_cluster (&o);
  for (guint i = 0; i < 9; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0600%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit (id, team, "normal", 24, 1, 30, 900);
  }
  sim_run (40);
  g_assert_cmpuint (sim_tasks_running (NULL), >=, 36); /* of 48 that the limits allow */
  for (guint i = 0; i < 3; i++) {
    g_auto (GStrv) all = sim_machine_names (NULL);
    for (guint k = 0; all[k] && k < 4; k++)
      if ((i + k) % 2)
        sim_machine_pause (all[k], TRUE);
      else
        set_machine_links (all[k], SIM_LINK_HOLD);
    for (guint k = 0; k < 3; k++) {
      g_autofree char *id = g_strdup_printf ("wk-0600%02u", 3 * i + k);
      if (k != i)
        sim_cancel (id);
    }
    crash_and_restart (i, i % 2 ? 0.3 : 8);
    sim_run (10);
    for (guint k = 0; all[k]; k++) {
      sim_machine_pause (all[k], FALSE);
      set_machine_links (all[k], SIM_LINK_UP);
    }
    sim_run (12);
  }
  finish_and_check (600);
}

static void
test_teams_at_limits (void)
{
  with_seeds (teams_at_limits);
}

/* What happened: an owner's watch of the jobs showed one of its own earlier writes only after its
 * final one had taken the job away ("job wk-000001: cancelled", then the same job read again, then
 * "ended", in the log of /double-start/late-assignment). The job lived again with what that write
 * held: of before its cancellation, so that its tasks started after the user had been told
 * (`started_cancelled`), or of before its last tasks were done, so that these started once more.
 * Why: only what a live job already was had a revision to compare with; of a job that had ended
 * nothing was kept. A watch's answer may be seconds late; the state service answers slowly now and
 * then. */
static void
old_event (gboolean cancel)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.9;
  start_cluster (&o);
  sim_submit ("wk-000001", "team0", "normal", 24, 1, cancel ? 40 : 14, 600);
  sim_submit ("wk-000002", "team0", "normal", 6, 1, 90, 600); /* keeps machines with room */
  sim_run (18);
  sim_watch_delay (6);
  guint64 mark = sim_state_revision ("job/wk-000001");
  for (guint i = 0; i < 200 && sim_state_revision ("job/wk-000001") == mark; i++)
    sim_run (0.05);
  if (cancel)
    sim_cancel_at ("wk-000001", 0);
  for (guint i = 0; i < 1200 && sim_state_has ("job/wk-000001"); i++)
    sim_run (0.05);
  g_assert_false (sim_state_has ("job/wk-000001"));
  guint started = sim_tasks_started ();
  sim_run (15);
  sim_watch_delay (0);
  g_assert_cmpstr (sim_violations (), ==, "");
  g_assert_cmpuint (sim_tasks_started (), ==, started);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, cancel ? "cancelled" : "done");
  finish_and_check (200);
}

static void
old_event_cancelled (void)
{
  old_event (TRUE);
}

static void
test_old_event_cancelled (void)
{
  with_seeds (old_event_cancelled);
}

static void
old_event_done (void)
{
  old_event (FALSE);
}

static void
test_old_event_done (void)
{
  with_seeds (old_event_done);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/races/small-jobs", test_small_jobs);
  g_test_add_func ("/races/quick-boots", test_quick_boots);
  g_test_add_func ("/races/late-commands", test_late_commands);
  g_test_add_func ("/races/lost-answers", test_lost_answers);
  g_test_add_func ("/races/cancel-at-handover", test_cancel_at_handover);
  g_test_add_func ("/races/close-looks", test_close_looks);
  g_test_add_func ("/races/old-reports", test_old_reports);
  g_test_add_func ("/races/teams-at-limits", test_teams_at_limits);
  g_test_add_func ("/races/old-event-cancelled", test_old_event_cancelled);
  g_test_add_func ("/races/old-event-done", test_old_event_done);
  return g_test_run ();
}
