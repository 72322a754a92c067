#include "shard-private.h"
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "log.h"
#include "provisioner.h"
#include "worker-client.h"
#include <string.h>

KrShard *
kr_shard_ref (KrShard *shard)
{
  g_ref_count_inc (&shard->refs);
  return shard;
}

void
kr_shard_unref (KrShard *shard)
{
  if (!g_ref_count_dec (&shard->refs))
    return;
  /* The jobs come before the machines, since freeing the live jobs accesses the machines' attempts.
   */
  g_hash_table_unref (shard->jobs);
  g_hash_table_unref (shard->machines);
  g_hash_table_unref (shard->ended_jobs);
  g_ptr_array_unref (shard->live_jobs);
  g_ptr_array_unref (shard->held_machines);
  g_free (shard->team_usage);
  g_hash_table_unref (shard->deleted_ids);
  g_clear_pointer (&shard->former_owners, g_ptr_array_unref);
  g_object_unref (shard->cancel);
  g_free (shard);
}

guint64
kr_shard_token (KrShard *shard)
{
  return shard->token;
}

KrMachine *
kr_shard_machine (KrShard *shard, const char *id)
{
  return g_hash_table_lookup (shard->machines, id);
}

gboolean
kr_shard_next_machine (KrShard *shard, GHashTableIter *it, gpointer *machine)
{
  shard->machine_visits++;
  return g_hash_table_iter_next (it, NULL, machine);
}

guint64
kr_shard_machine_visits (KrShard *shard)
{
  return shard->machine_visits;
}

KrJob *
kr_shard_job (KrShard *shard, const char *id)
{
  KrLiveJob *live_job = g_hash_table_lookup (shard->jobs, id);
  return live_job ? live_job->job : NULL;
}

static double
elapsed_s (gint64 then, gint64 now)
{
  return (double) (now - then) / G_USEC_PER_SEC;
}

/* --- attempt events ------------------------------------------------------------------ */
void
kr_shard_add_attempt (KrShard *shard, KrAttempt *attempt)
{
  KrLiveJob *live_job = g_hash_table_lookup (shard->jobs, attempt->job_id);
  if (!live_job || attempt->live_job || attempt->state == KR_TASK_EXITED)
    return;
  const KrJob *job = live_job->job;
  /* Kills a duplicate: a task that is completed or active elsewhere, or whose job is cancelled,
   * must not run. */
  if (job->cancelled || kr_job_is_done (job, attempt->task_index) ||
      (attempt->task_index < job->spec->tasks && job->active[attempt->task_index]))
    attempt->kill = KR_KILL_NOW;
  kr_live_job_add_attempt (live_job, attempt);
}

static void
task_failed (KrShard *shard, KrMachine *machine, KrJob *job, double ran_s, gint64 now)
{
  guint fault_score = 0;
  GHashTableIter it;
  gpointer id;

  machine->no_start_until = now + kr_seconds_to_us (KR_JOB_BACKOFF_S / 2);
  g_hash_table_add (job->failed_on, g_strdup (machine->id));
  job->failed_at = now;
  job->longest_failed_run_s = MAX (job->longest_failed_run_s, ran_s);
  g_hash_table_add (machine->failed_jobs, g_strdup (job->spec->id));
  /* A job that fails on several machines is itself the likely cause. Its backoff grows, so that a
   * job which is past its goal, and therefore ranks high, does not take every free slot over and
   * over. */
  if (kr_job_is_suspect (job)) {
    /* A task that fails during the backoff was started before it: the backoff grows once per retry
     * only. */
    if (job->probing || now >= job->backoff_until) {
      job->backoff_until = now + kr_seconds_to_us (job->backoff_s);
      kr_info ("job %s: failed on %u machines, backing off for %.0f s", job->spec->id,
               g_hash_table_size (job->failed_on), job->backoff_s);
      job->backoff_s = MIN (job->backoff_s * 2, KR_JOB_BACKOFF_MAX_S);
    }
    job->probing = FALSE;
  } else
    job->backoff_until = 0;
  g_hash_table_iter_init (&it, machine->failed_jobs);
  while (g_hash_table_iter_next (&it, &id, NULL)) {
    KrJob *other_job = kr_shard_job (shard, id);
    /* A job that fails only here counts once, or twice if it has completed tasks before. */
    if (other_job && g_hash_table_size (other_job->failed_on) == 1)
      fault_score += 1 + (other_job->timed_count > 0);
  }
  if (fault_score >= KR_FAULTY_MACHINE_JOBS && !machine->drain) {
    kr_info ("machine %s: tasks fail only on this machine; draining it", machine->id);
    machine->drain = TRUE;
  }
}

