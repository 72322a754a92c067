/* Randomized faults on real processes: controllers on loopback, stand-ins of everything else, a
 * schedule of troubles drawn from a seed. What workers ran and users were told decides. */
#include "backend.h"
#include "constants.h"
#include <stdio.h>
#include <string.h>

#define CALM_S 30.0      /* at the end of a run, without new troubles or work */
#define QUIET_S 6.0      /* at its begin */
#define WORK_OFF_S 100.0 /* in which all work must be over after that */
#define JOB_EVERY_S 0.3  /* between submissions */
#define FAULT_EVERY_S 3.5
#define LEAST_STARTS_S 0.5 /* starts a second of the run: with fewer it says nothing */
#define FIRST_NET 20       /* of 127.<net>.0.0/16 */
#define LAST_NET 250
#define CANCELLED_AT_ONCE 8 /* jobs */
#define SILENT_LEASES 1.6   /* that machines are silent, at least */
#define FLAP_OUT_S 1.2
#define FLAP_EVERY_S 2.5
#define LEAST_FLAPS_S 9.0 /* longer than a node's lease */
#define LONG_STOP_MORE_S 2.0

typedef struct {
  guint kind; /* place in `kinds` */
  double at_s, for_s, share;
  guint node;
  SimLinkState how;
  char **machines; /* that it has hit */
  guint left;      /* leaders still to be killed */
  gboolean on;
} Fault;

static struct {
  gint seed, seconds, workers, nodes, runs, jobs, net, kinds;
  char *program;
} options = { 1, 90, 60, 3, 1, 4, -1, 0, NULL };

static GRand *schedule_random, *user_random;
static guint submitted;

static char *
job_id (guint number)
{
  return g_strdup_printf ("wk-%06u", number);
}

/* --- faults: each begins or ends ------------------------------------------------------- */
static SimLinkState
cut_of (const Fault *fault, gboolean on)
{
  return on ? fault->how : SIM_LINK_UP;
}

static void
cut_node (guint node, const char *other, SimLinkState how)
{
  g_autofree char *name = g_strdup_printf ("n%u", node);
  sim_set_link_both (name, other, how);
}

static gboolean
start_node (gpointer data)
{
  guint node = GPOINTER_TO_UINT (data);
  if (!sim_node_alive (node))
    sim_node_start (node);
  return G_SOURCE_REMOVE;
}

static void
kill_for (guint node, double seconds)
{
  sim_node_kill (node);
  schedule_after (seconds, start_node, GUINT_TO_POINTER (node));
}

static void
kill_node (Fault *fault, gboolean on)
{
  if (on)
    kill_for (fault->node, fault->for_s);
}

static void
kill_all (Fault *fault, gboolean on)
{
  for (guint i = 0; on && i < fakes.options.nodes; i++)
    kill_for (i, fault->for_s + 0.2 * i);
}

static gboolean
kill_leader (gpointer data)
{
  Fault *fault = data;
  int leader = backend_leader ();
  if (leader >= 0 && sim_node_alive ((guint) leader))
    kill_for ((guint) leader, fault->for_s / 4);
  if (--fault->left)
    schedule_after (fault->for_s / 3, kill_leader, fault);
  return G_SOURCE_REMOVE;
}

/* One after the other. */
static void
kill_leaders (Fault *fault, gboolean on)
{
  fault->left = 4;
  if (on)
    kill_leader (fault);
}

static void
stop_node (Fault *fault, gboolean on)
{
  sim_node_pause (fault->node, on);
}

/* For longer than connections stay unused. */
static void
stop_for_long (Fault *fault, gboolean on)
{
  fault->for_s = MAX (fault->for_s, KR_CONN_IDLE_S + LONG_STOP_MORE_S);
  stop_node (fault, on);
}

static gboolean
state_is_back (gpointer data)
{
  sim_state_outage (FALSE);
  return G_SOURCE_REMOVE;
}

/* An owner stands still while the state service is out again and again, which keeps its lease. */
static gboolean
state_goes (gpointer data)
{
  Fault *fault = data;
  if (!fault->on)
    return G_SOURCE_REMOVE;
  sim_state_outage (TRUE);
  schedule_after (FLAP_OUT_S, state_is_back, NULL);
  schedule_after (FLAP_EVERY_S, state_goes, fault);
  return G_SOURCE_REMOVE;
}

static void
stop_beside_flaps (Fault *fault, gboolean on)
{
  fault->on = on;
  sim_node_pause (fault->node, on);
  if (!on)
    return;
  fault->for_s = MAX (fault->for_s, LEAST_FLAPS_S);
  state_goes (fault);
}

