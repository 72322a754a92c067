/* Combinations of faults: whole nodes in simulated time. Each test brings about several faults at
 * once, and the rule checker of the simulated cluster checks every rule of the protocol throughout.
 * docs/incidents/combined-faults.md lists the combinations. */
#include "fixture.h"
#include <string.h>

static const char *
node_name (guint i)
{
  static const char *const names[] = { "n0", "n1", "n2" };
  g_assert_cmpuint (i, <, G_N_ELEMENTS (names));
  return names[i];
}

/* Sets the links between a node together with the machines of a zone on one side and all other
 * nodes on the other side, and the node's links to the state service, the cloud and the users. */
static void
set_zone_links (guint node, const char *zone, SimLinkState link_state)
{
  g_auto (GStrv) machines = sim_machine_names (zone);
  const char *const outside[] = { "state", "cloud", "user" };
  for (guint i = 0; i < G_N_ELEMENTS (outside); i++)
    sim_set_link_both (node_name (node), outside[i], link_state);
  for (guint i = 0; i < default_options.nodes; i++) {
    if (i == node)
      continue;
    sim_set_link_both (node_name (node), node_name (i), link_state);
    for (char **m = machines; *m; m++)
      sim_set_link_both (*m, node_name (i), link_state);
  }
}

static void
pause_machines (char **machines, guint max_count, gboolean paused)
{
  for (guint i = 0; machines[i] && i < max_count; i++)
    sim_machine_pause (machines[i], paused);
}

/* A node and the machines of one zone are partitioned from the rest for longer than a lease, and
 * their tasks go on. What the machines report and what the node writes arrives late in the first
 * round and never in the second, in which a node that took over restarts as well. */
static void
zone_partition (void)
{
  SimOptions options = default_options;
  options.zones = 2;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
  submit_jobs (40, 20);
  sim_run (30);
  for (guint k = 0; k < 2; k++) {
    set_zone_links (0, "z0", k ? SIM_LINK_DROP : SIM_LINK_HOLD);
    sim_run (k ? 40 : 25);
    if (k)
      crash_and_restart (1, 0.3); /* the node that took the shard over */
    set_zone_links (0, "z0", SIM_LINK_UP);
    sim_run (5);
  }
  finish_and_check (400);
}

static void
test_zone_partition (void)
{
  with_seeds (zone_partition);
}

/* Jobs of two or three tasks, whose run times differ so much that tasks of one job end under
 * different owners. The owners crash and restart, and some of their commits are executed seconds
 * late, after newer ones. */
static void
ends_under_different_owners (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.9;
  options.duplicate_reports = 0.2;
  start_cluster (&options);
  for (guint i = 0; i < 24; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0001%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit (id, team, i % 4 ? "normal" : "urgent", 2 + i % 2, 1, 25, 600);
  }
  sim_run (20);
  sim_delay_commits (0.3);
  for (guint i = 0; i < 8; i++) {
    crash_and_restart (i % 3, i % 2 ? 0.3 : 8);
    sim_run (4);
  }
  sim_delay_commits (0);
  finish_and_check (300);
}

static void
test_ends_under_different_owners (void)
{
  with_seeds (ends_under_different_owners);
}

/* Commits that got no response are executed after newer commits of the same node (accepted jobs,
 * progress, ended jobs, machine records, moves, owner keys, cancellations), while nodes lose their
 * link to the state service and restart. */
static void
late_writes (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
  sim_delay_commits (0.35);
  submit_jobs (40, 10);
  sim_run (25);
  sim_submit ("wk-000004", "team0", "urgent", 30, 1, 30, 100);
  for (guint i = 0; i < 6; i++) {
    sim_set_link_both (node_name (i % 3), "state", i % 2 ? SIM_LINK_HOLD : SIM_LINK_DROP);
    sim_run (3 + i);
    sim_set_link_both (node_name (i % 3), "state", SIM_LINK_UP);
    if (i == 2)
      sim_cancel ("wk-000004");
    crash_and_restart ((i + 1) % 3, i % 2 ? 0.2 : 7);
    sim_run (4);
  }
  sim_delay_commits (0);
  finish_and_check (400);
}

static void
test_late_writes (void)
{
  with_seeds (late_writes);
}

/* Jobs bound to one zone and jobs spread over two zones lose machines: some machines die, some are
 * paused, and some receive nothing while their owner changes, so that the next owner cannot reach
 * them either. */
static void
placement_constraints (void)
{
  SimOptions options = default_options;
  options.zones = 2;
  options.max_machines = 10;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
  for (guint i = 0; i < 12; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0002%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit_placed (id, team, 4 + 3 * (i % 5), 1, 30, i % 2 ? SIM_ONE_ZONE : SIM_SPREAD);
  }
  sim_run (35);
  for (guint i = 0; i < 3; i++) {
    g_auto (GStrv) all = sim_machine_names (NULL);
    guint machine_count = g_strv_length (all);
    if (machine_count > 4) {
      sim_machine_kill (all[0]);
      sim_machine_pause (all[1], TRUE);
      set_links_to_machine (all[2], SIM_LINK_DROP);
      set_machine_links (all[3], SIM_LINK_HOLD);
      sim_machine_stop_reports (all[4], TRUE);
    }
    crash_and_restart (i, i % 2 ? 0.3 : 9);
    sim_run (6);
    if (machine_count > 4) {
      sim_machine_pause (all[1], FALSE);
      set_links_to_machine (all[2], SIM_LINK_UP);
      set_machine_links (all[3], SIM_LINK_UP);
      sim_machine_stop_reports (all[4], FALSE);
    }
    sim_run (12);
  }
  finish_and_check (400);
}

