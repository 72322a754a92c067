/* Decides which tasks start where in a shard: the task allocation of the paper cited in estimate.h,
 * gang scheduling, preemption, and the demand reported to the leader. */
#include "shard-private.h"
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "log.h"
#include "placement.h"
#include "ranking.h"
#include "shard-summary.h"
#include <math.h>

/* Tolerance for rounding errors in numbers of slots. */
#define SLOT_TOLERANCE 1e-6

/* --- scheduling ---------------------------------------------------------------------- */
/* Returns the wall-clock time, in seconds, by which the job should have finished. */
static double
finish_goal_at (KrShard *shard, const KrJob *job)
{
  return job->submitted_at +
         (isnan (job->spec->deadline_s)
              ? kr_settings_finish_goal_s (shard->node->settings, job->spec->job_class)
              : job->spec->deadline_s);
}

/* Returns the seconds that pulling the job's image takes on `machine`, or on the slowest machine
 * type if it is NULL. */
static double
image_pull_s (KrShard *shard, const KrMachine *machine, const KrJob *job)
{
  const KrMachineType *type =
      machine && machine->type ? kr_node_machine_type (shard->node, machine->type) : NULL;
  double rate = type ? type->image_pull_gb_per_s : G_MAXDOUBLE;
  for (guint i = 0; !type && shard->node->machine_types && i < shard->node->machine_types->len; i++)
    rate =
        MIN (rate, ((KrMachineType *) shard->node->machine_types->pdata[i])->image_pull_gb_per_s);
  return rate > 0 ? job->spec->image_gb / rate : 0;
}

/* Ends the backoff of a job once one of its attempts has run clearly longer than any that failed.
 * Otherwise a sound job that met two faulty machines would be held back until its next attempt
 * ends, maybe minutes later. */
static void
check_recovery (KrLiveJob *live_job, gint64 now)
{
  KrJob *job = live_job->job;
  for (guint i = 0; kr_job_is_suspect (job) && i < live_job->attempts->len; i++)
    if (kr_attempt_run_time_s (live_job->attempts->pdata[i], now) >
        KR_RECOVERED_RUN_FACTOR * job->longest_failed_run_s + KR_RECOVERED_RUN_S)
      kr_job_clear_failures (job);
}

/* Whether the job was submitted more than `seconds` ago and has no active or completed task. */
static gboolean
unstarted_for (const KrLiveJob *live_job, double seconds)
{
  const KrJob *job = live_job->job;
  return live_job->estimate_input.now - job->submitted_at > seconds && job->n_done == 0 &&
         job->n_active == 0;
}

/* Decides whether a job has waited long enough to preempt other tasks, which it may do at once if
 * its class's start goal leaves no time to wait. */
static void
update_preemption_state (KrShard *shard, KrLiveJob *live_job, KrPriority lowest, gint64 now)
{
  const KrJob *job = live_job->job;
  double waited = live_job->estimate_input.now - job->submitted_at;
  double goal = kr_settings_start_goal_s (shard->node->settings, job->spec->job_class);
  /* The time left to wait, given that a report and an image pull must still follow. */
  live_job->preempt_all_after_s =
      MIN (goal / 2, goal - shard->node->settings->report_interval_s -
                         image_pull_s (shard, NULL, job) - KR_SAVE_GRACE_S);
  live_job->may_preempt = job->spec->priority > lowest && !job->cancelled && live_job->team &&
                          now >= job->backoff_until &&
                          waited >= MIN (live_job->preempt_all_after_s, KR_PREEMPT_WAIT_S);
  live_job->starved = unstarted_for (live_job, KR_STARVATION_S);
}

/* --- live jobs ----------------------------------------------------------------------- */
KrLiveJob *
kr_live_job_new (KrShard *shard, KrJob *job)
{
  KrLiveJob *live_job = g_new0 (KrLiveJob, 1);
  const GPtrArray *teams = shard->node->settings->teams;
  live_job->shard = shard;
  live_job->job = job;
  live_job->attempts = g_ptr_array_new ();
  live_job->team = kr_settings_team (shard->node->settings, job->spec->team);
  for (guint i = 0; i < teams->len; i++)
    if (teams->pdata[i] == live_job->team)
      live_job->used = &shard->team_usage[i];
  g_ptr_array_add (shard->live_jobs, live_job);
  shard->ranked_at = 0;
  return live_job;
}

void
kr_live_job_free (gpointer data)
{
  KrLiveJob *live_job = data;
  while (live_job->attempts->len)
    kr_live_job_remove_attempt (live_job->attempts->pdata[0]);
  g_ptr_array_unref (live_job->attempts);
  g_ptr_array_remove_fast (live_job->shard->live_jobs, live_job);
  kr_job_free (live_job->job);
  g_free (live_job);
}

void
kr_live_job_add_attempt (KrLiveJob *live_job, KrAttempt *attempt)
{
  attempt->live_job = live_job;
  attempt->live_index = live_job->attempts->len;
  g_ptr_array_add (live_job->attempts, attempt);
  kr_job_add_active (live_job->job, attempt->task_index);
  if (live_job->used)
    kr_resources_add (live_job->used, live_job->job->spec);
}

