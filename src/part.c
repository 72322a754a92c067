#include "part-private.h"
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "log.h"
#include "rent.h"
#include "worker.h"
#include <string.h>

KrPart *
kr_part_ref (KrPart *part)
{
  g_ref_count_inc (&part->refs);
  return part;
}

void
kr_part_unref (KrPart *part)
{
  if (!g_ref_count_dec (&part->refs))
    return;
  g_hash_table_unref (part->jobs); /* before the machines: it lets go of their launches */
  g_hash_table_unref (part->machines);
  g_hash_table_unref (part->ended);
  g_ptr_array_unref (part->lives);
  g_ptr_array_unref (part->held);
  g_free (part->used);
  g_hash_table_unref (part->leaving);
  g_clear_pointer (&part->former, g_ptr_array_unref);
  g_object_unref (part->cancel);
  g_free (part);
}

guint64
kr_part_token (KrPart *part)
{
  return part->token;
}

KrMachine *
kr_part_machine (KrPart *part, const char *id)
{
  return g_hash_table_lookup (part->machines, id);
}

gboolean
kr_part_next (KrPart *part, GHashTableIter *it, gpointer *machine)
{
  part->walked++;
  return g_hash_table_iter_next (it, NULL, machine);
}

guint64
kr_part_walked (KrPart *part)
{
  return part->walked;
}

KrJob *
kr_part_job (KrPart *part, const char *id)
{
  KrLive *live = g_hash_table_lookup (part->jobs, id);
  return live ? live->job : NULL;
}

static double
seconds_since (gint64 then, gint64 now)
{
  return (double) (now - then) / G_USEC_PER_SEC;
}

/* --- what reports show --------------------------------------------------------------- */
void
kr_part_count_launch (KrPart *part, KrLaunch *launch)
{
  KrLive *live = g_hash_table_lookup (part->jobs, launch->job);
  if (!live || launch->of || launch->state == KR_TASK_EXITED)
    return;
  const KrJob *job = live->job;
  /* Guards against a second copy: a completed, cancelled or elsewhere active task must not run. */
  if (job->cancelled || kr_job_is_done (job, launch->index) ||
      (launch->index < job->spec->tasks && job->active[launch->index]))
    launch->kill = KR_KILL_NOW;
  kr_live_add (live, launch);
}

static void
task_failed (KrPart *part, KrMachine *machine, KrJob *job, double ran_s, gint64 now)
{
  guint only_here = 0;
  GHashTableIter it;
  gpointer id;

  machine->pause_until = now + kr_seconds (KR_JOB_HOLD_S / 2);
  g_hash_table_add (job->failed_on, g_strdup (machine->id));
  job->failed_at = now;
  job->failed_ran = MAX (job->failed_ran, ran_s);
  g_hash_table_add (machine->bad_jobs, g_strdup (job->spec->id));
  /* A job that fails on several machines is at fault itself: growing pauses keep it from taking
   * every free slot for ever once it is past its goal. */
  if (kr_job_suspect (job)) {
    /* What fails within a pause was started before it: the pause grows once a try. */
    if (job->probing || now >= job->hold_until) {
      job->hold_until = now + kr_seconds (job->hold_s);
      kr_info ("job %s: fails on %u machines, held for %.0f s", job->spec->id,
               g_hash_table_size (job->failed_on), job->hold_s);
      job->hold_s = MIN (job->hold_s * 2, KR_JOB_HOLD_MAX_S);
    }
    job->probing = FALSE;
  } else
    job->hold_until = 0;
  g_hash_table_iter_init (&it, machine->bad_jobs);
  while (g_hash_table_iter_next (&it, &id, NULL)) {
    KrJob *this_job = kr_part_job (part, id);
    if (this_job && g_hash_table_size (this_job->failed_on) == 1)
      only_here += 1 + (this_job->count > 0);
  }
  if (only_here >= KR_SICK_JOBS && !machine->drain) {
    kr_info ("machine %s: tasks fail only here, draining it", machine->id);
    machine->drain = TRUE;
  }
}

