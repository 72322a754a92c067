/* What starts where in a part: the paper's allocation, gangs, preemption, and the part's needs. */
#include "part-private.h"
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "log.h"
#include "place.h"
#include "rank.h"
#include <math.h>

/* --- scheduling ---------------------------------------------------------------------- */
static double
goal_of (KrPart *part, const KrJob *job)
{
  return job->at + (isnan (job->spec->deadline_s)
                        ? kr_settings_goal (part->node->settings, job->spec->lane)
                        : job->spec->deadline_s);
}

/* Seconds that fetching a job's image takes, on a machine or (NULL) on the slowest type. */
static double
fetch_s (KrPart *part, const KrMachine *machine, const KrJob *job)
{
  const KrType *type = machine && machine->type ? kr_node_type (part->node, machine->type) : NULL;
  double rate = type ? type->pull_gb_s : G_MAXDOUBLE;
  for (guint i = 0; !type && part->node->types && i < part->node->types->len; i++)
    rate = MIN (rate, ((KrType *) part->node->types->pdata[i])->pull_gb_s);
  return rate > 0 ? job->spec->image_gb / rate : 0;
}

/* Guards against a sound job held back for two faulty machines: its next try would have to end,
 * maybe minutes later. One that outlives the failures tells sooner. */
static void
judge_try (KrLive *live, gint64 now)
{
  KrJob *job = live->job;
  for (guint i = 0; kr_job_suspect (job) && i < live->launches->len; i++)
    if (kr_launch_ran_s (live->launches->pdata[i], now) >
        KR_OUTLIVED * job->failed_ran + KR_OUTLIVED_S)
      kr_job_clear_failures (job);
}

/* Nothing of it has begun for that long. */
static gboolean
waits_for_first (const KrLive *live, double seconds)
{
  const KrJob *job = live->job;
  return live->in.now - job->at > seconds && job->n_done == 0 && job->n_active == 0;
}

/* Whether a job has waited long enough to stop others' tasks: at once where its class's wait
 * objective leaves no time. */
static void
judge_waiting (KrPart *part, KrLive *live, KrRank lowest, gint64 now)
{
  const KrJob *job = live->job;
  double waited = live->in.now - job->at;
  double goal = kr_settings_wait (part->node->settings, job->spec->lane);
  /* Time left for waiting, when a report and a fetch still have to follow. */
  live->patience = MIN (goal / 2, goal - part->node->settings->report_s -
                                      fetch_s (part, NULL, job) - KR_DEFAULT_SLACK_S);
  live->stops = job->spec->rank > lowest && !job->cancelled && live->team &&
                now >= job->hold_until && waited >= MIN (live->patience, KR_PREEMPT_WAIT_S);
  live->starves = waits_for_first (live, KR_BEGIN_S);
}

/* --- live jobs ----------------------------------------------------------------------- */
KrLive *
kr_live_new (KrPart *part, KrJob *job)
{
  KrLive *live = g_new0 (KrLive, 1);
  const GPtrArray *teams = part->node->settings->teams;
  live->part = part;
  live->job = job;
  live->launches = g_ptr_array_new ();
  live->elapsed = g_array_new (FALSE, FALSE, sizeof (double));
  live->team = kr_settings_team (part->node->settings, job->spec->team);
  for (guint i = 0; i < teams->len; i++)
    if (teams->pdata[i] == live->team)
      live->used = &part->used[i];
  g_ptr_array_add (part->lives, live);
  part->ranked_at = 0;
  return live;
}

void
kr_live_free (gpointer live)
{
  KrLive *c = live;
  while (c->launches->len)
    kr_live_drop (c->launches->pdata[0]);
  g_ptr_array_unref (c->launches);
  g_array_unref (c->elapsed);
  g_ptr_array_remove_fast (c->part->lives, c);
  kr_job_free (c->job);
  g_free (c);
}

