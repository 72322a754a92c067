/* Messages that arrive late, twice, without a response or at the worst moment, in simulated time:
 * commands, reports, responses, polls and cancellations around takeovers. The rule checker of the
 * simulated cluster checks every rule of the protocol throughout. docs/incidents/combined-faults.md
 * lists these cases together with those of test_combined_faults.c. */
#include "fixture.h"

/* Four one-task jobs a second are submitted for two minutes, and about a quarter of them are
 * cancelled, at any time from before the first report to about the end of the job. */
static void
small_jobs (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  SimOptions options = default_options;
  options.run_time_jitter = 0.8;
  start_cluster (&options);
  for (guint i = 0; i < 480; i++) {
    g_autofree char *id = g_strdup_printf ("wk-01%04u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit (id, team, i % 5 ? "normal" : "urgent", 1, 1, 4, 60);
    sim_run (0.25);
    if (i % 4 == 3) {
      guint jobs_back = (guint) g_rand_int_range (random, 0, 40);
      g_autofree char *cancelled = g_strdup_printf ("wk-01%04u", i - MIN (i, jobs_back));
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

/* New machines boot within two seconds and get tasks at once, while the state service is slow and
 * executes some commits late and without a response, and the leader and the owners crash. */
static void
quick_boots (void)
{
  SimOptions options = default_options;
  options.boot_min_s = 0.2;
  options.boot_max_s = 2;
  options.max_machines = 20;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
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

/* Half of the direct commands get no response and are executed seconds late: some of them after the
 * owner that sent them has crashed or lost its shard, and after commands of the new owner. */
static void
late_commands (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
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

/* Commits are executed at once and only their responses are lost, while users poll all other nodes,
 * which read the committed values. */
static void
lost_commit_responses (void)
{
  SimOptions options = default_options;
  options.poll_after_change = TRUE;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
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
test_lost_commit_responses (void)
{
  with_seeds (lost_commit_responses);
}

/* Jobs are cancelled in the seconds in which their shard is handed back: its home node was away,
 * and another node has owned the shard meanwhile. `cancel_after_s` counts from the home node's
 * restart. */
static void
cancel_at_handover (double cancel_after_s)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 16, 1, 500, 2000);
  sim_submit ("wk-000002", "team0", "normal", 16, 1, 500, 2000);
  sim_run (35);
  crash_and_restart (0, 9); /* another node takes over, and hands back some 8 s after the restart */
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

/* Right after a job is accepted, ends or is confirmed as cancelled, its user polls all nodes within
 * milliseconds and repeats the submission there. No node may answer with an older state. Further
 * users poll at the same time, so that polls share requests, and the state service is slow. */
static void
polls_after_change (void)
{
  SimOptions options = default_options;
  options.poll_after_change = TRUE;
  options.run_time_jitter = 0.8;
  start_cluster (&options);
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
test_polls_after_change (void)
{
  with_seeds (polls_after_change);
}

/* Old reports reach every node just as owners and the leader change: before, during and after the
 * takeover. Some are of machines that are gone or of sessions that have ended. */
static void
old_reports (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
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

/* Every team has used up its quota. Jobs of each team are cancelled while machines with their tasks
 * are paused or cut off, and owners and the leader change. Waiting tasks may take the place of the
 * cancelled ones only when these have certainly ended. */
static void
teams_at_quota (void)
{
  SimOptions options = default_options;
  options.team_limit = 16;
  options.run_time_jitter = 0.3;
  start_cluster (&options);
  for (guint i = 0; i < 9; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0600%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit (id, team, "normal", 24, 1, 30, 900);
  }
  sim_run (40);
  g_assert_cmpuint (sim_tasks_running (NULL), >=, 36); /* of 48 that the quotas allow */
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
test_teams_at_quota (void)
{
  with_seeds (teams_at_quota);
}

/* Guards against a stale watch event that revives an ended job. In the test
 * /double-start/late-assignment an owner's watch of the jobs showed one of its own earlier writes
 * only after its final write had removed the job (its log showed job wk-000001 as cancelled, then
 * as read again, then as ended). The job came back as that write had stored it: from before its
 * cancellation, so that its tasks started after the user had been told (`started_cancelled`), or
 * from before its last tasks were done, so that these started again. The cause: revisions were
 * compared for live jobs only, and nothing was kept of an ended job. Watch responses may be seconds
 * late, as the state service is slow now and then. */
static void
stale_watch_event (gboolean cancel)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.9;
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "normal", 24, 1, cancel ? 40 : 14, 600);
  /* Keeps machines with room rented. */
  sim_submit ("wk-000002", "team0", "normal", 6, 1, 90, 600);
  sim_run (18);
  sim_watch_delay (6);
  guint64 revision = sim_state_revision ("job/wk-000001");
  for (guint i = 0; i < 200 && sim_state_revision ("job/wk-000001") == revision; i++)
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
stale_watch_event_cancelled (void)
{
  stale_watch_event (TRUE);
}

static void
test_stale_watch_event_cancelled (void)
{
  with_seeds (stale_watch_event_cancelled);
}

static void
stale_watch_event_done (void)
{
  stale_watch_event (FALSE);
}

static void
test_stale_watch_event_done (void)
{
  with_seeds (stale_watch_event_done);
}

static void
events_in_any_order (void)
{
  SimOptions options = default_options;
  options.poll_after_change = TRUE;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
  sim_run (20);
  for (guint round = 0; round < 6; round++) {
    /* Several changes of each job come in one answer. */
    sim_state_delay (round % 2 ? 0.6 : 0);
    sim_watch_delay (round % 3 ? 0.8 : 0);
    for (guint i = 0; i < 12; i++) {
      g_autofree char *id = g_strdup_printf ("wk-07%02u%02u", round, i);
      g_autofree char *team = g_strdup_printf ("team%u", i % 3);
      sim_submit (id, team, "normal", 1 + i % 3, 1, 0.2, 600);
      if (i % 4 == 0)
        sim_cancel_at (id, i % options.nodes);
    }
    sim_run (8);
  }
  sim_state_delay (0);
  sim_watch_delay (0);
  finish_and_check (300);
}

/* Guards against an older answer where the state service lists the changes of one key in another
 * order than that of their revisions. */
static void
test_events_in_any_order (void)
{
  with_seeds (events_in_any_order);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/races/small-jobs", test_small_jobs);
  g_test_add_func ("/races/quick-boots", test_quick_boots);
  g_test_add_func ("/races/late-commands", test_late_commands);
  g_test_add_func ("/races/lost-commit-responses", test_lost_commit_responses);
  g_test_add_func ("/races/cancel-at-handover", test_cancel_at_handover);
  g_test_add_func ("/races/polls-after-change", test_polls_after_change);
  g_test_add_func ("/races/old-reports", test_old_reports);
  g_test_add_func ("/races/teams-at-quota", test_teams_at_quota);
  g_test_add_func ("/races/stale-watch-event-cancelled", test_stale_watch_event_cancelled);
  g_test_add_func ("/races/stale-watch-event-done", test_stale_watch_event_done);
  g_test_add_func ("/races/events-in-any-order", test_events_in_any_order);
  return g_test_run ();
}