void
kr_live_job_remove_attempt (KrAttempt *attempt)
{
  KrLiveJob *live_job = attempt->live_job;
  if (!live_job)
    return;
  g_ptr_array_remove_index_fast (live_job->attempts, attempt->live_index);
  if (attempt->live_index < live_job->attempts->len)
    ((KrAttempt *) live_job->attempts->pdata[attempt->live_index])->live_index =
        attempt->live_index;
  attempt->live_job = NULL;
  kr_job_remove_active (live_job->job, attempt->task_index);
  if (live_job->used)
    kr_resources_subtract (live_job->used, live_job->job->spec);
}

void
kr_live_job_kill_all (KrLiveJob *live_job)
{
  for (guint i = 0; i < live_job->attempts->len; i++)
    ((KrAttempt *) live_job->attempts->pdata[i])->kill = KR_KILL_NOW;
}

KrJob *
kr_attempt_job (const KrAttempt *attempt)
{
  return attempt->live_job ? ((const KrLiveJob *) attempt->live_job)->job : NULL;
}

static void
update_ranking (KrShard *shard, KrLiveJob *live_job, gint64 now, double wall_s)
{
  const KrJob *job = live_job->job;
  KrEstimateInput input = { .timed_sum_s = job->timed_sum_s,
                            .timed_count = job->timed_count,
                            .unstarted = kr_job_unstarted (job),
                            .running = live_job->attempts->len,
                            .now = wall_s,
                            .goal = finish_goal_at (shard, job),
                            .submitted = job->submitted_at,
                            .is_service = job->spec->kind == KR_JOB_KIND_SERVICE,
                            .prior_mean_s = job->spec->run_estimate_s };
  double mean_s = kr_estimate_mean_task_s (&input);
  for (guint i = 0; i < live_job->attempts->len; i++)
    input.running_work_s +=
        kr_estimate_rest_s (mean_s, kr_attempt_run_time_s (live_job->attempts->pdata[i], now));
  live_job->estimate_input = input;
  live_job->ranking_key = kr_ranking_key (&input, job->spec->id);
}

/* Updates the ranking after one task has started, without a walk over the job's attempts, of which
 * there may be thousands. */
static void
rank_started_task (KrLiveJob *live_job)
{
  KrEstimateInput *input = &live_job->estimate_input;
  input->unstarted = kr_job_unstarted (live_job->job);
  input->running = live_job->attempts->len;
  input->running_work_s += kr_estimate_rest_s (kr_estimate_mean_task_s (input), 0);
  live_job->ranking_key = kr_ranking_key (input, live_job->job->spec->id);
}

/* Ranks all live jobs as of `now`. A job that was ranked within KR_RANKING_CACHE_MS and has not
 * changed since keeps its ranking key. */
static void
rank_jobs (KrShard *shard, gint64 now)
{
  KrPriority lowest = KR_PRIORITY_CRITICAL;
  double wall_s = kr_wall_clock_s ();
  gboolean all = now - shard->ranked_at >= KR_RANKING_CACHE_MS * 1000;

  for (guint i = 0; i < shard->live_jobs->len; i++) {
    KrLiveJob *live_job = shard->live_jobs->pdata[i];
    if (all || live_job->estimate_input.running != live_job->attempts->len ||
        live_job->estimate_input.timed_count != live_job->job->timed_count ||
        live_job->estimate_input.unstarted != kr_job_unstarted (live_job->job))
      update_ranking (shard, live_job, now, wall_s);
    lowest = MIN (lowest, live_job->job->spec->priority);
    live_job->skip = FALSE;
  }
  for (guint i = 0; all && i < shard->live_jobs->len; i++) {
    check_recovery (shard->live_jobs->pdata[i], now);
    update_preemption_state (shard, shard->live_jobs->pdata[i], lowest, now);
  }
  if (all)
    shard->ranked_at = now;
}

/* Stores the capacity of the machine that no attempt uses. Returns FALSE if it is not known. */
static gboolean
free_capacity (KrShard *shard, const KrMachine *machine, KrResources *capacity)
{
  const KrMachineType *type =
      machine->type ? kr_node_machine_type (shard->node, machine->type) : NULL;
  if (!type)
    return FALSE;
  *capacity = kr_placement_capacity (type);
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->state == KR_TASK_EXITED) { /* it stays in the reports until it is cleared */
      capacity->report_bytes -= (double) kr_wire_report_task_bytes (attempt->job_id);
      continue;
    }
    if (!attempt->live_job)
      return FALSE; /* Load of an unknown job: nothing more starts here until it is gone. */
    kr_resources_subtract (capacity, kr_attempt_job (attempt)->spec);
  }
  return TRUE;
}

