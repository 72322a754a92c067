#include "machine.h"
#include "constants.h"
#include "log.h"
#include <math.h>
#include <string.h>

gint64
kr_seconds_to_us (double s)
{
  return (gint64) (s * G_USEC_PER_SEC);
}

void
kr_attempt_free (gpointer data)
{
  KrAttempt *attempt = data;
  g_free (attempt->job_id);
  g_free (attempt);
}

KrMachine *
kr_machine_new (const char *id)
{
  KrMachine *machine = g_new0 (KrMachine, 1);
  machine->id = g_strdup (id);
  machine->attempts = g_ptr_array_new_with_free_func (kr_attempt_free);
  machine->failed_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  machine->cached_images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  machine->move_to = -1;
  return machine;
}

void
kr_machine_free (gpointer data)
{
  KrMachine *machine = data;
  g_free (machine->id);
  g_free (machine->endpoint);
  g_free (machine->type);
  g_free (machine->zone);
  g_free (machine->reserved_for);
  g_ptr_array_unref (machine->attempts);
  g_hash_table_unref (machine->failed_jobs);
  g_hash_table_unref (machine->cached_images);
  g_free (machine);
}

KrAttempt *
kr_machine_add_attempt (KrMachine *machine, const char *job, guint index, guint64 attempt_id)
{
  KrAttempt *attempt = g_new0 (KrAttempt, 1);
  attempt->job_id = g_strdup (job);
  attempt->task_index = index;
  attempt->attempt_id = attempt_id;
  attempt->machine = machine;
  attempt->state = KR_TASK_UNCONFIRMED;
  g_ptr_array_add (machine->attempts, attempt);
  return attempt;
}

static KrAttempt *
find_attempt (KrMachine *machine, const KrTaskReport *task)
{
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->task_index == task->index && attempt->attempt_id == task->attempt_id &&
        g_str_equal (attempt->job_id, task->job))
      return attempt;
  }
  return NULL;
}

static gboolean
report_lists (const KrReport *report, const KrAttempt *attempt)
{
  for (guint i = 0; i < report->tasks->len; i++) {
    const KrTaskReport *task = &g_array_index (report->tasks, KrTaskReport, i);
    if (attempt->task_index == task->index && attempt->attempt_id == task->attempt_id &&
        g_str_equal (attempt->job_id, task->job))
      return TRUE;
  }
  return FALSE;
}

/* Returns an attempt whose run order was sent and that no report has shown yet, or NULL. Ignores
 * attempts being killed. */
static KrAttempt *
find_unconfirmed (const KrMachine *machine)
{
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->state == KR_TASK_UNCONFIRMED && !attempt->planned && !attempt->kill)
      return attempt;
  }
  return NULL;
}

const char *
kr_gone_reason_name (KrGoneReason reason)
{
  static const char *const names[] = {
    [KR_GONE_NONE] = "not gone",           [KR_GONE_NOT_REPORTED] = "not in report",
    [KR_GONE_NEW_SESSION] = "new session", [KR_GONE_LEASE_EXPIRED] = "lease expired",
    [KR_GONE_DELETED] = "deleted",         [KR_GONE_MOVED] = "moved",
    [KR_GONE_UNSENT] = "never sent"
  };
  return names[reason];
}

static void
remove_attempt (KrMachine *machine, KrAttempt *attempt, KrGoneReason reason,
                KrAttemptEventFunc on_event, gpointer data)
{
  attempt->gone_reason = reason;
  on_event (machine, attempt, KR_ATTEMPT_GONE, data);
  kr_attempt_free (attempt);
}

void
kr_machine_remove_attempts (KrMachine *machine, KrGoneReason reason, KrAttemptEventFunc on_event,
                            gpointer data)
{
  /* This event is also raised if the lease expired between two reports. A machine that receives no
   * responses reports to one node after the other and returns to its owner only after its lease has
   * expired. Without the backoff that this event causes, it would be assigned tasks each time. */
  KrAttempt *undelivered = find_unconfirmed (machine);
  if (undelivered)
    on_event (machine, undelivered, KR_ATTEMPT_UNDELIVERED, data);
  while (machine->attempts->len) {
    KrAttempt *attempt = g_ptr_array_steal_index (machine->attempts, machine->attempts->len - 1);
    remove_attempt (machine, attempt, reason, on_event, data);
  }
}

static void
apply_identity (KrMachine *machine, const KrReport *report)
{
  if (machine->has_reported && g_strcmp0 (machine->endpoint, report->endpoint) == 0)
    return;
  g_free (machine->endpoint);
  g_free (machine->type);
  g_free (machine->zone);
  machine->endpoint = g_strdup (report->endpoint);
  machine->type = g_strdup (report->type);
  machine->zone = g_strdup (report->zone);
  machine->spot = report->spot;
  if (!machine->has_reported)
    kr_debug ("machine %s: first report", machine->id);
  machine->has_reported = TRUE;
}

static void
apply_token (KrMachine *machine, const KrReport *report, guint64 token, gint64 now)
{
  machine->token = report->token;
  if (report->token != token)
    return;
  /* A machine fenced by a direct command may fall silent before its next report to this node. An
   * earlier owner may have renewed its lease until now, even after the machine reported to this
   * node. */
  if (!machine->fenced)
    machine->lease_renewed_at = now;
  machine->fenced = TRUE;
}

static void
apply_reclaim_notice (KrMachine *machine, const KrReport *report, gint64 now)
{
  if (isnan (report->reclaim_notice_s))
    machine->reclaim_at = 0;
  else if (!machine->reclaim_at)
    machine->reclaim_at = now + kr_seconds_to_us (report->reclaim_notice_s);
}