/* A machine much slower than its peers holds up whatever it gets: it is drained and returned. */
static void
judge_pace (KrMachine *machine, const KrJob *job, double ran_s)
{
  if (job->count < KR_PACE_TASKS)
    return; /* nothing to compare with yet */
  double ratio = ran_s / MAX (job->sum / job->count, 1e-3);
  machine->pace =
      machine->paced++ ? machine->pace + KR_PACE_WEIGHT * (ratio - machine->pace) : ratio;
  if (machine->paced >= KR_PACE_TASKS && machine->pace > KR_PACE_SLOW && !machine->drain) {
    kr_info ("machine %s: tasks take %.1f times as long as elsewhere, draining it", machine->id,
             machine->pace);
    machine->drain = TRUE;
  }
}

static void
task_done (KrPart *part, KrMachine *machine, KrJob *job, KrLaunch *launch, gint64 now)
{
  if (!kr_job_is_done (job, launch->index)) {
    if (job->spec->form != KR_FORM_SERVICE) /* a service's task starts again */
      kr_job_set_done (job, launch->index);
    job->dirty = TRUE;
    if (launch->since && !launch->adopted) {
      judge_pace (machine, job, kr_launch_ran_s (launch, now));
      job->sum += kr_launch_ran_s (launch, now);
      job->count++;
    }
  }
  kr_job_clear_failures (job);
  g_hash_table_remove (machine->bad_jobs, job->spec->id);
  if (kr_job_complete (job))
    kr_part_flush (part);
}

static void
task_exited (KrPart *part, KrMachine *machine, KrJob *job, KrLaunch *launch)
{
  gint64 now = kr_now ();
  if (launch->why == KR_WHY_DONE)
    task_done (part, machine, job, launch, now);
  else if (launch->why == KR_WHY_ERROR) {
    kr_info ("task %s/%u: error on %s", launch->job, launch->index, machine->id);
    task_failed (part, machine, job, kr_launch_ran_s (launch, now), now);
  } else if (launch->why == KR_WHY_REFUSED || launch->why == KR_WHY_UNKNOWN)
    kr_info ("task %s/%u: start refused by %s", launch->job, launch->index, machine->id);
  if (job->cancelled)
    kr_part_flush (part);
}

/* Reports arrive, our answers do not: it looks idle and would be given work for ever. */
static void
pause_unheard (KrMachine *machine)
{
  guint shift = KR_UNHEARD_SHIFT * MIN (machine->unheard, KR_UNHEARD_MAX);
  double pause_s = MIN (KR_UNHEARD_MAX_S, KR_UNHEARD_S * (1u << shift));
  machine->pause_until = kr_now () + kr_seconds (pause_s);
  machine->unheard++;
  kr_info ("machine %s: a launch did not reach it, no further ones for a while", machine->id);
}

void
kr_part_saw (KrMachine *machine, KrLaunch *launch, KrSaw what, gpointer data)
{
  KrPart *part = data;
  KrJob *job = kr_part_job (part, launch->job);

  switch (what) {
  case KR_SAW_NEW:
    if (part->have_jobs)
      kr_part_count_launch (part, launch);
    break;
  case KR_SAW_HEARD:
    machine->unheard = 0;
    break;
  case KR_SAW_UNHEARD:
    pause_unheard (machine);
    break;
  case KR_SAW_RUNNING:
    kr_debug ("task %s/%u: runs on %s", launch->job, launch->index, machine->id);
    if (job) {
      g_hash_table_add (machine->images, g_strdup (job->spec->image));
      job->dirty = TRUE;
    }
    break;
  case KR_SAW_EXITED:
    kr_debug ("task %s/%u: exited on %s (%d)", launch->job, launch->index, machine->id,
              launch->why);
    kr_live_drop (launch);
    if (job)
      task_exited (part, machine, job, launch);
    break;
  case KR_SAW_GONE:
    if (launch->state != KR_TASK_EXITED)
      kr_debug ("task %s/%u: gone from %s (%s)", launch->job, launch->index, machine->id,
                kr_gone_name (launch->gone));
    kr_live_drop (launch);
    if (job && job->cancelled)
      kr_part_flush (part);
    break;
  }
}

/* --- orders -------------------------------------------------------------------------- */
static double
slack (KrPart *part, const KrLaunch *launch)
{
  const KrJob *job = kr_live_job (launch);
  return launch->kill == KR_KILL_SLACK && job && job->spec->checkpoint_s > 0
             ? job->spec->save_s + KR_DEFAULT_SLACK_S
             : 0;
}

/* Its kill is wanted and not already at work: a task that saves is left to it. */
static gboolean
to_kill (const KrLaunch *launch)
{
  return launch->kill && launch->state != KR_TASK_EXITED &&
         !(launch->kill == KR_KILL_SLACK && launch->state == KR_TASK_SAVING);
}

