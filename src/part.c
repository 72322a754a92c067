#include "part-private.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "rent.h"
#include "worker.h"
#include <string.h>

static void delete_machine (KrPart *p, KrMachine *b, const char *why);

KrPart *
kr_part_ref (KrPart *p)
{
  g_ref_count_inc (&p->refs);
  return p;
}

void
kr_part_unref (KrPart *p)
{
  if (!g_ref_count_dec (&p->refs))
    return;
  g_hash_table_unref (p->jobs); /* before the machines: it lets go of their launches */
  g_hash_table_unref (p->machines);
  g_ptr_array_unref (p->lives);
  g_ptr_array_unref (p->held);
  g_free (p->used);
  g_hash_table_unref (p->leaving);
  g_object_unref (p->cancel);
  g_free (p);
}

guint64
kr_part_token (KrPart *p)
{
  return p->token;
}

KrMachine *
kr_part_machine (KrPart *p, const char *id)
{
  return g_hash_table_lookup (p->machines, id);
}

gboolean
kr_part_next (KrPart *p, GHashTableIter *it, gpointer *machine)
{
  p->walked++;
  return g_hash_table_iter_next (it, NULL, machine);
}

guint64
kr_part_walked (KrPart *p)
{
  return p->walked;
}

KrJob *
kr_part_job (KrPart *p, const char *id)
{
  KrLive *l = g_hash_table_lookup (p->jobs, id);
  return l ? l->job : NULL;
}

/* --- what reports show --------------------------------------------------------------- */
void
kr_part_count_launch (KrPart *p, KrLaunch *l)
{
  KrLive *live = g_hash_table_lookup (p->jobs, l->job);
  if (!live || l->of || l->state == KR_TASK_EXITED)
    return;
  const KrJob *j = live->job;
  /* Guards against a second copy: a completed, cancelled or elsewhere active task must not run. */
  if (j->cancelled || kr_job_is_done (j, l->index) ||
      (l->index < j->spec->tasks && j->active[l->index]))
    l->kill = KR_KILL_NOW;
  kr_live_add (live, l);
}

static void
task_failed (KrPart *p, KrMachine *b, KrJob *j, double ran_s, gint64 now)
{
  guint only_here = 0;
  GHashTableIter it;
  gpointer id;

  b->pause_until = now + kr_seconds (KR_JOB_HOLD_S / 2);
  g_hash_table_add (j->failed_on, g_strdup (b->id));
  j->failed_at = now;
  j->failed_ran = MAX (j->failed_ran, ran_s);
  g_hash_table_add (b->bad_jobs, g_strdup (j->spec->id));
  /* A job that fails on several machines is at fault itself: growing pauses keep it from taking
   * every free slot for ever once it is past its goal. */
  if (kr_job_suspect (j)) {
    /* What fails within a pause was started before it: the pause grows once a try. */
    if (j->probing || now >= j->hold_until) {
      j->hold_until = now + kr_seconds (j->hold_s);
      kr_info ("job %s: fails on %u machines, held for %.0f s", j->spec->id,
               g_hash_table_size (j->failed_on), j->hold_s);
      j->hold_s = MIN (j->hold_s * 2, KR_JOB_HOLD_MAX_S);
    }
    j->probing = FALSE;
  } else
    j->hold_until = 0;
  g_hash_table_iter_init (&it, b->bad_jobs);
  while (g_hash_table_iter_next (&it, &id, NULL)) {
    KrJob *o = kr_part_job (p, id);
    if (o && g_hash_table_size (o->failed_on) == 1)
      only_here += 1 + (o->count > 0);
  }
  if (only_here >= KR_SICK_JOBS && !b->drain) {
    kr_info ("machine %s: tasks fail only here, draining it", b->id);
    b->drain = TRUE;
  }
}