static void
test_placement_constraints (void)
{
  with_seeds (placement_constraints);
}

/* The owner of a shard changes ten times in two minutes, twice during an outage of the state
 * service. */
static void
ten_owner_changes (void)
{
  SimOptions options = default_options;
  options.duplicate_reports = 0.2;
  start_cluster (&options);
  submit_jobs (60, 12);
  sim_run (30);
  for (guint i = 0; i < 10; i++) {
    sim_state_refuse_node (i % 3, TRUE);
    sim_run (i % 3 ? 9 : 3);
    if (i == 3 || i == 7) {
      sim_state_outage (TRUE);
      crash_and_restart ((i + 1) % 3, 0.2);
      sim_run (16);
      sim_state_outage (FALSE);
    }
    sim_state_refuse_node (i % 3, FALSE);
    sim_run (1);
  }
  finish_and_check (400);
}

static void
test_ten_owner_changes (void)
{
  with_seeds (ten_owner_changes);
}

/* A team has used up its quota. The owner of its shard changes while some of the team's machines
 * are unreachable, and one of the team's jobs is cancelled at that time. */
static void
quota_at_takeover (void)
{
  SimOptions options = default_options;
  options.team_limit = 24;
  options.run_time_jitter = 0.3;
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "normal", 40, 1, 40, 900);
  sim_submit ("wk-000002", "team0", "normal", 40, 1, 40, 900);
  sim_run (40);
  for (guint i = 0; i < 3; i++) {
    g_auto (GStrv) all = sim_machine_names (NULL);
    pause_machines (all, 2, TRUE);
    if (all[0] && all[1] && all[2])
      set_links_to_machine (all[2], SIM_LINK_DROP);
    sim_node_kill (i);
    sim_run (2);
    if (i == 1)
      sim_cancel ("wk-000001");
    sim_run (7);
    sim_node_start (i);
    sim_run (3);
    pause_machines (all, 2, FALSE);
    if (all[0] && all[1] && all[2])
      set_links_to_machine (all[2], SIM_LINK_UP);
    sim_run (12);
  }
  finish_and_check (600);
}

static void
test_quota_at_takeover (void)
{
  with_seeds (quota_at_takeover);
}

/* The owner crashes while machines with long tasks are unreachable, paused, receive nothing or send
 * no reports, for less than their leases and for longer. */
static void
unreachable_at_takeover (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.3;
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "normal", 50, 1, 70, 900);
  sim_run (40);
  for (guint i = 0; i < 4; i++) {
    g_auto (GStrv) all = sim_machine_names (NULL);
    for (guint k = 0; all[k] && k < 4; k++) {
      if ((i + k) % 4 == 0)
        sim_machine_pause (all[k], TRUE);
      else if ((i + k) % 4 == 1)
        set_links_to_machine (all[k], SIM_LINK_HOLD);
      else if ((i + k) % 4 == 2)
        set_machine_links (all[k], SIM_LINK_DROP);
      else
        sim_machine_stop_reports (all[k], TRUE);
    }
    sim_run (0.5);
    crash_and_restart (i % 3, i < 2 ? 9 : 0.4);
    sim_run (i % 2 ? 3 : 15);
    for (guint k = 0; all[k]; k++) {
      sim_machine_pause (all[k], FALSE);
      sim_machine_stop_reports (all[k], FALSE);
      set_machine_links (all[k], SIM_LINK_UP);
    }
    sim_run (15);
  }
  finish_and_check (600);
}

static void
test_unreachable_at_takeover (void)
{
  with_seeds (unreachable_at_takeover);
}

/* Machines are paused for 1 to 13 s while they are told to start or to kill tasks, and then resume.
 * A late command or an old response must not start a task twice. */
static void
commands_to_paused_machines (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
  submit_jobs (60, 6);
  for (guint i = 0; i < 14; i++) {
    sim_run (5);
    g_auto (GStrv) all = sim_machine_names (NULL);
    pause_machines (all, 3, TRUE);
    if (i == 6)
      sim_cancel ("wk-000002");
    sim_run (1 + i % 7 * 2);
    pause_machines (all, 3, FALSE);
  }
  finish_and_check (400);
}

static void
test_commands_to_paused_machines (void)
{
  with_seeds (commands_to_paused_machines);
}

/* A job is cancelled at about the time at which its last task ends. Its user is told either
 * cancelled or done, and every node says the same from then on. */
static void
cancel_at_job_end (void)
{
  start_cluster (&default_options);
  for (guint i = 0; i < 40; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0003%02u", i);
    sim_submit (id, "team0", "normal", 1, 1, 5, 600);
  }
  for (guint i = 0; i < 2400 && sim_tasks_running (NULL) == 0; i++)
    sim_run (0.05);
  for (guint i = 0; i < 40; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0003%02u", i);
    double started_at = sim_time_to_first_task (id);
    /* The first cancellations come before the task ends, the last ones after its end is durable. */
    while (started_at < 0 || sim_now () < 3 + started_at + 4.8 + 0.02 * i) {
      sim_run (0.02);
      started_at = sim_time_to_first_task (id);
    }
    sim_cancel (id);
  }
  for (guint node = 0; node < 3; node++) {
    sim_run (5);
    for (guint i = 0; i < 40; i++) {
      g_autofree char *path = g_strdup_printf ("/api/jobs/wk-0003%02u/abort", i);
      g_assert_cmpuint (sim_request (node, "POST", path, NULL), ==, 200);
    }
  }
  finish_and_check (60);
}