static void
add_kills_and_clears (KrPart *part, KrMachine *machine, json_t *orders)
{
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    KrJob *job = launch->of ? kr_live_job (launch) : kr_part_job (part, launch->job);
    if (launch->state == KR_TASK_EXITED) {
      /* Cleared only once the outcome is durable: until then the worker is the only witness. */
      if (launch->why != KR_WHY_DONE || (job && job->spec->form == KR_FORM_SERVICE) ||
          (part->have_jobs && !job) || (job && kr_job_is_durable (job, launch->index)) ||
          (job && job->cancelled))
        kr_wire_order_clear (orders, launch->job, launch->index, launch->attempt);
    } else {
      if (part->have_jobs && !job)
        launch->kill = KR_KILL_NOW; /* its job is over */
      if (to_kill (launch))
        kr_wire_order_kill (orders, launch->job, launch->index, launch->attempt,
                            slack (part, launch));
    }
  }
}

/* A direct command or a deletion under way. */
typedef struct {
  KrPart *part;
  char *id;
} Contact;

static Contact *
contact_new (KrPart *part, KrMachine *machine)
{
  Contact *contact = g_new (Contact, 1);
  *contact = (Contact){ kr_part_ref (part), g_strdup (machine->id) };
  return contact;
}

static void
contact_free (Contact *contact)
{
  kr_part_unref (contact->part);
  g_free (contact->id);
  g_free (contact);
}

void
kr_part_take_report (KrPart *part, KrMachine *machine, const KrReport *report)
{
  kr_machine_apply (machine, report, FALSE, part->token, kr_now (), kr_part_saw, part);
  if (report->token > part->token)
    kr_membership_renew_token (part->node->membership, part->index);
}

static void
commanded (guint status, KrReport *report, gpointer data)
{
  Contact *contact = data;
  KrPart *part = contact->part;
  KrMachine *machine = part->gone ? NULL : kr_part_machine (part, contact->id);

  if (machine) {
    machine->commanding = FALSE;
    kr_machine_called (machine, report != NULL, kr_now ());
    if (report && (status == 200 || status == 409))
      kr_part_take_report (part, machine, report);
    if (machine->command_again && report)
      kr_part_command_kills (part, machine);
    machine->command_again = FALSE;
  }
  contact_free (contact);
}

void
kr_part_command_kills (KrPart *part, KrMachine *machine)
{
  if (!machine->endpoint || !machine->session || kr_now () < machine->next_call)
    return;
  /* One at a time: it carries all kills, and what piles up costs the whole loop its turns. */
  if (machine->commanding) {
    machine->command_again = TRUE;
    return;
  }
  json_t *orders = kr_wire_commands_new (part->token, machine->session);
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    /* In doubt: a direct kill may overtake the run; it is repeated in the responses. */
    if (to_kill (launch))
      kr_wire_order_kill (orders, launch->job, launch->index, launch->attempt,
                          slack (part, launch));
  }
  if (kr_wire_orders_count (orders) == 0) {
    json_decref (orders);
    return;
  }
  machine->commanding = TRUE;
  kr_worker_command (part->node->workers, machine->endpoint, orders, part->cancel, commanded,
                     contact_new (part, machine));
}

/* --- deletion ------------------------------------------------------------------------ */
/* One line when the cloud begins to refuse deletions, and one when it takes them again. */
static void
note_deletion (KrPart *part, guint status)
{
  gboolean refused = status != 200;
  if (part->gone || refused == part->deletions_refused)
    return;
  part->deletions_refused = refused;
  if (refused)
    kr_info ("part %u: the cloud does not delete machines (%u), asked again until it does",
             part->index, status);
  else
    kr_info ("part %u: the cloud deletes machines again", part->index);
}

static void
deleted (guint status, json_t *body, gpointer data)
{
  Contact *contact = data;
  KrPart *part = contact->part;
  KrMachine *machine = part->gone ? NULL : kr_part_machine (part, contact->id);

  if (machine && status == 200) {
    kr_part_forget (part, machine, KR_GONE_DELETED);
    g_hash_table_add (part->leaving, g_strdup (machine->id));
    g_hash_table_remove (part->machines, machine->id);
    kr_part_write_record (part);
  } else if (machine) {
    machine->deleting = FALSE; /* a tick asks again */
    machine->delete_after = kr_now () + kr_seconds (KR_DELETE_RETRY_S);
  }
  note_deletion (part, status);
  contact_free (contact);
}