static gboolean
zone_spread_allowed (const KrMachine *machine, const KrLiveJob *live_job)
{
  KrZoneSpread spread = { 0, 0 };
  const KrJobSpec *spec = live_job->job->spec;
  if (!spec->one_zone && !spec->spread_zones)
    return TRUE;
  for (guint i = 0; i < live_job->attempts->len; i++) {
    const KrAttempt *attempt = live_job->attempts->pdata[i];
    spread.total++;
    spread.in_zone += g_strcmp0 (attempt->machine->zone, machine->zone) == 0;
  }
  return kr_placement_spread_ok (spec, &spread);
}

static double
mean_task_s (const KrJob *job)
{
  const KrEstimateInput in = { .timed_sum_s = job->timed_sum_s,
                               .timed_count = job->timed_count,
                               .prior_mean_s = job->spec->run_estimate_s };
  return kr_estimate_mean_task_s (&in);
}

/* Returns the seconds until the machine is empty if nothing more starts there. */
static double
time_to_drain_s (KrShard *shard, const KrMachine *machine, gint64 now)
{
  double longest_s = 0;
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->state == KR_TASK_EXITED)
      continue;
    double mean = attempt->live_job ? mean_task_s (kr_attempt_job (attempt)) : 0;
    longest_s = MAX (longest_s, mean - kr_attempt_run_time_s (attempt, now));
  }
  return longest_s;
}

static gboolean
may_run_on (KrShard *shard, const KrMachine *machine, const KrLiveJob *live_job, gint64 now)
{
  KrJob *job = live_job->job;
  if (job->cancelled || job->chunks_missing || !live_job->team || now < job->backoff_until ||
      kr_job_next_task (job) < 0)
    return FALSE;
  if (machine->reserved_for && now < machine->reserved_until &&
      !g_str_equal (machine->reserved_for, job->spec->id))
    return FALSE;
  /* A machine marked for a move only takes tasks that are expected to end before it would be empty
   * anyway. */
  if (machine->move_to >= 0 &&
      (!job->timed_count ||
       kr_estimate_mean_task_s (&live_job->estimate_input) > time_to_drain_s (shard, machine, now)))
    return FALSE;
  /* After a failure on one machine only, the job avoids that machine for KR_FAILED_MACHINE_AVOID_S:
   * another machine shall show whether the job or the machine is at fault. It does not avoid it for
   * ever, since no other machine may have capacity. */
  if (!kr_job_is_suspect (job) &&
      now - job->failed_at < kr_seconds_to_us (KR_FAILED_MACHINE_AVOID_S) &&
      g_hash_table_contains (job->failed_on, machine->id) &&
      g_hash_table_size (shard->machines) > 1)
    return FALSE;
  return kr_placement_allowed (job->spec, machine->type, machine->zone, machine->spot) &&
         zone_spread_allowed (machine, live_job);
}

KrReadiness
kr_shard_readiness (KrShard *shard, const KrMachine *machine, gint64 now)
{
  if (shard->phase != SHARD_OPEN)
    return KR_SHARD_NOT_OPEN;
  if (!machine->has_reported)
    return KR_MACHINE_NEVER_REPORTED;
  if (!machine->used)
    return KR_MACHINE_USE_NOT_RECORDED;
  if (kr_shard_needs_fence (machine))
    return KR_MACHINE_NOT_FENCED;
  if (machine->drain || machine->deleting)
    return KR_MACHINE_DRAINING;
  if (machine->moving)
    return KR_MACHINE_MOVING;
  if (machine->reclaim_at)
    return KR_MACHINE_RECLAIM_NOTICED;
  return now < machine->no_start_until ? KR_MACHINE_BACKING_OFF : KR_MACHINE_READY;
}

gboolean
kr_shard_usable (KrShard *shard, const KrMachine *machine, gint64 now)
{
  return kr_shard_readiness (shard, machine, now) == KR_MACHINE_READY;
}

/* Every start of a task must pass this check, whichever path selected the task. */
static gboolean
may_start (KrShard *shard, const KrMachine *machine, const KrJob *job, gint64 task, gint64 now)
{
  KrReadiness readiness = kr_shard_readiness (shard, machine, now);
  if (readiness != KR_MACHINE_READY) {
    kr_invariant_violated (KR_INVARIANT_MACHINE_READY, "task %s/%d would start on %s (reason %d)",
                           job->spec->id, (int) task, machine->id, readiness);
    return FALSE;
  }
  if (kr_shard_has_ended (shard, job->spec->id)) {
    kr_invariant_violated (KR_INVARIANT_JOB_NOT_ENDED,
                           "task %s/%d would start on %s, its job has ended", job->spec->id,
                           (int) task, machine->id);
    return FALSE;
  }
  if (task < 0 || job->cancelled || kr_job_is_done (job, (guint) task) || job->active[task]) {
    kr_invariant_violated (KR_INVARIANT_ONE_ATTEMPT,
                           "task %s/%d would start on %s (cancelled %d, token %" G_GUINT64_FORMAT
                           ")",
                           job->spec->id, (int) task, machine->id, job->cancelled, shard->token);
    return FALSE;
  }
  return TRUE;
}