/* A machine much slower than its peers holds up whatever it gets: it is drained and returned. */
static void
judge_pace (KrMachine *b, const KrJob *j, double ran_s)
{
  if (j->count < KR_PACE_TASKS)
    return; /* nothing to compare with yet */
  double ratio = ran_s / MAX (j->sum / j->count, 1e-3);
  b->pace = b->paced++ ? b->pace + KR_PACE_WEIGHT * (ratio - b->pace) : ratio;
  if (b->paced >= KR_PACE_TASKS && b->pace > KR_PACE_SLOW && !b->drain) {
    kr_info ("machine %s: tasks take %.1f times as long as elsewhere, draining it", b->id, b->pace);
    b->drain = TRUE;
  }
}

void
kr_part_saw (KrMachine *b, KrLaunch *l, KrSaw what, gpointer data)
{
  KrPart *p = data;
  KrJob *j = kr_part_job (p, l->job);
  gint64 now = kr_now ();

  switch (what) {
  case KR_SAW_NEW:
    if (p->have_jobs)
      kr_part_count_launch (p, l);
    break;
  case KR_SAW_HEARD:
    b->unheard = 0;
    break;
  case KR_SAW_UNHEARD:
    /* Reports arrive, our answers do not: it looks idle and would be given work for ever. */
    b->pause_until =
        now + kr_seconds (
                  MIN (KR_UNHEARD_MAX_S,
                       KR_UNHEARD_S * (1u << KR_UNHEARD_SHIFT * MIN (b->unheard, KR_UNHEARD_MAX))));
    b->unheard++;
    kr_info ("machine %s: a launch did not reach it, no further ones for a while", b->id);
    break;
  case KR_SAW_RUNNING:
    kr_debug ("task %s/%u: runs on %s", l->job, l->index, b->id);
    if (j)
      g_hash_table_add (b->images, g_strdup (j->spec->image));
    if (j)
      j->dirty = TRUE;
    break;
  case KR_SAW_EXITED:
    kr_debug ("task %s/%u: exited on %s (%d)", l->job, l->index, b->id, l->why);
    kr_live_drop (l);
    if (!j)
      break;
    if (l->why == KR_WHY_DONE) {
      if (!kr_job_is_done (j, l->index)) {
        if (j->spec->form != KR_FORM_SERVICE) /* a service's task starts again */
          kr_job_set_done (j, l->index);
        j->dirty = TRUE;
        if (l->since && !l->adopted) {
          judge_pace (b, j, kr_launch_ran_s (l, now));
          j->sum += kr_launch_ran_s (l, now);
          j->count++;
        }
      }
      kr_job_clear_failures (j);
      g_hash_table_remove (b->bad_jobs, j->spec->id);
      if (kr_job_complete (j))
        kr_part_flush (p);
    } else if (l->why == KR_WHY_ERROR) {
      kr_info ("task %s/%u: error on %s", l->job, l->index, b->id);
      task_failed (p, b, j, kr_launch_ran_s (l, now), now);
    } else if (l->why == KR_WHY_REFUSED || l->why == KR_WHY_UNKNOWN)
      kr_info ("task %s/%u: start refused by %s", l->job, l->index, b->id);
    if (j->cancelled)
      kr_part_flush (p);
    break;
  case KR_SAW_GONE:
    if (l->state != KR_TASK_EXITED)
      kr_debug ("task %s/%u: gone from %s", l->job, l->index, b->id);
    kr_live_drop (l);
    if (j && j->cancelled)
      kr_part_flush (p);
    break;
  }
}

/* --- orders -------------------------------------------------------------------------- */
static double
slack (KrPart *p, const KrLaunch *l)
{
  const KrJob *j = kr_live_job (l);
  return l->kill == KR_KILL_SLACK && j && j->spec->checkpoint_s > 0
             ? j->spec->save_s + KR_DEFAULT_SLACK_S
             : 0;
}

/* Its kill is wanted and not already at work: a task that saves is left to it. */
static gboolean
to_kill (const KrLaunch *l)
{
  return l->kill && l->state != KR_TASK_EXITED &&
         !(l->kill == KR_KILL_SLACK && l->state == KR_TASK_SAVING);
}

