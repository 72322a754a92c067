/* What starts where in a part: the paper's allocation, gangs, preemption, and the part's needs. */
#include "part-private.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "place.h"
#include "rank.h"
#include <math.h>

/* --- scheduling ---------------------------------------------------------------------- */
static double
goal_of (KrPart *p, const KrJob *j)
{
  return j->at + (isnan (j->spec->deadline_s) ? kr_settings_goal (p->node->settings, j->spec->lane)
                                              : j->spec->deadline_s);
}

/* Seconds that fetching a job's image takes, on a machine or (NULL) on the slowest type. */
static double
fetch_s (KrPart *p, const KrMachine *b, const KrJob *j)
{
  const KrType *t = b && b->type ? kr_node_type (p->node, b->type) : NULL;
  double rate = t ? t->pull_gb_s : G_MAXDOUBLE;
  for (guint i = 0; !t && p->node->types && i < p->node->types->len; i++)
    rate = MIN (rate, ((KrType *) p->node->types->pdata[i])->pull_gb_s);
  return rate > 0 ? j->spec->image_gb / rate : 0;
}

/* Guards against a sound job held back for two faulty machines: its next try would have to end,
 * maybe minutes later. One that outlives the failures tells sooner. */
static void
judge_try (KrLive *c, gint64 now)
{
  KrJob *j = c->job;
  for (guint i = 0; kr_job_suspect (j) && i < c->launches->len; i++)
    if (kr_launch_ran_s (c->launches->pdata[i], now) > KR_OUTLIVED * j->failed_ran + KR_OUTLIVED_S)
      kr_job_clear_failures (j);
}

/* Nothing of it has begun for that long. */
static gboolean
waits_for_first (const KrLive *c, double seconds)
{
  const KrJob *j = c->job;
  return c->in.now - j->at > seconds && j->n_done == 0 && j->n_active == 0;
}

/* Whether a job has waited long enough to stop others' tasks: at once where its class's wait
 * objective leaves no time. */
static void
judge_waiting (KrPart *p, KrLive *c, KrRank lowest, gint64 now)
{
  const KrJob *j = c->job;
  double waited = c->in.now - j->at;
  double goal = kr_settings_wait (p->node->settings, j->spec->lane);
  /* Time left for waiting, when a report and a fetch still have to follow. */
  c->patience = MIN (goal / 2, goal - p->node->settings->report_s - fetch_s (p, NULL, j) -
                                   KR_DEFAULT_SLACK_S);
  c->stops = j->spec->rank > lowest && !j->cancelled && c->team && now >= j->hold_until &&
             waited >= MIN (c->patience, KR_PREEMPT_WAIT_S);
  c->starves = waits_for_first (c, KR_BEGIN_S);
}