static void
state_refuses (Fault *fault, gboolean on)
{
  sim_state_refuse_node (fault->node, on);
}

static void
state_cut (Fault *fault, gboolean on)
{
  cut_node (fault->node, "state", cut_of (fault, on));
}

static void
state_out (Fault *fault, gboolean on)
{
  sim_state_outage (on);
}

static void
state_slow (Fault *fault, gboolean on)
{
  sim_state_delay (on ? 0.6 : 0);
}

static void
late_writes (Fault *fault, gboolean on)
{
  sim_delay_commits (on ? 0.3 : 0);
}

static void
lost_answers (Fault *fault, gboolean on)
{
  if (on)
    sim_drop_commit_responses (4);
}

/* Writes of the parts' records are carried out much later. */
static void
held_record (Fault *fault, gboolean on)
{
  sim_hold_commits ("c/berths/", on ? 2 : 0, fault->for_s);
}

static void
peers_cut (Fault *fault, gboolean on)
{
  for (guint i = 0; i < fakes.options.nodes; i++) {
    g_autofree char *peer = g_strdup_printf ("n%u", i);
    if (i != fault->node)
      cut_node (fault->node, peer, cut_of (fault, on));
  }
}

static void
cloud_out (Fault *fault, gboolean on)
{
  sim_cloud_outage (on);
}

static void
late_commands (Fault *fault, gboolean on)
{
  sim_delay_commands (on ? 0.5 : 0);
}

static void
old_reports (Fault *fault, gboolean on)
{
  if (on)
    sim_replay_old_reports ();
}

static void
each_machine (const Fault *fault, void (*what) (const char *id, gboolean on), gboolean on)
{
  for (char **m = fault->machines; *m; m++)
    if (sim_machine_alive (*m))
      what (*m, on);
}

static void
delay_report (const char *id, gboolean on)
{
  if (on)
    sim_delay_next_report (id, g_rand_double_range (schedule_random, 0.2, 3));
}

static void
late_reports (Fault *fault, gboolean on)
{
  each_machine (fault, delay_report, on);
}

static void
hang (Fault *fault, gboolean on)
{
  each_machine (fault, sim_machine_pause, on);
}

static void
mute (Fault *fault, gboolean on)
{
  each_machine (fault, sim_machine_stop_reports, on);
}

static gboolean
cancel_job (gpointer data)
{
  g_autofree char *id = job_id (GPOINTER_TO_UINT (data));
  sim_cancel_at (id, (guint) g_rand_int_range (user_random, 0, (gint32) fakes.options.nodes));
  return G_SOURCE_REMOVE;
}

static gboolean
ask_about (gpointer data)
{
  g_autofree char *id = job_id (GPOINTER_TO_UINT (data));
  for (guint i = 0; i < fakes.options.nodes; i++)
    sim_poll_at (id, i);
  return G_SOURCE_REMOVE;
}

static gboolean
cancel_and_mute (gpointer data)
{
  Fault *fault = data;
  for (guint i = 0; i < CANCELLED_AT_ONCE && i < submitted; i++) {
    g_autofree char *id = job_id (submitted - i);
    sim_cancel_at (id, fault->node);
  }
  each_machine (fault, sim_machine_stop_reports, TRUE);
  return G_SOURCE_REMOVE;
}

/* Their last reports are on the way while commands reach them; then they fall silent for longer
 * than a lease. */
static void
silent_after_cancel (Fault *fault, gboolean on)
{
  if (!on) {
    each_machine (fault, sim_machine_stop_reports, FALSE);
    return;
  }
  fault->for_s = MAX (fault->for_s, SILENT_LEASES * fakes.options.lease_s);
  late_reports (fault, TRUE);
  schedule_after (fakes.options.report_s, cancel_and_mute, fault);
}

/* An owner ends while machines hang and the cloud deletes none of them, for longer than a lease;
 * jobs are cancelled meanwhile, and users ask at all nodes. */
static void
takeover_without_cloud (Fault *fault, gboolean on)
{
  sim_cloud_outage (on);
  each_machine (fault, sim_machine_pause, on);
  if (!on)
    return;
  fault->for_s = MAX (fault->for_s, SILENT_LEASES * fakes.options.lease_s);
  kill_for (fault->node, fault->for_s * g_rand_double_range (schedule_random, 0.02, 0.6));
  for (guint i = 0; i < CANCELLED_AT_ONCE && i < submitted; i++) {
    schedule_after (g_rand_double_range (schedule_random, 0, fault->for_s / 2), cancel_job,
                    GUINT_TO_POINTER (submitted - i));
    schedule_after (g_rand_double_range (schedule_random, 0, fault->for_s), ask_about,
                    GUINT_TO_POINTER (submitted - i));
  }
}