/* Updates the machine's slowdown and drains a machine that is much slower than its peers, since it
 * delays every task that it gets. */
static void
update_slowdown (KrMachine *machine, const KrJob *job, double ran_s)
{
  if (job->timed_count < KR_SLOWDOWN_MIN_TASKS)
    return; /* Too few completed tasks to compare with. */
  double ratio = ran_s / MAX (job->timed_sum_s / job->timed_count, 1e-3);
  machine->slowdown = machine->slowdown_samples++
                          ? machine->slowdown + KR_SLOWDOWN_WEIGHT * (ratio - machine->slowdown)
                          : ratio;
  if (machine->slowdown_samples >= KR_SLOWDOWN_MIN_TASKS && machine->slowdown > KR_SLOWDOWN_LIMIT &&
      !machine->drain) {
    kr_info ("machine %s: tasks take %.1f times as long as elsewhere; draining it", machine->id,
             machine->slowdown);
    machine->drain = TRUE;
  }
}

static void
task_done (KrShard *shard, KrMachine *machine, KrJob *job, KrAttempt *attempt, gint64 now)
{
  if (!kr_job_is_done (job, attempt->task_index)) {
    if (job->spec->kind != KR_JOB_KIND_SERVICE) /* A service's task is started again instead. */
      kr_job_set_done (job, attempt->task_index);
    job->progress_dirty = TRUE;
    if (attempt->running_since && !attempt->adopted) {
      update_slowdown (machine, job, kr_attempt_run_time_s (attempt, now));
      job->timed_sum_s += kr_attempt_run_time_s (attempt, now);
      job->timed_count++;
    }
  }
  kr_job_clear_failures (job);
  g_hash_table_remove (machine->failed_jobs, job->spec->id);
  if (kr_job_is_complete (job))
    kr_shard_flush_progress (shard);
}

static void
task_exited (KrShard *shard, KrMachine *machine, KrJob *job, KrAttempt *attempt)
{
  gint64 now = kr_now ();
  if (attempt->exit_reason == KR_EXIT_DONE)
    task_done (shard, machine, job, attempt, now);
  else if (attempt->exit_reason == KR_EXIT_ERROR) {
    kr_info ("task %s/%u: failed on %s", attempt->job_id, attempt->task_index, machine->id);
    task_failed (shard, machine, job, kr_attempt_run_time_s (attempt, now), now);
  } else if (attempt->exit_reason == KR_EXIT_REFUSED || attempt->exit_reason == KR_EXIT_UNKNOWN)
    kr_info ("task %s/%u: start refused by %s", attempt->job_id, attempt->task_index, machine->id);
  if (job->cancelled)
    kr_shard_flush_progress (shard);
}

/* Backs off from a machine whose reports arrive while the responses to them do not: it looks idle
 * and would be assigned tasks for ever. */
static void
back_off_undelivered (KrMachine *machine)
{
  guint shift =
      KR_UNDELIVERED_BACKOFF_SHIFT * MIN (machine->undelivered, KR_UNDELIVERED_BACKOFF_STEPS);
  double backoff_s = MIN (KR_UNDELIVERED_BACKOFF_MAX_S, KR_UNDELIVERED_BACKOFF_S * (1u << shift));
  machine->no_start_until = kr_now () + kr_seconds_to_us (backoff_s);
  machine->undelivered++;
  kr_info ("machine %s: a run order did not reach it; backing off", machine->id);
}

void
kr_shard_on_attempt_event (KrMachine *machine, KrAttempt *attempt, KrAttemptEvent event,
                           gpointer data)
{
  KrShard *shard = data;
  KrJob *job = kr_shard_job (shard, attempt->job_id);

  switch (event) {
  case KR_ATTEMPT_DISCOVERED:
    if (shard->jobs_loaded)
      kr_shard_add_attempt (shard, attempt);
    break;
  case KR_ATTEMPT_CONFIRMED:
    machine->undelivered = 0;
    break;
  case KR_ATTEMPT_UNDELIVERED:
    back_off_undelivered (machine);
    break;
  case KR_ATTEMPT_STARTED:
    kr_debug ("task %s/%u: running on %s", attempt->job_id, attempt->task_index, machine->id);
    if (job) {
      g_hash_table_add (machine->cached_images, g_strdup (job->spec->image));
      job->progress_dirty = TRUE;
    }
    break;
  case KR_ATTEMPT_EXITED:
    kr_debug ("task %s/%u: exited on %s (%d)", attempt->job_id, attempt->task_index, machine->id,
              attempt->exit_reason);
    kr_live_job_remove_attempt (attempt);
    if (job)
      task_exited (shard, machine, job, attempt);
    break;
  case KR_ATTEMPT_GONE:
    if (attempt->state != KR_TASK_EXITED)
      kr_debug ("task %s/%u: gone from %s (%s)", attempt->job_id, attempt->task_index, machine->id,
                kr_gone_reason_name (attempt->gone_reason));
    kr_live_job_remove_attempt (attempt);
    if (job && job->cancelled)
      kr_shard_flush_progress (shard);
    break;
  }
}

