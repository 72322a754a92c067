/* What starts where in a part: the paper's allocation, gangs, preemption, and the part's needs. */
#include "shard-private.h"
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "log.h"
#include "placement.h"
#include "ranking.h"
#include <math.h>

/* --- scheduling ---------------------------------------------------------------------- */
static double
goal_of (KrShard *shard, const KrJob *job)
{
  return job->submitted_at +
         (isnan (job->spec->deadline_s)
              ? kr_settings_finish_goal_s (shard->node->settings, job->spec->job_class)
              : job->spec->deadline_s);
}

/* Seconds that fetching a job's image takes, on a machine or (NULL) on the slowest type. */
static double
fetch_s (KrShard *shard, const KrMachine *machine, const KrJob *job)
{
  const KrMachineType *type =
      machine && machine->type ? kr_node_machine_type (shard->node, machine->type) : NULL;
  double rate = type ? type->image_pull_gb_per_s : G_MAXDOUBLE;
  for (guint i = 0; !type && shard->node->machine_types && i < shard->node->machine_types->len; i++)
    rate =
        MIN (rate, ((KrMachineType *) shard->node->machine_types->pdata[i])->image_pull_gb_per_s);
  return rate > 0 ? job->spec->image_gb / rate : 0;
}

/* Guards against a sound job held back for two faulty machines: its next try would have to end,
 * maybe minutes later. One that outlives the failures tells sooner. */
static void
judge_try (KrLiveJob *live_job, gint64 now)
{
  KrJob *job = live_job->job;
  for (guint i = 0; kr_job_is_suspect (job) && i < live_job->attempts->len; i++)
    if (kr_attempt_run_time_s (live_job->attempts->pdata[i], now) >
        KR_RECOVERED_RUN_FACTOR * job->longest_failed_run_s + KR_RECOVERED_RUN_S)
      kr_job_clear_failures (job);
}

/* Nothing of it has begun for that long. */
static gboolean
waits_for_first (const KrLiveJob *live_job, double seconds)
{
  const KrJob *job = live_job->job;
  return live_job->estimate_input.now - job->submitted_at > seconds && job->n_done == 0 &&
         job->n_active == 0;
}

/* Whether a job has waited long enough to stop others' tasks: at once where its class's wait
 * objective leaves no time. */
static void
judge_waiting (KrShard *shard, KrLiveJob *live_job, KrPriority lowest, gint64 now)
{
  const KrJob *job = live_job->job;
  double waited = live_job->estimate_input.now - job->submitted_at;
  double goal = kr_settings_start_goal_s (shard->node->settings, job->spec->job_class);
  /* Time left for waiting, when a report and a fetch still have to follow. */
  live_job->preempt_all_after_s = MIN (goal / 2, goal - shard->node->settings->report_interval_s -
                                                     fetch_s (shard, NULL, job) - KR_SAVE_GRACE_S);
  live_job->may_preempt = job->spec->priority > lowest && !job->cancelled && live_job->team &&
                          now >= job->backoff_until &&
                          waited >= MIN (live_job->preempt_all_after_s, KR_PREEMPT_WAIT_S);
  live_job->starved = waits_for_first (live_job, KR_STARVATION_S);
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
  live_job->elapsed = g_array_new (FALSE, FALSE, sizeof (double));
  live_job->team = kr_settings_team (shard->node->settings, job->spec->team);
  for (guint i = 0; i < teams->len; i++)
    if (teams->pdata[i] == live_job->team)
      live_job->used = &shard->team_usage[i];
  g_ptr_array_add (shard->live_jobs, live_job);
  shard->ranked_at = 0;
  return live_job;
}