static void
test_cancel_at_job_end (void)
{
  with_seeds (cancel_at_job_end);
}

/* Half of the machines stop sending reports, and their leases expire. Their tasks start on other
 * machines once the leases have certainly expired, also when the owner changes: the new owner
 * reaches the machines by direct commands. */
static void
machines_stop_reporting (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.3;
  start_cluster (&options);
  submit_jobs (60, 20);
  sim_run (35);
  for (guint i = 0; i < 4; i++) {
    g_auto (GStrv) all = sim_machine_names (NULL);
    for (guint k = 0; all[k]; k += 2)
      sim_machine_stop_reports (all[k], TRUE);
    sim_run (3);
    if (i % 2)
      crash_and_restart (i % 3, i == 1 ? 9 : 0.3);
    if (i == 2)
      sim_cancel ("wk-000003");
    sim_run (6 + 8 * (i % 3));
    for (guint k = 0; all[k]; k += 2)
      sim_machine_stop_reports (all[k], FALSE);
    sim_run (10);
  }
  finish_and_check (600);
}

static void
test_machines_stop_reporting (void)
{
  with_seeds (machines_stop_reporting);
}

/* A controller's process stalls for 7 or 70 s while its clocks run on, and the other nodes take its
 * shards over. When the process resumes, the controller must neither answer requests nor send
 * commands from its old state. */
static void
process_stall (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.4;
  start_cluster (&options);
  submit_jobs (60, 15);
  sim_run (30);
  for (guint i = 0; i < 4; i++) {
    sim_node_pause (i % 3, TRUE);
    sim_run (i % 2 ? 70 : 7);
    if (i == 1)
      sim_cancel ("wk-000003");
    sim_node_pause (i % 3, FALSE);
    sim_run (12);
    sim_submit (i == 0   ? "wk-000011"
                : i == 1 ? "wk-000012"
                : i == 2 ? "wk-000013"
                         : "wk-000014",
                "team0", "normal", 20, 1, 15, 600);
  }
  finish_and_check (600);
}

static void
test_process_stall (void)
{
  with_seeds (process_stall);
}

/* Two of eight machines fail every task that they start. The job itself is healthy: it must not be
 * held back until its first attempts elsewhere end, minutes later, while the other machines have
 * room. */
static void
healthy_job_on_faulty_machines (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000002", "team0", "normal", 8, 8, 25, 600); /* gets all eight machines rented */
  sim_run (30);
  g_auto (GStrv) all = sim_machine_names (NULL);
  g_assert_cmpuint (g_strv_length (all), ==, 8);
  sim_machine_fail_tasks (all[0], TRUE);
  sim_machine_fail_tasks (all[1], TRUE);
  sim_submit ("wk-000001", "team0", "normal", 120, 1, 200, 300);
  sim_run (35);
  g_assert_cmpuint (sim_tasks_running ("wk-000001"), >=, 40);
  sim_machine_fail_tasks (all[0], FALSE);
  sim_machine_fail_tasks (all[1], FALSE);
  finish_and_check (1200);
}

static void
test_healthy_job_on_faulty_machines (void)
{
  with_seeds (healthy_job_on_faulty_machines);
}

/* With `full`, one of two machines is full for a long time; otherwise both have a little room. For
 * minutes every task of the second job fails or, with `unreachable`, the less busy machine receives
 * nothing. The fault ends right after a further attempt. Waiting tasks must then start within 90 s,
 * however long the backoff has become, which the rule checker checks. */
static void
start_after_recovery (gboolean unreachable, gboolean full)
{
  SimOptions options = default_options;
  options.max_machines = 2;
  start_cluster (&options);
  sim_submit ("wk-000002", "team0", "normal", full ? 12 : 2, full ? 1 : 5, 900, 2000);
  sim_run (40);
  sim_submit ("wk-000001", "team0", "normal", 40, 1, 30, 600);
  sim_job_fail_tasks ("wk-000001", !unreachable);
  sim_run (2);
  g_autofree char *machine = g_strdup (sim_least_busy_machine ());
  if (unreachable)
    set_links_to_machine (machine, SIM_LINK_DROP);
  sim_run (250);
  guint before = sim_tasks_started () + sim_runs_lost (NULL);
  for (guint i = 0; i < 400 && sim_tasks_started () + sim_runs_lost (NULL) == before; i++)
    sim_run (0.5);
  g_assert_cmpuint (sim_tasks_started () + sim_runs_lost (NULL), >, before);
  sim_run (3);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), !=, "done");
  sim_faults_over ();
  sim_job_fail_tasks ("wk-000001", FALSE);
  set_links_to_machine (machine, SIM_LINK_UP);
  finish_and_check (1600);
}

static void
start_after_failing_tasks (void)
{
  start_after_recovery (FALSE, FALSE);
  start_after_recovery (FALSE, TRUE);
}

static void
start_after_unreachable_machine (void)
{
  start_after_recovery (TRUE, TRUE);
}

static void
test_start_after_recovery (void)
{
  with_seeds (start_after_failing_tasks);
  with_seeds (start_after_unreachable_machine);
}

/* An owner confirms a cancellation, its kill commands do not reach one machine, and then its
 * process stalls. The next owner uses the machine for other work. When the first owner resumes, it
 * must not delete the machine as an unreachable one with a cancelled task, and it must not be ready
 * before it has caught up with the state service. */