/* Adds an attempt of the job's next task. Returns NULL if the task must not start. */
static KrAttempt *
start_attempt (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, gint64 now)
{
  KrJob *job = live_job->job;
  gint64 task = kr_job_next_task (job);
  if (!may_start (shard, machine, job, task, now))
    return NULL;
  KrAttempt *attempt =
      kr_machine_add_attempt (machine, job->spec->id, (guint) task,
                              (shard->token << KR_ATTEMPT_COUNTER_BITS) + ++shard->attempt_counter);
  kr_live_job_add_attempt (live_job, attempt);
  /* A job that fails on several machines is retried with one task per backoff period until a task
   * succeeds. */
  if (kr_job_is_suspect (job)) {
    job->probing = TRUE;
    job->backoff_until = now + kr_seconds_to_us (job->backoff_s);
  }
  attempt->preempt_protected = live_job->starved;
  live_job->starved = FALSE;
  rank_started_task (live_job);
  return attempt;
}

/* Adds one planned attempt per place; the `run` orders are sent in the responses to the machines'
 * next reports. */
static void
start_gang (KrShard *shard, KrLiveJob *live_job, const GPtrArray *places, gint64 now)
{
  /* The same id for the whole gang: its tasks find each other by it (docs/questions.md). */
  guint64 attempt_id = 0;
  kr_info ("job %s: reserved places for its gang of %u tasks", live_job->job->spec->id,
           places->len);
  for (guint i = 0; i < places->len; i++) {
    KrAttempt *attempt = start_attempt (shard, places->pdata[i], live_job, now);
    if (!attempt) /* The tasks added so far are killed, as in a gang that has lost tasks. */
      return;
    attempt->planned = TRUE;
    attempt_id = attempt->attempt_id = attempt_id ? attempt_id : attempt->attempt_id;
  }
}

/* Starts a gang only as a whole: reserves places on as many machines as needed, and each machine's
 * next report is answered with its `run` orders. A gang that has lost some of its tasks is killed
 * and starts again. */
static void
plan_gang (KrShard *shard, KrLiveJob *live_job, gint64 now)
{
  KrJob *job = live_job->job;
  KrResources after = *live_job->used;
  g_autoptr (GPtrArray) places = g_ptr_array_new ();
  guint want = kr_job_unstarted (job);
  GHashTableIter it;
  gpointer value;

  if (live_job->attempts->len) {
    kr_live_job_kill_all (live_job);
    return;
  }
  for (guint i = 0; i < want; i++) {
    if (!kr_placement_task_within_quota (live_job->team, &after, job->spec))
      return;
    kr_resources_add (&after, job->spec);
  }
  g_hash_table_iter_init (&it, shard->machines);
  while (places->len < want && kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    KrResources capacity;
    if (!kr_shard_usable (shard, machine, now) || !may_run_on (shard, machine, live_job, now) ||
        !free_capacity (shard, machine, &capacity))
      continue;
    KrMachine *first = places->len ? places->pdata[0] : machine;
    if (job->spec->one_zone && g_strcmp0 (first->zone, machine->zone) != 0)
      continue;
    guint in_zone = 0;
    for (guint i = 0; i < places->len; i++)
      in_zone += g_strcmp0 (((KrMachine *) places->pdata[i])->zone, machine->zone) == 0;
    while (places->len < want && kr_resources_fit (&capacity, job->spec) &&
           (!job->spec->spread_zones || in_zone + 1 <= (job->spec->tasks + 1) / 2)) {
      kr_resources_subtract (&capacity, job->spec);
      g_ptr_array_add (places, machine);
      in_zone++;
    }
  }
  if (places->len < want)
    return;
  start_gang (shard, live_job, places, now);
}

void
kr_shard_send_planned (KrMachine *machine, KrOrders *orders)
{
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (!attempt->planned ||
        !kr_wire_order_run (orders, attempt->job_id, attempt->task_index, attempt->attempt_id))
      continue;
    attempt->planned = FALSE;
    attempt->sent_after_seq = machine->seq;
  }
}

/* Compares two jobs that could get free capacity; negative: `a` goes first. Exceptions to the
 * paper's order, which holds among the jobs of each exception: (1) a starved job gets its first
 * task, since late jobs go first otherwise and there may be an endless stream of them; among
 * several starved jobs the oldest goes first, since these may be a stream as well. (2) A job that
 * may preempt others' tasks, since a task started in its place would be preempted at once. */
static int
compare_for_assignment (const KrLiveJob *a, const KrLiveJob *b)
{
  if (a->starved != b->starved)
    return a->starved ? -1 : 1;
  if (a->starved && a->job->submitted_at != b->job->submitted_at)
    return a->job->submitted_at < b->job->submitted_at ? -1 : 1;
  if (a->may_preempt != b->may_preempt)
    return a->may_preempt ? -1 : 1;
  if (a->may_preempt && a->job->spec->priority != b->job->spec->priority)
    return a->job->spec->priority > b->job->spec->priority ? -1 : 1;
  return kr_ranking_compare (&a->ranking_key, &b->ranking_key);
}