static void
add_kills_and_clears (KrPart *p, KrMachine *b, json_t *orders)
{
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    KrJob *j = l->of ? kr_live_job (l) : kr_part_job (p, l->job);
    if (l->state == KR_TASK_EXITED) {
      /* Cleared only once the outcome is durable: until then the worker is the only witness. */
      if (l->why != KR_WHY_DONE || (j && j->spec->form == KR_FORM_SERVICE) ||
          (p->have_jobs && !j) || (j && kr_job_is_durable (j, l->index)) || (j && j->cancelled))
        kr_wire_order_clear (orders, l->job, l->index, l->attempt);
    } else {
      if (p->have_jobs && !j)
        l->kill = KR_KILL_NOW; /* its job is over */
      if (to_kill (l))
        kr_wire_order_kill (orders, l->job, l->index, l->attempt, slack (p, l));
    }
  }
}

/* A direct command's or a fence's answer. */
typedef struct {
  KrPart *part;
  char *id;
  gboolean fence;
} Contact;

static Contact *
contact_new (KrPart *p, KrMachine *b)
{
  Contact *c = g_new (Contact, 1);
  *c = (Contact){ kr_part_ref (p), g_strdup (b->id), FALSE };
  return c;
}

static void
contact_free (Contact *c)
{
  kr_part_unref (c->part);
  g_free (c->id);
  g_free (c);
}

static void
fence_tried (Contact *c, KrMachine *b, gboolean reached)
{
  if (!c->fence)
    return;
  c->part->fencing--;
  if (b) {
    b->fencing = FALSE;
    b->tries += !reached;
  }
}

static void
take_report (KrPart *p, KrMachine *b, const KrReport *r)
{
  kr_machine_apply (b, r, FALSE, p->token, kr_now (), kr_part_saw, p);
  if (r->token > p->token)
    kr_membership_renew_token (p->node->membership, p->index);
}

static void
commanded (guint status, KrReport *report, gpointer data)
{
  Contact *c = data;
  KrMachine *b = c->part->gone ? NULL : kr_part_machine (c->part, c->id);
  fence_tried (c, b, report != NULL);
  if (b && report && (status == 200 || status == 409))
    take_report (c->part, b, report);
  contact_free (c);
}

void
kr_part_command_kills (KrPart *p, KrMachine *b)
{
  if (!b->endpoint || !b->session)
    return;
  json_t *orders = kr_wire_commands_new (p->token, b->session);
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    /* In doubt: a direct kill may overtake the run; it is repeated in the responses. */
    if (to_kill (l))
      kr_wire_order_kill (orders, l->job, l->index, l->attempt, slack (p, l));
  }
  if (kr_wire_orders_count (orders) == 0) {
    json_decref (orders);
    return;
  }
  kr_worker_command (p->node->workers, b->endpoint, orders, p->cancel, commanded,
                     contact_new (p, b));
}

/* --- fencing ------------------------------------------------------------------------- */
static void
shown (guint status, KrReport *report, gpointer data)
{
  Contact *c = data;
  KrPart *p = c->part;
  KrMachine *b = p->gone ? NULL : kr_part_machine (p, c->id);

  if (!b || status != 200 || !report || !g_str_equal (report->machine, c->id)) {
    fence_tried (c, b, FALSE);
    contact_free (c);
    return;
  }
  kr_worker_command (p->node->workers, b->endpoint,
                     kr_wire_commands_new (p->token, report->session), p->cancel, commanded, c);
}

gboolean
kr_part_needs_fence (const KrMachine *b)
{
  return b->must_fence && !b->fenced;
}

/* Not only once since the takeover: it may have fallen silent right after. */
static gboolean
reports_now (KrPart *p, const KrMachine *b, gint64 now)
{
  double silent_s = KR_SILENT_REPORTS * p->node->settings->report_s;
  return b->heard && now - b->heard <= kr_seconds (silent_s);
}

/* Why a used machine that could not be fenced since the takeover is given up; NULL: not yet. What
 * counts is its silence to calls that did go out, not how far we have come. */