static void
owner_resumes_after_stall (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 32, 1, 400, 900);
  sim_run (35);
  sim_submit ("wk-000002", "team0", "normal", 90, 1, 400, 2000);
  sim_run (25);
  g_autofree char *machine = g_strdup (sim_machine_of ("wk-000001"));
  sim_set_link ("n0", machine, SIM_LINK_DROP);
  sim_cancel_at ("wk-000001", 1);
  sim_run (0.5);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "cancelled");
  sim_node_pause (0, TRUE);
  sim_run (1);
  sim_set_link ("n0", machine, SIM_LINK_UP);
  sim_run (45);
  g_assert_true (sim_machine_alive (machine));
  sim_state_refuse_node (0, TRUE);
  sim_node_pause (0, FALSE);
  sim_run (4);
  g_assert_true (sim_machine_alive (machine));
  g_assert_cmpuint (sim_request (0, "GET", "/ready", NULL), ==, 503);
  sim_state_refuse_node (0, FALSE);
  sim_run (5);
  g_assert_cmpuint (sim_request (0, "GET", "/ready", NULL), ==, 200);
  finish_and_check (1600);
}

static void
test_owner_resumes_after_stall (void)
{
  with_seeds (owner_resumes_after_stall);
}

/* Many users poll one job at the same time. The polls share reads of the state service, and each
 * read starts after the polls that it answers have arrived. */
static void
test_shared_polls (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 4, 1, 500, 900);
  sim_run (30);
  guint before = sim_state_request_count ();
  for (guint i = 0; i < 300; i++)
    sim_request_async (1, "GET", "/api/jobs/wk-000001", NULL);
  sim_run (1);
  g_assert_cmpuint (sim_response_count (200), ==, 300);
  /* These requests are lease renewals, writes of machine records and two reads of the job. */
  g_assert_cmpuint (sim_state_request_count () - before, <, 30);
  sim_cancel_at ("wk-000001", 2);
  for (guint i = 0; i < 300; i++) { /* during the cancellation and after it */
    sim_request_async (1, "GET", "/api/jobs/wk-000001", NULL);
    sim_run (0.001);
  }
  sim_run (3);
  g_assert_cmpuint (sim_response_count (200) + sim_response_count (503), ==, 600);
  g_assert_cmpuint (sim_response_count (200), >, 550);
  finish_and_check (30);
}

/* Users poll hundreds of jobs many times a second. Polls beyond the limit get 429 at once, and
 * requests that change jobs do not wait behind the polls. */
static void
test_poll_overload (void)
{
  start_cluster (&default_options);
  for (guint i = 0; i < 10000; i++) {
    g_autofree char *path = g_strdup_printf ("/api/jobs/wk-%u", 100000 + i % 700);
    sim_request_async (0, "GET", path, NULL);
    if (i % 10 == 0)
      sim_run (0.01);
    if (i % 500 == 499) {
      g_autofree char *id = g_strdup_printf ("\"wk-%u\"", i);
      g_autofree char *body = job_json_with ("Id", id);
      g_autofree char *abort = g_strdup_printf ("/api/jobs/wk-%u/abort", i);
      double sent_at = sim_now ();
      g_assert_cmpuint (sim_request (0, "POST", "/api/jobs", body), ==, 201);
      g_assert_cmpuint (sim_request (0, "POST", abort, NULL), ==, 200);
      g_assert_cmpfloat (sim_now () - sent_at, <, 1);
    }
  }
  sim_run (5);
  g_assert_cmpuint (sim_response_count (404) + sim_response_count (429), ==, 10000);
  g_assert_cmpuint (sim_response_count (404), >, 300);
  g_assert_cmpuint (sim_response_count (429), >, 5000);
  g_assert_cmpstr (sim_violations (), ==, "");
  sim_stop ();
}

/* Many users poll many jobs all the time, so that each poll is answered from the shared job view,
 * while jobs are submitted, end and are cancelled, nodes restart and the state service fails. No
 * user may get an older state than in an earlier response. */
static void
polls_during_faults (void)
{
  SimOptions options = default_options;
  options.run_time_jitter = 0.8;
  start_cluster (&options);
  guint requests_before = 0, requests = 0;
  for (guint i = 0; i < 90; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0005%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit (id, team, "normal", 1 + i % 3, 1, 8, 600);
    sim_run (0.3);
  }
  sim_state_delay (0.2); /* polls overlap */
  for (guint i = 0; i < 3000; i++) {
    g_autofree char *path = g_strdup_printf ("/api/jobs/wk-0005%02u", (i * 37) % 90);
    if (i == 200)
      requests_before = sim_state_request_count ();
    sim_request_async (i % 3, "GET", path, NULL);
    if (i % 4 == 3)
      sim_run (0.03);
    if (i == 600)
      requests = sim_state_request_count () - requests_before;
    if (i % 100 == 50) {
      g_autofree char *id = g_strdup_printf ("wk-0005%02u", 20 + i / 100);
      sim_cancel (id);
    }
    if (i == 1000)
      crash_and_restart (1, 0.3);
    if (i == 1300)
      sim_delay_commits (0.3);
    if (i == 1600) {
      sim_state_outage (TRUE);
      sim_run (8);
      sim_state_outage (FALSE);
    }
    if (i == 2000)
      crash_and_restart (0, 8);
    if (i == 2400)
      sim_state_refuse_node (2, TRUE);
    if (i == 2700)
      sim_state_refuse_node (2, FALSE);
  }
  sim_delay_commits (0);
  sim_state_delay (0);
  g_assert_cmpuint (sim_response_count (200), >, 1500);
  g_test_message ("%u requests to the state service", requests);
  /* These requests serve 400 polls and everything else. Without shared reads there are at least 320
   * of them. */
  g_assert_cmpuint (requests, <, 280);
  finish_and_check (300);
}

