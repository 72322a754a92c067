#include "agent.h"
#include "constants.h"
#include "log.h"
#include <math.h>
#include <string.h>

gint64
kr_seconds (double s)
{
  return (gint64) (s * G_USEC_PER_SEC);
}

void
kr_launch_free (gpointer data)
{
  KrLaunch *launch = data;
  g_free (launch->job);
  g_free (launch);
}

KrMachine *
kr_machine_new (const char *id)
{
  KrMachine *machine = g_new0 (KrMachine, 1);
  machine->id = g_strdup (id);
  machine->launches = g_ptr_array_new_with_free_func (kr_launch_free);
  machine->bad_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  machine->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  machine->leaving_to = -1;
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
  g_ptr_array_unref (machine->launches);
  g_hash_table_unref (machine->bad_jobs);
  g_hash_table_unref (machine->images);
  g_free (machine);
}

KrLaunch *
kr_machine_launch (KrMachine *machine, const char *job, guint index, guint64 attempt)
{
  KrLaunch *launch = g_new0 (KrLaunch, 1);
  launch->job = g_strdup (job);
  launch->index = index;
  launch->attempt = attempt;
  launch->on = machine;
  launch->state = KR_TASK_DOUBT;
  g_ptr_array_add (machine->launches, launch);
  return launch;
}

static KrLaunch *
find (KrMachine *machine, const KrTaskReport *task)
{
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    if (launch->index == task->index && launch->attempt == task->attempt &&
        g_str_equal (launch->job, task->job))
      return launch;
  }
  return NULL;
}

static gboolean
reported (const KrReport *report, const KrLaunch *launch)
{
  for (guint i = 0; i < report->tasks->len; i++) {
    const KrTaskReport *task = &g_array_index (report->tasks, KrTaskReport, i);
    if (launch->index == task->index && launch->attempt == task->attempt &&
        g_str_equal (launch->job, task->job))
      return TRUE;
  }
  return FALSE;
}

/* A launch that was not seen yet. */
static KrLaunch *
in_doubt (const KrMachine *machine)
{
  for (guint i = 0; i < machine->launches->len; i++) {
    KrLaunch *launch = machine->launches->pdata[i];
    if (launch->state == KR_TASK_DOUBT && !launch->planned && !launch->kill)
      return launch;
  }
  return NULL;
}

const char *
kr_gone_name (KrGone gone)
{
  static const char *const names[] = {
    [KR_GONE_NOT] = "not gone",     [KR_GONE_REPORTED] = "reported", [KR_GONE_SESSION] = "session",
    [KR_GONE_LEASE] = "lease",      [KR_GONE_DELETED] = "deleted",   [KR_GONE_MOVED] = "moved",
    [KR_GONE_UNSENT] = "never sent"
  };
  return names[gone];
}

static void
launch_gone (KrMachine *machine, KrLaunch *launch, KrGone gone, KrSawFunc saw, gpointer data)
{
  launch->gone = gone;
  saw (machine, launch, KR_SAW_GONE, data);
  kr_launch_free (launch);
}

void
kr_machine_clear (KrMachine *machine, KrGone gone, KrSawFunc saw, gpointer data)
{
  /* Also where the lease ran out between two reports: a deaf machine that goes from node to node
   * comes back to its owner only after that, and would be given work each time. */
  KrLaunch *lost = in_doubt (machine);
  if (lost)
    saw (machine, lost, KR_SAW_UNHEARD, data);
  while (machine->launches->len) {
    KrLaunch *launch = g_ptr_array_steal_index (machine->launches, machine->launches->len - 1);
    launch_gone (machine, launch, gone, saw, data);
  }
}

static void
take_identity (KrMachine *machine, const KrReport *report)
{
  if (machine->known && g_strcmp0 (machine->endpoint, report->endpoint) == 0)
    return;
  g_free (machine->endpoint);
  g_free (machine->type);
  g_free (machine->zone);
  machine->endpoint = g_strdup (report->endpoint);
  machine->type = g_strdup (report->type);
  machine->zone = g_strdup (report->zone);
  machine->spot = report->spot;
  if (!machine->known)
    kr_debug ("machine %s: up", machine->id);
  machine->known = TRUE;
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
    machine->answered = now;
  machine->fenced = TRUE;
}

static void
take_notice (KrMachine *machine, const KrReport *report, gint64 now)
{
  if (isnan (report->notice_s))
    machine->notice_at = 0;
  else if (!machine->notice_at)
    machine->notice_at = now + kr_seconds (report->notice_s);
}