/* Returns how many of `want` tasks the quota of the job's team allows in addition to `used`, and
 * adds them to `used`. */
static double
cap_to_quota (const KrLiveJob *live_job, double want, KrResources *used)
{
  const KrJobSpec *spec = live_job->job->spec;
  if (live_job->team->cpus_max > 0 && spec->cpus > 0)
    want = MIN (want, MAX (0, (live_job->team->cpus_max - used->cpus) / spec->cpus));
  if (live_job->team->gpus_max > 0 && spec->gpus > 0)
    want = MIN (want, MAX (0, (live_job->team->gpus_max - used->gpus) / spec->gpus));
  used->cpus += want * spec->cpus;
  used->gpus += want * spec->gpus;
  return want;
}

/* Returns the number of unstarted tasks that the job's backoff allows to start. */
static double
startable_tasks (const KrJob *job, gint64 now)
{
  if (job->cancelled || now < job->backoff_until)
    return 0;
  return kr_job_is_suspect (job) ? MIN (kr_job_unstarted (job), 1) : kr_job_unstarted (job);
}

/* Returns how many of the job's tasks may start now, as far as its backoff, the quota of its team
 * and, for a gang, the number of its tasks allow. Decides whether machines are reserved, and tasks
 * stopped, for the job. */
static guint
startable_now (const KrLiveJob *live_job, gint64 now)
{
  const KrJob *job = live_job->job;
  if (!live_job->team)
    return 0;
  KrResources used = *live_job->used;
  double startable = cap_to_quota (live_job, startable_tasks (job, now), &used);
  guint tasks = (guint) floor (startable + SLOT_TOLERANCE);
  return job->spec->kind == KR_JOB_KIND_GANG && tasks < kr_job_unstarted (job) ? 0 : tasks;
}

/* Returns the best-ranked job of which a task fits the remaining capacity, or NULL. */
static KrLiveJob *
best_fitting_job (KrShard *shard, const KrMachine *machine, const KrResources *capacity, gint64 now)
{
  KrLiveJob *best = NULL;
  for (guint i = 0; i < shard->live_jobs->len; i++) {
    KrLiveJob *live_job = shard->live_jobs->pdata[i];
    if (live_job->skip || (best && compare_for_assignment (best, live_job) < 0))
      continue;
    /* Capacity and quotas only shrink within a round: a job that does not fit once is out until the
     * round ends. */
    if (!kr_resources_fit (capacity, live_job->job->spec) ||
        !may_run_on (shard, machine, live_job, now) ||
        !kr_placement_task_within_quota (live_job->team, live_job->used, live_job->job->spec)) {
      live_job->skip = TRUE;
      continue;
    }
    best = live_job;
  }
  return best;
}

/* Releases the machine's reservation if no task of the job for which it was made may start now.
 * Returns FALSE if there is nothing to release. */
static gboolean
release_reservation (KrShard *shard, KrMachine *machine, gint64 now)
{
  if (!machine->reserved_for)
    return FALSE;
  const KrLiveJob *holder = g_hash_table_lookup (shard->jobs, machine->reserved_for);
  if (holder && startable_now (holder, now))
    return FALSE;
  g_clear_pointer (&machine->reserved_for, g_free);
  return TRUE;
}

/* The same within a round, to which it admits the other jobs again. */
static gboolean
release_reservation_in_round (KrShard *shard, KrMachine *machine, gint64 now)
{
  if (!release_reservation (shard, machine, now))
    return FALSE;
  for (guint i = 0; i < shard->live_jobs->len; i++)
    ((KrLiveJob *) shard->live_jobs->pdata[i])->skip = FALSE;
  return TRUE;
}

static void
assign_task (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, KrOrders *orders, gint64 now)
{
  const KrJobSpec *spec = live_job->job->spec;
  KrAttempt *attempt = start_attempt (shard, machine, live_job, now);
  if (!attempt) {
    live_job->skip = TRUE;
    return;
  }
  attempt->sent_after_seq = machine->seq;
  machine->idle_since = now;
  kr_wire_order_run (orders, spec->id, attempt->task_index, attempt->attempt_id);
  kr_debug ("task %s/%u: assigned to %s", spec->id, attempt->task_index, machine->id);
}

/* The paper's allocation (max variant), triggered by a machine's report: assigns the machine's free
 * capacity one task at a time to the best-ranked job that fits, and updates the ranking after each
 * task. */
void
kr_shard_assign_tasks (KrShard *shard, KrMachine *machine, KrOrders *orders, gint64 now)
{
  KrResources capacity;
  if (!kr_shard_usable (shard, machine, now) || !free_capacity (shard, machine, &capacity))
    return;
  release_reservation (shard, machine, now);
  rank_jobs (shard, now);

  for (;;) {
    KrLiveJob *best = best_fitting_job (shard, machine, &capacity, now);
    if (!best && !release_reservation_in_round (shard, machine, now))
      return;
    if (!best)
      continue;
    if (best->job->spec->kind == KR_JOB_KIND_GANG) {
      plan_gang (shard, best, now);
      best->skip = TRUE;
      if (!free_capacity (shard, machine, &capacity))
        return;
    } else if (!kr_wire_orders_has_room (orders, best->job->spec->id))
      return; /* The rest starts in the response to the next report. */
    else {
      assign_task (shard, machine, best, orders, now);
      kr_resources_subtract (&capacity, best->job->spec);
    }
  }
}