/* --- orders -------------------------------------------------------------------------- */
/* Returns the seconds that a killed task gets to save a checkpoint. */
static double
grace_s (KrShard *shard, const KrAttempt *attempt)
{
  const KrJob *job = kr_attempt_job (attempt);
  return attempt->kill == KR_KILL_GRACEFUL && job && job->spec->checkpoint_interval_s > 0
             ? job->spec->checkpoint_save_s + KR_SAVE_GRACE_S
             : 0;
}

/* Whether a kill is requested and not yet in progress. A task that is saving its checkpoint is left
 * alone. */
static gboolean
kill_needed (const KrAttempt *attempt)
{
  return attempt->kill && attempt->state != KR_TASK_EXITED &&
         !(attempt->kill == KR_KILL_GRACEFUL && attempt->state == KR_TASK_SAVING);
}

/* Adds the kills that are due on the machine. Returns FALSE if there is no room for all. */
static gboolean
add_kills (KrShard *shard, KrMachine *machine, KrOrders *orders)
{
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (kill_needed (attempt) &&
        !kr_wire_order_kill (orders, attempt->job_id, attempt->task_index, attempt->attempt_id,
                             grace_s (shard, attempt)))
      return FALSE;
  }
  return TRUE;
}

/* Marks the attempts of jobs that have ended to be killed. */
static void
kill_attempts_of_ended_jobs (KrShard *shard, KrMachine *machine)
{
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->state != KR_TASK_EXITED && shard->jobs_loaded && !attempt->live_job &&
        !kr_shard_job (shard, attempt->job_id))
      attempt->kill = KR_KILL_NOW;
  }
}

/* Whether the worker may forget the exited attempt: its outcome is durable, until when only the
 * worker knows it, or does not matter. */
static gboolean
may_clear (KrShard *shard, const KrAttempt *attempt)
{
  const KrJob *job = kr_shard_job (shard, attempt->job_id);
  if (attempt->exit_reason != KR_EXIT_DONE)
    return TRUE;
  if (!job)
    return shard->jobs_loaded;
  return job->spec->kind == KR_JOB_KIND_SERVICE || job->cancelled ||
         kr_job_is_persisted (job, attempt->task_index);
}

/* Adds the orders about the attempts on the machine, the kills first. What there is no room for
 * goes into the response to the next report. */
static void
add_kills_and_clears (KrShard *shard, KrMachine *machine, KrOrders *orders)
{
  kill_attempts_of_ended_jobs (shard, machine);
  if (!add_kills (shard, machine, orders))
    return;
  for (guint i = 0; i < machine->attempts->len; i++) {
    const KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->state == KR_TASK_EXITED && may_clear (shard, attempt))
      kr_wire_order_clear (orders, attempt->job_id, attempt->task_index, attempt->attempt_id);
  }
}

/* The context of a direct command or deletion in flight. */
typedef struct {
  KrShard *shard;
  char *id;
} MachineCall;

static MachineCall *
machine_call_new (KrShard *shard, KrMachine *machine)
{
  MachineCall *call = g_new (MachineCall, 1);
  *call = (MachineCall){ kr_shard_ref (shard), g_strdup (machine->id) };
  return call;
}

static void
machine_call_free (MachineCall *call)
{
  kr_shard_unref (call->shard);
  g_free (call->id);
  g_free (call);
}

void
kr_shard_apply_direct_report (KrShard *shard, KrMachine *machine, const KrReport *report)
{
  kr_machine_apply_report (machine, report, FALSE, shard->token, kr_now (),
                           kr_shard_on_attempt_event, shard);
  if (report->token > shard->token)
    kr_membership_renew_token (shard->node->membership, shard->index);
}