void
kr_live_job_free (gpointer live_job)
{
  KrLiveJob *c = live_job;
  while (c->attempts->len)
    kr_live_job_remove_attempt (c->attempts->pdata[0]);
  g_ptr_array_unref (c->attempts);
  g_array_unref (c->elapsed);
  g_ptr_array_remove_fast (c->shard->live_jobs, c);
  kr_job_free (c->job);
  g_free (c);
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
rerank (KrShard *shard, KrLiveJob *live_job, gint64 now, double real)
{
  const KrJob *job = live_job->job;
  g_array_set_size (live_job->elapsed, live_job->attempts->len);
  for (guint i = 0; i < live_job->attempts->len; i++)
    g_array_index (live_job->elapsed, double, i) =
        kr_attempt_run_time_s (live_job->attempts->pdata[i], now);
  live_job->estimate_input =
      (KrEstimateInput){ .timed_sum_s = job->timed_sum_s,
                         .timed_count = job->timed_count,
                         .unstarted = kr_job_unstarted (job),
                         .running = live_job->elapsed->len,
                         .elapsed = (const double *) (gpointer) live_job->elapsed->data,
                         .now = real,
                         .goal = goal_of (shard, job),
                         .submitted = job->submitted_at,
                         .is_service = job->spec->kind == KR_JOB_KIND_SERVICE,
                         .prior_mean_s = job->spec->run_estimate_s };
  live_job->ranking_key = kr_ranking_key (&live_job->estimate_input, job->spec->id);
}

/* Ranks all live jobs as of now; what was ranked within KR_RANKING_CACHE_MS and has not changed
 * since stays.
 */
static void
rank_all (KrShard *shard, gint64 now)
{
  KrPriority lowest = KR_PRIORITY_CRITICAL;
  double real = kr_wall_clock_s ();
  gboolean all = now - shard->ranked_at >= KR_RANKING_CACHE_MS * 1000;

  for (guint i = 0; i < shard->live_jobs->len; i++) {
    KrLiveJob *live_job = shard->live_jobs->pdata[i];
    if (all || live_job->estimate_input.running != live_job->attempts->len ||
        live_job->estimate_input.timed_count != live_job->job->timed_count ||
        live_job->estimate_input.unstarted != kr_job_unstarted (live_job->job))
      rerank (shard, live_job, now, real);
    lowest = MIN (lowest, live_job->job->spec->priority);
    live_job->skip = FALSE;
  }
  for (guint i = 0; all && i < shard->live_jobs->len; i++) {
    judge_try (shard->live_jobs->pdata[i], now);
    judge_waiting (shard, shard->live_jobs->pdata[i], lowest, now);
  }
  if (all)
    shard->ranked_at = now;
}

static gboolean
free_room (KrShard *shard, const KrMachine *machine, KrResources *room)
{
  const KrMachineType *type =
      machine->type ? kr_node_machine_type (shard->node, machine->type) : NULL;
  if (!type)
    return FALSE;
  *room = (KrResources){ type->cpus, type->gpus, type->mem_gb };
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->state == KR_TASK_EXITED)
      continue;
    if (!attempt->live_job)
      return FALSE; /* unknown load: nothing more until it is gone */
    kr_resources_subtract (room, kr_attempt_job (attempt)->spec);
  }
  return TRUE;
}

static gboolean
spread_ok (const KrMachine *machine, const KrLiveJob *live_job)
{
  KrZoneSpread w = { 0, 0 };
  const KrJobSpec *spec = live_job->job->spec;
  if (!spec->one_zone && !spec->spread_zones)
    return TRUE;
  for (guint i = 0; i < live_job->attempts->len; i++) {
    const KrAttempt *attempt = live_job->attempts->pdata[i];
    w.total++;
    w.in_zone += g_strcmp0 (attempt->machine->zone, machine->zone) == 0;
  }
  return kr_placement_spread_ok (spec, &w);
}

static double
mean_of (const KrJob *job)
{
  const KrEstimateInput in = { .timed_sum_s = job->timed_sum_s,
                               .timed_count = job->timed_count,
                               .prior_mean_s = job->spec->run_estimate_s };
  return kr_estimate_mean_task_s (&in);
}

/* Until a machine is empty, if nothing more starts. */
static double
rest_s (KrShard *shard, const KrMachine *machine, gint64 now)
{
  double rest = 0;
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->state == KR_TASK_EXITED)
      continue;
    double mean = attempt->live_job ? mean_of (kr_attempt_job (attempt)) : 0;
    rest = MAX (rest, mean - kr_attempt_run_time_s (attempt, now));
  }
  return rest;
}