void
kr_live_add (KrLive *live, KrLaunch *launch)
{
  launch->of = live;
  launch->slot = live->launches->len;
  g_ptr_array_add (live->launches, launch);
  kr_job_add_active (live->job, launch->index);
  if (live->used)
    kr_place_give (live->used, live->job->spec);
}

void
kr_live_drop (KrLaunch *launch)
{
  KrLive *live = launch->of;
  if (!live)
    return;
  g_ptr_array_remove_index_fast (live->launches, launch->slot);
  if (launch->slot < live->launches->len)
    ((KrLaunch *) live->launches->pdata[launch->slot])->slot = launch->slot;
  launch->of = NULL;
  kr_job_drop_active (live->job, launch->index);
  if (live->used)
    kr_place_take (live->used, live->job->spec);
}

void
kr_live_stop (KrLive *live)
{
  for (guint i = 0; i < live->launches->len; i++)
    ((KrLaunch *) live->launches->pdata[i])->kill = KR_KILL_NOW;
}

KrJob *
kr_live_job (const KrLaunch *launch)
{
  return launch->of ? ((const KrLive *) launch->of)->job : NULL;
}

static void
rerank (KrPart *part, KrLive *live, gint64 now, double real)
{
  const KrJob *job = live->job;
  g_array_set_size (live->elapsed, live->launches->len);
  for (guint i = 0; i < live->launches->len; i++)
    g_array_index (live->elapsed, double, i) = kr_launch_ran_s (live->launches->pdata[i], now);
  live->in = (KrEstimateInput){ .sum = job->sum,
                                .count = job->count,
                                .unstarted = kr_job_unstarted (job),
                                .running = live->elapsed->len,
                                .elapsed = (const double *) (gpointer) live->elapsed->data,
                                .now = real,
                                .goal = goal_of (part, job),
                                .submitted = job->at,
                                .held = job->spec->form == KR_FORM_SERVICE,
                                .guess_s = job->spec->estimate_s };
  live->key = kr_rank_key (&live->in, job->spec->id);
}

/* Ranks all live jobs as of now; what was ranked within KR_RANK_MS and has not changed since stays.
 */
static void
rank_all (KrPart *part, gint64 now)
{
  KrRank lowest = KR_RANK_CRITICAL;
  double real = kr_time_of_day ();
  gboolean all = now - part->ranked_at >= KR_RANK_MS * 1000;

  for (guint i = 0; i < part->lives->len; i++) {
    KrLive *live = part->lives->pdata[i];
    if (all || live->in.running != live->launches->len || live->in.count != live->job->count ||
        live->in.unstarted != kr_job_unstarted (live->job))
      rerank (part, live, now, real);
    lowest = MIN (lowest, live->job->spec->rank);
    live->skip = FALSE;
  }
  for (guint i = 0; all && i < part->lives->len; i++) {
    judge_try (part->lives->pdata[i], now);
    judge_waiting (part, part->lives->pdata[i], lowest, now);
  }
  if (all)
    part->ranked_at = now;
}

static gboolean
free_room (KrPart *part, const KrMachine *machine, KrRoom *room)
{
  const KrType *type = machine->type ? kr_node_type (part->node, machine->type) : NULL;
  if (!type)
    return FALSE;
  *room = (KrRoom){ type->cpus, type->gpus, type->mem_gb };
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    if (launch->state == KR_TASK_EXITED)
      continue;
    if (!launch->of)
      return FALSE; /* unknown load: nothing more until it is gone */
    kr_place_take (room, kr_live_job (launch)->spec);
  }
  return TRUE;
}

static gboolean
spread_ok (const KrMachine *machine, const KrLive *live)
{
  KrSpread w = { 0, 0 };
  const KrSpec *spec = live->job->spec;
  if (!spec->one_zone && !spec->apart)
    return TRUE;
  for (guint i = 0; i < live->launches->len; i++) {
    const KrLaunch *launch = live->launches->pdata[i];
    w.total++;
    w.here += g_strcmp0 (launch->on->zone, machine->zone) == 0;
  }
  return kr_place_spread_ok (spec, &w);
}