static void
watches_slow (Fault *fault, gboolean on)
{
  sim_watch_delay (on ? 3 : 0);
}

static void
set_links_to_machine (const char *id, gboolean on)
{
  SimLinkState how = on ? SIM_LINK_DROP : SIM_LINK_UP;
  for (guint i = 0; i < fakes.options.nodes; i++) {
    g_autofree char *node = g_strdup_printf ("n%u", i);
    sim_set_link (node, id, how);
  }
  sim_set_link ("nodes", id, how);
}

static void
deaf (Fault *fault, gboolean on)
{
  each_machine (fault, set_links_to_machine, on);
}

static void
set_worker_links (Fault *fault, gboolean on)
{
  for (char **m = fault->machines; *m; m++)
    cut_node (fault->node, *m, cut_of (fault, on));
}

static void
die (const char *id, gboolean on)
{
  if (on)
    sim_machine_kill (id);
}

static void
machines_die (Fault *fault, gboolean on)
{
  each_machine (fault, die, on);
}

static const struct {
  const char *name;
  void (*set) (Fault *fault, gboolean on);
} kinds[] = {
  { "kill", kill_node },
  { "kill-all", kill_all },
  { "kill-leaders", kill_leaders },
  { "stop", stop_node },
  { "state-refuses", state_refuses },
  { "state-cut", state_cut },
  { "state-out", state_out },
  { "state-slow", state_slow },
  { "late-writes", late_writes },
  { "lost-answers", lost_answers },
  { "held-record", held_record },
  { "peers-cut", peers_cut },
  { "cloud-out", cloud_out },
  { "late-commands", late_commands },
  { "old-reports", old_reports },
  { "late-reports", late_reports },
  { "hang", hang },
  { "mute", mute },
  { "silent-after-cancel", silent_after_cancel },
  { "takeover-without-cloud", takeover_without_cloud },
  { "watches-slow", watches_slow },
  { "deaf", deaf },
  { "cut-workers", set_worker_links },
  { "die", machines_die },
  { "stop-beside-flaps", stop_beside_flaps },
  { "stop-for-long", stop_for_long },
};

/* --- the schedule ------------------------------------------------------------------------ */
static char **
some_machines (double share)
{
  g_auto (GStrv) all = sim_machine_names (NULL);
  GPtrArray *some = g_ptr_array_new ();
  for (char **m = all; *m; m++)
    if (g_rand_double (schedule_random) < share)
      g_ptr_array_add (some, g_strdup (*m));
  g_ptr_array_add (some, NULL);
  return (char **) g_ptr_array_free (some, FALSE);
}

static gboolean
end_fault (gpointer data)
{
  Fault *fault = data;
  kinds[fault->kind].set (fault, FALSE);
  if (fakes.faults_over_at)
    sim_faults_over (); /* it was the last one */
  return G_SOURCE_REMOVE;
}

static gboolean
begin_fault (gpointer data)
{
  Fault *fault = data;
  fault->machines = some_machines (fault->share);
  kinds[fault->kind].set (fault, TRUE);
  schedule_after (fault->for_s, end_fault, fault);
  return G_SOURCE_REMOVE;
}

static void
print_schedule (const GPtrArray *faults)
{
  for (guint i = 0; i < faults->len; i++) {
    const Fault *fault = faults->pdata[i];
    printf ("  at %6.2f s for %5.2f s: %s (n%u, share %.2f, %s)\n", fault->at_s, fault->for_s,
            kinds[fault->kind].name, fault->node, fault->share,
            fault->how == SIM_LINK_HOLD ? "hold" : "drop");
  }
}

/* Two or three overlap: one begins every few seconds and lasts up to three times as long. */
static GPtrArray *
draw_schedule (double until_s)
{
  GPtrArray *faults = g_ptr_array_new ();
  double at_s = QUIET_S;
  while (at_s < until_s) {
    Fault *fault = g_new0 (Fault, 1);
    fault->kind = (guint) g_rand_int_range (schedule_random, 0, options.kinds);
    fault->at_s = at_s;
    fault->for_s = g_rand_double_range (schedule_random, 0.3, 3 * FAULT_EVERY_S);
    fault->share = g_rand_double_range (schedule_random, 0.05, 0.4);
    fault->node = (guint) g_rand_int_range (schedule_random, 0, (gint32) fakes.options.nodes);
    fault->how = g_rand_boolean (schedule_random) ? SIM_LINK_HOLD : SIM_LINK_DROP;
    g_ptr_array_add (faults, fault);
    schedule_after (at_s, begin_fault, fault);
    at_s += g_rand_double_range (schedule_random, 0.2, 2 * FAULT_EVERY_S);
  }
  return faults;
}