static gboolean
may_run_here (KrShard *shard, const KrMachine *machine, const KrLiveJob *live_job, gint64 now)
{
  KrJob *job = live_job->job;
  if (job->cancelled || job->chunks_missing || !live_job->team || now < job->backoff_until ||
      kr_job_next_task (job) < 0)
    return FALSE;
  if (machine->reserved_for && now < machine->reserved_until &&
      !g_str_equal (machine->reserved_for, job->spec->id))
    return FALSE;
  /* A machine that empties itself takes what will end before it would be empty anyway. */
  if (machine->move_to >= 0 &&
      (!job->timed_count ||
       kr_estimate_mean_task_s (&live_job->estimate_input) > rest_s (shard, machine, now)))
    return FALSE;
  /* It failed here and nowhere else: another machine shall tell which of the two is at fault, but
   * where none has room for it, it must not wait for that for ever. */
  if (!kr_job_is_suspect (job) &&
      now - job->failed_at < kr_seconds_to_us (KR_FAILED_MACHINE_AVOID_S) &&
      g_hash_table_contains (job->failed_on, machine->id) &&
      g_hash_table_size (shard->machines) > 1)
    return FALSE;
  return kr_placement_allowed (job->spec, machine->type, machine->zone, machine->spot) &&
         spread_ok (machine, live_job);
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

/* Every start of a task goes by here, whatever chose it. */
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

/* The job's next task; NULL: it must not start. */
static KrAttempt *
start_launch (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, gint64 now)
{
  KrJob *job = live_job->job;
  gint64 task = kr_job_next_task (job);
  if (!may_start (shard, machine, job, task, now))
    return NULL;
  KrAttempt *attempt =
      kr_machine_add_attempt (machine, job->spec->id, (guint) task,
                              (shard->token << KR_ATTEMPT_COUNTER_BITS) + ++shard->attempt_counter);
  kr_live_job_add_attempt (live_job, attempt);
  /* A job that fails wherever it runs is tried with one task a pause, until one succeeds. */
  if (kr_job_is_suspect (job)) {
    job->probing = TRUE;
    job->backoff_until = now + kr_seconds_to_us (job->backoff_s);
  }
  attempt->preempt_protected = live_job->starved;
  live_job->starved = FALSE;
  rerank (shard, live_job, now, live_job->estimate_input.now);
  return attempt;
}

/* A task at each place; `run` goes out with the machines' next reports. */
static void
start_gang (KrShard *shard, KrLiveJob *live_job, const GPtrArray *places, gint64 now)
{
  guint64 attempt_id = 0; /* one for all: its tasks gather by it (docs/questions.md) */
  kr_info ("job %s: a gang of %u gets its places", live_job->job->spec->id, places->len);
  for (guint i = 0; i < places->len; i++) {
    KrAttempt *attempt = start_launch (shard, places->pdata[i], live_job, now);
    if (!attempt) /* its tasks are stopped, as of a gang that has lost some */
      return;
    attempt->planned = TRUE;
    attempt_id = attempt->attempt_id = attempt_id ? attempt_id : attempt->attempt_id;
  }
}

/* A gang is granted only whole: places are held on as many machines as it takes, and each machine's
 * next report brings its tasks there. A gang with some tasks lost is stopped and starts again. */
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
    KrResources room;
    if (!kr_shard_usable (shard, machine, now) || !may_run_here (shard, machine, live_job, now) ||
        !free_room (shard, machine, &room))
      continue;
    KrMachine *first = places->len ? places->pdata[0] : machine;
    if (job->spec->one_zone && g_strcmp0 (first->zone, machine->zone) != 0)
      continue;
    guint here = 0;
    for (guint i = 0; i < places->len; i++)
      here += g_strcmp0 (((KrMachine *) places->pdata[i])->zone, machine->zone) == 0;
    while (places->len < want && kr_resources_fit (&room, job->spec) &&
           (!job->spec->spread_zones || here + 1 <= (job->spec->tasks + 1) / 2)) {
      kr_resources_subtract (&room, job->spec);
      g_ptr_array_add (places, machine);
      here++;
    }
  }
  if (places->len < want)
    return;
  start_gang (shard, live_job, places, now);
}

void
kr_shard_send_planned (KrMachine *machine, json_t *orders)
{
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (!attempt->planned)
      continue;
    attempt->planned = FALSE;
    attempt->sent_after_seq = machine->seq;
    kr_wire_order_run (orders, attempt->job_id, attempt->task_index, attempt->attempt_id);
  }
}

/* Exceptions to the paper's order, within each of which it holds: a job of which nothing has begun
 * for long gets its first task, since late jobs, of which a stream never ends, go before all
 * others, and of several such the oldest, since they may be a stream as well; then who may stop
 * others' tasks, since what is started instead would be stopped at once. */