static double
mean_of (const KrJob *job)
{
  const KrEstimateInput in = { .sum = job->sum,
                               .count = job->count,
                               .guess_s = job->spec->estimate_s };
  return kr_estimate_mean (&in);
}

/* Until a machine is empty, if nothing more starts. */
static double
rest_s (KrPart *part, const KrMachine *machine, gint64 now)
{
  double rest = 0;
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    if (launch->state == KR_TASK_EXITED)
      continue;
    double mean = launch->of ? mean_of (kr_live_job (launch)) : 0;
    rest = MAX (rest, mean - kr_launch_ran_s (launch, now));
  }
  return rest;
}

static gboolean
may_run_here (KrPart *part, const KrMachine *machine, const KrLive *live, gint64 now)
{
  KrJob *job = live->job;
  if (job->cancelled || job->chunks_missing || !live->team || now < job->hold_until ||
      kr_job_next (job) < 0)
    return FALSE;
  if (machine->reserved_for && now < machine->reserved_until &&
      !g_str_equal (machine->reserved_for, job->spec->id))
    return FALSE;
  /* A machine that empties itself takes what will end before it would be empty anyway. */
  if (machine->leaving_to >= 0 &&
      (!job->count || kr_estimate_mean (&live->in) > rest_s (part, machine, now)))
    return FALSE;
  /* It failed here and nowhere else: another machine shall tell which of the two is at fault, but
   * where none has room for it, it must not wait for that for ever. */
  if (!kr_job_suspect (job) && now - job->failed_at < kr_seconds (KR_FAILED_HERE_S) &&
      g_hash_table_contains (job->failed_on, machine->id) && g_hash_table_size (part->machines) > 1)
    return FALSE;
  return kr_place_allowed (job->spec, machine->type, machine->zone, machine->spot) &&
         spread_ok (machine, live);
}

KrReadiness
kr_part_readiness (KrPart *part, const KrMachine *machine, gint64 now)
{
  if (part->phase != OPEN)
    return KR_NOT_OPEN;
  if (!machine->known)
    return KR_NOT_KNOWN;
  if (!machine->used)
    return KR_NOT_RECORDED;
  if (kr_part_needs_fence (machine))
    return KR_NOT_FENCED;
  if (machine->drain || machine->deleting)
    return KR_DRAINING;
  if (machine->moving)
    return KR_MOVING;
  if (machine->notice_at)
    return KR_NOTICED;
  return now < machine->pause_until ? KR_PAUSED : KR_READY;
}

gboolean
kr_part_usable (KrPart *part, const KrMachine *machine, gint64 now)
{
  return kr_part_readiness (part, machine, now) == KR_READY;
}

/* Every start of a task goes by here, whatever chose it. */
static gboolean
may_start (KrPart *part, const KrMachine *machine, const KrJob *job, gint64 task, gint64 now)
{
  KrReadiness readiness = kr_part_readiness (part, machine, now);
  if (readiness != KR_READY) {
    kr_invariant_broken (KR_INVARIANT_MACHINE_READY, "task %s/%d would start on %s (reason %d)",
                         job->spec->id, (int) task, machine->id, readiness);
    return FALSE;
  }
  if (kr_part_has_ended (part, job->spec->id)) {
    kr_invariant_broken (KR_INVARIANT_ENDED, "task %s/%d would start on %s, its job has ended",
                         job->spec->id, (int) task, machine->id);
    return FALSE;
  }
  if (task < 0 || job->cancelled || kr_job_is_done (job, (guint) task) || job->active[task]) {
    kr_invariant_broken (KR_INVARIANT_ONE_LAUNCH,
                         "task %s/%d would start on %s (cancelled %d, token %" G_GUINT64_FORMAT ")",
                         job->spec->id, (int) task, machine->id, job->cancelled, part->token);
    return FALSE;
  }
  return TRUE;
}

