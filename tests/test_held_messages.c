/* Start commands that are held up on their way while their jobs are cancelled, and submissions that
 * come again in another spelling. */
#include "fixture.h"

/* Time after which a fleet that had nothing to do runs the first tasks. */
#define FLEET_UP_S 25
/* Run time of a task that only a command ends before its job's time for cancelling is over. */
#define LONG_TASK_S 200

/* Jobs whose start orders are in responses that are held up for `hold_s`, cancelled meanwhile at
 * another node. With `owner_ends`, their owner ends while the orders are on their way. */
static void
hold_starts (double hold_s, gboolean owner_ends)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 30, 1, LONG_TASK_S, 600);
  sim_run (FLEET_UP_S);
  g_assert_cmpuint (sim_tasks_running (NULL), >, 0);
  g_auto (GStrv) machines = sim_machine_names (NULL);
  for (guint i = 0; machines[i]; i++)
    set_links_to_machine (machines[i], SIM_LINK_HOLD);
  sim_submit ("wk-000004", "team0", "urgent", 40, 1, LONG_TASK_S, 600);
  sim_run (1.5);
  if (owner_ends)
    crash_and_restart (0, 0.5);
  sim_cancel_at ("wk-000004", 1);
  sim_cancel_at ("wk-000001", 2);
  sim_run (hold_s);
  for (guint i = 0; machines[i]; i++)
    set_links_to_machine (machines[i], SIM_LINK_UP);
  finish_and_check (400);
}

static void
starts_held_up (void)
{
  const double holds_s[] = { 2, 5, default_options.lease_s, default_options.cancel_s - 1,
                             default_options.cancel_s + 5 };
  for (guint i = 0; i < G_N_ELEMENTS (holds_s); i++) {
    hold_starts (holds_s[i], FALSE);
    hold_starts (holds_s[i], TRUE);
  }
}

/* Guards against a task that starts by a held-up order after its job's time for cancelling. */
static void
test_starts_held_up (void)
{
  with_seeds (starts_held_up);
}

static void
starts_with_late_commands (void)
{
  start_cluster (&default_options);
  sim_delay_commands (0.5);
  sim_submit ("wk-000001", "team0", "normal", 30, 1, LONG_TASK_S, 600);
  sim_submit ("wk-000002", "team1", "normal", 20, 1, LONG_TASK_S, 600);
  sim_run (FLEET_UP_S);
  sim_cancel_at ("wk-000001", 1);
  crash_and_restart (0, 0.5);
  sim_run (5);
  sim_cancel_at ("wk-000002", 0);
  sim_run (default_options.cancel_s);
  sim_delay_commands (0);
  finish_and_check (400);
}

/* The same with direct commands that are carried out 2 to 16 s late. */
static void
test_starts_with_late_commands (void)
{
  with_seeds (starts_with_late_commands);
}

/* --- late copies of commands that were carried out -------------------------------------- */
/* Options under which messages arrive again, and controllers and machines know that they do. */
static SimOptions
options_with_copies (void)
{
  SimOptions options = default_options;
  options.duplicate_reports = 0.3;
  options.duplicate_requests = 0.2;
  options.run_time_jitter = 0.5;
  options.image_pull_s = 0.5;
  return options;
}

/* Kills a controller, brings each third machine back at once under its next session, and replays
 * old reports to the controller that is back within a second. */
static void
come_back_within_a_second (guint node)
{
  g_auto (GStrv) machines = sim_machine_names (NULL);
  sim_node_kill (node);
  for (guint i = 0; machines[i]; i++)
    if (i % 3 == 0)
      sim_machine_begin_session (machines[i]);
  sim_run (0.4);
  sim_node_start (node);
  sim_run (0.4);
  sim_replay_old_reports ();
}

static void
copies_of_starts (void)
{
  const SimOptions options = options_with_copies ();
  start_cluster (&options);
  sim_repeat_commands (1);
  /* Two short jobs whose attempts are cleared soon, one whose tasks are stopped for the urgent one
   * and start elsewhere, and two that are cancelled. */
  sim_submit ("wk-000001", "team0", "normal", 40, 1, 2, 600);
  sim_submit ("wk-000002", "team1", "idle", 30, 1, LONG_TASK_S / 4.0, 600);
  sim_submit ("wk-000003", "team2", "normal", 30, 1, 3, 600);
  sim_submit ("wk-000004", "team0", "normal", 20, 1, LONG_TASK_S, 600);
  sim_run (FLEET_UP_S);
  for (guint node = 0; node < options.nodes; node++) {
    come_back_within_a_second (node);
    g_autofree char *urgent = g_strdup_printf ("wk-00001%u", node);
    sim_submit (urgent, "team1", "urgent", 20, 2, 3, 600);
    sim_run (10);
    if (node == 0)
      sim_cancel_at ("wk-000004", 1);
  }
  sim_cancel_at ("wk-000002", 2);
  sim_run (options.cancel_s);
  g_assert_cmpuint (sim_commands_repeated (), >, 0);
  finish_and_check (600);
}