static int
before (const KrLiveJob *a, const KrLiveJob *b)
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

/* The first in rank that fits the room left. */
static KrLiveJob *
first_that_fits (KrShard *shard, const KrMachine *machine, const KrResources *room, gint64 now)
{
  KrLiveJob *best = NULL;
  for (guint i = 0; i < shard->live_jobs->len; i++) {
    KrLiveJob *live_job = shard->live_jobs->pdata[i];
    if (live_job->skip || (best && before (best, live_job) < 0))
      continue;
    /* Room and limits only shrink within a round: what fails once is out for good. */
    if (!kr_resources_fit (room, live_job->job->spec) ||
        !may_run_here (shard, machine, live_job, now) ||
        !kr_placement_task_within_quota (live_job->team, live_job->used, live_job->job->spec)) {
      live_job->skip = TRUE;
      continue;
    }
    best = live_job;
  }
  return best;
}

/* Once the job for which room was held here has all its tasks, the rest is for the others. FALSE:
 * it has not. */
static gboolean
end_reservation (KrShard *shard, KrMachine *machine)
{
  KrJob *holder = machine->reserved_for ? kr_shard_job (shard, machine->reserved_for) : NULL;
  if (!holder || kr_job_unstarted (holder))
    return FALSE;
  g_clear_pointer (&machine->reserved_for, g_free);
  for (guint i = 0; i < shard->live_jobs->len; i++)
    ((KrLiveJob *) shard->live_jobs->pdata[i])->skip = FALSE;
  return TRUE;
}

static void
grant_task (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, json_t *orders, gint64 now)
{
  const KrJobSpec *spec = live_job->job->spec;
  KrAttempt *attempt = start_launch (shard, machine, live_job, now);
  if (!attempt) {
    live_job->skip = TRUE;
    return;
  }
  attempt->sent_after_seq = machine->seq;
  machine->idle_since = now;
  kr_wire_order_run (orders, spec->id, attempt->task_index, attempt->attempt_id);
  kr_debug ("task %s/%u: to %s", spec->id, attempt->task_index, machine->id);
}

/* The paper's allocation, max variant, triggered by a machine's report: its free room goes out one
 * task at a time, to the first in rank that fits, and all are ranked anew after each grant. */
void
kr_shard_assign_tasks (KrShard *shard, KrMachine *machine, json_t *orders, gint64 now)
{
  KrResources room;
  if (!kr_shard_usable (shard, machine, now) || !free_room (shard, machine, &room))
    return;
  KrJob *waiting = machine->reserved_for ? kr_shard_job (shard, machine->reserved_for) : NULL;
  if (machine->reserved_for && (!waiting || !kr_job_unstarted (waiting)))
    g_clear_pointer (&machine->reserved_for, g_free);
  rank_all (shard, now);

  for (;;) {
    KrLiveJob *best = first_that_fits (shard, machine, &room, now);
    if (!best && !end_reservation (shard, machine))
      return;
    if (!best)
      continue;
    if (best->job->spec->kind == KR_JOB_KIND_GANG) {
      plan_gang (shard, best, now);
      best->skip = TRUE;
      if (!free_room (shard, machine, &room))
        return;
    } else {
      grant_task (shard, machine, best, orders, now);
      kr_resources_subtract (&room, best->job->spec);
    }
  }
}

/* --- preemption ---------------------------------------------------------------------- */
static gboolean
has_image (const KrMachine *machine, const KrJob *job)
{
  return g_hash_table_contains (machine->cached_images, job->spec->image);
}

/* What stopping a task loses, in seconds of its run. */
static double
loss_of (const KrAttempt *attempt, const KrJob *job, gint64 now)
{
  double ran = kr_attempt_run_time_s (attempt, now);
  return job->spec->checkpoint_interval_s > 0 ? MIN (ran, job->spec->checkpoint_save_s) : ran;
}