/* The job's next task; NULL: it must not start. */
static KrLaunch *
start_launch (KrPart *part, KrMachine *machine, KrLive *live, gint64 now)
{
  KrJob *job = live->job;
  gint64 task = kr_job_next (job);
  if (!may_start (part, machine, job, task, now))
    return NULL;
  KrLaunch *launch = kr_machine_launch (machine, job->spec->id, (guint) task,
                                        (part->token << KR_LAUNCH_BITS) + ++part->launches);
  kr_live_add (live, launch);
  /* A job that fails wherever it runs is tried with one task a pause, until one succeeds. */
  if (kr_job_suspect (job)) {
    job->probing = TRUE;
    job->hold_until = now + kr_seconds (job->hold_s);
  }
  launch->first = live->starves;
  live->starves = FALSE;
  rerank (part, live, now, live->in.now);
  return launch;
}

/* A task at each place; `run` goes out with the machines' next reports. */
static void
start_gang (KrPart *part, KrLive *live, const GPtrArray *places, gint64 now)
{
  guint64 attempt = 0; /* one for all: its tasks gather by it (docs/questions.md) */
  kr_info ("job %s: a gang of %u gets its places", live->job->spec->id, places->len);
  for (guint i = 0; i < places->len; i++) {
    KrLaunch *launch = start_launch (part, places->pdata[i], live, now);
    if (!launch) /* its tasks are stopped, as of a gang that has lost some */
      return;
    launch->planned = TRUE;
    attempt = launch->attempt = attempt ? attempt : launch->attempt;
  }
}

/* A gang is granted only whole: places are held on as many machines as it takes, and each machine's
 * next report brings its tasks there. A gang with some tasks lost is stopped and starts again. */
static void
plan_gang (KrPart *part, KrLive *live, gint64 now)
{
  KrJob *job = live->job;
  KrRoom after = *live->used;
  g_autoptr (GPtrArray) places = g_ptr_array_new ();
  guint want = kr_job_unstarted (job);
  GHashTableIter it;
  gpointer value;

  if (live->launches->len) {
    kr_live_stop (live);
    return;
  }
  for (guint i = 0; i < want; i++) {
    if (!kr_place_team_ok (live->team, &after, job->spec))
      return;
    kr_place_give (&after, job->spec);
  }
  g_hash_table_iter_init (&it, part->machines);
  while (places->len < want && kr_part_next (part, &it, &value)) {
    KrMachine *machine = value;
    KrRoom room;
    if (!kr_part_usable (part, machine, now) || !may_run_here (part, machine, live, now) ||
        !free_room (part, machine, &room))
      continue;
    KrMachine *first = places->len ? places->pdata[0] : machine;
    if (job->spec->one_zone && g_strcmp0 (first->zone, machine->zone) != 0)
      continue;
    guint here = 0;
    for (guint i = 0; i < places->len; i++)
      here += g_strcmp0 (((KrMachine *) places->pdata[i])->zone, machine->zone) == 0;
    while (places->len < want && kr_place_has_room (&room, job->spec) &&
           (!job->spec->apart || here + 1 <= (job->spec->tasks + 1) / 2)) {
      kr_place_take (&room, job->spec);
      g_ptr_array_add (places, machine);
      here++;
    }
  }
  if (places->len < want)
    return;
  start_gang (part, live, places, now);
}

void
kr_part_run_planned (KrMachine *machine, json_t *orders)
{
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    if (!launch->planned)
      continue;
    launch->planned = FALSE;
    launch->doubt_seq = machine->seq;
    kr_wire_order_run (orders, launch->job, launch->index, launch->attempt);
  }
}

/* Exceptions to the paper's order, within each of which it holds: a job of which nothing has begun
 * for long gets its first task, since late jobs, of which a stream never ends, go before all
 * others, and of several such the oldest, since they may be a stream as well; then who may stop
 * others' tasks, since what is started instead would be stopped at once. */
static int
before (const KrLive *a, const KrLive *b)
{
  if (a->starves != b->starves)
    return a->starves ? -1 : 1;
  if (a->starves && a->job->at != b->job->at)
    return a->job->at < b->job->at ? -1 : 1;
  if (a->stops != b->stops)
    return a->stops ? -1 : 1;
  if (a->stops && a->job->spec->rank != b->job->spec->rank)
    return a->job->spec->rank > b->job->spec->rank ? -1 : 1;
  return kr_rank_compare (&a->key, &b->key);
}