static const char *
give_up (KrPart *p, const KrMachine *b, guint unreached, guint used, gint64 now)
{
  double age = (double) (now - p->taken_at) / G_USEC_PER_SEC;
  if (b->tries < 1)
    return NULL;
  /* Guards against one that reports, but hears neither answers nor commands: the part would stay
   * closed for as long as that lasts. */
  if (reports_now (p, b, now))
    return b->tries >= KR_FENCE_TRIES && age > p->node->settings->lease_s
               ? "it reports, but takes no command"
               : NULL;
  /* It was up, so lists showed it; the newest, read since, does not. */
  if (p->listed_at > p->taken_at && !b->listed)
    return "not reached, and no longer listed";
  /* One lost machine must not keep a part with hundreds of others closed for a whole lease. */
  if (b->tries >= KR_FENCE_TRIES && unreached <= used / KR_FENCE_FEW && age > KR_FENCE_FEW_S)
    return "not reached while others were";
  if (!p->quiet_before && b->tries >= KR_FENCE_TRIES && age > KR_FENCE_GRACE_S)
    return "not reached by the new owner";
  return NULL;
}

static void
fence (KrPart *p, gint64 now)
{
  const KrSettings *s = p->node->settings;
  GHashTableIter it;
  gpointer value;
  guint unreached = 0, used = 0;

  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    const KrMachine *b = value;
    used += b->must_fence;
    unreached += kr_part_needs_fence (b) && !reports_now (p, b, now);
  }
  /* Unreachable ones hold their places until the time-out: with a quarter of the fleet behind a cut
   * a fixed window would ask the last of them half a minute late. */
  guint window = CLAMP (used / KR_FENCE_WAVES, KR_FENCE_WINDOW, kr_node_worker_conns (s));
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    const char *why;
    if (!kr_part_needs_fence (b) || b->deleting)
      continue;
    /* Restarted ourselves, no other owner since all were fenced: nobody else has answered it since
     * the takeover, so its lease is over. */
    if (p->quiet_before && kr_lease_over (MAX (p->taken_at, b->answered),
                                          kr_membership_proven (p->node->membership), s->lease_s)) {
      kr_info ("machine %s: not reached, its lease is over", b->id);
      kr_machine_clear (b, kr_part_saw, p);
      b->must_fence = FALSE;
      continue;
    }
    if ((why = give_up (p, b, unreached, used, now))) {
      delete_machine (p, b, why);
      continue;
    }
    /* One that we answer will show our token by itself. */
    if (!b->endpoint || b->fencing || p->fencing >= window ||
        (b->answered && now - b->answered < kr_seconds (2 * s->report_s)))
      continue;
    Contact *c = contact_new (p, b);
    c->fence = b->fencing = TRUE;
    p->fencing++;
    kr_worker_show (p->node->workers, b->endpoint, p->cancel, shown, c);
  }
}

void
kr_part_check_open (KrPart *p)
{
  GHashTableIter it;
  gpointer value;
  if (p->phase != FENCING)
    return;
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value))
    if (kr_part_needs_fence (value))
      return;
  p->phase = OPEN;
  kr_info ("part %u: open, %.1f s after the takeover", p->index,
           (double) (kr_now () - p->taken_at) / G_USEC_PER_SEC);
  kr_part_write_record (p);
  kr_part_flush (p);
}

/* --- deletion ------------------------------------------------------------------------ */
static void
deleted (guint status, json_t *body, gpointer data)
{
  Contact *c = data;
  KrPart *p = c->part;
  KrMachine *b = p->gone ? NULL : kr_part_machine (p, c->id);

  if (b && status == 200) {
    kr_part_forget (p, b);
    g_hash_table_add (p->leaving, g_strdup (b->id));
    g_hash_table_remove (p->machines, b->id);
    kr_part_write_record (p);
  } else if (b)
    b->deleting = FALSE; /* the next tick asks again */
  contact_free (c);
}

static void
delete_machine (KrPart *p, KrMachine *b, const char *why)
{
  if (b->deleting)
    return;
  b->deleting = b->drain = TRUE;
  kr_info ("machine %s: deleting it, %s", b->id, why);
  kr_cloud_delete (p->node->cloud, b->id, p->cancel, deleted, contact_new (p, b));
}

