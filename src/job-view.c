#include "job-view.h"
#include "clock.h"
#include "constants.h"
#include <string.h>

#define PREFIX "job/"

typedef struct {
  KrJobViewFunc reply;
  gpointer data;
} Waiter;

struct KrJobView {
  KrStateClient *state;
  GCancellable *cancel;
  KrWatch *scan;
  GHashTable *jobs; /* id -> KrStoredJob */
  guint64 revision; /* all changes up to it are in; 0: not read yet */
  gint64 synced;    /* monotonic us: what was changed before then is in */
  gint64 began;     /* the same of the request under way */
  gboolean busy;
  GArray *waiting; /* Waiter: for the next request */
  GArray *served;  /* Waiter: for the one under way */
  guint timer;
};

static void go_on (KrJobView *view);

gboolean
kr_stored_job_parse (KrStoredJob *view_job, const KrKeyValue *item)
{
  *view_job = (KrStoredJob){ .revision = item->revision };
  if (!kr_job_parse_status (item->value, &view_job->state, &view_job->done, &view_job->running))
    return FALSE;
  view_job->cancelled = kr_job_parse_cancellation (item->value, &view_job->shard, &view_job->owner);
  return TRUE;
}

static void
take (KrJobView *view, const KrKeyValue *item)
{
  const char *id = item->key + strlen (PREFIX);
  KrStoredJob j;
  if (!item->value || !kr_stored_job_parse (&j, item)) {
    g_hash_table_remove (view->jobs, id);
    return;
  }
  g_hash_table_replace (view->jobs, g_strdup (id), g_memdup2 (&j, sizeof j));
}

static void
finish (KrJobView *view, gboolean known)
{
  g_autoptr (GArray) served = view->served;
  view->served = g_array_new (FALSE, FALSE, sizeof (Waiter));
  view->busy = FALSE;
  kr_timer_clear (&view->timer);
  if (known)
    view->synced = view->began;
  for (guint i = 0; i < served->len; i++) {
    const Waiter *w = &g_array_index (served, Waiter, i);
    w->reply (known, w->data);
  }
  go_on (view);
}

static void
scanned (json_t *items, guint64 revision, gpointer data)
{
  KrJobView *view = data;
  json_t *o;
  size_t i;

  kr_watch_stop (view->scan);
  g_hash_table_remove_all (view->jobs);
  json_array_foreach (items, i, o)
  {
    KrKeyValue item;
    if (kr_wire_key_value_parse (o, &item))
      take (view, &item);
  }
  view->revision = revision;
  finish (view, TRUE);
}

static void
never (const KrKeyValue *item, gpointer data)
{
  /* The scan is stopped before it follows. */
}

static void
changed (guint status, json_t *body, gpointer data)
{
  KrJobView *view = data;
  json_t *o;
  size_t i;

  if (status == 410)
    view->revision = 0;
  if (status != 200) {
    finish (view, FALSE);
    return;
  }
  json_array_foreach (kr_wire_watch_events (body), i, o)
  {
    KrKeyValue item;
    if (kr_wire_watch_event_parse (o, &item))
      take (view, &item);
  }
  view->revision = MAX (view->revision, kr_wire_revision (body));
  finish (view, TRUE);
}

static gboolean
scan_late (gpointer data)
{
  KrJobView *view = data;
  view->timer = 0;
  kr_watch_stop (view->scan);
  finish (view, FALSE);
  return G_SOURCE_REMOVE;
}

static gboolean
start (gpointer data)
{
  KrJobView *view = data;
  GArray *served = view->served;
  gint64 now = kr_now ();

  view->timer = 0;
  view->busy = TRUE;
  view->served = view->waiting;
  view->waiting = served;
  view->began = now;
  /* After a pause the live jobs are fewer than the changes. */
  if (view->revision && now - view->synced < (gint64) (KR_JOB_VIEW_STALE_S * G_USEC_PER_SEC))
    kr_state_changes (view->state, PREFIX, view->revision, KR_USER_READ_DEADLINE_MS, view->cancel,
                      changed, view);
  else {
    view->timer = kr_timer_add (KR_USER_READ_DEADLINE_MS, scan_late, view);
    kr_watch_relist (view->scan);
  }
  return G_SOURCE_REMOVE;
}

static void
go_on (KrJobView *view)
{
  if (view->busy || view->timer || view->waiting->len == 0)
    return;
  gint64 wait = view->began + KR_JOB_VIEW_SYNC_MS * 1000 - kr_now ();
  view->timer = kr_timer_add ((guint) CLAMP (wait / 1000, 1, KR_JOB_VIEW_SYNC_MS), start, view);
}

KrJobView *
kr_job_view_new (KrStateClient *state, GCancellable *cancel)
{
  KrJobView *view = g_new0 (KrJobView, 1);
  view->state = state;
  view->cancel = kr_cancellable_new_child (cancel);
  view->scan = kr_watch_new (state, PREFIX, view->cancel, scanned, never, view);
  view->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  view->waiting = g_array_new (FALSE, FALSE, sizeof (Waiter));
  view->served = g_array_new (FALSE, FALSE, sizeof (Waiter));
  return view;
}

void
kr_job_view_free (KrJobView *view)
{
  kr_timer_clear (&view->timer);
  g_cancellable_cancel (view->cancel);
  kr_watch_stop (view->scan);
}

/* Joins only a request that begins after this call: one under way may have been answered before
 * what the asker has been told elsewhere. */
void
kr_job_view_sync (KrJobView *view, KrJobViewFunc reply, gpointer data)
{
  const Waiter w = { reply, data };
  g_array_append_val (view->waiting, w);
  go_on (view);
}

const KrStoredJob *
kr_job_view_find (KrJobView *view, const char *job)
{
  return g_hash_table_lookup (view->jobs, job);
}