/* --- users --------------------------------------------------------------------------- */
/* Users of all teams: jobs of a few tasks, a third of which is cancelled at some moment; questions
 * at all nodes at once, now and then. */
static gboolean
submit_job (gpointer data)
{
  static const char *const ranks[] = { "normal", "normal", "urgent", "critical" };
  guint number = ++submitted;
  g_autofree char *id = job_id (number);
  g_autofree char *team = g_strdup_printf ("team%u", number % fakes.options.nodes);
  /* Larger jobs where there are more machines: the users ask no more often for that. */
  guint tasks = (guint) g_rand_int_range (user_random, 1, MAX (2, options.workers / 6));
  double run_s = g_rand_double_range (user_random, 1, 18);
  sim_submit (id, team, ranks[g_rand_int_range (user_random, 0, G_N_ELEMENTS (ranks))], tasks,
              g_rand_int_range (user_random, 1, 4), run_s, 120);
  if (g_rand_double (user_random) < 0.35)
    schedule_after (g_rand_double_range (user_random, 0, 12), cancel_job,
                    GUINT_TO_POINTER (number));
  schedule_after (g_rand_double_range (user_random, 0, 12), ask_about, GUINT_TO_POINTER (number));
  if (sim_now () < options.seconds - CALM_S)
    schedule_after (JOB_EVERY_S * g_rand_double_range (user_random, 0.5, 1.5), submit_job, NULL);
  return G_SOURCE_REMOVE;
}

/* --- one run ------------------------------------------------------------------------- */
/* Machines report often or seldom, as the seed says. */
static SimOptions
deployment (void)
{
  double report_s = options.seed % 2 ? 4 : 1.5;
  return (SimOptions){ .nodes = (guint) options.nodes,
                       .machine_cpus = 8,
                       .report_s = report_s,
                       .lease_s = 4 + 2 * report_s,
                       .cancel_s = 14 + 4 * report_s,
                       .spot_price = 0.2,
                       .max_machines = (guint) options.workers,
                       .value_kb = 16,
                       .write_rps = 150,
                       .duplicate_reports = 0.03,
                       .run_time_jitter = 0.3,
                       .image_pull_s = 0.1,
                       .boot_min_s = 0.5,
                       .boot_max_s = 3,
                       .team_limit = options.workers * 8 / 2.0,
                       .poll_after_change = TRUE };
}

static void
wait_for_work (void)
{
  while ((!sim_all_jobs_finished () || !sim_liveness_checked ()) &&
         sim_now () < fakes.faults_over_at / 1e6 + WORK_OFF_S)
    sim_run (1);
  if (!sim_all_jobs_finished ())
    record_violation ("work is left %.0f s after the last trouble", WORK_OFF_S);
  if (!sim_liveness_checked ())
    record_violation ("not every controller was asked whether it is ready");
}

static int
run_one (void)
{
  g_autofree char *dir = g_dir_make_tmp ("soak-XXXXXX", NULL);
  SimOptions o = deployment ();
  schedule_random = g_rand_new_with_seed ((guint32) options.seed);
  user_random = g_rand_new_with_seed ((guint32) options.seed + 1000000);
  backend_start ((guint) options.net, options.program, dir, (guint32) options.seed, &o);
  GPtrArray *faults = draw_schedule (options.seconds - CALM_S);
  schedule_after (QUIET_S / 2, submit_job, NULL);
  sim_run (options.seconds - CALM_S / 2); /* the last troubles are over, or nearly so, by then */
  sim_faults_over ();
  wait_for_work ();
  backend_check_logs ();
  backend_stop ();
  if (sim_tasks_started () < LEAST_STARTS_S * options.seconds)
    record_violation ("only %u tasks were started", sim_tasks_started ());
  gboolean ok = *sim_violations () == 0;
  printf ("seed %d: %s, %u jobs, %u tasks started, %u machines rented, %.0f s, logs in %s\n",
          options.seed, ok ? "passed" : "FAILED", submitted, sim_tasks_started (),
          fakes.next_machine, sim_now (), dir);
  if (!ok) {
    printf ("%s", sim_violations ());
    print_schedule (faults);
  }
  return ok ? 0 : 1;
}