gboolean
kr_part_delete_machine (KrPart *part, KrMachine *machine, const char *why)
{
  if (machine->deleting)
    return TRUE;
  machine->drain = TRUE;
  if (kr_now () < machine->delete_after)
    return FALSE;
  machine->deleting = TRUE;
  if (machine->delete_after)
    kr_debug ("machine %s: deleting it again, %s", machine->id, why);
  else
    kr_info ("machine %s: deleting it, %s", machine->id, why);
  kr_cloud_delete (part->node->cloud, machine->id, part->cancel, deleted,
                   contact_new (part, machine));
  return TRUE;
}

void
kr_part_return (KrPart *part, const char *id)
{
  KrMachine *machine = kr_part_machine (part, id);
  if (machine && part->phase == OPEN && machine->launches->len == 0 && machine->leaving_to < 0)
    kr_part_delete_machine (part, machine, "no longer needed");
}

void
kr_part_give (KrPart *part, const char *id, guint to)
{
  KrMachine *machine = kr_part_machine (part, id);
  if (machine && part->phase == OPEN && !machine->drain && !machine->moving &&
      to < part->node->settings->size)
    machine->leaving_to = to == part->index ? -1 : (gint) to;
}

/* Guards against a late copy of a report of a machine that is gone: with no other machine
 * reporting, its silence alone proves nothing, and it would stay in the record for ever. */
static gboolean
unlisted_and_silent (const KrMachine *machine, gint64 now, double lag)
{
  return machine->heard && now - machine->heard > kr_seconds (2 * lag + KR_MISSING_MARGIN_S);
}

void
kr_part_machines_listed (KrPart *part, GHashTable *by_id)
{
  GHashTableIter it;
  gpointer value;
  gint64 now = kr_now ();
  double lag = part->node->settings->cloud_list_lag_s;

  part->listed_at = now;
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value)) {
    KrMachine *machine = value;
    const KrListedMachine *listed = g_hash_table_lookup (by_id, machine->id);
    if (listed) {
      machine->listed = TRUE;
      machine->missing_since = 0;
      if (!machine->known && !machine->type) {
        machine->type = g_strdup (listed->type);
        machine->zone = g_strdup (listed->zone);
        machine->spot = listed->spot;
      }
      if (!machine->endpoint && listed->endpoint && *listed->endpoint)
        machine->endpoint = g_strdup (listed->endpoint);
      const KrType *type = kr_node_type (part->node, listed->type);
      double boot = MAX (KR_BOOT_MIN_S, type ? type->boot_s * KR_BOOT_FACTOR : KR_BOOT_MIN_S);
      if (listed->state == KR_MACHINE_FAILED)
        kr_part_delete_machine (part, machine, "it has failed");
      else if (listed->state == KR_MACHINE_STARTING && !machine->heard && listed->held_s > boot)
        kr_part_delete_machine (part, machine, "it never came up");
    } else if ((machine->listed || (machine->used && !machine->heard) ||
                unlisted_and_silent (machine, now, lag)) &&
               !machine->missing_since)
      machine->missing_since = now; /* what is used was up once, and so listed */
    else if (!machine->listed && !machine->heard &&
             now - machine->joined > kr_seconds (KR_NEVER_LISTED_S + 4 * lag))
      kr_part_delete_machine (part, machine, "never listed"); /* adopted from a stale list */
    /* A list may be older than the one before: wait for the worst lag, then have the cloud say so
     * (200 to a deletion is proof; missing from a list is not). */
    if (machine->missing_since &&
        now - machine->missing_since > kr_seconds (2 * lag + KR_MISSING_MARGIN_S))
      kr_part_delete_machine (part, machine, "no longer listed");
  }
}

/* --- reports ------------------------------------------------------------------------- */
/* The one place from which a report is answered with 200. Whatever the report told, its worker may
 * count its lease from it, so no lease that we judge may begin before. */
static void
renew_lease (KrMachine *machine, KrRequest *request, json_t *orders, gint64 now)
{
  machine->answered = now;
  kr_request_reply (request, 200, orders, 0);
}