/* The task on `b` that may be stopped for `c` and loses least; tasks in `out` are spoken for. */
static KrAttempt *
victim (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, GPtrArray *out, gint64 now,
        double *loss)
{
  /* A guarantee may stop work of any Rank, but that of higher Rank only when the wait is over:
   * otherwise the two stop each other in turn. */
  gboolean upward =
      live_job->estimate_input.now - live_job->job->submitted_at >
      kr_settings_start_goal_s (shard->node->settings, live_job->job->spec->job_class);
  KrAttempt *best = NULL;
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    const KrLiveJob *of = attempt->live_job;
    const KrJob *job = of ? of->job : NULL;
    if (!job || !of->team ||
        (attempt->preempt_protected &&
         kr_attempt_run_time_s (attempt, now) < KR_FIRST_TASK_PROTECT_S) ||
        attempt->state == KR_TASK_EXITED || attempt->state == KR_TASK_UNCONFIRMED ||
        (job->spec->priority > live_job->job->spec->priority && !upward) ||
        g_ptr_array_find (out, attempt, NULL) ||
        !kr_placement_may_preempt (live_job->job->spec, live_job->team, live_job->used, job->spec,
                                   of->team, of->used))
      continue;
    double x =
        attempt->kill ? 0 : loss_of (attempt, job, now); /* those stopping already come first */
    if (!best || x < *loss) {
      best = attempt;
      *loss = x;
    }
  }
  return best;
}

/* Whom to stop on `b` so that one task of `c` fits; NULL if that is not enough. */
static GPtrArray *
victims (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, gint64 now, double *total)
{
  g_autoptr (GPtrArray) out = g_ptr_array_new ();
  KrResources room;
  *total = 0;
  if (!free_room (shard, machine, &room))
    return NULL;
  while (!kr_resources_fit (&room, live_job->job->spec)) {
    double loss = 0;
    KrAttempt *attempt = victim (shard, machine, live_job, out, now, &loss);
    if (!attempt)
      return NULL;
    g_ptr_array_add (out, attempt);
    *total += loss;
    kr_resources_add (&room, kr_attempt_job (attempt)->spec);
  }
  return g_steal_pointer (&out);
}

/* Holds a machine for a waiting job, and stops there what has run no longer than `most` seconds:
 * the rest may end by itself first. */
static void
hold (KrShard *shard, KrMachine *machine, KrLiveJob *live_job, GPtrArray *stop, double most,
      gint64 now)
{
  gboolean any = FALSE;
  if (g_strcmp0 (machine->reserved_for, live_job->job->spec->id) != 0) {
    g_free (machine->reserved_for);
    machine->reserved_for = g_strdup (live_job->job->spec->id);
  }
  machine->reserved_until = now + kr_seconds_to_us (KR_PREEMPT_RESERVE_S);
  for (guint i = 0; i < stop->len; i++) {
    KrAttempt *attempt = stop->pdata[i];
    if (attempt->kill || loss_of (attempt, kr_attempt_job (attempt), now) > most)
      continue;
    attempt->kill = KR_KILL_GRACEFUL;
    any = TRUE;
    kr_info ("task %s/%u: stopped on %s for %s", attempt->job_id, attempt->task_index, machine->id,
             live_job->job->spec->id);
  }
  if (any)
    kr_shard_command_kills (shard, machine);
}

static guint
places_on (KrShard *shard, const KrMachine *machine, const KrLiveJob *live_job)
{
  const KrMachineType *type =
      machine->type ? kr_node_machine_type (shard->node, machine->type) : NULL;
  return type ? MAX (1, (guint) (1 / kr_placement_machine_share (live_job->job->spec, type))) : 0;
}

/* Tasks of `c` that the machines held for it have room for, once what may be stopped there has. */
static guint
held_places (KrShard *shard, KrLiveJob *live_job, double most, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    double total;
    if (g_strcmp0 (machine->reserved_for, live_job->job->spec->id) != 0 ||
        now >= machine->reserved_until || !kr_shard_usable (shard, machine, now))
      continue;
    g_autoptr (GPtrArray) stop = victims (shard, machine, live_job, now, &total);
    if (!stop)
      continue; /* no longer of use: runs out */
    hold (shard, machine, live_job, stop, most, now);
    n += places_on (shard, machine, live_job);
  }
  return n;
}

/* A machine that could be held, whom to stop there, and what that loses. */
typedef struct {
  KrMachine *machine;
  GPtrArray *stop;
  double total;
} Holdable;

static void
holdable_free (gpointer p)
{
  Holdable *h = p;
  g_ptr_array_unref (h->stop);
  g_free (h);
}

static int
least_loss (gconstpointer a, gconstpointer b)
{
  const Holdable *x = *(Holdable *const *) a, *y = *(Holdable *const *) b;
  return x->total < y->total ? -1 : x->total > y->total;
}