/* The first in rank that fits the room left. */
static KrLive *
first_that_fits (KrPart *part, const KrMachine *machine, const KrRoom *room, gint64 now)
{
  KrLive *best = NULL;
  for (guint i = 0; i < part->lives->len; i++) {
    KrLive *live = part->lives->pdata[i];
    if (live->skip || (best && before (best, live) < 0))
      continue;
    /* Room and limits only shrink within a round: what fails once is out for good. */
    if (!kr_place_has_room (room, live->job->spec) || !may_run_here (part, machine, live, now) ||
        !kr_place_team_ok (live->team, live->used, live->job->spec)) {
      live->skip = TRUE;
      continue;
    }
    best = live;
  }
  return best;
}

/* Once the job for which room was held here has all its tasks, the rest is for the others. FALSE:
 * it has not. */
static gboolean
end_reservation (KrPart *part, KrMachine *machine)
{
  KrJob *holder = machine->reserved_for ? kr_part_job (part, machine->reserved_for) : NULL;
  if (!holder || kr_job_unstarted (holder))
    return FALSE;
  g_clear_pointer (&machine->reserved_for, g_free);
  for (guint i = 0; i < part->lives->len; i++)
    ((KrLive *) part->lives->pdata[i])->skip = FALSE;
  return TRUE;
}

static void
grant_task (KrPart *part, KrMachine *machine, KrLive *live, json_t *orders, gint64 now)
{
  const KrSpec *spec = live->job->spec;
  KrLaunch *launch = start_launch (part, machine, live, now);
  if (!launch) {
    live->skip = TRUE;
    return;
  }
  launch->doubt_seq = machine->seq;
  machine->idle_since = now;
  kr_wire_order_run (orders, spec->id, launch->index, launch->attempt);
  kr_debug ("task %s/%u: to %s", spec->id, launch->index, machine->id);
}

/* The paper's allocation, max variant, triggered by a machine's report: its free room goes out one
 * task at a time, to the first in rank that fits, and all are ranked anew after each grant. */
void
kr_part_grant (KrPart *part, KrMachine *machine, json_t *orders, gint64 now)
{
  KrRoom room;
  if (!kr_part_usable (part, machine, now) || !free_room (part, machine, &room))
    return;
  KrJob *waiting = machine->reserved_for ? kr_part_job (part, machine->reserved_for) : NULL;
  if (machine->reserved_for && (!waiting || !kr_job_unstarted (waiting)))
    g_clear_pointer (&machine->reserved_for, g_free);
  rank_all (part, now);

  for (;;) {
    KrLive *best = first_that_fits (part, machine, &room, now);
    if (!best && !end_reservation (part, machine))
      return;
    if (!best)
      continue;
    if (best->job->spec->form == KR_FORM_GANG) {
      plan_gang (part, best, now);
      best->skip = TRUE;
      if (!free_room (part, machine, &room))
        return;
    } else {
      grant_task (part, machine, best, orders, now);
      kr_place_take (&room, best->job->spec);
    }
  }
}

/* --- preemption ---------------------------------------------------------------------- */
static gboolean
has_image (const KrMachine *machine, const KrJob *job)
{
  return g_hash_table_contains (machine->images, job->spec->image);
}

/* What stopping a task loses, in seconds of its run. */
static double
loss_of (const KrLaunch *launch, const KrJob *job, gint64 now)
{
  double ran = kr_launch_ran_s (launch, now);
  return job->spec->checkpoint_s > 0 ? MIN (ran, job->spec->save_s) : ran;
}

