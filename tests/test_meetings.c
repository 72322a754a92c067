/* Where two troubles meet: whole nodes in simulated time. Each test brings a meeting about and lets
 * the stand-ins watch every rule over the whole of it; docs/incidents/meetings.md lists them. */
#include "fixture.h"
#include <string.h>

static const char *
node_name (guint i)
{
  static const char *const names[] = { "n0", "n1", "n2" };
  g_assert_cmpuint (i, <, G_N_ELEMENTS (names));
  return names[i];
}

/* A node and the machines of a zone, from all the rest. */
static void
cut_zone (guint node, const char *zone, SimLinkState how)
{
  g_auto (GStrv) machines = sim_machine_names (zone);
  const char *const outside[] = { "state", "cloud", "user" };
  for (guint i = 0; i < G_N_ELEMENTS (outside); i++)
    sim_set_link_both (node_name (node), outside[i], how);
  for (guint i = 0; i < default_options.nodes; i++) {
    if (i == node)
      continue;
    sim_set_link_both (node_name (node), node_name (i), how);
    for (char **m = machines; *m; m++)
      sim_set_link_both (*m, node_name (i), how);
  }
}

static void
hang (char **machines, guint most, gboolean on)
{
  for (guint i = 0; machines[i] && i < most; i++)
    sim_machine_pause (machines[i], on);
}

/* Work goes on inside a zone that is cut off for longer than a lease; what it reports, and what its
 * node wrote, comes late or never. */
static void
zone_cut (void)
{
  SimOptions o = default_options;
  o.zones = 2;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
  submit_jobs (40, 20);
  sim_run (30);
  for (guint k = 0; k < 2; k++) {
    cut_zone (0, "z0", k ? SIM_LINK_DROP : SIM_LINK_HOLD);
    sim_run (k ? 40 : 25);
    if (k)
      crash_and_restart (1, 0.3); /* who took the part over ends meanwhile */
    cut_zone (0, "z0", SIM_LINK_UP);
    sim_run (5);
  }
  finish_and_check (400);
}

static void
test_zone_cut (void)
{
  with_seeds (zone_cut);
}

/* Jobs of two or three tasks whose ends lie far apart, across owners that come and go; some of what
 * they write is carried out seconds later, after newer writes. */