static void
on_command_response (guint status, KrReport *report, gpointer data)
{
  MachineCall *call = data;
  KrShard *shard = call->shard;
  KrMachine *machine = shard->closed ? NULL : kr_shard_machine (shard, call->id);

  if (machine) {
    machine->command_in_flight = FALSE;
    kr_machine_note_call (machine, report != NULL, kr_now ());
    if (report && (status == 200 || status == 409))
      kr_shard_apply_direct_report (shard, machine, report);
    gboolean again = machine->command_again && report;
    machine->command_again = FALSE;
    if (again)
      kr_shard_command_kills (shard, machine);
  }
  machine_call_free (call);
}

void
kr_shard_command_kills (KrShard *shard, KrMachine *machine)
{
  if (!machine->endpoint || !machine->session || kr_now () < machine->next_call_at)
    return;
  /* One command at a time: it carries all kills, and more in flight would delay everything else on
   * the main loop. */
  if (machine->command_in_flight) {
    machine->command_again = TRUE;
    return;
  }
  /* A direct kill may overtake the run order of an unconfirmed attempt; it is repeated in the
   * responses to reports. */
  g_autoptr (KrOrders) orders = kr_wire_commands_new (shard->token, machine->session);
  machine->command_again = !add_kills (shard, machine, orders);
  if (kr_wire_orders_count (orders) == 0)
    return;
  machine->command_in_flight = TRUE;
  kr_worker_send_commands (shard->node->worker_client, machine->endpoint,
                           kr_wire_orders_message (orders), shard->cancel, on_command_response,
                           machine_call_new (shard, machine));
}

/* --- deletion ------------------------------------------------------------------------ */
/* Logs one line when the cloud begins to refuse deletions and one when it accepts them again. */
static void
log_deletion_outcome (KrShard *shard, guint status)
{
  gboolean refused = status != 200;
  if (shard->closed || refused == shard->deletions_refused)
    return;
  shard->deletions_refused = refused;
  if (refused)
    kr_info ("shard %u: the cloud refuses to delete machines (status %u); retrying", shard->index,
             status);
  else
    kr_info ("shard %u: the cloud deletes machines again", shard->index);
}

static void
on_delete_response (guint status, json_t *body, gpointer data)
{
  MachineCall *call = data;
  KrShard *shard = call->shard;
  KrMachine *machine = shard->closed ? NULL : kr_shard_machine (shard, call->id);

  if (machine && status == 200) {
    kr_shard_remove_machine (shard, machine, KR_GONE_DELETED);
    g_hash_table_add (shard->deleted_ids, g_strdup (machine->id));
    g_hash_table_remove (shard->machines, machine->id);
    kr_shard_write_record (shard);
  } else if (machine) {
    machine->deleting = FALSE; /* the next tick retries */
    machine->delete_after = kr_now () + kr_seconds_to_us (KR_DELETE_RETRY_S);
  }
  log_deletion_outcome (shard, status);
  machine_call_free (call);
}

gboolean
kr_shard_delete_machine (KrShard *shard, KrMachine *machine, const char *why)
{
  if (machine->deleting)
    return TRUE;
  machine->drain = TRUE;
  if (kr_now () < machine->delete_after)
    return FALSE;
  machine->deleting = TRUE;
  if (machine->delete_after)
    kr_debug ("machine %s: retrying its deletion: %s", machine->id, why);
  else
    kr_info ("machine %s: deleting it: %s", machine->id, why);
  kr_cloud_delete (shard->node->cloud_client, machine->id, shard->cancel, on_delete_response,
                   machine_call_new (shard, machine));
  return TRUE;
}

void
kr_shard_return_machine (KrShard *shard, const char *id)
{
  KrMachine *machine = kr_shard_machine (shard, id);
  if (machine && shard->phase == SHARD_OPEN && machine->attempts->len == 0 && machine->move_to < 0)
    kr_shard_delete_machine (shard, machine, "no longer needed");
}

void
kr_shard_mark_for_move (KrShard *shard, const char *id, guint to)
{
  KrMachine *machine = kr_shard_machine (shard, id);
  if (machine && shard->phase == SHARD_OPEN && !machine->drain && !machine->moving &&
      to < shard->node->settings->shard_count)
    machine->move_to = to == shard->index ? -1 : (gint) to;
}

/* Guards against a delayed copy of a report from a machine that is gone. While no other machine
 * reports, its silence alone proves nothing, and the machine would stay in the record for ever.
 * `lag`: how old a machine list may be, in seconds. */
static gboolean
unlisted_and_silent (const KrMachine *machine, gint64 now, double lag)
{
  return machine->last_report_at &&
         now - machine->last_report_at > kr_seconds_to_us (2 * lag + KR_MISSING_MARGIN_S);
}