/* The task on `b` that may be stopped for `c` and loses least; tasks in `out` are spoken for. */
static KrLaunch *
victim (KrPart *part, KrMachine *machine, KrLive *live, GPtrArray *out, gint64 now, double *loss)
{
  /* A guarantee may stop work of any Rank, but that of higher Rank only when the wait is over:
   * otherwise the two stop each other in turn. */
  gboolean upward =
      live->in.now - live->job->at > kr_settings_wait (part->node->settings, live->job->spec->lane);
  KrLaunch *best = NULL;
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    const KrLive *of = launch->of;
    const KrJob *job = of ? of->job : NULL;
    if (!job || !of->team || (launch->first && kr_launch_ran_s (launch, now) < KR_BEGIN_KEEP_S) ||
        launch->state == KR_TASK_EXITED || launch->state == KR_TASK_DOUBT ||
        (job->spec->rank > live->job->spec->rank && !upward) ||
        g_ptr_array_find (out, launch, NULL) ||
        !kr_place_may_stop (live->job->spec, live->team, live->used, job->spec, of->team, of->used))
      continue;
    double x =
        launch->kill ? 0 : loss_of (launch, job, now); /* those stopping already come first */
    if (!best || x < *loss) {
      best = launch;
      *loss = x;
    }
  }
  return best;
}

/* Whom to stop on `b` so that one task of `c` fits; NULL if that is not enough. */
static GPtrArray *
victims (KrPart *part, KrMachine *machine, KrLive *live, gint64 now, double *total)
{
  g_autoptr (GPtrArray) out = g_ptr_array_new ();
  KrRoom room;
  *total = 0;
  if (!free_room (part, machine, &room))
    return NULL;
  while (!kr_place_has_room (&room, live->job->spec)) {
    double loss = 0;
    KrLaunch *launch = victim (part, machine, live, out, now, &loss);
    if (!launch)
      return NULL;
    g_ptr_array_add (out, launch);
    *total += loss;
    kr_place_give (&room, kr_live_job (launch)->spec);
  }
  return g_steal_pointer (&out);
}

/* Holds a machine for a waiting job, and stops there what has run no longer than `most` seconds:
 * the rest may end by itself first. */
static void
hold (KrPart *part, KrMachine *machine, KrLive *live, GPtrArray *stop, double most, gint64 now)
{
  gboolean any = FALSE;
  if (g_strcmp0 (machine->reserved_for, live->job->spec->id) != 0) {
    g_free (machine->reserved_for);
    machine->reserved_for = g_strdup (live->job->spec->id);
  }
  machine->reserved_until = now + kr_seconds (KR_RESERVE_S);
  for (guint i = 0; i < stop->len; i++) {
    KrLaunch *launch = stop->pdata[i];
    if (launch->kill || loss_of (launch, kr_live_job (launch), now) > most)
      continue;
    launch->kill = KR_KILL_SLACK;
    any = TRUE;
    kr_info ("task %s/%u: stopped on %s for %s", launch->job, launch->index, machine->id,
             live->job->spec->id);
  }
  if (any)
    kr_part_command_kills (part, machine);
}

static guint
places_on (KrPart *part, const KrMachine *machine, const KrLive *live)
{
  const KrType *type = machine->type ? kr_node_type (part->node, machine->type) : NULL;
  return type ? MAX (1, (guint) (1 / kr_place_share (live->job->spec, type))) : 0;
}