/* The machines not held yet, those first where making room for one task of `c` loses least. */
static GPtrArray *
holdable (KrShard *shard, KrLiveJob *live_job, gint64 now)
{
  GPtrArray *all = g_ptr_array_new_with_free_func (holdable_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    double total;
    if ((machine->reserved_for && now < machine->reserved_until) || machine->move_to >= 0 ||
        !kr_shard_usable (shard, machine, now) || !may_run_here (shard, machine, live_job, now))
      continue;
    GPtrArray *stop = victims (shard, machine, live_job, now, &total);
    if (!stop)
      continue;
    if (!has_image (machine, live_job->job))
      total += fetch_s (shard, machine, live_job->job); /* as good as run time lost */
    Holdable *h = g_new (Holdable, 1);
    *h = (Holdable){ machine, stop, total };
    g_ptr_array_add (all, h);
  }
  g_ptr_array_sort (all, least_loss);
  return all;
}

static int
rank_first (gconstpointer a, gconstpointer b)
{
  const KrLiveJob *live_job = *(KrLiveJob *const *) a, *y = *(KrLiveJob *const *) b;
  if (live_job->job->spec->priority != y->job->spec->priority)
    return live_job->job->spec->priority > y->job->spec->priority ? -1 : 1;
  return kr_ranking_compare (&live_job->ranking_key, &y->ranking_key);
}

/* Permitted preemption: a job that waits holds machines on which lower work may be stopped. What
 * has run for less than the job has waited is stopped at once, the rest when half of the time in
 * which it should have started is over. */
void
kr_shard_preempt (KrShard *shard, gint64 now)
{
  if (shard->phase != SHARD_OPEN || !shard->node->machine_types)
    return;
  rank_all (shard, now);
  g_autoptr (GPtrArray) order = g_ptr_array_copy (shard->live_jobs, NULL, NULL);
  g_ptr_array_sort (order, rank_first);
  for (guint i = 0; i < order->len; i++) {
    KrLiveJob *live_job = order->pdata[i];
    KrJob *job = live_job->job;
    double waited = live_job->estimate_input.now - job->submitted_at;
    gboolean guarantee = live_job->team && live_job->team->cpus > 0 && !job->cancelled &&
                         now >= job->backoff_until &&
                         waited >= MIN (live_job->preempt_all_after_s, KR_PREEMPT_WAIT_S);
    if (!kr_job_unstarted (job) || (!live_job->may_preempt && !guarantee))
      continue;
    double most = waited > live_job->preempt_all_after_s ? G_MAXDOUBLE : waited;
    KrResources used = *live_job->used;
    guint want = 0, held = held_places (shard, live_job, most, now);
    for (; want < kr_job_unstarted (job) &&
           kr_placement_task_within_quota (live_job->team, &used, job->spec);
         want++)
      kr_resources_add (&used, job->spec);
    if (held >= want)
      continue;
    g_autoptr (GPtrArray) more = holdable (shard, live_job, now);
    for (guint k = 0; k < more->len && held < want; k++) {
      const Holdable *h = more->pdata[k];
      hold (shard, h->machine, live_job, h->stop, most, now);
      held += places_on (shard, h->machine, live_job);
    }
  }
}

/* Places held for tasks that shall not start any more. */
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
/* Silent for so long that it is probably lost: others are rented in its place. */
static gboolean
silent (KrShard *shard, const KrMachine *machine, gint64 now)
{
  return machine->last_report_at &&
         now - machine->last_report_at >
             kr_seconds_to_us (KR_SILENT_REPORT_PERIODS * shard->node->settings->report_interval_s);
}

/* Of `want` tasks, as many as the limits of the job's team let run beside `used`, which grows. */
static double
within_limits (const KrLiveJob *live_job, double want, KrResources *used)
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

/* Tasks that may start as far as failures go. */
static double
startable (const KrJob *job, gint64 now)
{
  if (job->cancelled || now < job->backoff_until)
    return 0;
  return kr_job_is_suspect (job) ? MIN (kr_job_unstarted (job), 1) : kr_job_unstarted (job);
}