void
kr_shard_machines_listed (KrShard *shard, GHashTable *by_id)
{
  GHashTableIter it;
  gpointer value;
  gint64 now = kr_now ();
  double lag = shard->node->settings->cloud_list_lag_s;

  shard->listed_at = now;
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    const KrListedMachine *listed = g_hash_table_lookup (by_id, machine->id);
    if (listed) {
      machine->listed = TRUE;
      machine->missing_since = 0;
      if (!machine->has_reported && !machine->type) {
        machine->type = g_strdup (listed->type);
        machine->zone = g_strdup (listed->zone);
        machine->spot = listed->spot;
      }
      if (!machine->endpoint && listed->endpoint && *listed->endpoint)
        machine->endpoint = g_strdup (listed->endpoint);
      const KrMachineType *type = kr_node_machine_type (shard->node, listed->type);
      double boot_limit_s =
          MAX (KR_BOOT_MIN_S, type ? type->boot_s * KR_BOOT_GIVE_UP_FACTOR : KR_BOOT_MIN_S);
      if (listed->state == KR_MACHINE_FAILED)
        kr_shard_delete_machine (shard, machine, "it has failed");
      else if (listed->state == KR_MACHINE_STARTING && !machine->last_report_at &&
               listed->age_s > boot_limit_s)
        kr_shard_delete_machine (shard, machine, "it did not start in time");
    } else if ((machine->listed || (machine->used && !machine->last_report_at) ||
                unlisted_and_silent (machine, now, lag)) &&
               !machine->missing_since)
      machine->missing_since = now; /* A used machine was up before, and therefore listed. */
    else if (!machine->listed && !machine->last_report_at &&
             now - machine->joined_at > kr_seconds_to_us (KR_UNLISTED_MACHINE_S + 4 * lag))
      kr_shard_delete_machine (shard, machine, "never listed"); /* added from a stale list */
    /* A list may be older than the one before it: the deletion waits for the maximum lag. Then the
     * cloud is asked to delete the machine, since a 200 to a deletion proves that it is gone and
     * its absence from a list does not. */
    if (machine->missing_since &&
        now - machine->missing_since > kr_seconds_to_us (2 * lag + KR_MISSING_MARGIN_S))
      kr_shard_delete_machine (shard, machine, "no longer listed");
  }
}

/* --- reports ------------------------------------------------------------------------- */
/* The only place that answers a report with 200. Whatever the report said, the worker may count its
 * lease from this answer, so the time of the last renewal must never be set to an earlier moment.
 */
static void
renew_lease (KrMachine *machine, KrRequest *request, const KrOrders *orders, gint64 now)
{
  machine->lease_renewed_at = now;
  kr_request_reply (request, 200, kr_wire_orders_message (orders), 0);
}

static void
answer_report (KrShard *shard, KrMachine *machine, KrRequest *request, gint64 now)
{
  g_autoptr (KrOrders) orders = kr_wire_orders_new (shard->token);
  kr_shard_drop_planned (shard, machine);
  add_kills_and_clears (shard, machine, orders);
  kr_shard_assign_tasks (shard, machine, orders, now);
  if (kr_shard_usable (shard, machine, now))
    kr_shard_send_planned (machine, orders);
  renew_lease (machine, request, orders, now);
}

/* Refuses the machine's held report, if there is one: this node must not or cannot answer it any
 * more, or the worker has sent a newer report. */
static void
refuse_held_report (KrShard *shard, KrMachine *machine)
{
  if (!machine->pending_request)
    return;
  kr_request_reply (g_steal_pointer (&machine->pending_request), 503, NULL, 0);
  g_ptr_array_remove_fast (shard->held_machines, machine);
}

void
kr_shard_answer_held_reports (KrShard *shard)
{
  gint64 now = kr_now ();
  for (guint i = shard->held_machines->len; i-- > 0;) {
    KrMachine *machine = shard->held_machines->pdata[i];
    gboolean late =
        now - machine->pending_since >= KR_FIRST_REPORT_HOLD_MS * G_GINT64_CONSTANT (1000);
    /* Guards against an owner that renews the lease before it has read which jobs are cancelled:
     * while the state service is unreachable for long, their tasks would run on without anyone
     * noticing. */
    if (!shard->jobs_loaded) {
      if (late)
        refuse_held_report (shard, machine);
      continue;
    }
    if (!machine->used && !late)
      continue;
    /* Guards against a machine that stays idle with a former owner which cannot reach the state
     * service: the new owner has work for the machine but does not know that it is up. */
    if (!machine->used &&
        kr_state_seconds_since_answer (shard->node->state_client) > KR_STATE_UNREACHABLE_S) {
      refuse_held_report (shard, machine);
      continue;
    }
    g_ptr_array_remove_index_fast (shard->held_machines, i);
    answer_report (shard, machine, g_steal_pointer (&machine->pending_request), now);
  }
}