/* --- preemption ---------------------------------------------------------------------- */
static gboolean
has_image (const KrMachine *machine, const KrJob *job)
{
  return g_hash_table_contains (machine->cached_images, job->spec->image);
}

/* Returns the seconds of run time lost by preempting the attempt. */
static double
preemption_loss_s (const KrAttempt *attempt, const KrJob *job, gint64 now)
{
  double ran = kr_attempt_run_time_s (attempt, now);
  return job->spec->checkpoint_interval_s > 0 ? MIN (ran, job->spec->checkpoint_save_s) : ran;
}

/* Returns the attempt on the machine that may be preempted for `live_job` with the least loss,
 * stored in `loss`, leaving out those in `chosen`. Returns NULL if there is none. */
static KrAttempt *
cheapest_victim (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, GPtrArray *chosen,
                 gint64 now, double *loss)
{
  /* A team's guarantee allows it to preempt tasks of any priority, but those of a higher priority
   * only once the start goal is missed: otherwise the two jobs would preempt each other in turn. */
  gboolean may_preempt_higher =
      live_job->estimate_input.now - live_job->job->submitted_at >
      kr_settings_start_goal_s (shard->node->settings, live_job->job->spec->job_class);
  KrAttempt *best = NULL;
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    const KrLiveJob *victim = attempt->live_job;
    const KrJob *job = victim ? victim->job : NULL;
    if (!job || !victim->team ||
        (attempt->preempt_protected &&
         kr_attempt_run_time_s (attempt, now) < KR_FIRST_TASK_PROTECT_S) ||
        attempt->state == KR_TASK_EXITED || attempt->state == KR_TASK_UNCONFIRMED ||
        (job->spec->priority > live_job->job->spec->priority && !may_preempt_higher) ||
        g_ptr_array_find (chosen, attempt, NULL) ||
        !kr_placement_may_preempt (live_job->job->spec, live_job->team, live_job->used, job->spec,
                                   victim->team, victim->used))
      continue;
    /* Attempts that are already being killed come first. */
    double attempt_loss = attempt->kill ? 0 : preemption_loss_s (attempt, job, now);
    if (!best || attempt_loss < *loss) {
      best = attempt;
      *loss = attempt_loss;
    }
  }
  return best;
}

/* Returns the attempts to preempt on the machine so that one task of `live_job` fits, or NULL if
 * that is not possible. `total`: the run time lost, in seconds. */
static GPtrArray *
choose_victims (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, gint64 now, double *total)
{
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
  KrResources capacity;
  *total = 0;
  if (!free_capacity (shard, machine, &capacity))
    return NULL;
  while (!kr_resources_fit (&capacity, live_job->job->spec)) {
    double loss = 0;
    KrAttempt *attempt = cheapest_victim (shard, machine, live_job, chosen, now, &loss);
    if (!attempt)
      return NULL;
    g_ptr_array_add (chosen, attempt);
    *total += loss;
    kr_resources_add (&capacity, kr_attempt_job (attempt)->spec);
  }
  return g_steal_pointer (&chosen);
}

/* Reserves the machine for a waiting job and preempts those attempts of `victims` that lose at most
 * `max_loss_s`: the others may end by themselves first. */
static void
reserve_machine (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, GPtrArray *victims,
                 double max_loss_s, gint64 now)
{
  gboolean any = FALSE;
  if (g_strcmp0 (machine->reserved_for, live_job->job->spec->id) != 0) {
    g_free (machine->reserved_for);
    machine->reserved_for = g_strdup (live_job->job->spec->id);
  }
  machine->reserved_until = now + kr_seconds_to_us (KR_PREEMPT_RESERVE_S);
  for (guint i = 0; i < victims->len; i++) {
    KrAttempt *attempt = victims->pdata[i];
    if (attempt->kill || preemption_loss_s (attempt, kr_attempt_job (attempt), now) > max_loss_s)
      continue;
    attempt->kill = KR_KILL_GRACEFUL;
    any = TRUE;
    kr_info ("task %s/%u: preempted on %s for job %s", attempt->job_id, attempt->task_index,
             machine->id, live_job->job->spec->id);
  }
  if (any)
    kr_shard_command_kills (shard, machine);
}

/* Returns the number of the job's tasks that the whole machine has capacity for: at least 1, or 0
 * if its type is not known. */
static guint
slots_on_machine (KrShard *shard, const KrMachine *machine, const KrLiveJob *live_job)
{
  const KrMachineType *type =
      machine->type ? kr_node_machine_type (shard->node, machine->type) : NULL;
  return type ? MAX (1, (guint) (1 / kr_placement_machine_share (live_job->job->spec, type))) : 0;
}