void
kr_part_return (KrPart *p, const char *id)
{
  KrMachine *b = kr_part_machine (p, id);
  if (b && p->phase == OPEN && b->launches->len == 0 && b->leaving_to < 0)
    delete_machine (p, b, "no longer needed");
}

void
kr_part_give (KrPart *p, const char *id, guint to)
{
  KrMachine *b = kr_part_machine (p, id);
  if (b && p->phase == OPEN && !b->drain && !b->moving && to < p->node->settings->size)
    b->leaving_to = to == p->index ? -1 : (gint) to;
}

/* Guards against a late copy of a report of a machine that is gone: with no other machine
 * reporting, its silence alone proves nothing, and it would stay in the record for ever. */
static gboolean
unlisted_and_silent (const KrMachine *b, gint64 now, double lag)
{
  return b->heard && now - b->heard > kr_seconds (2 * lag + KR_MISSING_MARGIN_S);
}

void
kr_part_machines_listed (KrPart *p, GHashTable *by_id)
{
  GHashTableIter it;
  gpointer value;
  gint64 now = kr_now ();
  double lag = p->node->settings->cloud_list_lag_s;

  p->listed_at = now;
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    const KrListedMachine *m = g_hash_table_lookup (by_id, b->id);
    if (m) {
      b->listed = TRUE;
      b->missing_since = 0;
      if (!b->known && !b->type) {
        b->type = g_strdup (m->type);
        b->zone = g_strdup (m->zone);
        b->spot = m->spot;
      }
      if (!b->endpoint && m->endpoint && *m->endpoint)
        b->endpoint = g_strdup (m->endpoint);
      const KrType *t = kr_node_type (p->node, m->type);
      double boot = MAX (KR_BOOT_MIN_S, t ? t->boot_s * KR_BOOT_FACTOR : KR_BOOT_MIN_S);
      if (m->state == KR_MACHINE_FAILED)
        delete_machine (p, b, "it has failed");
      else if (m->state == KR_MACHINE_STARTING && !b->heard && m->held_s > boot)
        delete_machine (p, b, "it never came up");
    } else if ((b->listed || (b->used && !b->heard) || unlisted_and_silent (b, now, lag)) &&
               !b->missing_since)
      b->missing_since = now; /* what is used was up once, and so listed */
    else if (!b->listed && !b->heard && now - b->joined > kr_seconds (KR_NEVER_LISTED_S + 4 * lag))
      delete_machine (p, b, "never listed"); /* adopted from a stale list */
    /* A list may be older than the one before: wait for the worst lag, then have the cloud say so
     * (200 to a deletion is proof; missing from a list is not). */
    if (b->missing_since && now - b->missing_since > kr_seconds (2 * lag + KR_MISSING_MARGIN_S))
      delete_machine (p, b, "no longer listed");
  }
}

/* --- reports ------------------------------------------------------------------------- */
static void
answer (KrPart *p, KrMachine *b, KrRequest *request, gint64 now)
{
  json_t *orders = kr_wire_orders_new (p->token);
  b->answered = now;
  kr_part_drop_planned (p, b);
  add_kills_and_clears (p, b, orders);
  kr_part_grant (p, b, orders, now);
  if (kr_part_usable (p, b, now))
    kr_part_run_planned (b, orders);
  kr_request_reply (request, 200, orders, 0);
}

/* Not ours to answer any more, or asked anew. */
static void
let_go (KrPart *p, KrMachine *b)
{
  if (!b->held)
    return;
  kr_request_reply (g_steal_pointer (&b->held), 503, NULL, 0);
  g_ptr_array_remove_fast (p->held, b);
}