void
kr_shard_remove_machine (KrShard *shard, KrMachine *machine, KrGoneReason reason)
{
  refuse_held_report (shard, machine);
  kr_machine_remove_attempts (machine, reason, kr_shard_on_attempt_event, shard);
}

void
kr_shard_handle_report (KrShard *shard, KrRequest *request, const KrReport *report)
{
  KrMachine *machine = kr_shard_machine (shard, report->machine);
  gint64 now = kr_now ();

  /* The takeover has given this machine up, since neither responses nor commands reach it. If its
   * reports were answered, its lease would count as renewed for ever. */
  gboolean abandoned =
      machine && machine->drain && kr_shard_needs_fence (machine) && report->token < shard->token;
  if (!machine || machine->deleting || abandoned) {
    kr_request_reply (request, machine || !shard->record_loaded ? 503 : 421,
                      kr_wire_redirect (NULL), 0);
    return;
  }
  if (report->token > shard->token) {
    /* An owner with a newer token has commanded the machine. If this node still holds the key, that
     * owner is gone or the machine came from another shard: this node needs a newer token and must
     * not send orders now. */
    kr_membership_renew_token (shard->node->membership, shard->index);
    const KrHolder *holder = kr_membership_holder (shard->node->membership, shard->index);
    gboolean other = holder->node && !kr_membership_owns (shard->node->membership, shard->index);
    kr_request_reply (request, 421, kr_wire_redirect (other ? holder->node : NULL), 0);
    return;
  }
  shard->last_report_at = now;
  KrReportFreshness freshness = kr_machine_apply_report (machine, report, TRUE, shard->token, now,
                                                         kr_shard_on_attempt_event, shard);
  shard->overtaken_reports += freshness == KR_REPORT_OVERTAKEN;
  if (freshness == KR_REPORT_OVERTAKEN && shard->jobs_loaded) {
    g_autoptr (KrOrders) none = kr_wire_orders_new (shard->token);
    renew_lease (machine, request, none, now);
    return;
  }
  if (freshness != KR_REPORT_FRESH) {
    kr_request_reply (request, 503, NULL, 0);
    return;
  }
  refuse_held_report (shard, machine); /* The worker has given up on the earlier report. */
  machine->lease_renewed_at = now;
  if (kr_machine_count_unfinished (machine))
    machine->idle_since = now;
  if (machine->used && shard->jobs_loaded) {
    answer_report (shard, machine, request, now);
    return;
  }
  /* The machine's use must be durable before its first run order. The answer is held until then:
   * the next report, whose answer could otherwise carry the order, may be a whole report interval
   * away. It is also held until the jobs are read: see kr_shard_answer_held_reports. */
  machine->use_pending = !machine->used;
  machine->pending_request = request;
  machine->pending_since = now;
  g_ptr_array_add (shard->held_machines, machine);
  kr_shard_write_record (shard);
}

/* --- periodic duties ----------------------------------------------------------------- */
/* How the shard's machines and their CPUs are used. */
typedef struct {
  guint up, starting;                           /* machines */
  double running, pulling, unconfirmed;         /* CPUs in use */
  double reserved, moving, unusable, available; /* free CPUs */
} Status;

/* Returns the counter of `status` for the CPUs that the attempt uses. */
static double *
used_cpus_counter (Status *status, const KrAttempt *attempt)
{
  if (attempt->state == KR_TASK_UNCONFIRMED)
    return &status->unconfirmed;
  return attempt->state == KR_TASK_PULLING ? &status->pulling : &status->running;
}

/* Returns the counter of `status` for the machine's free CPUs. */
static double *
free_cpus_counter (Status *status, KrShard *shard, const KrMachine *machine, gint64 now)
{
  if (!kr_shard_usable (shard, machine, now))
    return &status->unusable;
  if (machine->move_to >= 0)
    return &status->moving;
  return machine->reserved_for ? &status->reserved : &status->available;
}