/* Renews the reservations for `live_job` until they have room for `want` of its tasks, and releases
 * the others. Returns the number of its tasks that the reserved machines can take once the
 * preempted attempts are gone. */
static guint
keep_reservations (KrShard *shard, KrLiveJob *live_job, guint want, double max_loss_s, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  guint reserved = 0;
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    double total;
    if (g_strcmp0 (machine->reserved_for, live_job->job->spec->id) != 0)
      continue;
    if (reserved >= want) {
      g_clear_pointer (&machine->reserved_for, g_free);
      continue;
    }
    if (now >= machine->reserved_until || !kr_shard_usable (shard, machine, now) ||
        !may_run_on (shard, machine, live_job, now))
      continue;
    g_autoptr (GPtrArray) victims = choose_victims (shard, machine, live_job, now, &total);
    if (!victims)
      continue; /* No longer useful: the reservation expires. */
    reserve_machine (shard, machine, live_job, victims, max_loss_s, now);
    reserved += slots_on_machine (shard, machine, live_job);
  }
  return reserved;
}

/* A machine that could be reserved, the attempts to preempt there, and the run time lost by that in
 * seconds. */
typedef struct {
  KrMachine *machine;
  GPtrArray *victims;
  double total;
} Candidate;

static void
candidate_free (gpointer data)
{
  Candidate *candidate = data;
  g_ptr_array_unref (candidate->victims);
  g_free (candidate);
}

static int
compare_loss (gconstpointer a, gconstpointer b)
{
  const Candidate *x = *(Candidate *const *) a, *y = *(Candidate *const *) b;
  return x->total < y->total ? -1 : x->total > y->total;
}

/* Returns the machines without a reservation, ordered by the loss of making room for one task of
 * `live_job`. */
static GPtrArray *
reservation_candidates (KrShard *shard, KrLiveJob *live_job, gint64 now)
{
  GPtrArray *all = g_ptr_array_new_with_free_func (candidate_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    double total;
    if ((machine->reserved_for && now < machine->reserved_until) || machine->move_to >= 0 ||
        !kr_shard_usable (shard, machine, now) || !may_run_on (shard, machine, live_job, now))
      continue;
    GPtrArray *victims = choose_victims (shard, machine, live_job, now, &total);
    if (!victims)
      continue;
    if (!has_image (machine, live_job->job))
      total += image_pull_s (shard, machine, live_job->job); /* counts like lost run time */
    Candidate *candidate = g_new (Candidate, 1);
    *candidate = (Candidate){ machine, victims, total };
    g_ptr_array_add (all, candidate);
  }
  g_ptr_array_sort (all, compare_loss);
  return all;
}

static int
compare_for_preemption (gconstpointer a, gconstpointer b)
{
  const KrLiveJob *x = *(KrLiveJob *const *) a, *y = *(KrLiveJob *const *) b;
  if (x->job->spec->priority != y->job->spec->priority)
    return x->job->spec->priority > y->job->spec->priority ? -1 : 1;
  return kr_ranking_compare (&x->ranking_key, &y->ranking_key);
}

/* Lets waiting jobs reserve machines on which they may preempt tasks. Attempts that lose no more
 * run time than the job has waited are preempted at once, the others after `preempt_all_after_s`,
 * which is at most half of its start goal. */
void
kr_shard_preempt (KrShard *shard, gint64 now)
{
  if (shard->phase != SHARD_OPEN || !shard->node->machine_types)
    return;
  rank_jobs (shard, now);
  g_autoptr (GPtrArray) order = g_ptr_array_copy (shard->live_jobs, NULL, NULL);
  g_ptr_array_sort (order, compare_for_preemption);
  for (guint i = 0; i < order->len; i++) {
    KrLiveJob *live_job = order->pdata[i];
    KrJob *job = live_job->job;
    double waited = live_job->estimate_input.now - job->submitted_at;
    gboolean has_guarantee = live_job->team && live_job->team->cpus > 0 && !job->cancelled &&
                             now >= job->backoff_until &&
                             waited >= MIN (live_job->preempt_all_after_s, KR_PREEMPT_WAIT_S);
    if (!kr_job_unstarted (job) || (!live_job->may_preempt && !has_guarantee))
      continue;
    double max_loss_s = waited > live_job->preempt_all_after_s ? G_MAXDOUBLE : waited;
    guint want = startable_now (live_job, now);
    guint reserved = keep_reservations (shard, live_job, want, max_loss_s, now);
    if (reserved >= want)
      continue;
    g_autoptr (GPtrArray) candidates = reservation_candidates (shard, live_job, now);
    for (guint k = 0; k < candidates->len && reserved < want; k++) {
      const Candidate *candidate = candidates->pdata[k];
      reserve_machine (shard, candidate->machine, live_job, candidate->victims, max_loss_s, now);
      reserved += slots_on_machine (shard, candidate->machine, live_job);
    }
  }
}