/* Tasks of `c` that the machines held for it have room for, once what may be stopped there has. */
static guint
held_places (KrPart *part, KrLive *live, double most, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value)) {
    KrMachine *machine = value;
    double total;
    if (g_strcmp0 (machine->reserved_for, live->job->spec->id) != 0 ||
        now >= machine->reserved_until || !kr_part_usable (part, machine, now))
      continue;
    g_autoptr (GPtrArray) stop = victims (part, machine, live, now, &total);
    if (!stop)
      continue; /* no longer of use: runs out */
    hold (part, machine, live, stop, most, now);
    n += places_on (part, machine, live);
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
holdable (KrPart *part, KrLive *live, gint64 now)
{
  GPtrArray *all = g_ptr_array_new_with_free_func (holdable_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value)) {
    KrMachine *machine = value;
    double total;
    if ((machine->reserved_for && now < machine->reserved_until) || machine->leaving_to >= 0 ||
        !kr_part_usable (part, machine, now) || !may_run_here (part, machine, live, now))
      continue;
    GPtrArray *stop = victims (part, machine, live, now, &total);
    if (!stop)
      continue;
    if (!has_image (machine, live->job))
      total += fetch_s (part, machine, live->job); /* as good as run time lost */
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
  const KrLive *live = *(KrLive *const *) a, *y = *(KrLive *const *) b;
  if (live->job->spec->rank != y->job->spec->rank)
    return live->job->spec->rank > y->job->spec->rank ? -1 : 1;
  return kr_rank_compare (&live->key, &y->key);
}

/* Permitted preemption: a job that waits holds machines on which lower work may be stopped. What
 * has run for less than the job has waited is stopped at once, the rest when half of the time in
 * which it should have started is over. */
void
kr_part_preempt (KrPart *part, gint64 now)
{
  if (part->phase != OPEN || !part->node->types)
    return;
  rank_all (part, now);
  g_autoptr (GPtrArray) order = g_ptr_array_copy (part->lives, NULL, NULL);
  g_ptr_array_sort (order, rank_first);
  for (guint i = 0; i < order->len; i++) {
    KrLive *live = order->pdata[i];
    KrJob *job = live->job;
    double waited = live->in.now - job->at;
    gboolean guarantee = live->team && live->team->cpus > 0 && !job->cancelled &&
                         now >= job->hold_until &&
                         waited >= MIN (live->patience, KR_PREEMPT_WAIT_S);
    if (!kr_job_unstarted (job) || (!live->stops && !guarantee))
      continue;
    double most = waited > live->patience ? G_MAXDOUBLE : waited;
    KrRoom used = *live->used;
    guint want = 0, held = held_places (part, live, most, now);
    for (; want < kr_job_unstarted (job) && kr_place_team_ok (live->team, &used, job->spec); want++)
      kr_place_give (&used, job->spec);
    if (held >= want)
      continue;
    g_autoptr (GPtrArray) more = holdable (part, live, now);
    for (guint k = 0; k < more->len && held < want; k++) {
      const Holdable *h = more->pdata[k];
      hold (part, h->machine, live, h->stop, most, now);
      held += places_on (part, h->machine, live);
    }
  }
}

/* Places held for tasks that shall not start any more. */
void
kr_part_drop_planned (KrPart *part, KrMachine *machine)
{
  for (guint i = machine->launches->len; i-- > 0;) {
    KrLaunch *launch = machine->launches->pdata[i];
    if (!launch->planned || (!launch->kill && kr_part_usable (part, machine, kr_now ())))
      continue;
    launch = g_ptr_array_steal_index (machine->launches, i);
    launch->gone = KR_GONE_UNSENT;
    kr_part_saw (machine, launch, KR_SAW_GONE, part);
    kr_launch_free (launch);
  }
}

/* --- for the leader ------------------------------------------------------------------ */
/* Silent for so long that it is probably lost: others are rented in its place. */
static gboolean
silent (KrPart *part, const KrMachine *machine, gint64 now)
{
  return machine->heard &&
         now - machine->heard > kr_seconds (KR_SILENT_REPORTS * part->node->settings->report_s);
}

/* Of `want` tasks, as many as the limits of the job's team let run beside `used`, which grows. */
static double
within_limits (const KrLive *live, double want, KrRoom *used)
{
  const KrSpec *spec = live->job->spec;
  if (live->team->cpus_max > 0 && spec->cpus > 0)
    want = MIN (want, MAX (0, (live->team->cpus_max - used->cpus) / spec->cpus));
  if (live->team->gpus_max > 0 && spec->gpus > 0)
    want = MIN (want, MAX (0, (live->team->gpus_max - used->gpus) / spec->gpus));
  used->cpus += want * spec->cpus;
  used->gpus += want * spec->gpus;
  return want;
}

/* Tasks that may start as far as failures go. */
static double
startable (const KrJob *job, gint64 now)
{
  if (job->cancelled || now < job->hold_until)
    return 0;
  return kr_job_suspect (job) ? MIN (kr_job_unstarted (job), 1) : kr_job_unstarted (job);
}

/* Slots that the job wants started for its goal (the min variant). */
static double
slots_wanted (const KrLive *live)
{
  /* Toward a moment before the goal: fetches, reports and moves take time that the paper's
   * estimate does not count, and a job given just what it needs ends just too late. */
  KrEstimateInput sooner = live->in;
  sooner.goal = sooner.submitted + KR_RENT_GOAL * (sooner.goal - sooner.submitted);
  return kr_rank_want (&sooner);
}

static json_t *
types_json (const KrSpec *spec)
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
needs_json (KrPart *part, gint64 now, gboolean *waiting)
{
  gsize size = part->node->settings->teams->len * sizeof (KrRoom);
  g_autofree KrRoom *used = g_memdup2 (part->used, size), *used_most = g_memdup2 (part->used, size);
  json_t *needs = json_array ();

  for (guint i = 0; i < part->lives->len; i++) {
    const KrLive *live = part->lives->pdata[i];
    const KrSpec *spec = live->job->spec;
    if (live->job->cancelled || !live->team)
      continue;
    double all = startable (live->job, now);
    gsize team = (gsize) (live->used - part->used);
    double want = within_limits (live, MIN (slots_wanted (live), all), &used[team]);
    double most = within_limits (live, all, &used_most[team]);
    *waiting |= want > 0;
    if (most + live->in.running <= 0)
      continue;
    double first = waits_for_first (live, KR_BEGIN_SHARE_S) ? MIN (want, 1) : 0;
    json_array_append_new (
        needs, json_pack ("{so ss* sb sf sf sf sf sf sf sb}", "Types", types_json (spec), "Zone",
                          spec->zone, "Spot", spec->spot, "Cpus", spec->cpus, "Gpus", spec->gpus,
                          "Mem", spec->mem_gb, "First", first, "Slots", want + live->in.running,
                          "Most", most + live->in.running, "Urgent", spec->rank >= KR_RANK_URGENT));
  }
  return needs;
}

/* As far as is known: a machine that has just come to the part may hold anything. */
static double
until_empty_s (KrPart *part, const KrMachine *machine, gint64 now)
{
  return machine->known ? rest_s (part, machine, now) : part->node->settings->lease_s;
}

/* Guards against one that has moved here and not reported yet: it has been up, and would otherwise
 * count as still to come, so that a further one is moved in its place. */
static gboolean
has_been_up (const KrMachine *machine)
{
  return machine->known || machine->used;
}

static json_t *
machine_json (KrPart *part, const KrMachine *machine, gint64 now)
{
  /* A silent one is not idle: it may hang and go on. How long to wait is watch_machine's to say. */
  gboolean lost = silent (part, machine, now);
  double idle = machine->launches->len || !machine->known || lost || part->phase != OPEN
                    ? -1
                    : (double) (now - machine->idle_since) / G_USEC_PER_SEC;
  return json_pack ("{ss ss* sb sb sf sf sb sI}", "Id", machine->id, "Type", machine->type, "Spot",
                    machine->spot, "Up", has_been_up (machine), "Idle", idle, "Rest",
                    until_empty_s (part, machine, now), "Going",
                    machine->drain || machine->deleting || machine->notice_at != 0 || lost, "To",
                    (json_int_t) machine->leaving_to);
}

json_t *
kr_part_summary (KrPart *part)
{
  gint64 now = kr_now ();
  gboolean waiting = FALSE;
  json_t *machines = json_array ();
  GHashTableIter it;
  gpointer machine;

  rank_all (part, now);
  json_t *needs = needs_json (part, now, &waiting);
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &machine))
    json_array_append_new (machines, machine_json (part, machine, now));
  return json_pack ("{sI sb so so}", "Part", (json_int_t) part->index, "Waiting", waiting, "Needs",
                    needs, "Berths", machines);
}