/* What the report does not show is gone. */
static void
drop_missing (KrMachine *machine, const KrReport *report, gboolean beat, KrSawFunc saw,
              gpointer data)
{
  gboolean unheard = FALSE;
  for (guint i = machine->launches->len; i-- > 0;) {
    KrLaunch *launch = machine->launches->pdata[i];
    if (launch->planned || reported (report, launch))
      continue;
    /* In doubt, only a later beat proves it: an answer of /commands or /show may have been written
     * before the worker took the response with the run. */
    if (launch->state == KR_TASK_DOUBT && !(beat && report->seq > launch->doubt_seq))
      continue;
    if (launch->state == KR_TASK_DOUBT && !launch->kill && !unheard)
      saw (machine, launch, KR_SAW_UNHEARD, data);
    unheard |= launch->state == KR_TASK_DOUBT;
    launch = g_ptr_array_steal_index (machine->launches, i);
    launch_gone (machine, launch, KR_GONE_REPORTED, saw, data);
  }
}

static void
take_task (KrMachine *machine, const KrTaskReport *task, gint64 now, KrSawFunc saw, gpointer data)
{
  KrLaunch *launch = find (machine, task);
  KrTaskState before = launch ? launch->state : KR_TASK_DOUBT;
  if (!launch) {
    launch = kr_machine_launch (machine, task->job, task->index, task->attempt);
    launch->adopted = TRUE;
    launch->state = task->state;
    saw (machine, launch, KR_SAW_NEW, data);
  }
  if (before == KR_TASK_DOUBT && !launch->adopted)
    saw (machine, launch, KR_SAW_HEARD, data);
  launch->state = task->state;
  launch->why = task->why;
  if (task->state == KR_TASK_RUNNING && !launch->since) {
    launch->since = now;
    saw (machine, launch, KR_SAW_RUNNING, data);
  }
  if (task->state == KR_TASK_EXITED && before != KR_TASK_EXITED)
    saw (machine, launch, KR_SAW_EXITED, data);
}

/* Before it is taken in. */
static KrNews
news_of (const KrMachine *machine, const KrReport *report, gboolean beat)
{
  if (report->session > machine->session)
    return KR_NEWS_FRESH;
  if (report->session < machine->session) /* guards against reports that a cut held back */
    return KR_NEWS_COPY;
  if (report->seq > machine->seq)
    return KR_NEWS_FRESH;
  return beat && report->seq > machine->beat_seq ? KR_NEWS_OVERTAKEN : KR_NEWS_COPY;
}

KrNews
kr_machine_apply (KrMachine *machine, const KrReport *report, gboolean beat, guint64 token,
                  gint64 now, KrSawFunc saw, gpointer data)
{
  KrNews news = news_of (machine, report, beat);
  if (beat && news != KR_NEWS_COPY)
    machine->beat_seq = report->seq;
  if (news != KR_NEWS_FRESH)
    return news;
  if (report->session > machine->session) {
    kr_machine_clear (machine, KR_GONE_SESSION, saw,
                      data); /* its lease ran out: the worker killed everything */
    machine->beat_seq = beat ? report->seq : 0;
  }
  machine->session = report->session;
  machine->seq = report->seq;
  machine->heard = now;
  take_token (machine, report, token, now);
  take_identity (machine, report);
  take_notice (machine, report, now);
  drop_missing (machine, report, beat, saw, data);
  for (guint i = 0; i < report->tasks->len; i++)
    take_task (machine, &g_array_index (report->tasks, KrTaskReport, i), now, saw, data);
  return KR_NEWS_FRESH;
}

void
kr_machine_called (KrMachine *machine, gboolean answered, gint64 now)
{
  if (answered) {
    machine->unanswered = 0;
    machine->next_call = 0;
    return;
  }
  double pause_s = MIN (KR_CALL_PAUSE_MAX_S, KR_CALL_PAUSE_S * (1u << machine->unanswered));
  machine->next_call = now + kr_seconds (pause_s);
  machine->unanswered = MIN (machine->unanswered + 1, KR_CALL_PAUSES);
}

gboolean
kr_lease_over (gint64 since, gint64 now, double lease_s)
{
  return now - since > kr_seconds (lease_s * (1 + KR_CLOCK_DRIFT) + KR_LEASE_MARGIN_S);
}

gboolean
kr_machine_lease_over (const KrMachine *machine, gint64 now, double lease_s)
{
  return kr_lease_over (machine->answered, now, lease_s);
}

double
kr_launch_ran_s (const KrLaunch *launch, gint64 now)
{
  return launch->since ? (double) (now - launch->since) / G_USEC_PER_SEC : 0;
}

guint
kr_machine_busy (const KrMachine *machine)
{
  guint n = 0;
  for (guint i = 0; i < machine->launches->len; i++)
    n += ((KrLaunch *) machine->launches->pdata[i])->state != KR_TASK_EXITED;
  return n;
}