void
kr_shard_drop_planned (KrShard *shard, KrMachine *machine)
{
  for (guint i = machine->attempts->len; i-- > 0;) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (!attempt->planned || (!attempt->kill && kr_shard_usable (shard, machine, kr_now ())))
      continue;
    attempt = g_ptr_array_steal_index (machine->attempts, i);
    attempt->gone_reason = KR_GONE_UNSENT;
    kr_shard_on_attempt_event (machine, attempt, KR_ATTEMPT_GONE, shard);
    kr_attempt_free (attempt);
  }
}

/* --- for the leader ------------------------------------------------------------------ */
/* Whether the machine has been silent for so long that it is probably lost: it does not count as
 * supply, so that another is rented. */
static gboolean
is_silent (KrShard *shard, const KrMachine *machine, gint64 now)
{
  return machine->last_report_at &&
         now - machine->last_report_at >
             kr_seconds_to_us (KR_SILENT_REPORT_PERIODS * shard->node->settings->report_interval_s);
}

/* Returns the number of slots that the job needs to meet its goal (the paper's min variant). */
static double
slots_for_goal (const KrLiveJob *live_job)
{
  /* Aims at a moment before the goal: image pulls, reports and moves take time that the paper's
   * estimate does not include, and a job given exactly the slots it needs would end just too late.
   */
  KrEstimateInput input = live_job->estimate_input;
  input.goal = input.submitted + KR_RENT_GOAL_SHARE * (input.goal - input.submitted);
  return kr_ranking_wanted_slots (&input);
}

/* Returns the live jobs' demand, as the leader gets it. */
static json_t *
demands_json (KrShard *shard, gint64 now, gboolean *has_pending)
{
  gsize size = shard->node->settings->teams->len * sizeof (KrResources);
  g_autofree KrResources *used = g_memdup2 (shard->team_usage, size),
                         *used_most = g_memdup2 (shard->team_usage, size);
  json_t *demands = json_array ();

  for (guint i = 0; i < shard->live_jobs->len; i++) {
    const KrLiveJob *live_job = shard->live_jobs->pdata[i];
    KrJobSpec *spec = live_job->job->spec;
    if (live_job->job->cancelled || !live_job->team)
      continue;
    double all = startable_tasks (live_job->job, now);
    gsize team = (gsize) (live_job->used - shard->team_usage);
    double want = cap_to_quota (live_job, MIN (slots_for_goal (live_job), all), &used[team]);
    double most = cap_to_quota (live_job, all, &used_most[team]);
    *has_pending |= want > 0;
    if (most + live_job->estimate_input.running <= 0)
      continue;
    double first = unstarted_for (live_job, KR_STARVATION_MACHINE_S) ? MIN (want, 1) : 0;
    const KrDemand demand = { .requirements = spec,
                              .starved_slots = first,
                              .goal_slots = want + live_job->estimate_input.running,
                              .max_slots = most + live_job->estimate_input.running,
                              .urgent = spec->priority >= KR_PRIORITY_URGENT };
    json_array_append_new (demands, kr_demand_to_json (&demand));
  }
  return demands;
}

/* Returns the estimated seconds until the machine is empty: one lease for a machine that has not
 * reported to this shard yet, since it may have any tasks. */
static double
estimated_drain_s (KrShard *shard, const KrMachine *machine, gint64 now)
{
  return machine->has_reported ? time_to_drain_s (shard, machine, now)
                               : shard->node->settings->worker_lease_s;
}

/* Guards against a machine that has moved here and not reported yet: it has been up, and otherwise
 * would count as still booting, so that a further machine is moved in its place. */
static gboolean
has_been_up (const KrMachine *machine)
{
  return machine->has_reported || machine->used;
}

static json_t *
machine_json (KrShard *shard, const KrMachine *machine, gint64 now)
{
  /* A silent machine does not count as idle: it may be paused and continue later. check_machine
   * in shard.c decides how long to wait. */
  gboolean lost = is_silent (shard, machine, now);
  double idle =
      machine->attempts->len || !machine->has_reported || lost || shard->phase != SHARD_OPEN
          ? -1
          : (double) (now - machine->idle_since) / G_USEC_PER_SEC;
  const KrMachineSummary summary = {
    .id = machine->id,
    .type = machine->type,
    .zone = machine->zone,
    .spot = machine->spot,
    .up = has_been_up (machine),
    .leaving = machine->drain || machine->deleting || machine->reclaim_at != 0 || lost,
    .idle_s = idle,
    .drain_s = estimated_drain_s (shard, machine, now),
    .target_shard = machine->move_to,
  };
  return kr_machine_summary_to_json (&summary);
}

json_t *
kr_shard_summary (KrShard *shard)
{
  gint64 now = kr_now ();
  gboolean has_pending = FALSE;
  json_t *machines = json_array ();
  GHashTableIter it;
  gpointer machine;

  rank_jobs (shard, now);
  json_t *demands = demands_json (shard, now, &has_pending);
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &machine))
    json_array_append_new (machines, machine_json (shard, machine, now));
  return kr_shard_summary_to_json (shard->index, has_pending, demands, machines);
}