static void
status_add_machine (Status *status, KrShard *shard, const KrMachine *machine, gint64 now)
{
  const KrMachineType *type =
      machine->type ? kr_node_machine_type (shard->node, machine->type) : NULL;
  double left = type ? type->cpus : 0;
  if (!machine->has_reported) {
    status->starting++;
    return;
  }
  status->up++;
  for (guint i = 0; i < machine->attempts->len; i++) {
    const KrAttempt *attempt = machine->attempts->pdata[i];
    const KrJob *job = kr_attempt_job (attempt);
    if (!job || attempt->state == KR_TASK_EXITED)
      continue;
    left -= job->spec->cpus;
    *used_cpus_counter (status, attempt) += job->spec->cpus;
  }
  *free_cpus_counter (status, shard, machine, now) += left;
}

static void
log_status (KrShard *shard, gint64 now)
{
  Status status = { 0 };
  GHashTableIter it;
  gpointer machine;
  guint pending = 0;

  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &machine))
    status_add_machine (&status, shard, machine, now);
  for (guint i = 0; i < shard->live_jobs->len; i++)
    pending += kr_job_unstarted (((KrLiveJob *) shard->live_jobs->pdata[i])->job);
  kr_debug (
      "shard %u: %u jobs, %u tasks pending; %u machines up, %u starting; CPUs: %.0f running, %.0f "
      "pulling, %.0f unconfirmed; free: %.0f reserved, %.0f moving, %.0f unusable, %.0f available; "
      "%u overtaken reports, %u invariant violations",
      shard->index, shard->live_jobs->len, pending, status.up, status.starting, status.running,
      status.pulling, status.unconfirmed, status.reserved, status.moving, status.unusable,
      status.available, shard->overtaken_reports, kr_invariant_violations ());
}

/* Removes the attempts on a machine whose lease has expired, and deletes the machine if it stays
 * silent. */
static void
check_lease (KrShard *shard, KrMachine *machine, gint64 now)
{
  const KrSettings *settings = shard->node->settings;
  /* Measured against the last moment at which this node certainly owned the shard: a node without a
   * connection to the state service must not consider a machine silent that the new owner has
   * fenced and now answers. */
  gint64 confirmed_at = kr_membership_lease_confirmed_at (shard->node->membership);

  if (!machine->lease_renewed_at ||
      !kr_machine_lease_expired (machine, confirmed_at, settings->worker_lease_s))
    return;
  if (kr_machine_count_unfinished (machine))
    kr_info ("machine %s: lease expired, %u tasks gone (token %" G_GUINT64_FORMAT
             ", session %" G_GUINT64_FORMAT
             ", lease renewed %.3f s ago, ownership confirmed %.3f s ago)",
             machine->id, kr_machine_count_unfinished (machine), shard->token, machine->session,
             elapsed_s (machine->lease_renewed_at, now), elapsed_s (confirmed_at, now));
  kr_machine_remove_attempts (machine, KR_GONE_LEASE_EXPIRED, kr_shard_on_attempt_event, shard);
  machine->idle_since = now;
  if (now - machine->last_report_at >
          kr_seconds_to_us (settings->worker_lease_s + KR_SILENT_MACHINE_DELETE_S) &&
      (now - shard->last_report_at < kr_seconds_to_us (2 * settings->report_interval_s) ||
       g_hash_table_size (shard->machines) == 1))
    kr_shard_delete_machine (shard, machine, "it sent no reports for too long");
}

static void
check_machine (KrShard *shard, KrMachine *machine, gint64 now)
{
  const KrSettings *settings = shard->node->settings;

  if (machine->deleting)
    return;
  if (!kr_shard_needs_fence (machine))
    check_lease (shard, machine, now);
  else if (shard->phase == SHARD_OPEN) /* It left the record, and the cloud refused its deletion. */
    kr_shard_delete_machine (shard, machine, KR_REASON_LEFT_RECORD);
  if (machine->deleting)
    return;
  gboolean cancelled = FALSE, kills = FALSE;
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    const KrJob *job = kr_attempt_job (attempt);
    if (attempt->state == KR_TASK_EXITED)
      continue;
    kills |= attempt->kill != KR_KILL_NONE;
    cancelled |= job && job->cancelled;
    if (machine->reclaim_at && job && job->spec->checkpoint_interval_s > 0 && !attempt->kill &&
        machine->reclaim_at - now <
            kr_seconds_to_us (job->spec->checkpoint_save_s + 2 * settings->report_interval_s)) {
      attempt->kill = KR_KILL_GRACEFUL; /* save a checkpoint while there is time */
      kills = TRUE;
    }
  }
  if (kills && now - machine->last_report_at > kr_seconds_to_us (KR_KILL_REPEAT_S))
    kr_shard_command_kills (shard, machine);
  /* A cancelled task on an unreachable machine: a response of this node still in transit may renew
   * the machine's lease, so the machine is deleted before the time limit for cancellations is over.
   */
  if (cancelled && now - machine->last_report_at >
                       kr_seconds_to_us (settings->cancel_limit_s * KR_CANCEL_DELETE_SHARE)) {
    kr_shard_delete_machine (shard, machine, "it has a cancelled task and cannot be reached");
    return;
  }
  if (machine->drain && machine->attempts->len == 0)
    kr_shard_delete_machine (shard, machine, "drained");
  if (machine->reserved_for && now >= machine->reserved_until)
    g_clear_pointer (&machine->reserved_for, g_free);
}