static void
answer (KrPart *part, KrMachine *machine, KrRequest *request, gint64 now)
{
  json_t *orders = kr_wire_orders_new (part->token);
  kr_part_drop_planned (part, machine);
  add_kills_and_clears (part, machine, orders);
  kr_part_grant (part, machine, orders, now);
  if (kr_part_usable (part, machine, now))
    kr_part_run_planned (machine, orders);
  renew_lease (machine, request, orders, now);
}

/* Not ours to answer any more, or asked anew. */
static void
let_go (KrPart *part, KrMachine *machine)
{
  if (!machine->held)
    return;
  kr_request_reply (g_steal_pointer (&machine->held), 503, NULL, 0);
  g_ptr_array_remove_fast (part->held, machine);
}

void
kr_part_answer_held (KrPart *part)
{
  gint64 now = kr_now ();
  for (guint i = part->held->len; i-- > 0;) {
    KrMachine *machine = part->held->pdata[i];
    gboolean late = now - machine->held_since >= KR_HELD_MS * G_GINT64_CONSTANT (1000);
    /* Guards against a lease renewed by an owner that has not read which jobs are cancelled: with
     * the state service out for long, their tasks would run on, and nobody would know. */
    if (!part->have_jobs) {
      if (late)
        let_go (part, machine);
      continue;
    }
    if (!machine->used && !late)
      continue;
    /* Guards against a machine that stays idle with a former owner, which the state service does
     * not reach: its successor, which does not know that the machine is up, has work for it. */
    if (!machine->used && kr_state_silence (part->node->state) > KR_STATE_SILENCE_S) {
      let_go (part, machine);
      continue;
    }
    g_ptr_array_remove_index_fast (part->held, i);
    answer (part, machine, g_steal_pointer (&machine->held), now);
  }
}

void
kr_part_forget (KrPart *part, KrMachine *machine, KrGone gone)
{
  let_go (part, machine);
  kr_machine_clear (machine, gone, kr_part_saw, part);
}

void
kr_part_beat (KrPart *part, KrRequest *request, const KrReport *report)
{
  KrMachine *machine = kr_part_machine (part, report->machine);
  gint64 now = kr_now ();

  /* One that was given up, since it hears nothing: it must not count as answered for ever. */
  gboolean given_up =
      machine && machine->drain && kr_part_needs_fence (machine) && report->token < part->token;
  if (!machine || machine->deleting || given_up) {
    kr_request_reply (request, machine || !part->have_record ? 503 : 421, kr_wire_redirect (NULL),
                      0);
    return;
  }
  if (report->token > part->token) {
    /* Somebody with a newer token commanded it. If the key is still ours, that one is gone or the
     * machine came from another part: we need a newer token, and must not order anything now. */
    kr_membership_renew_token (part->node->membership, part->index);
    const KrHolder *holder = kr_membership_holder (part->node->membership, part->index);
    gboolean other = holder->node && !kr_membership_owns (part->node->membership, part->index);
    kr_request_reply (request, 421, kr_wire_redirect (other ? holder->node : NULL), 0);
    return;
  }
  part->last_beat = now;
  KrNews news = kr_machine_apply (machine, report, TRUE, part->token, now, kr_part_saw, part);
  part->overtaken += news == KR_NEWS_OVERTAKEN;
  if (news == KR_NEWS_OVERTAKEN && part->have_jobs) {
    renew_lease (machine, request, kr_wire_orders_new (part->token), now);
    return;
  }
  if (news != KR_NEWS_FRESH) {
    kr_request_reply (request, 503, NULL, 0);
    return;
  }
  let_go (part, machine); /* a newer report: the worker has given the one before up */
  machine->answered = now;
  if (kr_machine_busy (machine))
    machine->idle_since = now;
  if (machine->used && part->have_jobs) {
    answer (part, machine, request, now);
    return;
  }
  /* That it is used must be durable before its first run. The answer waits for that: the next
   * report, with which it could start otherwise, may be a whole period away. It waits for the jobs
   * too: see kr_part_answer_held. */
  machine->used_wanted = !machine->used;
  machine->held = request;
  machine->held_since = now;
  g_ptr_array_add (part->held, machine);
  kr_part_write_record (part);
}

/* --- periodic duties ----------------------------------------------------------------- */
/* Where the CPUs are that are paid for. */
typedef struct {
  guint up, starting;
  double running, fetching, doubt;      /* in use */
  double held, leaving, unusable, open; /* free */
} Status;

