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
find (KrMachine *machine, const KrTaskReport *task)
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
reported (const KrReport *report, const KrAttempt *attempt)
{
  for (guint i = 0; i < report->tasks->len; i++) {
    const KrTaskReport *task = &g_array_index (report->tasks, KrTaskReport, i);
    if (attempt->task_index == task->index && attempt->attempt_id == task->attempt_id &&
        g_str_equal (attempt->job_id, task->job))
      return TRUE;
  }
  return FALSE;
}

/* A launch that was not seen yet. */
static KrAttempt *
in_doubt (const KrMachine *machine)
{
  for (guint i = 0; i < machine->attempts->len; i++) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->state == KR_TASK_UNCONFIRMED && !attempt->planned && !attempt->kill)
      return attempt;
  }
  return NULL;
}

const char *
kr_gone_reason_name (KrGoneReason gone)
{
  static const char *const names[] = {
    [KR_GONE_NONE] = "not gone",       [KR_GONE_NOT_REPORTED] = "reported",
    [KR_GONE_NEW_SESSION] = "session", [KR_GONE_LEASE_EXPIRED] = "lease",
    [KR_GONE_DELETED] = "deleted",     [KR_GONE_MOVED] = "moved",
    [KR_GONE_UNSENT] = "never sent"
  };
  return names[gone];
}

static void
launch_gone (KrMachine *machine, KrAttempt *attempt, KrGoneReason gone, KrAttemptEventFunc saw,
             gpointer data)
{
  attempt->gone_reason = gone;
  saw (machine, attempt, KR_ATTEMPT_GONE, data);
  kr_attempt_free (attempt);
}

void
kr_machine_remove_attempts (KrMachine *machine, KrGoneReason gone, KrAttemptEventFunc saw,
                            gpointer data)
{
  /* Also where the lease ran out between two reports: a deaf machine that goes from node to node
   * comes back to its owner only after that, and would be given work each time. */
  KrAttempt *lost = in_doubt (machine);
  if (lost)
    saw (machine, lost, KR_ATTEMPT_UNDELIVERED, data);
  while (machine->attempts->len) {
    KrAttempt *attempt = g_ptr_array_steal_index (machine->attempts, machine->attempts->len - 1);
    launch_gone (machine, attempt, gone, saw, data);
  }
}

static void
take_identity (KrMachine *machine, const KrReport *report)
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
    kr_debug ("machine %s: up", machine->id);
  machine->has_reported = TRUE;
}

static void
take_token (KrMachine *machine, const KrReport *report, guint64 token, gint64 now)
{
  machine->token = report->token;
  if (report->token != token)
    return;
  /* Fenced by a direct command, it may fall silent before its next report to us: an earlier owner
   * may have renewed its lease until now, also after a report that came to us. */
  if (!machine->fenced)
    machine->lease_renewed_at = now;
  machine->fenced = TRUE;
}

static void
take_notice (KrMachine *machine, const KrReport *report, gint64 now)
{
  if (isnan (report->reclaim_notice_s))
    machine->reclaim_at = 0;
  else if (!machine->reclaim_at)
    machine->reclaim_at = now + kr_seconds_to_us (report->reclaim_notice_s);
}

/* What the report does not show is gone. */
static void
drop_missing (KrMachine *machine, const KrReport *report, gboolean beat, KrAttemptEventFunc saw,
              gpointer data)
{
  gboolean unheard = FALSE;
  for (guint i = machine->attempts->len; i-- > 0;) {
    KrAttempt *attempt = machine->attempts->pdata[i];
    if (attempt->planned || reported (report, attempt))
      continue;
    /* In doubt, only a later beat proves it: an answer of /commands or /show may have been written
     * before the worker took the response with the run. */
    if (attempt->state == KR_TASK_UNCONFIRMED && !(beat && report->seq > attempt->sent_after_seq))
      continue;
    if (attempt->state == KR_TASK_UNCONFIRMED && !attempt->kill && !unheard)
      saw (machine, attempt, KR_ATTEMPT_UNDELIVERED, data);
    unheard |= attempt->state == KR_TASK_UNCONFIRMED;
    attempt = g_ptr_array_steal_index (machine->attempts, i);
    launch_gone (machine, attempt, KR_GONE_NOT_REPORTED, saw, data);
  }
}

static void
take_task (KrMachine *machine, const KrTaskReport *task, gint64 now, KrAttemptEventFunc saw,
           gpointer data)
{
  KrAttempt *attempt = find (machine, task);
  KrTaskState before = attempt ? attempt->state : KR_TASK_UNCONFIRMED;
  if (!attempt) {
    attempt = kr_machine_add_attempt (machine, task->job, task->index, task->attempt_id);
    attempt->adopted = TRUE;
    attempt->state = task->state;
    saw (machine, attempt, KR_ATTEMPT_DISCOVERED, data);
  }
  if (before == KR_TASK_UNCONFIRMED && !attempt->adopted)
    saw (machine, attempt, KR_ATTEMPT_CONFIRMED, data);
  attempt->state = task->state;
  attempt->exit_reason = task->exit_reason;
  if (task->state == KR_TASK_RUNNING && !attempt->running_since) {
    attempt->running_since = now;
    saw (machine, attempt, KR_ATTEMPT_STARTED, data);
  }
  if (task->state == KR_TASK_EXITED && before != KR_TASK_EXITED)
    saw (machine, attempt, KR_ATTEMPT_EXITED, data);
}

/* Before it is taken in. */
static KrReportFreshness
news_of (const KrMachine *machine, const KrReport *report, gboolean beat)
{
  if (report->session > machine->session)
    return KR_REPORT_FRESH;
  if (report->session < machine->session) /* guards against reports that a cut held back */
    return KR_REPORT_STALE;
  if (report->seq > machine->seq)
    return KR_REPORT_FRESH;
  return beat && report->seq > machine->report_seq ? KR_REPORT_OVERTAKEN : KR_REPORT_STALE;
}

KrReportFreshness
kr_machine_apply_report (KrMachine *machine, const KrReport *report, gboolean beat, guint64 token,
                         gint64 now, KrAttemptEventFunc saw, gpointer data)
{
  KrReportFreshness news = news_of (machine, report, beat);
  if (beat && news != KR_REPORT_STALE)
    machine->report_seq = report->seq;
  if (news != KR_REPORT_FRESH)
    return news;
  if (report->session > machine->session) {
    kr_machine_remove_attempts (machine, KR_GONE_NEW_SESSION, saw,
                                data); /* its lease ran out: the worker killed everything */
    machine->report_seq = beat ? report->seq : 0;
  }
  machine->session = report->session;
  machine->seq = report->seq;
  machine->last_report_at = now;
  take_token (machine, report, token, now);
  take_identity (machine, report);
  take_notice (machine, report, now);
  drop_missing (machine, report, beat, saw, data);
  for (guint i = 0; i < report->tasks->len; i++)
    take_task (machine, &g_array_index (report->tasks, KrTaskReport, i), now, saw, data);
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
  double pause_s =
      MIN (KR_WORKER_BACKOFF_MAX_S, KR_WORKER_BACKOFF_S * (1u << machine->failed_calls));
  machine->next_call_at = now + kr_seconds_to_us (pause_s);
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