void
kr_part_answer_held (KrPart *p)
{
  gint64 now = kr_now ();
  for (guint i = p->held->len; i-- > 0;) {
    KrMachine *b = p->held->pdata[i];
    gboolean late = now - b->held_since >= KR_HELD_MS * G_GINT64_CONSTANT (1000);
    /* Guards against a lease renewed by an owner that has not read which jobs are cancelled: with
     * the state service out for long, their tasks would run on, and nobody would know. */
    if (!p->have_jobs) {
      if (late)
        let_go (p, b);
      continue;
    }
    if (!b->used && !late)
      continue;
    /* Guards against a machine that stays idle with a former owner, which the state service does
     * not reach: its successor, which does not know that the machine is up, has work for it. */
    if (!b->used && kr_state_silence (p->node->state) > KR_STATE_SILENCE_S) {
      let_go (p, b);
      continue;
    }
    g_ptr_array_remove_index_fast (p->held, i);
    answer (p, b, g_steal_pointer (&b->held), now);
  }
}

void
kr_part_forget (KrPart *p, KrMachine *b)
{
  let_go (p, b);
  kr_machine_clear (b, kr_part_saw, p);
}

void
kr_part_beat (KrPart *p, KrRequest *request, const KrReport *r)
{
  KrMachine *b = kr_part_machine (p, r->machine);
  gint64 now = kr_now ();

  if (!b || b->deleting) {
    kr_request_reply (request, b || !p->have_record ? 503 : 421, kr_wire_redirect (NULL), 0);
    return;
  }
  if (r->token > p->token) {
    /* Somebody with a newer token commanded it. If the key is still ours, that one is gone or the
     * machine came from another part: we need a newer token, and must not order anything now. */
    kr_membership_renew_token (p->node->membership, p->index);
    const KrHolder *h = kr_membership_holder (p->node->membership, p->index);
    gboolean other = h->node && !kr_membership_owns (p->node->membership, p->index);
    kr_request_reply (request, 421, kr_wire_redirect (other ? h->node : NULL), 0);
    return;
  }
  p->last_beat = now;
  if (!kr_machine_apply (b, r, TRUE, p->token, now, kr_part_saw, p)) {
    kr_request_reply (request, p->have_jobs ? 200 : 503, kr_wire_orders_new (p->token), 0);
    return;
  }
  let_go (p, b); /* a newer report: the worker has given the one before up */
  b->answered = now;
  if (kr_machine_busy (b))
    b->idle_since = now;
  if (b->used && p->have_jobs) {
    answer (p, b, request, now);
    return;
  }
  /* That it is used must be durable before its first run. The answer waits for that: the next
   * report, with which it could start otherwise, may be a whole period away. It waits for the jobs
   * too: see kr_part_answer_held. */
  b->used_wanted = !b->used;
  b->held = request;
  b->held_since = now;
  g_ptr_array_add (p->held, b);
  kr_part_write_record (p);
}

/* --- periodic duties ----------------------------------------------------------------- */
/* For those who ask where the CPUs are that are paid for. */
static void
log_status (KrPart *p, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  double running = 0, fetching = 0, doubt = 0, held = 0, leaving = 0, unusable = 0, open = 0;
  guint up = 0, starting = 0, waiting = 0;

  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    const KrMachine *b = value;
    const KrType *t = b->type ? kr_node_type (p->node, b->type) : NULL;
    double left = t ? t->cpus : 0;
    if (!b->known) {
      starting++;
      continue;
    }
    up++;
    for (guint i = 0; i < b->launches->len; i++) {
      const KrLaunch *l = b->launches->pdata[i];
      const KrJob *j = kr_live_job (l);
      if (!j || l->state == KR_TASK_EXITED)
        continue;
      left -= j->spec->cpus;
      *(l->state == KR_TASK_DOUBT     ? &doubt
        : l->state == KR_TASK_PULLING ? &fetching
                                      : &running) += j->spec->cpus;
    }
    *(!kr_part_usable (p, b, now) ? &unusable
      : b->leaving_to >= 0        ? &leaving
      : b->reserved_for           ? &held
                                  : &open) += left;
  }
  for (guint i = 0; i < p->lives->len; i++)
    waiting += kr_job_unstarted (((KrLive *) p->lives->pdata[i])->job);
  kr_debug (
      "part %u: %u jobs, %u tasks wait; %u machines up, %u starting; CPUs: %.0f running, %.0f "
      "fetching, %.0f in doubt; free: %.0f held, %.0f leaving, %.0f not usable, %.0f open",
      p->index, p->lives->len, waiting, up, starting, running, fetching, doubt, held, leaving,
      unusable, open);
}