/* The state service has executed a read that polls share, and the response is still on its way when
 * a user is told through another node that the job is cancelled. A poll that the user sends after
 * that must not be answered from the earlier read. */
static void
poll_after_cancellation (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 4, 1, 500, 900);
  sim_run (30);
  /* In the first round the node lists the jobs for its view, in the second it reads the changes. */
  for (guint k = 0; k < 2; k++) {
    for (guint i = 0; i < 12; i++) {
      g_autofree char *path = g_strdup_printf ("/api/jobs/wk-%u", 700000 + i);
      sim_request_async (1, "GET", path, NULL);
      if (k && i == 8)
        sim_set_link ("state", "n1", SIM_LINK_HOLD);
    }
    sim_run (k ? 0.15 : 1);
  }
  sim_cancel_at ("wk-000001", 2);
  sim_run (0.1);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "cancelled");
  sim_poll_at ("wk-000001", 1);
  sim_run (0.1);
  sim_set_link ("state", "n1", SIM_LINK_UP);
  sim_run (3);
  finish_and_check (30);
}

static void
test_polls_during_faults (void)
{
  poll_after_cancellation ();
  with_seeds (polls_during_faults);
}

/* The owner of a shard loses only its link to the state service while machines boot. It must not
 * use the machines that send it their first report: they must find the next owner instead of
 * staying idle with the former one. */
static void
machines_boot_at_former_owner (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 64, 1, 200, 400);
  sim_run (5);
  g_assert_cmpuint (sim_machine_count (), ==, 8);
  sim_set_link_both ("n0", "state", SIM_LINK_DROP);
  sim_run (30);
  g_assert_cmpuint (sim_tasks_running (NULL), ==, 64);
  sim_set_link_both ("n0", "state", SIM_LINK_UP);
  finish_and_check (600);
}

static void
test_machines_boot_at_former_owner (void)
{
  with_seeds (machines_boot_at_former_owner);
}

static gboolean
all_accepted (void)
{
  for (guint i = 0; i < 3; i++) {
    g_autofree char *id = g_strdup_printf ("wk-00001%u", i);
    if (!*sim_reported_state (id))
      return FALSE;
  }
  return TRUE;
}

/* A node that owns a shard, and may be the leader, loses only its link to the state service: it
 * still reaches its peers. What it knows of its former shard no longer counts, and two leaders must
 * not rent machines for the same work. */
static void
former_owner_and_leader (guint node)
{
  SimOptions options = default_options;
  options.max_machines = 60;
  start_cluster (&options);
  submit_jobs (32, 150); /* needs 4, 4 and 8 machines */
  sim_run (40);
  g_assert_cmpuint (sim_tasks_running (NULL), ==, 96);
  guint before = sim_machine_count ();
  g_assert_cmpuint (before, <=, 20);
  sim_set_link_both (node_name (node), "state", SIM_LINK_DROP);
  sim_run (20);
  g_assert_cmpuint (sim_machine_count (), <=, before);
  for (guint i = 0; i < 3; i++) {
    g_autofree char *id = g_strdup_printf ("wk-00001%u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i);
    sim_submit (id, team, "normal", 32, 1, 150, 600);
  }
  /* Submissions to the node without the state service are accepted late: the simulated users do not
   * check /ready and may choose this node again and again. */
  for (guint i = 0; i < 60 && !all_accepted (); i++)
    sim_run (1);
  sim_run (30);
  g_assert_cmpuint (sim_tasks_running (NULL), ==, 192);
  /* The new jobs need 12 more machines; a few further machines may be partly used. */
  g_assert_cmpuint (sim_machine_count (), <=, before + 12 + 4);
  sim_set_link_both (node_name (node), "state", SIM_LINK_UP);
  finish_and_check (600);
}

static void
test_former_owner_and_leader (void)
{
  for (guint i = 0; i < default_options.nodes; i++)
    former_owner_and_leader (i);
}

/* An array job of priority idle has a distant deadline, so its demand is small. Machines that
 * another team no longer needs are paid for: they must run this job before they are returned. */
static void
surplus_machines_serve_other_teams (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 64, 1, 20, 600);
  sim_submit ("wk-000002", "team1", "idle", 1000, 1, 10, 4000);
  sim_run (90);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "done");
  g_assert_cmpuint (sim_tasks_running ("wk-000002"), >=, 48);
  sim_run (150);
  g_assert_cmpstr (sim_reported_state ("wk-000002"), ==, "done");
  finish_and_check (60);
}

static void
test_surplus_machines_serve_other_teams (void)
{
  with_seeds (surplus_machines_serve_other_teams);
}

/* Three machines and six teams, two in each shard. In one shard an endless stream of urgent jobs
 * competes with normal jobs that were submitted earlier. Each of the normal jobs must start all the
 * same, the largest one too. */
