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
kr_launch_free (gpointer p)
{
  KrLaunch *l = p;
  g_free (l->job);
  g_free (l);
}

KrMachine *
kr_machine_new (const char *id)
{
  KrMachine *b = g_new0 (KrMachine, 1);
  b->id = g_strdup (id);
  b->launches = g_ptr_array_new_with_free_func (kr_launch_free);
  b->bad_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->leaving_to = -1;
  return b;
}

void
kr_machine_free (gpointer p)
{
  KrMachine *b = p;
  g_free (b->id);
  g_free (b->endpoint);
  g_free (b->type);
  g_free (b->zone);
  g_free (b->reserved_for);
  g_ptr_array_unref (b->launches);
  g_hash_table_unref (b->bad_jobs);
  g_hash_table_unref (b->images);
  g_free (b);
}

KrLaunch *
kr_machine_launch (KrMachine *b, const char *job, guint index, guint64 attempt)
{
  KrLaunch *l = g_new0 (KrLaunch, 1);
  l->job = g_strdup (job);
  l->index = index;
  l->attempt = attempt;
  l->on = b;
  l->state = KR_TASK_DOUBT;
  g_ptr_array_add (b->launches, l);
  return l;
}

static KrLaunch *
find (KrMachine *b, const KrTaskReport *t)
{
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    if (l->index == t->index && l->attempt == t->attempt && g_str_equal (l->job, t->job))
      return l;
  }
  return NULL;
}

static gboolean
reported (const KrReport *r, const KrLaunch *l)
{
  for (guint i = 0; i < r->tasks->len; i++) {
    const KrTaskReport *t = &g_array_index (r->tasks, KrTaskReport, i);
    if (l->index == t->index && l->attempt == t->attempt && g_str_equal (l->job, t->job))
      return TRUE;
  }
  return FALSE;
}

/* A launch that was not seen yet. */
static KrLaunch *
in_doubt (const KrMachine *b)
{
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    if (l->state == KR_TASK_DOUBT && !l->planned && !l->kill)
      return l;
  }
  return NULL;
}

void
kr_machine_clear (KrMachine *b, KrSawFunc saw, gpointer data)
{
  /* Also where the lease ran out between two reports: a deaf machine that goes from node to node
   * comes back to its owner only after that, and would be given work each time. */
  KrLaunch *lost = in_doubt (b);
  if (lost)
    saw (b, lost, KR_SAW_UNHEARD, data);
  while (b->launches->len) {
    KrLaunch *l = g_ptr_array_steal_index (b->launches, b->launches->len - 1);
    saw (b, l, KR_SAW_GONE, data);
    kr_launch_free (l);
  }
}

gboolean
kr_machine_apply (KrMachine *b, const KrReport *r, gboolean beat, guint64 token, gint64 now,
                  KrSawFunc saw, gpointer data)
{
  if (r->session < b->session || (r->session == b->session && r->seq <= b->seq))
    return FALSE; /* guards against reports that a cut held back */
  if (r->session > b->session)
    kr_machine_clear (b, saw, data); /* its lease ran out: the worker killed everything */
  b->session = r->session;
  b->seq = r->seq;
  b->heard = now;
  b->token = r->token;
  if (r->token == token) {
    b->fenced = TRUE;
    /* Fenced by a direct command, it may fall silent before its first report to us: whoever renewed
     * its lease did so before now. */
    if (!b->answered)
      b->answered = now;
  }
  if (!b->known || g_strcmp0 (b->endpoint, r->endpoint) != 0) {
    g_free (b->endpoint);
    g_free (b->type);
    g_free (b->zone);
    b->endpoint = g_strdup (r->endpoint);
    b->type = g_strdup (r->type);
    b->zone = g_strdup (r->zone);
    b->spot = r->spot;
    if (!b->known)
      kr_debug ("machine %s: up", b->id);
    b->known = TRUE;
  }
  if (isnan (r->notice_s))
    b->notice_at = 0;
  else if (!b->notice_at)
    b->notice_at = now + kr_seconds (r->notice_s);

  gboolean unheard = FALSE;
  for (guint i = b->launches->len; i-- > 0;) {
    KrLaunch *l = b->launches->pdata[i];
    if (reported (r, l))
      continue;
    if (l->planned)
      continue;
    /* Not there. In doubt, only a later beat proves it: an answer of /commands or /show may have
     * been written before the worker took the response with the run. */
    if (l->state == KR_TASK_DOUBT && !(beat && r->seq > l->doubt_seq))
      continue;
    if (l->state == KR_TASK_DOUBT && !l->kill && !unheard)
      saw (b, l, KR_SAW_UNHEARD, data);
    unheard |= l->state == KR_TASK_DOUBT;
    l = g_ptr_array_steal_index (b->launches, i);
    saw (b, l, KR_SAW_GONE, data);
    kr_launch_free (l);
  }
  for (guint i = 0; i < r->tasks->len; i++) {
    const KrTaskReport *t = &g_array_index (r->tasks, KrTaskReport, i);
    KrLaunch *l = find (b, t);
    KrTaskState before;
    if (!l) {
      l = kr_machine_launch (b, t->job, t->index, t->attempt);
      l->adopted = TRUE;
      l->state = t->state;
      saw (b, l, KR_SAW_NEW, data);
      before = KR_TASK_DOUBT;
    } else
      before = l->state;
    if (before == KR_TASK_DOUBT && !l->adopted)
      saw (b, l, KR_SAW_HEARD, data);
    l->state = t->state;
    l->why = t->why;
    if (t->state == KR_TASK_RUNNING && !l->since) {
      l->since = now;
      saw (b, l, KR_SAW_RUNNING, data);
    }
    if (t->state == KR_TASK_EXITED && before != KR_TASK_EXITED)
      saw (b, l, KR_SAW_EXITED, data);
  }
  return TRUE;
}

gboolean
kr_lease_over (gint64 since, gint64 now, double lease_s)
{
  return now - since > kr_seconds (lease_s * (1 + KR_CLOCK_DRIFT) + KR_LEASE_MARGIN_S);
}

gboolean
kr_machine_lease_over (const KrMachine *b, gint64 now, double lease_s)
{
  return kr_lease_over (b->answered, now, lease_s);
}

double
kr_launch_ran_s (const KrLaunch *l, gint64 now)
{
  return l->since ? (double) (now - l->since) / G_USEC_PER_SEC : 0;
}

guint
kr_machine_busy (const KrMachine *b)
{
  guint n = 0;
  for (guint i = 0; i < b->launches->len; i++)
    n += ((KrLaunch *) b->launches->pdata[i])->state != KR_TASK_EXITED;
  return n;
}