/* Slots that the job wants started for its goal (the min variant). */
static double
slots_wanted (const KrLiveJob *live_job)
{
  /* Toward a moment before the goal: fetches, reports and moves take time that the paper's
   * estimate does not count, and a job given just what it needs ends just too late. */
  KrEstimateInput sooner = live_job->estimate_input;
  sooner.goal = sooner.submitted + KR_RENT_GOAL_SHARE * (sooner.goal - sooner.submitted);
  return kr_ranking_wanted_slots (&sooner);
}

static json_t *
types_json (const KrJobSpec *spec)
{
  if (!spec->types)
    return json_null ();
  json_t *types = json_array ();
  for (char **t = spec->types; *t; t++)
    json_array_append_new (types, json_string (*t));
  return types;
}

/* The live jobs' needs: `First` before all others', `Slots` to meet their goals, `Most` if there is
 * room for all. */
static json_t *
needs_json (KrShard *shard, gint64 now, gboolean *waiting)
{
  gsize size = shard->node->settings->teams->len * sizeof (KrResources);
  g_autofree KrResources *used = g_memdup2 (shard->team_usage, size),
                         *used_most = g_memdup2 (shard->team_usage, size);
  json_t *needs = json_array ();

  for (guint i = 0; i < shard->live_jobs->len; i++) {
    const KrLiveJob *live_job = shard->live_jobs->pdata[i];
    const KrJobSpec *spec = live_job->job->spec;
    if (live_job->job->cancelled || !live_job->team)
      continue;
    double all = startable (live_job->job, now);
    gsize team = (gsize) (live_job->used - shard->team_usage);
    double want = within_limits (live_job, MIN (slots_wanted (live_job), all), &used[team]);
    double most = within_limits (live_job, all, &used_most[team]);
    *waiting |= want > 0;
    if (most + live_job->estimate_input.running <= 0)
      continue;
    double first = waits_for_first (live_job, KR_STARVATION_MACHINE_S) ? MIN (want, 1) : 0;
    json_array_append_new (needs, json_pack ("{so ss* sb sf sf sf sf sf sf sb}", "Types",
                                             types_json (spec), "Zone", spec->zone, "Spot",
                                             spec->spot_allowed, "Cpus", spec->cpus, "Gpus",
                                             spec->gpus, "Mem", spec->mem_gb, "First", first,
                                             "Slots", want + live_job->estimate_input.running,
                                             "Most", most + live_job->estimate_input.running,
                                             "Urgent", spec->priority >= KR_PRIORITY_URGENT));
  }
  return needs;
}

/* As far as is known: a machine that has just come to the part may hold anything. */
static double
until_empty_s (KrShard *shard, const KrMachine *machine, gint64 now)
{
  return machine->has_reported ? rest_s (shard, machine, now)
                               : shard->node->settings->worker_lease_s;
}

/* Guards against one that has moved here and not reported yet: it has been up, and would otherwise
 * count as still to come, so that a further one is moved in its place. */
static gboolean
has_been_up (const KrMachine *machine)
{
  return machine->has_reported || machine->used;
}

static json_t *
machine_json (KrShard *shard, const KrMachine *machine, gint64 now)
{
  /* A silent one is not idle: it may hang and go on. How long to wait is watch_machine's to say. */
  gboolean lost = silent (shard, machine, now);
  double idle =
      machine->attempts->len || !machine->has_reported || lost || shard->phase != SHARD_OPEN
          ? -1
          : (double) (now - machine->idle_since) / G_USEC_PER_SEC;
  return json_pack ("{ss ss* sb sb sf sf sb sI}", "Id", machine->id, "Type", machine->type, "Spot",
                    machine->spot, "Up", has_been_up (machine), "Idle", idle, "Rest",
                    until_empty_s (shard, machine, now), "Going",
                    machine->drain || machine->deleting || machine->reclaim_at != 0 || lost, "To",
                    (json_int_t) machine->move_to);
}

json_t *
kr_shard_summary (KrShard *shard)
{
  gint64 now = kr_now ();
  gboolean waiting = FALSE;
  json_t *machines = json_array ();
  GHashTableIter it;
  gpointer machine;

  rank_all (shard, now);
  json_t *needs = needs_json (shard, now, &waiting);
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &machine))
    json_array_append_new (machines, machine_json (shard, machine, now));
  return json_pack ("{sI sb so so}", "Part", (json_int_t) shard->index, "Waiting", waiting, "Needs",
                    needs, "Berths", machines);
}