static void
few_machines (void)
{
  SimOptions options = default_options;
  options.teams = 6;
  options.max_machines = 3;
  options.machine_cpus = 4;
  options.run_time_jitter = 0.5;
  start_cluster (&options);
  sim_faults_over ();
  for (guint i = 0; i < 8; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0007%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3 + 3);
    sim_submit (id, team, "normal", i < 3 ? 60 : 6, 1, 12, 200);
  }
  for (guint i = 0; i < 40; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0006%02u", i);
    sim_submit (id, "team0", "urgent", 4, 2, 12, 60);
    sim_run (7);
  }
  g_assert_cmpstr (sim_violations (), ==, "");
  for (guint i = 0; i < 8; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0007%02u", i);
    g_assert_cmpfloat (sim_time_to_first_task (id), >, 0);
    g_assert_cmpfloat (sim_time_to_first_task (id), <, 240);
  }
  finish_and_check (3000);
}

/* One machine, and urgent jobs are submitted more than twice as fast as it can run them, so that
 * all jobs wait long for their first task. A normal job must get its turn among them by its age. */
static void
oldest_job_first (void)
{
  SimOptions options = default_options;
  options.teams = 6;
  options.max_machines = 1;
  options.machine_cpus = 4;
  start_cluster (&options);
  for (guint i = 0; i < 45; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0008%02u", i);
    sim_submit (id, "team0", "urgent", 1, 4, 30, 60);
    if (i == 8)
      sim_submit ("wk-000899", "team3", "normal", 1, 4, 30, 600);
    sim_run (12);
  }
  g_assert_cmpfloat (sim_time_to_first_task ("wk-000899"), >, 0);
  g_assert_cmpfloat (sim_time_to_first_task ("wk-000899"), <, 240);
  g_assert_cmpstr (sim_violations (), ==, "");
  sim_stop ();
}

static void
test_few_machines (void)
{
  with_seeds (few_machines);
  with_seeds (oldest_job_first);
}

/* The owner of a shard restarts at once. One of its machines sends reports but receives nothing, so
 * that it cannot be fenced, and may stop reporting soon after. The shard with all its other
 * machines must not wait for this machine. */
static void
reporting_but_not_fenced (gboolean stops_reporting)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 300, 1, 15, 2000);
  sim_run (35);
  g_autofree char *machine = g_strdup (sim_busiest_machine ());
  set_links_to_machine (machine, SIM_LINK_DROP);
  crash_and_restart (0, 0.3);
  sim_run (6); /* the machine has tried all nodes by then */
  if (stops_reporting)
    set_machine_links (machine, SIM_LINK_DROP);
  sim_run (16);
  sim_submit ("wk-000002", "team0", "urgent", 8, 1, 5, 60);
  sim_run (12);
  g_assert_cmpfloat (sim_time_to_first_task ("wk-000002"), >, 0);
  set_machine_links (machine, SIM_LINK_UP);
  finish_and_check (900);
}

static void
unfenced_machine_stops_reporting (void)
{
  reporting_but_not_fenced (TRUE);
}

static void
unfenced_machine_keeps_reporting (void)
{
  reporting_but_not_fenced (FALSE);
}

static void
test_reporting_but_not_fenced (void)
{
  with_seeds (unfenced_machine_stops_reporting);
  with_seeds (unfenced_machine_keeps_reporting);
}

/* Hundreds of one-task jobs of one team: one owner has to write all their ends. With only its fixed
 * share of the few writes a second that the state service allows, this would take minutes. */
static void
test_many_one_task_jobs (void)
{
  SimOptions options = default_options;
  options.nodes = 7;
  options.max_machines = 40;
  options.write_rps = 15;
  start_cluster (&options);
  for (guint i = 0; i < 300; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0009%03u", i);
    sim_submit (id, "team0", "normal", 1, 1, 5, 300);
  }
  run_until_finished (120);
  g_assert_true (sim_all_jobs_finished ());
  finish_and_check (0);
}

/* The first machines never finish booting. Soon after the usual boot time others must be rented in
 * their place, and the first ones must be returned. */
static void
machines_never_boot (void)
{
  SimOptions options = default_options;
  options.max_machines = 40;
  start_cluster (&options);
  sim_fail_boots (TRUE);
  sim_submit ("wk-000001", "team0", "normal", 80, 1, 200, 400);
  sim_run (12);
  g_assert_cmpuint (sim_machine_count (), >=, 10);
  sim_fail_boots (FALSE);
  sim_run (38);
  g_assert_cmpuint (sim_tasks_running (NULL), ==, 80);
  sim_run (30);
  g_assert_cmpfloat (sim_longest_boot (), <, 20);
  g_assert_cmpuint (sim_machine_count (), <, 20);
  finish_and_check (600);
}

static void
test_machines_never_boot (void)
{
  with_seeds (machines_never_boot);
}

/* Array jobs of priority idle with more tasks than the done set in one stored value holds, beside
 * an urgent job. They must stay within the size limits of values and transactions, survive a crash
 * of their owner, and be gone at once when they are cancelled. */
static void
test_huge_array (void)
{
  SimOptions options = default_options;
  options.max_machines = 60;
  options.value_kb = 8;
  options.write_rps = 15;
  options.machine_poll_s = 0.25;
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "idle", 26000, 1, 1, 2000);
  sim_submit ("wk-000002", "team0", "idle", 100000, 1, 1, 2000);
  sim_run (40);
  sim_submit ("wk-000003", "team0", "urgent", 40, 1, 10, 60);
  sim_run (25);
  g_assert_cmpfloat (sim_time_to_first_task ("wk-000003"), <, 8);
  g_assert_cmpuint (sim_tasks_started (), >, 3000);
  crash_and_restart (0, 8);
  sim_run (30);
  g_assert_cmpstr (sim_reported_state ("wk-000003"), ==, "done");
  sim_cancel ("wk-000002");
  sim_run (10);
  g_assert_cmpstr (sim_reported_state ("wk-000002"), ==, "cancelled");
  g_assert_cmpuint (sim_tasks_running ("wk-000002"), ==, 0);
  sim_cancel ("wk-000001");
  finish_and_check (60);
}