/* --- live jobs ----------------------------------------------------------------------- */
KrLive *
kr_live_new (KrPart *p, KrJob *job)
{
  KrLive *c = g_new0 (KrLive, 1);
  const GPtrArray *teams = p->node->settings->teams;
  c->part = p;
  c->job = job;
  c->launches = g_ptr_array_new ();
  c->elapsed = g_array_new (FALSE, FALSE, sizeof (double));
  c->team = kr_settings_team (p->node->settings, job->spec->team);
  for (guint i = 0; i < teams->len; i++)
    if (teams->pdata[i] == c->team)
      c->used = &p->used[i];
  g_ptr_array_add (p->lives, c);
  p->ranked_at = 0;
  return c;
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
kr_live_add (KrLive *c, KrLaunch *l)
{
  l->of = c;
  l->slot = c->launches->len;
  g_ptr_array_add (c->launches, l);
  kr_job_add_active (c->job, l->index);
  if (c->used)
    kr_place_give (c->used, c->job->spec);
}

void
kr_live_drop (KrLaunch *l)
{
  KrLive *c = l->of;
  if (!c)
    return;
  g_ptr_array_remove_index_fast (c->launches, l->slot);
  if (l->slot < c->launches->len)
    ((KrLaunch *) c->launches->pdata[l->slot])->slot = l->slot;
  l->of = NULL;
  kr_job_drop_active (c->job, l->index);
  if (c->used)
    kr_place_take (c->used, c->job->spec);
}

void
kr_live_stop (KrLive *c)
{
  for (guint i = 0; i < c->launches->len; i++)
    ((KrLaunch *) c->launches->pdata[i])->kill = KR_KILL_NOW;
}

KrJob *
kr_live_job (const KrLaunch *l)
{
  return l->of ? ((const KrLive *) l->of)->job : NULL;
}

static void
rerank (KrPart *p, KrLive *c, gint64 now, double real)
{
  const KrJob *j = c->job;
  g_array_set_size (c->elapsed, c->launches->len);
  for (guint i = 0; i < c->launches->len; i++)
    g_array_index (c->elapsed, double, i) = kr_launch_ran_s (c->launches->pdata[i], now);
  c->in = (KrEstimateInput){ .sum = j->sum,
                             .count = j->count,
                             .unstarted = kr_job_unstarted (j),
                             .running = c->elapsed->len,
                             .elapsed = (const double *) (gpointer) c->elapsed->data,
                             .now = real,
                             .goal = goal_of (p, j),
                             .submitted = j->at,
                             .held = j->spec->form == KR_FORM_SERVICE,
                             .guess_s = j->spec->estimate_s };
  c->key = kr_rank_key (&c->in, j->spec->id);
}

/* Ranks all live jobs as of now; what was ranked within KR_RANK_MS and has not changed since stays.
 */
static void
rank_all (KrPart *p, gint64 now)
{
  KrRank lowest = KR_RANK_CRITICAL;
  double real = kr_time_of_day ();
  gboolean all = now - p->ranked_at >= KR_RANK_MS * 1000;

  for (guint i = 0; i < p->lives->len; i++) {
    KrLive *c = p->lives->pdata[i];
    if (all || c->in.running != c->launches->len || c->in.count != c->job->count ||
        c->in.unstarted != kr_job_unstarted (c->job))
      rerank (p, c, now, real);
    lowest = MIN (lowest, c->job->spec->rank);
    c->skip = FALSE;
  }
  for (guint i = 0; all && i < p->lives->len; i++) {
    judge_try (p->lives->pdata[i], now);
    judge_waiting (p, p->lives->pdata[i], lowest, now);
  }
  if (all)
    p->ranked_at = now;
}

static gboolean
free_room (KrPart *p, const KrMachine *b, KrRoom *room)
{
  const KrType *t = b->type ? kr_node_type (p->node, b->type) : NULL;
  if (!t)
    return FALSE;
  *room = (KrRoom){ t->cpus, t->gpus, t->mem_gb };
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    if (l->state == KR_TASK_EXITED)
      continue;
    if (!l->of)
      return FALSE; /* unknown load: nothing more until it is gone */
    kr_place_take (room, kr_live_job (l)->spec);
  }
  return TRUE;
}

static gboolean
spread_ok (const KrMachine *b, const KrLive *c)
{
  KrSpread w = { 0, 0 };
  const KrSpec *s = c->job->spec;
  if (!s->one_zone && !s->apart)
    return TRUE;
  for (guint i = 0; i < c->launches->len; i++) {
    const KrLaunch *l = c->launches->pdata[i];
    w.total++;
    w.here += g_strcmp0 (l->on->zone, b->zone) == 0;
  }
  return kr_place_spread_ok (s, &w);
}

static double
mean_of (const KrJob *j)
{
  const KrEstimateInput in = { .sum = j->sum, .count = j->count, .guess_s = j->spec->estimate_s };
  return kr_estimate_mean (&in);
}

/* Until a machine is empty, if nothing more starts. */
static double
rest_s (KrPart *p, const KrMachine *b, gint64 now)
{
  double rest = 0;
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    if (l->state == KR_TASK_EXITED)
      continue;
    double mean = l->of ? mean_of (kr_live_job (l)) : 0;
    rest = MAX (rest, mean - kr_launch_ran_s (l, now));
  }
  return rest;
}