static double *
status_in_use (Status *status, const KrLaunch *launch)
{
  if (launch->state == KR_TASK_DOUBT)
    return &status->doubt;
  return launch->state == KR_TASK_PULLING ? &status->fetching : &status->running;
}

static double *
status_free (Status *status, KrPart *part, const KrMachine *machine, gint64 now)
{
  if (!kr_part_usable (part, machine, now))
    return &status->unusable;
  if (machine->leaving_to >= 0)
    return &status->leaving;
  return machine->reserved_for ? &status->held : &status->open;
}

static void
status_add (Status *status, KrPart *part, const KrMachine *machine, gint64 now)
{
  const KrType *type = machine->type ? kr_node_type (part->node, machine->type) : NULL;
  double left = type ? type->cpus : 0;
  if (!machine->known) {
    status->starting++;
    return;
  }
  status->up++;
  for (guint i = 0; i < machine->launches->len; i++) {
    const KrLaunch *launch = machine->launches->pdata[i];
    const KrJob *job = kr_live_job (launch);
    if (!job || launch->state == KR_TASK_EXITED)
      continue;
    left -= job->spec->cpus;
    *status_in_use (status, launch) += job->spec->cpus;
  }
  *status_free (status, part, machine, now) += left;
}

static void
log_status (KrPart *part, gint64 now)
{
  Status status = { 0 };
  GHashTableIter it;
  gpointer machine;
  guint waiting = 0;

  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &machine))
    status_add (&status, part, machine, now);
  for (guint i = 0; i < part->lives->len; i++)
    waiting += kr_job_unstarted (((KrLive *) part->lives->pdata[i])->job);
  kr_debug (
      "part %u: %u jobs, %u tasks wait; %u machines up, %u starting; CPUs: %.0f running, %.0f "
      "fetching, %.0f in doubt; free: %.0f held, %.0f leaving, %.0f not usable, %.0f open; "
      "%u overtaken reports, %u invariants broken",
      part->index, part->lives->len, waiting, status.up, status.starting, status.running,
      status.fetching, status.doubt, status.held, status.leaving, status.unusable, status.open,
      part->overtaken, kr_invariants_broken ());
}

/* What is on a machine whose lease is over is gone; one that stays silent goes as well. */
static void
judge_lease (KrPart *part, KrMachine *machine, gint64 now)
{
  const KrSettings *settings = part->node->settings;
  /* Judged at the last moment at which the part was surely ours: a node cut off from the state
   * service must not take a machine that its successor has fenced, and now answers, for silent. */
  gint64 proven = kr_membership_proven (part->node->membership);

  if (!machine->answered || !kr_machine_lease_over (machine, proven, settings->lease_s))
    return;
  if (kr_machine_busy (machine))
    kr_info ("machine %s: silent, its lease is over, %u tasks gone (token %" G_GUINT64_FORMAT
             ", session %" G_GUINT64_FORMAT ", answered %.3f s ago, ours proven %.3f s ago)",
             machine->id, kr_machine_busy (machine), part->token, machine->session,
             seconds_since (machine->answered, now), seconds_since (proven, now));
  kr_machine_clear (machine, KR_GONE_LEASE, kr_part_saw, part);
  machine->idle_since = now;
  if (now - machine->heard > kr_seconds (settings->lease_s + KR_LOST_DELETE_S) &&
      (now - part->last_beat < kr_seconds (2 * settings->report_s) ||
       g_hash_table_size (part->machines) == 1))
    kr_part_delete_machine (part, machine, "silent for long");
}