/* A job fails on every machine, from the first one on, until its user cancels it; meanwhile one
 * machine is faulty. The job must be held back, other jobs must go on, and only the faulty machine
 * may be returned. */
static void
failing_job (void)
{
  SimOptions options = default_options;
  options.max_machines = 5;
  start_cluster (&options);
  /* Its deadline passes at once, so that this job would rank first. */
  sim_submit ("wk-000001", "team0", "urgent", 200, 1, 20, 1);
  sim_job_fail_tasks ("wk-000001", TRUE);
  sim_submit ("wk-000002", "team0", "normal", 200, 1, 20, 600);
  sim_submit ("wk-000003", "team0", "normal", 200, 1, 20, 600);
  sim_run (30);
  g_autofree char *faulty = g_strdup (sim_busiest_machine ());
  g_auto (GStrv) all = sim_machine_names (NULL);
  sim_machine_fail_tasks (faulty, TRUE);
  sim_run (30);
  g_assert_false (sim_machine_alive (faulty));
  for (char **m = all; *m; m++)
    g_assert_true (g_str_equal (*m, faulty) || sim_machine_alive (*m));
  sim_run (250);
  g_assert_cmpstr (sim_reported_state ("wk-000002"), ==, "done");
  g_assert_cmpstr (sim_reported_state ("wk-000003"), ==, "done");
  g_assert_cmpuint (sim_tasks_started (), <, 520);
  sim_cancel ("wk-000001");
  sim_run (10);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "cancelled");
  finish_and_check (60);
}

static void
test_failing_job (void)
{
  with_seeds (failing_job);
}

/* The kinds of faults that a round of random_faults() may inject, as bits. */
enum {
  FAULT_DELAYED_COMMITS = 1 << 0,
  FAULT_STATE_LINK = 1 << 1,
  FAULT_PEER_LINK = 1 << 2,
  FAULT_STATE_REFUSES_NODE = 1 << 3,
  FAULT_NODE_PAUSED = 1 << 4,
  FAULT_MACHINES_PAUSED = 1 << 5,
  FAULT_MACHINES_NO_REPORTS = 1 << 6,
  FAULT_MACHINES_PARTITIONED = 1 << 7,
  FAULT_MACHINES_UNREACHABLE = 1 << 8,
  FAULT_STATE_OUTAGE = 1 << 9,
  FAULT_KINDS = 10
};

static void
inject_machine_faults (const char *machine, guint faults, SimLinkState link_state)
{
  if (faults & FAULT_MACHINES_PAUSED)
    sim_machine_pause (machine, TRUE);
  if (faults & FAULT_MACHINES_NO_REPORTS)
    sim_machine_stop_reports (machine, TRUE);
  if (faults & FAULT_MACHINES_PARTITIONED)
    set_machine_links (machine, link_state);
  if (faults & FAULT_MACHINES_UNREACHABLE)
    set_links_to_machine (machine, link_state);
}

/* Injects the faults that concern nodes: into `node` or, if the state service refuses a node or a
 * node is paused, into `other_node`. */
static void
inject_node_faults (guint node, guint other_node, guint faults, SimLinkState link_state)
{
  if (faults & FAULT_DELAYED_COMMITS)
    sim_delay_commits (0.3);
  if (faults & FAULT_STATE_LINK)
    sim_set_link_both (node_name (node), "state", link_state);
  if (faults & FAULT_PEER_LINK)
    sim_set_link_both (node_name (node), node_name (other_node), link_state);
  if (faults & FAULT_STATE_REFUSES_NODE)
    sim_state_refuse_node (other_node, TRUE);
  if (faults & FAULT_NODE_PAUSED)
    sim_node_pause (other_node, TRUE);
}

static void
clear_faults (guint node, guint other_node, char **machines)
{
  sim_delay_commits (0);
  sim_set_link_both (node_name (node), "state", SIM_LINK_UP);
  sim_set_link_both (node_name (node), node_name (other_node), SIM_LINK_UP);
  sim_state_refuse_node (other_node, FALSE);
  sim_node_pause (other_node, FALSE);
  for (char **m = machines; *m; m++) {
    sim_machine_pause (*m, FALSE);
    sim_machine_stop_reports (*m, FALSE);
    set_machine_links (*m, SIM_LINK_UP);
  }
}

static void
run_fault_round (GRand *rng, guint i)
{
  guint node = (guint) g_rand_int_range (rng, 0, 3), other_node = (node + 1) % 3;
  g_auto (GStrv) all = sim_machine_names (NULL);
  guint machine_count = g_strv_length (all),
        first = machine_count ? (guint) g_rand_int_range (rng, 0, (gint) machine_count) : 0;
  SimLinkState link_state = g_rand_boolean (rng) ? SIM_LINK_HOLD : SIM_LINK_DROP;
  guint faults = 0;
  for (guint k = 0; k < 3; k++)
    faults |= 1u << g_rand_int_range (rng, 0, FAULT_KINDS);
  inject_node_faults (node, other_node, faults, link_state);
  for (guint k = first; k < machine_count && k < first + 3; k++)
    inject_machine_faults (all[k], faults, link_state);
  if (i % 4 == 0) {
    g_autofree char *id = g_strdup_printf ("wk-0004%02u", i / 4);
    sim_cancel (id);
  }
  if (faults & FAULT_STATE_OUTAGE) {
    sim_state_outage (TRUE);
    sim_run (g_rand_double_range (rng, 1, 30));
    sim_state_outage (FALSE);
  }
  sim_run (g_rand_double_range (rng, 0.5, 15));
  if (g_rand_boolean (rng))
    crash_and_restart (node, g_rand_boolean (rng) ? 0.2 : g_rand_double_range (rng, 1, 9));
  clear_faults (node, other_node, all);
  sim_run (g_rand_double_range (rng, 0, 8));
}