/* Removes the attempts that the report does not list. */
static void
remove_unlisted_attempts (KrMachine *machine, const KrReport *report, gboolean is_heartbeat,
                          KrAttemptEventFunc on_event, gpointer data)
{
  gboolean undelivered_seen = FALSE;
  for (guint i = machine->attempts->len; i-- > 0;) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->planned || report_lists (report, attempt))
      continue;
    /* For an unconfirmed attempt only a later heartbeat report is proof: an answer to /commands or
     * /show may have been written before the worker received the response with the run order. */
    if (attempt->state == KR_TASK_UNCONFIRMED &&
        !(is_heartbeat && report->seq > attempt->sent_after_seq))
      continue;
    if (attempt->state == KR_TASK_UNCONFIRMED && !attempt->kill && !undelivered_seen)
      on_event (machine, attempt, KR_ATTEMPT_UNDELIVERED, data);
    undelivered_seen |= attempt->state == KR_TASK_UNCONFIRMED;
    attempt = g_ptr_array_steal_index (machine->attempts, i);
    remove_attempt (machine, attempt, KR_GONE_NOT_REPORTED, on_event, data);
  }
}

static void
apply_task_report (KrMachine *machine, const KrTaskReport *task, gint64 now,
                   KrAttemptEventFunc on_event, gpointer data)
{
  KrAttempt *attempt = find_attempt (machine, task);
  KrTaskState old_state = attempt ? attempt->state : KR_TASK_UNCONFIRMED;
  if (!attempt) {
    attempt = kr_machine_add_attempt (machine, task->job, task->index, task->attempt_id);
    attempt->adopted = TRUE;
    attempt->state = task->state;
    on_event (machine, attempt, KR_ATTEMPT_DISCOVERED, data);
  }
  if (old_state == KR_TASK_UNCONFIRMED && !attempt->adopted)
    on_event (machine, attempt, KR_ATTEMPT_CONFIRMED, data);
  attempt->state = task->state;
  attempt->exit_reason = task->exit_reason;
  if (task->state == KR_TASK_RUNNING && !attempt->running_since) {
    attempt->running_since = now;
    on_event (machine, attempt, KR_ATTEMPT_STARTED, data);
  }
  if (task->state == KR_TASK_EXITED && old_state != KR_TASK_EXITED)
    on_event (machine, attempt, KR_ATTEMPT_EXITED, data);
}

/* Compares the report with the newest known one. Must be called before the report is applied. */
static KrReportFreshness
report_freshness (const KrMachine *machine, const KrReport *report, gboolean is_heartbeat)
{
  if (report->session > machine->session)
    return KR_REPORT_FRESH;
  /* Guards against reports delayed by a link that was down. */
  if (report->session < machine->session)
    return KR_REPORT_STALE;
  if (report->seq > machine->seq)
    return KR_REPORT_FRESH;
  return is_heartbeat && report->seq > machine->report_seq ? KR_REPORT_OVERTAKEN : KR_REPORT_STALE;
}

KrReportFreshness
kr_machine_apply_report (KrMachine *machine, const KrReport *report, gboolean is_heartbeat,
                         guint64 token, gint64 now, KrAttemptEventFunc on_event, gpointer data)
{
  KrReportFreshness freshness = report_freshness (machine, report, is_heartbeat);
  if (is_heartbeat && freshness != KR_REPORT_STALE)
    machine->report_seq = report->seq;
  if (freshness != KR_REPORT_FRESH)
    return freshness;
  if (report->session > machine->session) {
    /* The lease expired, so the worker killed all its tasks. */
    kr_machine_remove_attempts (machine, KR_GONE_NEW_SESSION, on_event, data);
    machine->report_seq = is_heartbeat ? report->seq : 0;
  }
  machine->session = report->session;
  machine->seq = report->seq;
  machine->last_report_at = now;
  apply_token (machine, report, token, now);
  apply_identity (machine, report);
  apply_reclaim_notice (machine, report, now);
  remove_unlisted_attempts (machine, report, is_heartbeat, on_event, data);
  for (guint i = 0; i < report->tasks->len; i++)
    apply_task_report (machine, &g_array_index (report->tasks, KrTaskReport, i), now, on_event,
                       data);
  return KR_REPORT_FRESH;
}

void
kr_machine_note_call (KrMachine *machine, gboolean answered, gint64 now)
{
  if (answered) {
    machine->failed_calls = 0;
    machine->next_call_at = 0;
    return;
  }
  double backoff_s =
      MIN (KR_WORKER_BACKOFF_MAX_S, KR_WORKER_BACKOFF_S * (1u << machine->failed_calls));
  machine->next_call_at = now + kr_seconds_to_us (backoff_s);
  machine->failed_calls = MIN (machine->failed_calls + 1, KR_WORKER_BACKOFF_DOUBLINGS);
}

gboolean
kr_lease_expired (gint64 since, gint64 now, double lease_s)
{
  return now - since > kr_seconds_to_us (lease_s * (1 + KR_CLOCK_DRIFT) + KR_LEASE_MARGIN_S);
}

gboolean
kr_machine_lease_expired (const KrMachine *machine, gint64 now, double lease_s)
{
  return kr_lease_expired (machine->lease_renewed_at, now, lease_s);
}

double
kr_attempt_run_time_s (const KrAttempt *attempt, gint64 now)
{
  return attempt->running_since ? (double) (now - attempt->running_since) / G_USEC_PER_SEC : 0;
}

guint
kr_machine_count_unfinished (const KrMachine *machine)
{
  guint n = 0;
  for (guint i = 0; i < machine->attempts->len; i++)
    n += ((KrAttempt *) machine->attempts->pdata[i])->state != KR_TASK_EXITED;
  return n;
}