static void
watch_machine (KrPart *part, KrMachine *machine, gint64 now)
{
  const KrSettings *settings = part->node->settings;

  if (machine->deleting)
    return;
  if (!kr_part_needs_fence (machine))
    judge_lease (part, machine, now);
  else if (part->phase == OPEN) /* the cloud has refused */
    kr_part_delete_machine (part, machine, KR_LEFT_RECORD);
  if (machine->deleting)
    return;
  gboolean cancelled = FALSE, kills = FALSE;
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    const KrJob *job = kr_live_job (launch);
    if (launch->state == KR_TASK_EXITED)
      continue;
    kills |= launch->kill != KR_KILL_NO;
    cancelled |= job && job->cancelled;
    if (machine->notice_at && job && job->spec->checkpoint_s > 0 && !launch->kill &&
        machine->notice_at - now < kr_seconds (job->spec->save_s + 2 * settings->report_s)) {
      launch->kill = KR_KILL_SLACK; /* save while there is time */
      kills = TRUE;
    }
  }
  if (kills && now - machine->heard > kr_seconds (KR_KILL_REPEAT_S))
    kr_part_command_kills (part, machine);
  /* A cancelled task on a machine that cannot be reached: its lease may still be renewed by a
   * response of ours on its way, so the machine goes before the users' limit. */
  if (cancelled &&
      now - machine->heard > kr_seconds (settings->cancel_s * KR_CANCEL_DELETE_SHARE)) {
    kr_part_delete_machine (part, machine, "holds a cancelled task and cannot be reached");
    return;
  }
  if (machine->drain && machine->launches->len == 0)
    kr_part_delete_machine (part, machine, "drained");
  if (machine->reserved_for && now >= machine->reserved_until)
    g_clear_pointer (&machine->reserved_for, g_free);
}

static gboolean
tick (gpointer data)
{
  KrPart *part = data;
  const KrSettings *settings = part->node->settings;
  gint64 now = kr_now ();
  guint heard = 0;

  if (part->have_record) {
    g_autoptr (GList) all = g_hash_table_get_values (part->machines);
    for (GList *l = all; l; l = l->next) {
      heard += ((KrMachine *) l->data)->answered != 0;
      watch_machine (part, l->data, now);
    }
  }
  if (kr_log_debug_enabled () && part->have_jobs && part->ticks++ % KR_STATUS_TICKS == 0)
    log_status (part, now);
  kr_part_write_record (part);
  kr_part_remove_strays (part);
  kr_part_moves (part);
  kr_part_tell_needs (part);
  kr_part_preempt (part, now);
  kr_part_flush (part);
  kr_part_prune_ended (part);
  /* Cut off from the workers, but not from the state service: somebody else may reach them. */
  if (heard >= 2 && now - part->last_beat > kr_seconds (2 * settings->report_s + KR_SILENCE_S) &&
      kr_state_silence (part->node->state) < KR_SILENCE_S) {
    kr_info ("part %u: no machine reports here any more, handing it on", part->index);
    part->last_beat = now;
    kr_membership_release (part->node->membership, part->index, KR_SILENCE_HOLD_MS);
  }
  return G_SOURCE_CONTINUE;
}

static gboolean
held_tick (gpointer data)
{
  kr_part_answer_held (data);
  return G_SOURCE_CONTINUE;
}

/* --- taking over and letting go ------------------------------------------------------ */
KrPart *
kr_part_new (KrNode *node, guint index, guint64 token)
{
  KrPart *part = g_new0 (KrPart, 1);
  g_ref_count_init (&part->refs);
  part->node = node;
  part->index = index;
  part->token = token;
  part->cancel = kr_cancellable_child (node->cancel);
  part->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_live_free);
  part->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_machine_free);
  part->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  part->lives = g_ptr_array_new ();
  part->held = g_ptr_array_new ();
  part->used = g_new0 (KrRoom, node->settings->teams->len);
  part->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  part->taken_at = part->last_beat = kr_now ();
  part->tick = kr_timer_add (KR_TICK_MS, tick, part);
  kr_takeover_begin (part);
  part->held_tick = kr_timer_add (KR_HELD_TICK_MS, held_tick, part);
  kr_info ("part %u: taking over with token %" G_GUINT64_FORMAT, index, token);
  kr_membership_rescan (node->membership);
  return part;
}

void
kr_part_renewed (KrPart *part, guint64 token)
{
  GHashTableIter it;
  gpointer value;
  part->token = token;
  part->launches = 0;
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value)) {
    KrMachine *machine = value;
    /* A machine that we fenced stays ours: only this process held the key since. */
    if (machine->must_fence && machine->fenced)
      machine->must_fence = FALSE;
    machine->fenced = FALSE;
  }
}

void
kr_part_drop (KrPart *part)
{
  kr_info ("part %u: no longer ours", part->index);
  part->gone = TRUE;
  kr_timer_remove (part->tick);
  kr_timer_remove (part->held_tick);
  kr_timer_clear (&part->fence_tick);
  kr_timer_clear (&part->preempt_soon);
  while (part->held->len)
    let_go (part, part->held->pdata[0]);
  g_cancellable_cancel (part->cancel);
  kr_part_unref (part);
}