/* All kinds of faults above, drawn at random, up to three kinds at a time, with crashes and
 * cancellations. */
static void
random_faults (void)
{
  g_autoptr (GRand) rng = g_rand_new_with_seed (seed);
  SimOptions options = default_options;
  options.zones = 2;
  options.max_machines = 10;
  options.run_time_jitter = 0.5;
  options.duplicate_reports = 0.15;
  options.image_pull_s = 1;
  options.team_limit = 40;
  start_cluster (&options);
  submit_jobs (50, 10);
  for (guint i = 0; i < 10; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0004%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit_placed (id, team, 3 + 4 * (i % 4), 1, 20, i % 2 ? SIM_ONE_ZONE : SIM_SPREAD);
  }
  sim_run (15);
  for (guint i = 0; i < 20; i++) {
    run_fault_round (rng, i);
    g_assert_cmpstr (sim_violations (), ==, "");
  }
  finish_and_check (900);
}

static void
test_random_faults (void)
{
  with_seeds (random_faults);
}

/* A shard is taken over while a machine is paused and the cloud has an outage, so that the machine
 * can be neither fenced nor deleted. Its lease expires long before the cloud is back, and users
 * must be told the state of their jobs without waiting for the cloud. */
static void
cloud_outage_at_takeover (void)
{
  SimOptions options = default_options;
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "normal", 16, 1, 100, 600);
  sim_run (30);
  sim_cloud_outage (TRUE);
  const char *machine = sim_machine_of ("wk-000001");
  g_assert_nonnull (machine);
  sim_machine_pause (machine, TRUE);
  sim_run (1);
  crash_and_restart (0, 9); /* another node takes the shard over */
  sim_cancel ("wk-000001");
  sim_run (60); /* five times the worker's lease */
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "cancelled");
  sim_cloud_outage (FALSE);
  sim_machine_pause (machine, FALSE);
  finish_and_check (200);
}

static void
test_cloud_outage_at_takeover (void)
{
  with_seeds (cloud_outage_at_takeover);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/combined-faults/zone-partition", test_zone_partition);
  g_test_add_func ("/combined-faults/ends-under-different-owners",
                   test_ends_under_different_owners);
  g_test_add_func ("/combined-faults/late-writes", test_late_writes);
  g_test_add_func ("/combined-faults/placement-constraints", test_placement_constraints);
  g_test_add_func ("/combined-faults/ten-owner-changes", test_ten_owner_changes);
  g_test_add_func ("/combined-faults/quota-at-takeover", test_quota_at_takeover);
  g_test_add_func ("/combined-faults/unreachable-at-takeover", test_unreachable_at_takeover);
  g_test_add_func ("/combined-faults/commands-to-paused-machines",
                   test_commands_to_paused_machines);
  g_test_add_func ("/combined-faults/cancel-at-job-end", test_cancel_at_job_end);
  g_test_add_func ("/combined-faults/machines-stop-reporting", test_machines_stop_reporting);
  g_test_add_func ("/combined-faults/process-stall", test_process_stall);
  g_test_add_func ("/combined-faults/healthy-job-on-faulty-machines",
                   test_healthy_job_on_faulty_machines);
  g_test_add_func ("/combined-faults/start-after-recovery", test_start_after_recovery);
  g_test_add_func ("/combined-faults/owner-resumes-after-stall", test_owner_resumes_after_stall);
  g_test_add_func ("/combined-faults/shared-polls", test_shared_polls);
  g_test_add_func ("/combined-faults/poll-overload", test_poll_overload);
  g_test_add_func ("/combined-faults/polls-during-faults", test_polls_during_faults);
  g_test_add_func ("/combined-faults/machines-boot-at-former-owner",
                   test_machines_boot_at_former_owner);
  g_test_add_func ("/combined-faults/former-owner-and-leader", test_former_owner_and_leader);
  g_test_add_func ("/combined-faults/surplus-machines-serve-other-teams",
                   test_surplus_machines_serve_other_teams);
  g_test_add_func ("/combined-faults/few-machines", test_few_machines);
  g_test_add_func ("/combined-faults/reporting-but-not-fenced", test_reporting_but_not_fenced);
  g_test_add_func ("/combined-faults/many-one-task-jobs", test_many_one_task_jobs);
  g_test_add_func ("/combined-faults/machines-never-boot", test_machines_never_boot);
  g_test_add_func ("/combined-faults/huge-array", test_huge_array);
  g_test_add_func ("/combined-faults/failing-job", test_failing_job);
  g_test_add_func ("/combined-faults/random-faults", test_random_faults);
  g_test_add_func ("/combined-faults/cloud-outage-at-takeover", test_cloud_outage_at_takeover);
  return g_test_run ();
}