static gboolean
may_run_here (KrPart *p, const KrMachine *b, const KrLive *c, gint64 now)
{
  KrJob *j = c->job;
  if (j->cancelled || j->chunks_missing || !c->team || now < j->hold_until || kr_job_next (j) < 0)
    return FALSE;
  if (b->reserved_for && now < b->reserved_until && !g_str_equal (b->reserved_for, j->spec->id))
    return FALSE;
  /* A machine that empties itself takes what will end before it would be empty anyway. */
  if (b->leaving_to >= 0 && (!j->count || kr_estimate_mean (&c->in) > rest_s (p, b, now)))
    return FALSE;
  /* It failed here and nowhere else: another machine shall tell which of the two is at fault, but
   * where none has room for it, it must not wait for that for ever. */
  if (!kr_job_suspect (j) && now - j->failed_at < kr_seconds (KR_FAILED_HERE_S) &&
      g_hash_table_contains (j->failed_on, b->id) && g_hash_table_size (p->machines) > 1)
    return FALSE;
  return kr_place_allowed (j->spec, b->type, b->zone, b->spot) && spread_ok (b, c);
}

static KrLaunch *
launch (KrPart *p, KrMachine *b, KrLive *c, guint task, gint64 now)
{
  KrJob *j = c->job;
  KrLaunch *l =
      kr_machine_launch (b, j->spec->id, task, (p->token << KR_LAUNCH_BITS) + ++p->launches);

  kr_live_add (c, l);
  /* A job that fails wherever it runs is tried with one task a pause, until one succeeds. */
  if (kr_job_suspect (j)) {
    j->probing = TRUE;
    j->hold_until = now + kr_seconds (j->hold_s);
  }
  l->first = c->starves;
  c->starves = FALSE;
  rerank (p, c, now, c->in.now);
  return l;
}

gboolean
kr_part_usable (KrPart *p, const KrMachine *b, gint64 now)
{
  return p->phase == OPEN && b->known && b->used && !kr_part_needs_fence (b) && !b->drain &&
         !b->deleting && !b->moving && !b->notice_at && now >= b->pause_until;
}

/* A gang is granted only whole: places are held on as many machines as it takes, and each machine's
 * next report brings its tasks there. A gang with some tasks lost is stopped and starts again. */
static void
plan_gang (KrPart *p, KrLive *c, gint64 now)
{
  KrJob *j = c->job;
  KrRoom after = *c->used;
  g_autoptr (GPtrArray) places = g_ptr_array_new ();
  guint want = kr_job_unstarted (j);
  GHashTableIter it;
  gpointer value;

  if (c->launches->len) {
    kr_live_stop (c);
    return;
  }
  for (guint i = 0; i < want; i++) {
    if (!kr_place_team_ok (c->team, &after, j->spec))
      return;
    kr_place_give (&after, j->spec);
  }
  g_hash_table_iter_init (&it, p->machines);
  while (places->len < want && kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    KrRoom room;
    if (!kr_part_usable (p, b, now) || !may_run_here (p, b, c, now) || !free_room (p, b, &room))
      continue;
    KrMachine *first = places->len ? places->pdata[0] : b;
    if (j->spec->one_zone && g_strcmp0 (first->zone, b->zone) != 0)
      continue;
    guint here = 0;
    for (guint i = 0; i < places->len; i++)
      here += g_strcmp0 (((KrMachine *) places->pdata[i])->zone, b->zone) == 0;
    while (places->len < want && kr_place_has_room (&room, j->spec) &&
           (!j->spec->apart || here + 1 <= (j->spec->tasks + 1) / 2)) {
      kr_place_take (&room, j->spec);
      g_ptr_array_add (places, b);
      here++;
    }
  }
  if (places->len < want)
    return;
  kr_info ("job %s: a gang of %u gets its places", j->spec->id, want);
  guint64 attempt = 0; /* one for all: its tasks gather by it (docs/questions.md) */
  for (guint i = 0; i < want; i++) {
    KrLaunch *l = launch (p, places->pdata[i], c, (guint) kr_job_next (j), now);
    l->planned = TRUE;
    attempt = l->attempt = attempt ? attempt : l->attempt;
  }
}