/* Guards against a task that runs twice, or again after its cancellation, by a late copy of its
 * start order, which was carried out and answered before: the task has ended, moved or been
 * cancelled meanwhile, and a controller or machine is back within a second. */
static void
test_copies_of_starts (void)
{
  with_seeds (copies_of_starts);
}

/* --- submissions again ------------------------------------------------------------------ */
/* The job of the id in another order and spelling, without the fields that may be missing. */
static char *
spelled_otherwise (const char *id)
{
  return g_strdup_printf (
      " {\t\"x_labels\":{\"größe\":\"✓\",\"n\":18446744073709551615,\"deep\":[[[[]]]]},"
      "\"TideS\":6E+2,\"StowS\":0,\"SailS\":0.2e1,\"MooringS\":-0,\"\\u0049d\":\"wk\\u002d%s\",\r\n"
      "\"Crew\":\"te\\u0061m0\",\"Lane\":\"x\",\"Lane\":\"l\",\"Form\":\"array\",\"Rank\":"
      "\"normal\","
      "\"Shifts\":2.0E+1,\"Cores\":1,\"Accelerators\":0,\"MemGb\":1e0,\"Cargo\":\"img\",\"PullGb\":"
      "5e-1,\"OneZone\":false,\"Apart\":false,\"Driftwood\":true,\"x\":1e999,\"y\":\"\\ud800\"}\n",
      id);
}

static void
submit_everywhere (const char *body, guint status)
{
  for (guint node = 0; node < default_options.nodes; node++)
    g_assert_cmpuint (sim_request (node, "POST", "/api/jobs", body), ==, status);
}

static void
submit_again (void)
{
  g_autofree char *body = spelled_otherwise ("000001"), *other = spelled_otherwise ("000009");
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", 20, 1, 5, 600);
  while (!sim_state_has ("job/wk-000001"))
    sim_run (0.1);
  submit_everywhere (body, 200);
  run_until_finished (200);
  guint started = sim_tasks_started ();
  crash_and_restart_all (default_options.nodes, 1);
  sim_run (20);
  submit_everywhere (body, 200);
  sim_run (30);
  g_assert_false (sim_state_has ("job/wk-000001"));
  g_assert_cmpuint (sim_tasks_started (), ==, started);
  finish_and_check (60);
  start_cluster (&default_options);
  g_assert_cmpuint (sim_request (1, "POST", "/api/jobs", other), ==, 201);
  g_assert_true (sim_state_has ("job/wk-000009"));
  sim_stop ();
}

/* Guards against a repeated submission in another spelling that becomes a second job or is refused.
 */
static void
test_submitted_again_in_another_spelling (void)
{
  with_seeds (submit_again);
}

/* A string of that many characters, as a JSON value. */
static char *
long_string (gsize length)
{
  g_autofree char *text = g_strnfill (length, 'i');
  return g_strdup_printf ("\"%s\"", text);
}

static guint
submit_with (const char *field, const char *value)
{
  g_autofree char *body = job_json_with (field, value);
  return sim_request (1, "POST", "/api/jobs", body);
}

/* Guards against a sound job that is refused for a limit that only the program has. */
static void
test_long_texts_are_accepted (void)
{
  const gsize stored_bytes = (gsize) (default_options.value_kb * 1024);
  g_autofree char *id_digits = g_strnfill (185, '7');
  g_autofree char *id = g_strdup_printf ("\"wk-%s\"", id_digits);
  g_autofree char *image = long_string (stored_bytes - 1024),
                  *too_long = long_string (stored_bytes);
  g_autoptr (GString) types = g_string_new ("[\"t8\"");
  for (guint i = 0; i < 1000; i++)
    g_string_append_printf (types, ",\"type-%u\"", i);
  g_string_append_c (types, ']');
  start_cluster (&default_options);
  g_assert_cmpuint (submit_with ("Cargo", image), ==, 201);
  g_assert_cmpuint (submit_with ("Id", id), ==, 201);
  sim_state_remove ("job/wk-7");
  g_assert_cmpuint (submit_with ("Hulls", types->str), ==, 201);
  sim_state_remove ("job/wk-7");
  g_assert_cmpuint (submit_with ("Lane", "\"größe\\u0000\""), ==, 201);
  sim_state_remove ("job/wk-7");
  g_assert_cmpuint (submit_with ("Cargo", too_long), ==, 422);
  g_assert_cmpstr (sim_violations (), ==, "");
  sim_stop ();
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/held-messages/starts-held-up", test_starts_held_up);
  g_test_add_func ("/held-messages/starts-with-late-commands", test_starts_with_late_commands);
  g_test_add_func ("/held-messages/copies-of-starts", test_copies_of_starts);
  g_test_add_func ("/submissions/again-in-another-spelling",
                   test_submitted_again_in_another_spelling);
  g_test_add_func ("/submissions/long-texts-are-accepted", test_long_texts_are_accepted);
  return g_test_run ();
}