static void
watch_machine (KrPart *p, KrMachine *b, gint64 now)
{
  const KrSettings *s = p->node->settings;

  if (b->deleting)
    return;
  /* Judged at the last moment at which the part was surely ours: a node cut off from the state
   * service must not take a machine that its successor has fenced, and now answers, for silent. */
  if (b->answered && !kr_part_needs_fence (b) &&
      kr_machine_lease_over (b, kr_membership_proven (p->node->membership), s->lease_s)) {
    if (kr_machine_busy (b))
      kr_info ("machine %s: silent, its lease is over, %u tasks gone", b->id, kr_machine_busy (b));
    kr_machine_clear (b, kr_part_saw, p);
    b->idle_since = now;
    if (now - b->heard > kr_seconds (s->lease_s + KR_LOST_DELETE_S) &&
        (now - p->last_beat < kr_seconds (2 * s->report_s) ||
         g_hash_table_size (p->machines) == 1)) {
      delete_machine (p, b, "silent for long");
      return;
    }
  }
  gboolean cancelled = FALSE, kills = FALSE;
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    const KrJob *j = kr_live_job (l);
    if (l->state == KR_TASK_EXITED)
      continue;
    kills |= l->kill != KR_KILL_NO;
    cancelled |= j && j->cancelled;
    if (b->notice_at && j && j->spec->checkpoint_s > 0 && !l->kill &&
        b->notice_at - now < kr_seconds (j->spec->save_s + 2 * s->report_s)) {
      l->kill = KR_KILL_SLACK; /* save while there is time */
      kills = TRUE;
    }
  }
  if (kills && now - b->heard > kr_seconds (KR_KILL_REPEAT_S))
    kr_part_command_kills (p, b);
  /* A cancelled task on a machine that cannot be reached: its lease may still be renewed by a
   * response of ours on its way, so the machine goes before the users' limit. */
  if (cancelled && now - b->heard > kr_seconds (s->cancel_s * KR_CANCEL_DELETE_SHARE)) {
    delete_machine (p, b, "holds a cancelled task and cannot be reached");
    return;
  }
  if (b->drain && b->launches->len == 0)
    delete_machine (p, b, "drained");
  if (b->reserved_for && now >= b->reserved_until)
    g_clear_pointer (&b->reserved_for, g_free);
}

static gboolean
tick (gpointer data)
{
  KrPart *p = data;
  const KrSettings *s = p->node->settings;
  gint64 now = kr_now ();
  guint heard = 0;

  if (p->have_record) {
    g_autoptr (GList) all = g_hash_table_get_values (p->machines);
    for (GList *l = all; l; l = l->next) {
      heard += ((KrMachine *) l->data)->answered != 0;
      watch_machine (p, l->data, now);
    }
  }
  if (kr_log_debug_enabled () && p->have_jobs && p->ticks++ % KR_STATUS_TICKS == 0)
    log_status (p, now);
  kr_part_write_record (p);
  kr_part_moves (p);
  kr_part_tell_needs (p);
  kr_part_preempt (p, now);
  kr_part_flush (p);
  /* Cut off from the workers, but not from the state service: somebody else may reach them. */
  if (heard >= 2 && now - p->last_beat > kr_seconds (2 * s->report_s + KR_SILENCE_S) &&
      kr_state_silence (p->node->state) < KR_SILENCE_S) {
    kr_info ("part %u: no machine reports here any more, handing it on", p->index);
    p->last_beat = now;
    kr_membership_release (p->node->membership, p->index, KR_SILENCE_HOLD_MS);
  }
  return G_SOURCE_CONTINUE;
}

static gboolean
held_tick (gpointer data)
{
  kr_part_answer_held (data);
  return G_SOURCE_CONTINUE;
}

/* Takeovers are worked on more often than a tick: each second closed is a second lost for all. Not
 * at each report: with hundreds of machines that would be a walk over all for each of them. */