void
kr_part_run_planned (KrMachine *b, json_t *orders)
{
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    if (!l->planned)
      continue;
    l->planned = FALSE;
    l->doubt_seq = b->seq;
    kr_wire_order_run (orders, l->job, l->index, l->attempt);
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

/* The paper's allocation, max variant, triggered by a machine's report: its free room goes out one
 * task at a time, to the first in rank that fits, and all are ranked anew after each grant. */
void
kr_part_grant (KrPart *p, KrMachine *b, json_t *orders, gint64 now)
{
  KrRoom room;
  if (!kr_part_usable (p, b, now) || !free_room (p, b, &room))
    return;
  KrJob *waiting = b->reserved_for ? kr_part_job (p, b->reserved_for) : NULL;
  if (b->reserved_for && (!waiting || !kr_job_unstarted (waiting)))
    g_clear_pointer (&b->reserved_for, g_free);
  rank_all (p, now);

  for (;;) {
    KrLive *best = NULL;
    for (guint i = 0; i < p->lives->len; i++) {
      KrLive *c = p->lives->pdata[i];
      if (c->skip || (best && before (best, c) < 0))
        continue;
      /* Room and limits only shrink within a round: what fails once is out for good. */
      if (!kr_place_has_room (&room, c->job->spec) || !may_run_here (p, b, c, now) ||
          !kr_place_team_ok (c->team, c->used, c->job->spec)) {
        c->skip = TRUE;
        continue;
      }
      best = c;
    }
    if (!best) {
      /* The job for which room was held here has all its tasks: the rest is for the others. */
      KrJob *holder = b->reserved_for ? kr_part_job (p, b->reserved_for) : NULL;
      if (!holder || kr_job_unstarted (holder))
        return;
      g_clear_pointer (&b->reserved_for, g_free);
      for (guint i = 0; i < p->lives->len; i++)
        ((KrLive *) p->lives->pdata[i])->skip = FALSE;
      continue;
    }
    KrJob *j = best->job;
    if (j->spec->form == KR_FORM_GANG) {
      plan_gang (p, best, now);
      best->skip = TRUE;
      if (!free_room (p, b, &room))
        return;
      continue;
    }
    KrLaunch *l = launch (p, b, best, (guint) kr_job_next (j), now);
    guint task = l->index;
    l->doubt_seq = b->seq;
    kr_place_take (&room, j->spec);
    b->idle_since = now;
    kr_wire_order_run (orders, j->spec->id, task, l->attempt);
    kr_debug ("task %s/%u: to %s", j->spec->id, task, b->id);
  }
}

/* --- preemption ---------------------------------------------------------------------- */
static gboolean
has_image (const KrMachine *b, const KrJob *j)
{
  return g_hash_table_contains (b->images, j->spec->image);
}

/* What stopping a task loses, in seconds of its run. */
static double
loss_of (const KrLaunch *l, const KrJob *v, gint64 now)
{
  double ran = kr_launch_ran_s (l, now);
  return v->spec->checkpoint_s > 0 ? MIN (ran, v->spec->save_s) : ran;
}

/* The task on `b` that may be stopped for `c` and loses least; tasks in `out` are spoken for. */
static KrLaunch *
victim (KrPart *p, KrMachine *b, KrLive *c, GPtrArray *out, gint64 now, double *loss)
{
  /* A guarantee may stop work of any Rank, but that of higher Rank only when the wait is over:
   * otherwise the two stop each other in turn. */
  gboolean upward =
      c->in.now - c->job->at > kr_settings_wait (p->node->settings, c->job->spec->lane);
  KrLaunch *best = NULL;
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    const KrLive *of = l->of;
    const KrJob *v = of ? of->job : NULL;
    if (!v || !of->team || (l->first && kr_launch_ran_s (l, now) < KR_BEGIN_KEEP_S) ||
        l->state == KR_TASK_EXITED || l->state == KR_TASK_DOUBT ||
        (v->spec->rank > c->job->spec->rank && !upward) || g_ptr_array_find (out, l, NULL) ||
        !kr_place_may_stop (c->job->spec, c->team, c->used, v->spec, of->team, of->used))
      continue;
    double x = l->kill ? 0 : loss_of (l, v, now); /* those stopping already come first */
    if (!best || x < *loss) {
      best = l;
      *loss = x;
    }
  }
  return best;
}