/* --- many runs ----------------------------------------------------------------------- */
typedef struct {
  gint next, failed, passed, running;
  GMainLoop *loop;
  const char *self;
} Runs;

typedef struct {
  Runs *runs;
  gint net;
} Slot;

static void next_run (Slot *slot);

static void
run_ended (GObject *source, GAsyncResult *result, gpointer data)
{
  Slot *slot = data;
  GSubprocess *process = G_SUBPROCESS (source);
  g_autofree char *output = NULL;
  g_subprocess_communicate_utf8_finish (process, result, &output, NULL, NULL);
  gboolean ok = g_subprocess_get_if_exited (process) && g_subprocess_get_exit_status (process) == 0;
  printf ("%s", output && *output ? output : "a run ended without a word\n");
  fflush (stdout);
  slot->runs->passed += ok;
  slot->runs->failed += !ok;
  slot->runs->running--;
  g_object_unref (process);
  next_run (slot);
}

static void
next_run (Slot *slot)
{
  Runs *runs = slot->runs;
  if (runs->next >= options.seed + options.runs) {
    if (!runs->running)
      g_main_loop_quit (runs->loop);
    return;
  }
  g_autofree char *seed = g_strdup_printf ("%d", runs->next++);
  g_autofree char *net = g_strdup_printf ("%d", slot->net);
  g_autofree char *seconds = g_strdup_printf ("%d", options.seconds);
  g_autofree char *workers = g_strdup_printf ("%d", options.workers);
  g_autofree char *nodes = g_strdup_printf ("%d", options.nodes);
  g_autofree char *some_kinds = g_strdup_printf ("%d", options.kinds);
  g_autoptr (GError) error = NULL;
  GSubprocess *process = g_subprocess_new (
      G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE, &error, runs->self,
      "--seed", seed, "--net", net, "--seconds", seconds, "--workers", workers, "--nodes", nodes,
      "--kinds", some_kinds, "--program", options.program, NULL);
  if (!process)
    g_error ("%s", error->message);
  runs->running++;
  g_subprocess_communicate_utf8_async (process, NULL, NULL, run_ended, slot);
}

static int
run_many (const char *self)
{
  Runs runs = { .next = options.seed, .loop = g_main_loop_new (NULL, FALSE), .self = self };
  g_autofree Slot *slots = g_new (Slot, options.jobs);
  gint most = MIN (options.jobs, options.runs), net = FIRST_NET;
  for (gint i = 0; i < most; i++) {
    while (!backend_net_is_free ((guint) net) && net < LAST_NET)
      net++;
    slots[i] = (Slot){ &runs, net++ };
    next_run (&slots[i]);
  }
  g_main_loop_run (runs.loop);
  printf ("%d passed, %d failed\n", runs.passed, runs.failed);
  return runs.failed ? 1 : 0;
}

int
main (int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "Of the schedule, the first run's", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds, "That a run lasts, 60 at least", "S" },
    { "workers", 0, 0, G_OPTION_ARG_INT, &options.workers, "Machines at most", "W" },
    { "nodes", 0, 0, G_OPTION_ARG_INT, &options.nodes, "Controllers", "N" },
    { "runs", 0, 0, G_OPTION_ARG_INT, &options.runs, "Runs, each with the next seed", "N" },
    { "jobs", 0, 0, G_OPTION_ARG_INT, &options.jobs, "Runs side by side", "N" },
    { "kinds", 0, 0, G_OPTION_ARG_INT, &options.kinds,
      "The first N kinds of faults only: as a seed's schedule was before the later ones", "N" },
    { "net", 0, 0, G_OPTION_ARG_INT, &options.net, "One run, on 127.NET.0.0/16", "NET" },
    { "program", 0, 0, G_OPTION_ARG_FILENAME, &options.program, "keelrouter", "FILE" },
    { NULL }
  };
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context = g_option_context_new ("- random faults on real processes");
  options.kinds = G_N_ELEMENTS (kinds);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || !options.program ||
      options.seconds < 60 || options.workers < 1 || options.nodes < 1 ||
      options.nodes > SIM_MAX_NODES || options.kinds < 1 ||
      options.kinds > (gint) G_N_ELEMENTS (kinds) || options.jobs < 1 || options.runs < 1) {
    fprintf (stderr, "soak: %s\n", error ? error->message : "see --help; --program is required");
    return 2;
  }
  return options.net < 0 ? run_many (argv[0]) : run_one ();
}