static void
ends_straddle (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.9;
  o.duplicate_reports = 0.2;
  start_cluster (&o);
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
test_ends_straddle (void)
{
  with_seeds (ends_straddle);
}

/* Writes without an answer are carried out after newer ones of the same node (accepts, progress,
 * ends, records, moves, owner keys, cancellations), while nodes are cut off and restart. */
static void
late_writes (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
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

/* Jobs bound to one zone, and jobs spread over two, lose machines: some die, some stand still, some
 * hear nothing while their owner changes, and cannot be asked by the next one. */
static void
placed_jobs (void)
{
  SimOptions o = default_options;
  o.zones = 2;
  o.max_machines = 10;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
  for (guint i = 0; i < 12; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0002%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit_placed (id, team, 4 + 3 * (i % 5), 1, 30, i % 2 ? SIM_ONE_ZONE : SIM_SPREAD);
  }
  sim_run (35);
  for (guint i = 0; i < 3; i++) {
    g_auto (GStrv) all = sim_machine_names (NULL);
    guint n = g_strv_length (all);
    if (n > 4) {
      sim_machine_kill (all[0]);
      sim_machine_pause (all[1], TRUE);
      set_links_to_machine (all[2], SIM_LINK_DROP);
      set_machine_links (all[3], SIM_LINK_HOLD);
      sim_machine_stop_reports (all[4], TRUE);
    }
    crash_and_restart (i, i % 2 ? 0.3 : 9);
    sim_run (6);
    if (n > 4) {
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
test_placed_jobs (void)
{
  with_seeds (placed_jobs);
}

/* A part changes hands ten times in two minutes, twice inside an outage of the state service. */
static void
ten_owners (void)
{
  SimOptions o = default_options;
  o.duplicate_reports = 0.2;
  start_cluster (&o);
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
test_ten_owners (void)
{
  with_seeds (ten_owners);
}

/* A team at its limit: its owner changes while some of its machines cannot be asked, and a job of
 * it is cancelled just then. */
static void
limit_at_handover (void)
{
  SimOptions o = default_options;
  o.team_limit = 24;
  o.run_time_jitter = 0.3;
  start_cluster (&o);
  sim_submit ("wk-000001", "team0", "normal", 40, 1, 40, 900);
  sim_submit ("wk-000002", "team0", "normal", 40, 1, 40, 900);
  sim_run (40);
  for (guint i = 0; i < 3; i++) {
    g_auto (GStrv) all = sim_machine_names (NULL);
    hang (all, 2, TRUE);
    if (all[0] && all[1] && all[2])
      set_links_to_machine (all[2], SIM_LINK_DROP);
    sim_node_kill (i);
    sim_run (2);
    if (i == 1)
      sim_cancel ("wk-000001");
    sim_run (7);
    sim_node_start (i);
    sim_run (3);
    hang (all, 2, FALSE);
    if (all[0] && all[1] && all[2])
      set_links_to_machine (all[2], SIM_LINK_UP);
    sim_run (12);
  }
  finish_and_check (600);
}

static void
test_limit_at_handover (void)
{
  with_seeds (limit_at_handover);
}

/* The owner ends while machines with long tasks cannot be reached, stand still, hear nothing or
 * open no connections, within their leases and beyond. */
static void
unreached_at_handover (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.3;
  start_cluster (&o);
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
test_unreached_at_handover (void)
{
  with_seeds (unreached_at_handover);
}

/* A machine stands still for seconds when it is given work or told to stop it, and goes on: a late
 * command or an old answer starts nothing twice. */
static void
held_commands (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
  submit_jobs (60, 6);
  for (guint i = 0; i < 14; i++) {
    sim_run (5);
    g_auto (GStrv) all = sim_machine_names (NULL);
    hang (all, 3, TRUE);
    if (i == 6)
      sim_cancel ("wk-000002");
    sim_run (1 + i % 7 * 2);
    hang (all, 3, FALSE);
  }
  finish_and_check (400);
}

static void
test_held_commands (void)
{
  with_seeds (held_commands);
}

/* A cancellation meets the end of the job's last task: its user hears cancelled or done, one of
 * them, from then on from every node. */
static void
cancel_at_end (void)
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
    double begun = sim_time_to_first_task (id);
    /* From before its end to after that is durable. */
    while (begun < 0 || sim_now () < 3 + begun + 4.8 + 0.02 * i) {
      sim_run (0.02);
      begun = sim_time_to_first_task (id);
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
test_cancel_at_end (void)
{
  with_seeds (cancel_at_end);
}

/* Half of the machines open no connections: their leases run out, their tasks start elsewhere once
 * that is sure, also across a change of owner, who reaches them by direct commands. */
static void
mute_machines (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.3;
  start_cluster (&o);
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
test_mute_machines (void)
{
  with_seeds (mute_machines);
}

/* A controller stands still for up to a minute and more, its clocks run on. The others take over;
 * when it goes on it neither answers nor commands from what it knew. */
static void
node_hangs (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.4;
  start_cluster (&o);
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
test_node_hangs (void)
{
  with_seeds (node_hangs);
}

/* Two machines of eight fail what they start. The job on them is sound: it must not wait for its
 * first try to end, minutes later, while the others have room. */
static void
sound_job (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000002", "team0", "normal", 8, 8, 25, 600); /* brings the machines up */
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
test_sound_job (void)
{
  with_seeds (sound_job);
}

/* One machine is full for long. On the other all that starts fails, or it hears nothing, for
 * minutes; right after a further try that is over. What waits begins within 90 s, whatever pauses
 * the failures had earned. */
static void
well_again (gboolean deaf, gboolean full)
{
  SimOptions o = default_options;
  o.max_machines = 2;
  start_cluster (&o);
  sim_submit ("wk-000002", "team0", "normal", full ? 12 : 2, full ? 1 : 5, 900, 2000);
  sim_run (40);
  sim_submit ("wk-000001", "team0", "normal", 40, 1, 30, 600);
  sim_job_fail_tasks ("wk-000001", !deaf);
  sim_run (2);
  g_autofree char *m = g_strdup (sim_least_busy_machine ());
  if (deaf)
    set_links_to_machine (m, SIM_LINK_DROP);
  sim_run (250);
  guint before = sim_tasks_started () + sim_runs_lost (NULL);
  for (guint i = 0; i < 400 && sim_tasks_started () + sim_runs_lost (NULL) == before; i++)
    sim_run (0.5);
  g_assert_cmpuint (sim_tasks_started () + sim_runs_lost (NULL), >, before);
  sim_run (3);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), !=, "done");
  sim_faults_over ();
  sim_job_fail_tasks ("wk-000001", FALSE);
  set_links_to_machine (m, SIM_LINK_UP);
  finish_and_check (1600);
}

static void
mistaken_and_well (void)
{
  well_again (FALSE, FALSE);
  well_again (FALSE, TRUE);
}

static void
deaf_and_well (void)
{
  well_again (TRUE, TRUE);
}

static void
test_well_again (void)
{
  with_seeds (mistaken_and_well);
  with_seeds (deaf_and_well);
}

/* An owner says that a job is cancelled, its kills do not reach one machine, and it stands still.
 * Its successor uses the machine for other work. Going on, it must not take that for the silent
 * holder of a cancelled task, and it is not ready before it has caught up. */
static void
wakes_up (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 32, 1, 400, 900);
  sim_run (35);
  sim_submit ("wk-000002", "team0", "normal", 90, 1, 400, 2000);
  sim_run (25);
  g_autofree char *m = g_strdup (sim_machine_of ("wk-000001"));
  sim_set_link ("n0", m, SIM_LINK_DROP);
  sim_cancel_at ("wk-000001", 1);
  sim_run (0.5);
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "cancelled");
  sim_node_pause (0, TRUE);
  sim_run (1);
  sim_set_link ("n0", m, SIM_LINK_UP);
  sim_run (45);
  g_assert_true (sim_machine_alive (m));
  sim_state_refuse_node (0, TRUE);
  sim_node_pause (0, FALSE);
  sim_run (4);
  g_assert_true (sim_machine_alive (m));
  g_assert_cmpuint (sim_request (0, "GET", "/ready", NULL), ==, 503);
  sim_state_refuse_node (0, FALSE);
  sim_run (5);
  g_assert_cmpuint (sim_request (0, "GET", "/ready", NULL), ==, 200);
  finish_and_check (1600);
}

static void
test_wakes_up (void)
{
  with_seeds (wakes_up);
}

/* Many ask about one job at the same moment: they share reads, each of which began after those had
 * come that it answers. */
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
  g_assert_cmpuint (sim_state_request_count () - before, <,
                    30); /* renewals, records and two reads */
  sim_cancel_at ("wk-000001", 2);
  for (guint i = 0; i < 300; i++) { /* while it is cancelled, and once it is over */
    sim_request_async (1, "GET", "/api/jobs/wk-000001", NULL);
    sim_run (0.001);
  }
  sim_run (3);
  g_assert_cmpuint (sim_response_count (200) + sim_response_count (503), ==, 600);
  g_assert_cmpuint (sim_response_count (200), >, 550);
  finish_and_check (30);
}

/* Users ask about hundreds of jobs many times a second. What is beyond gets 429 at once, and what
 * changes jobs does not wait behind it. */
static void
test_poll_storm (void)
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
      double asked = sim_now ();
      g_assert_cmpuint (sim_request (0, "POST", "/api/jobs", body), ==, 201);
      g_assert_cmpuint (sim_request (0, "POST", abort, NULL), ==, 200);
      g_assert_cmpfloat (sim_now () - asked, <, 1);
    }
  }
  sim_run (5);
  g_assert_cmpuint (sim_response_count (404) + sim_response_count (429), ==, 10000);
  g_assert_cmpuint (sim_response_count (404), >, 300);
  g_assert_cmpuint (sim_response_count (429), >, 5000);
  g_assert_cmpstr (sim_violations (), ==, "");
  sim_stop ();
}

/* A crowd asks about many jobs all the time, so that each poll is answered from the shared view,
 * while jobs come, end and are cancelled and nodes and the state service have troubles: no user
 * hears an older answer than before. */
static void
crowd (void)
{
  SimOptions o = default_options;
  o.run_time_jitter = 0.8;
  start_cluster (&o);
  guint requests = 0, asked = 0;
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
      requests = sim_state_request_count ();
    sim_request_async (i % 3, "GET", path, NULL);
    if (i % 4 == 3)
      sim_run (0.03);
    if (i == 600)
      asked = sim_state_request_count () - requests;
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
  g_test_message ("%u requests", asked);
  g_assert_cmpuint (asked, <, 280); /* of 400 polls and all else; 320 and more without sharing */
  finish_and_check (300);
}

/* A request that polls share was carried out, its answer is on its way, and through another node a
 * user is told that the job is cancelled. Asking then, the user must not get the answer from
 * before. */
static void
crowd_after_news (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 4, 1, 500, 900);
  sim_run (30);
  for (guint k = 0; k < 2; k++) { /* the first time the view is read, the second its changes */
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
test_crowd (void)
{
  crowd_after_news ();
  with_seeds (crowd);
}

/* The owner of a part loses the state service alone while machines are coming up: those that report
 * to it first are not its to use, and must find its successor instead of staying idle with it. */
static void
boots_at_former_owner (void)
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
test_boots_at_former_owner (void)
{
  with_seeds (boots_at_former_owner);
}

static gboolean
accepted_all (void)
{
  for (guint i = 0; i < 3; i++) {
    g_autofree char *id = g_strdup_printf ("wk-00001%u", i);
    if (!*sim_reported_state (id))
      return FALSE;
  }
  return TRUE;
}

/* A node, the owner of a part and maybe the leader, loses the state service alone: it still reaches
 * its peers. What it believes of its former part counts no more, and two leaders do not rent for
 * the same work. */
static void
former_owner_and_leader (guint node)
{
  SimOptions o = default_options;
  o.max_machines = 60;
  start_cluster (&o);
  submit_jobs (32, 150); /* 4, 4 and 8 machines */
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
  /* Submissions to the node that is cut off come late: our users do not look at /ready, and may
   * choose it again and again. */
  for (guint i = 0; i < 60 && !accepted_all (); i++)
    sim_run (1);
  sim_run (30);
  g_assert_cmpuint (sim_tasks_running (NULL), ==, 192);
  g_assert_cmpuint (sim_machine_count (), <=,
                    before + 12 + 4); /* the work, and a few in part used */
  sim_set_link_both (node_name (node), "state", SIM_LINK_UP);
  finish_and_check (600);
}

static void
test_former_owner_and_leader (void)
{
  for (guint i = 0; i < default_options.nodes; i++)
    former_owner_and_leader (i);
}

/* A guest's array is far from its goal and asks for little. Machines that another team needs no
 * more are paid for: they serve it before they go back. */
static void
paid_machines_serve_all (void)
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
test_paid_machines_serve_all (void)
{
  with_seeds (paid_machines_serve_all);
}

/* Three machines, six teams, two of them in each part. In one part a stream of urgent jobs that
 * never ends competes with normal ones that came before: those begin all the same, each of them and
 * the largest too. */
static void
few_machines (void)
{
  SimOptions o = default_options;
  o.teams = 6;
  o.max_machines = 3;
  o.machine_cpus = 4;
  o.run_time_jitter = 0.5;
  start_cluster (&o);
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

/* One machine, and urgent jobs come over twice as fast as it can serve them, so that all wait long
 * for their first task: a normal one has its turn among them by its age. */
static void
oldest_first (void)
{
  SimOptions o = default_options;
  o.teams = 6;
  o.max_machines = 1;
  o.machine_cpus = 4;
  start_cluster (&o);
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
  with_seeds (oldest_first);
}

/* A part's owner is back at once. One of its machines reports to it, but hears nothing, and maybe
 * falls silent right after: the part, with all its other machines, does not wait for that one. */
static void
heard_but_not_fenced (gboolean silent)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 300, 1, 15, 2000);
  sim_run (35);
  g_autofree char *m = g_strdup (sim_busiest_machine ());
  set_links_to_machine (m, SIM_LINK_DROP);
  crash_and_restart (0, 0.3);
  sim_run (6); /* it has tried all nodes by then */
  if (silent)
    set_machine_links (m, SIM_LINK_DROP);
  sim_run (16);
  sim_submit ("wk-000002", "team0", "urgent", 8, 1, 5, 60);
  sim_run (12);
  g_assert_cmpfloat (sim_time_to_first_task ("wk-000002"), >, 0);
  set_machine_links (m, SIM_LINK_UP);
  finish_and_check (900);
}

static void
heard_and_silent (void)
{
  heard_but_not_fenced (TRUE);
}

static void
heard_and_deaf (void)
{
  heard_but_not_fenced (FALSE);
}

static void
test_heard_but_not_fenced (void)
{
  with_seeds (heard_and_silent);
  with_seeds (heard_and_deaf);
}

/* Hundreds of one-task jobs of one team: their ends are written by one owner, whose fixed part of
 * the state service's few changes a second would take minutes for them. */
static void
test_swarm (void)
{
  SimOptions o = default_options;
  o.nodes = 7;
  o.max_machines = 40;
  o.write_rps = 15;
  start_cluster (&o);
  for (guint i = 0; i < 300; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0009%03u", i);
    sim_submit (id, "team0", "normal", 1, 1, 5, 300);
  }
  run_until_finished (120);
  g_assert_true (sim_all_jobs_finished ());
  finish_and_check (0);
}

/* The first machines never come up. Soon after the usual time others are rented in their place, and
 * they go back. */
static void
never_up (void)
{
  SimOptions o = default_options;
  o.max_machines = 40;
  start_cluster (&o);
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
test_never_up (void)
{
  with_seeds (never_up);
}

/* A guest's array of more tasks than one value's done set holds, beside an urgent job: within the
 * limits of values and transactions, across a crash, and gone at once when it is cancelled. */
static void
test_huge_array (void)
{
  SimOptions o = default_options;
  o.max_machines = 60;
  o.value_kb = 8;
  o.write_rps = 15;
  o.machine_poll_s = 0.25;
  start_cluster (&o);
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

/* A job fails wherever it runs until its user cancels it, from the first machine on, while another
 * machine is faulty. The job is held back, other work goes on, only the faulty machine goes. */
static void
mistaken_job (void)
{
  SimOptions o = default_options;
  o.max_machines = 5;
  start_cluster (&o);
  sim_submit ("wk-000001", "team0", "urgent", 200, 1, 20, 1); /* late at once: it would lead */
  sim_job_fail_tasks ("wk-000001", TRUE);
  sim_submit ("wk-000002", "team0", "normal", 200, 1, 20, 600);
  sim_submit ("wk-000003", "team0", "normal", 200, 1, 20, 600);
  sim_run (30);
  g_autofree char *sick = g_strdup (sim_busiest_machine ());
  g_auto (GStrv) all = sim_machine_names (NULL);
  sim_machine_fail_tasks (sick, TRUE);
  sim_run (30);
  g_assert_false (sim_machine_alive (sick));
  for (char **m = all; *m; m++)
    g_assert_true (g_str_equal (*m, sick) || sim_machine_alive (*m));
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
test_mistaken_job (void)
{
  with_seeds (mistaken_job);
}

/* What troubles a round of `everything` brings, as bits. */
enum {
  LATE_WRITES = 1 << 0,
  NO_STATE = 1 << 1,
  NO_PEER = 1 << 2,
  REFUSED = 1 << 3,
  NODE_HANGS = 1 << 4,
  MACHINES_HANG = 1 << 5,
  MACHINES_MUTE = 1 << 6,
  MACHINES_CUT = 1 << 7,
  MACHINES_DEAF = 1 << 8,
  OUTAGE = 1 << 9,
  TROUBLES = 10
};

static void
trouble_machine (const char *machine, guint troubles, SimLinkState how)
{
  if (troubles & MACHINES_HANG)
    sim_machine_pause (machine, TRUE);
  if (troubles & MACHINES_MUTE)
    sim_machine_stop_reports (machine, TRUE);
  if (troubles & MACHINES_CUT)
    set_machine_links (machine, how);
  if (troubles & MACHINES_DEAF)
    set_links_to_machine (machine, how);
}

/* To nodes a and b. */
static void
trouble_nodes (guint a, guint b, guint troubles, SimLinkState how)
{
  if (troubles & LATE_WRITES)
    sim_delay_commits (0.3);
  if (troubles & NO_STATE)
    sim_set_link_both (node_name (a), "state", how);
  if (troubles & NO_PEER)
    sim_set_link_both (node_name (a), node_name (b), how);
  if (troubles & REFUSED)
    sim_state_refuse_node (b, TRUE);
  if (troubles & NODE_HANGS)
    sim_node_pause (b, TRUE);
}

static void
end_troubles (guint a, guint b, char **machines)
{
  sim_delay_commits (0);
  sim_set_link_both (node_name (a), "state", SIM_LINK_UP);
  sim_set_link_both (node_name (a), node_name (b), SIM_LINK_UP);
  sim_state_refuse_node (b, FALSE);
  sim_node_pause (b, FALSE);
  for (char **m = machines; *m; m++) {
    sim_machine_pause (*m, FALSE);
    sim_machine_stop_reports (*m, FALSE);
    set_machine_links (*m, SIM_LINK_UP);
  }
}

static void
trouble_round (GRand *r, guint i)
{
  guint a = (guint) g_rand_int_range (r, 0, 3), b = (a + 1) % 3;
  g_auto (GStrv) all = sim_machine_names (NULL);
  guint n = g_strv_length (all), first = n ? (guint) g_rand_int_range (r, 0, (gint) n) : 0;
  SimLinkState how = g_rand_boolean (r) ? SIM_LINK_HOLD : SIM_LINK_DROP;
  guint troubles = 0;
  for (guint k = 0; k < 3; k++)
    troubles |= 1u << g_rand_int_range (r, 0, TROUBLES);
  trouble_nodes (a, b, troubles, how);
  for (guint k = first; k < n && k < first + 3; k++)
    trouble_machine (all[k], troubles, how);
  if (i % 4 == 0) {
    g_autofree char *id = g_strdup_printf ("wk-0004%02u", i / 4);
    sim_cancel (id);
  }
  if (troubles & OUTAGE) {
    sim_state_outage (TRUE);
    sim_run (g_rand_double_range (r, 1, 30));
    sim_state_outage (FALSE);
  }
  sim_run (g_rand_double_range (r, 0.5, 15));
  if (g_rand_boolean (r))
    crash_and_restart (a, g_rand_boolean (r) ? 0.2 : g_rand_double_range (r, 1, 9));
  end_troubles (a, b, all);
  sim_run (g_rand_double_range (r, 0, 8));
}

/* Every trouble there is, drawn at random, several at a time. */
static void
everything (void)
{
  g_autoptr (GRand) r = g_rand_new_with_seed (seed);
  SimOptions o = default_options;
  o.zones = 2;
  o.max_machines = 10;
  o.run_time_jitter = 0.5;
  o.duplicate_reports = 0.15;
  o.image_pull_s = 1;
  o.team_limit = 40;
  start_cluster (&o);
  submit_jobs (50, 10);
  for (guint i = 0; i < 10; i++) {
    g_autofree char *id = g_strdup_printf ("wk-0004%02u", i);
    g_autofree char *team = g_strdup_printf ("team%u", i % 3);
    sim_submit_placed (id, team, 3 + 4 * (i % 4), 1, 20, i % 2 ? SIM_ONE_ZONE : SIM_SPREAD);
  }
  sim_run (15);
  for (guint i = 0; i < 20; i++) {
    trouble_round (r, i);
    g_assert_cmpstr (sim_violations (), ==, "");
  }
  finish_and_check (900);
}

static void
test_everything (void)
{
  with_seeds (everything);
}

/* A part changes hands while a machine hangs and the cloud is out: the machine can neither be
 * fenced nor deleted. Its lease is over long before the cloud is back, and users must learn of
 * their jobs. */
static void
cloud_out_at_handover (void)
{
  SimOptions o = default_options;
  start_cluster (&o);
  sim_submit ("wk-000001", "team0", "normal", 16, 1, 100, 600);
  sim_run (30);
  sim_cloud_outage (TRUE);
  const char *machine = sim_machine_of ("wk-000001");
  g_assert_nonnull (machine);
  sim_machine_pause (machine, TRUE);
  sim_run (1);
  crash_and_restart (0, 9); /* another one takes the part over */
  sim_cancel ("wk-000001");
  sim_run (60); /* five times the lease */
  g_assert_cmpstr (sim_reported_state ("wk-000001"), ==, "cancelled");
  sim_cloud_outage (FALSE);
  sim_machine_pause (machine, FALSE);
  finish_and_check (200);
}

static void
test_cloud_out_at_handover (void)
{
  with_seeds (cloud_out_at_handover);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/meetings/zone-cut", test_zone_cut);
  g_test_add_func ("/meetings/ends-straddle", test_ends_straddle);
  g_test_add_func ("/meetings/late-writes", test_late_writes);
  g_test_add_func ("/meetings/placed-jobs", test_placed_jobs);
  g_test_add_func ("/meetings/ten-owners", test_ten_owners);
  g_test_add_func ("/meetings/limit-at-handover", test_limit_at_handover);
  g_test_add_func ("/meetings/unreached-at-handover", test_unreached_at_handover);
  g_test_add_func ("/meetings/held-commands", test_held_commands);
  g_test_add_func ("/meetings/cancel-at-end", test_cancel_at_end);
  g_test_add_func ("/meetings/mute-machines", test_mute_machines);
  g_test_add_func ("/meetings/node-hangs", test_node_hangs);
  g_test_add_func ("/meetings/sound-job", test_sound_job);
  g_test_add_func ("/meetings/well-again", test_well_again);
  g_test_add_func ("/meetings/wakes-up", test_wakes_up);
  g_test_add_func ("/meetings/shared-polls", test_shared_polls);
  g_test_add_func ("/meetings/poll-storm", test_poll_storm);
  g_test_add_func ("/meetings/crowd", test_crowd);
  g_test_add_func ("/meetings/boots-at-former-owner", test_boots_at_former_owner);
  g_test_add_func ("/meetings/former-owner-and-leader", test_former_owner_and_leader);
  g_test_add_func ("/meetings/paid-machines-serve-all", test_paid_machines_serve_all);
  g_test_add_func ("/meetings/few-machines", test_few_machines);
  g_test_add_func ("/meetings/heard-but-not-fenced", test_heard_but_not_fenced);
  g_test_add_func ("/meetings/swarm", test_swarm);
  g_test_add_func ("/meetings/never-up", test_never_up);
  g_test_add_func ("/meetings/huge-array", test_huge_array);
  g_test_add_func ("/meetings/mistaken-job", test_mistaken_job);
  g_test_add_func ("/meetings/everything", test_everything);
  g_test_add_func ("/meetings/cloud-out-at-handover", test_cloud_out_at_handover);
  return g_test_run ();
}