/* Whom to stop on `b` so that one task of `c` fits; NULL if that is not enough. */
static GPtrArray *
victims (KrPart *p, KrMachine *b, KrLive *c, gint64 now, double *total)
{
  g_autoptr (GPtrArray) out = g_ptr_array_new ();
  KrRoom room;
  *total = 0;
  if (!free_room (p, b, &room))
    return NULL;
  while (!kr_place_has_room (&room, c->job->spec)) {
    double loss = 0;
    KrLaunch *l = victim (p, b, c, out, now, &loss);
    if (!l)
      return NULL;
    g_ptr_array_add (out, l);
    *total += loss;
    kr_place_give (&room, kr_live_job (l)->spec);
  }
  return g_steal_pointer (&out);
}

/* Holds a machine for a waiting job, and stops there what has run no longer than `most` seconds:
 * the rest may end by itself first. */
static void
hold (KrPart *p, KrMachine *b, KrLive *c, GPtrArray *stop, double most, gint64 now)
{
  gboolean any = FALSE;
  if (g_strcmp0 (b->reserved_for, c->job->spec->id) != 0) {
    g_free (b->reserved_for);
    b->reserved_for = g_strdup (c->job->spec->id);
  }
  b->reserved_until = now + kr_seconds (KR_RESERVE_S);
  for (guint i = 0; i < stop->len; i++) {
    KrLaunch *l = stop->pdata[i];
    if (l->kill || loss_of (l, kr_live_job (l), now) > most)
      continue;
    l->kill = KR_KILL_SLACK;
    any = TRUE;
    kr_info ("task %s/%u: stopped on %s for %s", l->job, l->index, b->id, c->job->spec->id);
  }
  if (any)
    kr_part_command_kills (p, b);
}

static guint
places_on (KrPart *p, const KrMachine *b, const KrLive *c)
{
  const KrType *t = b->type ? kr_node_type (p->node, b->type) : NULL;
  return t ? MAX (1, (guint) (1 / kr_place_share (c->job->spec, t))) : 0;
}