static gboolean
tick (gpointer data)
{
  KrShard *shard = data;
  const KrSettings *settings = shard->node->settings;
  gint64 now = kr_now ();
  guint answered = 0;

  if (shard->record_loaded) {
    g_autoptr (GList) all = g_hash_table_get_values (shard->machines);
    for (GList *l = all; l; l = l->next) {
      answered += ((KrMachine *) l->data)->lease_renewed_at != 0;
      check_machine (shard, l->data, now);
    }
  }
  if (kr_log_debug_enabled () && shard->jobs_loaded && shard->tick_count++ % KR_STATUS_TICKS == 0)
    log_status (shard, now);
  kr_shard_write_record (shard);
  kr_shard_remove_duplicate_records (shard);
  kr_shard_move_marked (shard);
  kr_shard_store_summary (shard);
  kr_shard_preempt (shard, now);
  kr_shard_flush_progress (shard);
  kr_shard_prune_ended (shard);
  /* This node reaches the state service but none of the workers: another node may reach them. */
  if (answered >= 2 &&
      now - shard->last_report_at >
          kr_seconds_to_us (2 * settings->report_interval_s + KR_SHARD_SILENCE_S) &&
      kr_state_seconds_since_answer (shard->node->state_client) < KR_SHARD_SILENCE_S) {
    kr_info ("shard %u: none of its machines reports to this node; releasing it", shard->index);
    shard->last_report_at = now;
    kr_membership_release (shard->node->membership, shard->index, KR_SHARD_SILENCE_HOLD_OFF_MS);
  }
  return G_SOURCE_CONTINUE;
}

static gboolean
held_tick (gpointer data)
{
  kr_shard_answer_held_reports (data);
  return G_SOURCE_CONTINUE;
}

/* --- lifecycle ----------------------------------------------------------------------- */
KrShard *
kr_shard_new (KrNode *node, guint index, guint64 token)
{
  KrShard *shard = g_new0 (KrShard, 1);
  g_ref_count_init (&shard->refs);
  shard->node = node;
  shard->index = index;
  shard->token = token;
  shard->cancel = kr_cancellable_new_child (node->cancel);
  shard->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_live_job_free);
  shard->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_machine_free);
  shard->ended_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  shard->live_jobs = g_ptr_array_new ();
  shard->held_machines = g_ptr_array_new ();
  shard->team_usage = g_new0 (KrResources, node->settings->teams->len);
  shard->deleted_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  shard->acquired_at = shard->last_report_at = kr_now ();
  shard->tick_timer = kr_timer_add (KR_TICK_MS, tick, shard);
  kr_takeover_begin (shard);
  shard->held_timer = kr_timer_add (KR_FIRST_REPORT_HOLD_CHECK_MS, held_tick, shard);
  kr_info ("shard %u: taking over with token %" G_GUINT64_FORMAT, index, token);
  kr_membership_relist (node->membership);
  return shard;
}

void
kr_shard_set_token (KrShard *shard, guint64 token)
{
  GHashTableIter it;
  gpointer value;
  shard->token = token;
  shard->attempt_counter = 0;
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    /* A machine that this node has fenced need not be fenced again: only this process has held the
     * key since then. */
    if (machine->must_fence && machine->fenced)
      machine->must_fence = FALSE;
    machine->fenced = FALSE;
  }
}

void
kr_shard_close (KrShard *shard)
{
  kr_info ("shard %u: no longer owned by this node", shard->index);
  shard->closed = TRUE;
  kr_timer_remove (shard->tick_timer);
  kr_timer_remove (shard->held_timer);
  kr_timer_clear (&shard->fence_timer);
  kr_timer_clear (&shard->preempt_timer);
  while (shard->held_machines->len)
    refuse_held_report (shard, shard->held_machines->pdata[0]);
  g_cancellable_cancel (shard->cancel);
  kr_shard_unref (shard);
}