static gboolean
fence_tick (gpointer data)
{
  KrPart *p = data;
  if (p->phase == FENCING) {
    fence (p, kr_now ());
    kr_part_check_open (p);
  }
  if (p->phase != OPEN)
    return G_SOURCE_CONTINUE;
  p->fence_tick = 0;
  return G_SOURCE_REMOVE;
}

/* --- taking over and letting go ------------------------------------------------------ */
static gboolean
scan_again (gpointer data)
{
  KrPart *p = data;
  if (!p->gone)
    kr_membership_rescan (p->node->membership);
  kr_part_unref (p);
  return G_SOURCE_REMOVE;
}

static void
claimed (guint status, json_t *body, gpointer data)
{
  KrPart *p = data;
  GHashTableIter it;
  gpointer value;

  p->claiming = FALSE;
  if (p->gone) {
    kr_part_unref (p);
    return;
  }
  if (status != 200) {
    kr_timer_add (KR_RETRY_MS, scan_again, p);
    return;
  }
  json_t *v = kr_membership_claim_value (p->node->membership, FALSE);
  kr_membership_note_claim (p->node->membership, p->index, v, kr_wire_revision (body));
  json_decref (v);
  p->have_record = TRUE;
  kr_part_record_changed (p);
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    b->must_fence = b->used;
  }
  kr_follow_rescan (p->node->jobs);
  if (g_hash_table_size (p->machines))
    kr_rent_list_soon (p->node->rent);
  kr_part_unref (p);
}

/* The scan began after the key became ours: every machine that an earlier owner may have used is in
 * it, since that was durable before the first run, and an earlier owner's later writes fail. */
void
kr_part_scanned (KrPart *p)
{
  const KrClaim *c = kr_membership_claim (p->node->membership, p->index);
  if (p->have_record || p->claiming)
    return;
  /* Whoever owns the part writes its name here before it says or answers anything. So if ours
   * stands here, only our own earlier life, which is over, has been in touch with the machines. */
  if (g_strcmp0 (c->holder, p->node->settings->node_name) == 0 && c->settled)
    p->quiet_before = TRUE;
  p->claiming = TRUE;
  kr_state_commit (p->node->state, kr_part_claim_txn (p, FALSE), KR_FIRST, KR_STATE_TIMEOUT_MS,
                   p->cancel, claimed, kr_part_ref (p));
}

KrPart *
kr_part_new (KrNode *node, guint index, guint64 token)
{
  KrPart *p = g_new0 (KrPart, 1);
  g_ref_count_init (&p->refs);
  p->node = node;
  p->index = index;
  p->token = token;
  p->cancel = kr_cancellable_child (node->cancel);
  p->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_live_free);
  p->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_machine_free);
  p->lives = g_ptr_array_new ();
  p->held = g_ptr_array_new ();
  p->used = g_new0 (KrRoom, node->settings->teams->len);
  p->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  p->taken_at = p->last_beat = kr_now ();
  p->tick = kr_timer_add (KR_TICK_MS, tick, p);
  p->fence_tick = kr_timer_add (KR_FENCE_MS, fence_tick, p);
  p->held_tick = kr_timer_add (KR_HELD_TICK_MS, held_tick, p);
  kr_info ("part %u: taking over with token %" G_GUINT64_FORMAT, index, token);
  kr_membership_rescan (node->membership);
  return p;
}

void
kr_part_renewed (KrPart *p, guint64 token)
{
  GHashTableIter it;
  gpointer value;
  p->token = token;
  p->launches = 0;
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    /* A machine that we fenced stays ours: only this process held the key since. */
    if (b->must_fence && b->fenced)
      b->must_fence = FALSE;
    b->fenced = FALSE;
  }
}

void
kr_part_drop (KrPart *p)
{
  kr_info ("part %u: no longer ours", p->index);
  p->gone = TRUE;
  kr_timer_remove (p->tick);
  kr_timer_remove (p->held_tick);
  kr_timer_clear (&p->fence_tick);
  kr_timer_clear (&p->preempt_soon);
  while (p->held->len)
    let_go (p, p->held->pdata[0]);
  g_cancellable_cancel (p->cancel);
  kr_part_unref (p);
}