/* Tasks of `c` that the machines held for it have room for, once what may be stopped there has. */
static guint
held_places (KrPart *p, KrLive *c, double most, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    double total;
    if (g_strcmp0 (b->reserved_for, c->job->spec->id) != 0 || now >= b->reserved_until ||
        !kr_part_usable (p, b, now))
      continue;
    g_autoptr (GPtrArray) stop = victims (p, b, c, now, &total);
    if (!stop)
      continue; /* no longer of use: runs out */
    hold (p, b, c, stop, most, now);
    n += places_on (p, b, c);
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
holdable (KrPart *p, KrLive *c, gint64 now)
{
  GPtrArray *all = g_ptr_array_new_with_free_func (holdable_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    double total;
    if ((b->reserved_for && now < b->reserved_until) || b->leaving_to >= 0 ||
        !kr_part_usable (p, b, now) || !may_run_here (p, b, c, now))
      continue;
    GPtrArray *stop = victims (p, b, c, now, &total);
    if (!stop)
      continue;
    if (!has_image (b, c->job))
      total += fetch_s (p, b, c->job); /* as good as run time lost */
    Holdable *h = g_new (Holdable, 1);
    *h = (Holdable){ b, stop, total };
    g_ptr_array_add (all, h);
  }
  g_ptr_array_sort (all, least_loss);
  return all;
}

static int
rank_first (gconstpointer a, gconstpointer b)
{
  const KrLive *x = *(KrLive *const *) a, *y = *(KrLive *const *) b;
  if (x->job->spec->rank != y->job->spec->rank)
    return x->job->spec->rank > y->job->spec->rank ? -1 : 1;
  return kr_rank_compare (&x->key, &y->key);
}

/* Permitted preemption: a job that waits holds machines on which lower work may be stopped. What
 * has run for less than the job has waited is stopped at once, the rest when half of the time in
 * which it should have started is over. */
void
kr_part_preempt (KrPart *p, gint64 now)
{
  if (p->phase != OPEN || !p->node->types)
    return;
  rank_all (p, now);
  g_autoptr (GPtrArray) order = g_ptr_array_copy (p->lives, NULL, NULL);
  g_ptr_array_sort (order, rank_first);
  for (guint i = 0; i < order->len; i++) {
    KrLive *c = order->pdata[i];
    KrJob *j = c->job;
    double waited = c->in.now - j->at;
    gboolean guarantee = c->team && c->team->cpus > 0 && !j->cancelled && now >= j->hold_until &&
                         waited >= MIN (c->patience, KR_PREEMPT_WAIT_S);
    if (!kr_job_unstarted (j) || (!c->stops && !guarantee))
      continue;
    double most = waited > c->patience ? G_MAXDOUBLE : waited;
    KrRoom used = *c->used;
    guint want = 0, held = held_places (p, c, most, now);
    for (; want < kr_job_unstarted (j) && kr_place_team_ok (c->team, &used, j->spec); want++)
      kr_place_give (&used, j->spec);
    if (held >= want)
      continue;
    g_autoptr (GPtrArray) more = holdable (p, c, now);
    for (guint k = 0; k < more->len && held < want; k++) {
      const Holdable *h = more->pdata[k];
      hold (p, h->machine, c, h->stop, most, now);
      held += places_on (p, h->machine, c);
    }
  }
}

/* Places held for tasks that shall not start any more. */
void
kr_part_drop_planned (KrPart *p, KrMachine *b)
{
  for (guint i = b->launches->len; i-- > 0;) {
    KrLaunch *l = b->launches->pdata[i];
    if (!l->planned || (!l->kill && kr_part_usable (p, b, kr_now ())))
      continue;
    l = g_ptr_array_steal_index (b->launches, i);
    kr_part_saw (b, l, KR_SAW_GONE, p);
    kr_launch_free (l);
  }
}

/* --- for the leader ------------------------------------------------------------------ */
/* Silent for so long that it is probably lost: others are rented in its place. */
static gboolean
silent (KrPart *p, const KrMachine *b, gint64 now)
{
  return b->heard && now - b->heard > kr_seconds (KR_SILENT_REPORTS * p->node->settings->report_s);
}

/* Of `want` tasks, as many as the limits of the job's team let run beside `used`, which grows. */
static double
within_limits (const KrLive *c, double want, KrRoom *used)
{
  const KrSpec *s = c->job->spec;
  if (c->team->cpus_max > 0 && s->cpus > 0)
    want = MIN (want, MAX (0, (c->team->cpus_max - used->cpus) / s->cpus));
  if (c->team->gpus_max > 0 && s->gpus > 0)
    want = MIN (want, MAX (0, (c->team->gpus_max - used->gpus) / s->gpus));
  used->cpus += want * s->cpus;
  used->gpus += want * s->gpus;
  return want;
}

/* Tasks that may start as far as failures go. */
static double
startable (const KrJob *j, gint64 now)
{
  if (j->cancelled || now < j->hold_until)
    return 0;
  return kr_job_suspect (j) ? MIN (kr_job_unstarted (j), 1) : kr_job_unstarted (j);
}

/* Slots that the job wants started for its goal (the min variant). */
static double
slots_wanted (const KrLive *c)
{
  /* Toward a moment before the goal: fetches, reports and moves take time that the paper's
   * estimate does not count, and a job given just what it needs ends just too late. */
  KrEstimateInput sooner = c->in;
  sooner.goal = sooner.submitted + KR_RENT_GOAL * (sooner.goal - sooner.submitted);
  return kr_rank_want (&sooner);
}

static json_t *
types_json (const KrSpec *s)
{
  if (!s->types)
    return json_null ();
  json_t *types = json_array ();
  for (char **t = s->types; *t; t++)
    json_array_append_new (types, json_string (*t));
  return types;
}

/* The live jobs' needs: `First` before all others', `Slots` to meet their goals, `Most` if there is
 * room for all. */
static json_t *
needs_json (KrPart *p, gint64 now, gboolean *waiting)
{
  gsize size = p->node->settings->teams->len * sizeof (KrRoom);
  g_autofree KrRoom *used = g_memdup2 (p->used, size), *used_most = g_memdup2 (p->used, size);
  json_t *needs = json_array ();

  for (guint i = 0; i < p->lives->len; i++) {
    const KrLive *c = p->lives->pdata[i];
    const KrSpec *s = c->job->spec;
    if (c->job->cancelled || !c->team)
      continue;
    double all = startable (c->job, now);
    gsize team = (gsize) (c->used - p->used);
    double want = within_limits (c, MIN (slots_wanted (c), all), &used[team]);
    double most = within_limits (c, all, &used_most[team]);
    *waiting |= want > 0;
    if (most + c->in.running <= 0)
      continue;
    double first = waits_for_first (c, KR_BEGIN_SHARE_S) ? MIN (want, 1) : 0;
    json_array_append_new (
        needs, json_pack ("{so ss* sb sf sf sf sf sf sf sb}", "Types", types_json (s), "Zone",
                          s->zone, "Spot", s->spot, "Cpus", s->cpus, "Gpus", s->gpus, "Mem",
                          s->mem_gb, "First", first, "Slots", want + c->in.running, "Most",
                          most + c->in.running, "Urgent", s->rank >= KR_RANK_URGENT));
  }
  return needs;
}

/* As far as is known: a machine that has just come to the part may hold anything. */
static double
until_empty_s (KrPart *p, const KrMachine *b, gint64 now)
{
  return b->known ? rest_s (p, b, now) : p->node->settings->lease_s;
}

/* Guards against one that has moved here and not reported yet: it has been up, and would otherwise
 * count as still to come, so that a further one is moved in its place. */
static gboolean
has_been_up (const KrMachine *b)
{
  return b->known || b->used;
}

static json_t *
machine_json (KrPart *p, const KrMachine *b, gint64 now)
{
  /* A silent one is not idle: it may hang and go on. How long to wait is watch_machine's to say. */
  gboolean lost = silent (p, b, now);
  double idle = b->launches->len || !b->known || lost || p->phase != OPEN
                    ? -1
                    : (double) (now - b->idle_since) / G_USEC_PER_SEC;
  return json_pack ("{ss ss* sb sb sf sf sb sI}", "Id", b->id, "Type", b->type, "Spot", b->spot,
                    "Up", has_been_up (b), "Idle", idle, "Rest", until_empty_s (p, b, now), "Going",
                    b->drain || b->deleting || b->notice_at != 0 || lost, "To",
                    (json_int_t) b->leaving_to);
}

json_t *
kr_part_summary (KrPart *p)
{
  gint64 now = kr_now ();
  gboolean waiting = FALSE;
  json_t *machines = json_array ();
  GHashTableIter it;
  gpointer machine;

  rank_all (p, now);
  json_t *needs = needs_json (p, now, &waiting);
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &machine))
    json_array_append_new (machines, machine_json (p, machine, now));
  return json_pack ("{sI sb so so}", "Part", (json_int_t) p->index, "Waiting", waiting, "Needs",
                    needs, "Berths", machines);
}
