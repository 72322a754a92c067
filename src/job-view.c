#include "job-view.h"
#include "clock.h"
#include "constants.h"
#include <string.h>

#define JOB_KEY_PREFIX "job/"

/* A caller of kr_job_view_sync. */
typedef struct {
  KrJobViewFunc callback;
  gpointer data;
} Waiter;

struct KrJobView {
  KrStateClient *state;
  GCancellable *cancel;
  KrWatch *lister;           /* lists all live jobs; stopped before it watches for changes */
  GHashTable *jobs;          /* id -> KrStoredJob */
  guint64 revision;          /* the view has all changes up to this one; 0: not listed yet */
  gint64 synced_at;          /* monotonic us: the view has all changes made before this time */
  gint64 request_started_at; /* monotonic us */
  gboolean request_in_progress;
  GArray *queued;       /* Waiter: callers that the next request serves */
  GArray *current;      /* Waiter: callers that the request in progress serves */
  KrJobViewStats stats; /* the counters; the other fields are filled in on request */
  guint timer;          /* until the next request, or the time-out of a list */
};

static void schedule_request (KrJobView *view);

gboolean
kr_stored_job_parse (KrStoredJob *stored_job, const KrKeyValue *item)
{
  *stored_job = (KrStoredJob){ .revision = item->revision };
  if (!kr_job_parse_status (item->value, &stored_job->state, &stored_job->done,
                            &stored_job->running))
    return FALSE;
  stored_job->cancelled =
      kr_job_parse_cancellation (item->value, &stored_job->shard, &stored_job->owner);
  return TRUE;
}

static void
apply_item (KrJobView *view, const KrKeyValue *item)
{
  const char *id = item->key + strlen (JOB_KEY_PREFIX);
  KrStoredJob stored_job;
  if (!item->value || !kr_stored_job_parse (&stored_job, item)) {
    g_hash_table_remove (view->jobs, id);
    return;
  }
  g_hash_table_replace (view->jobs, g_strdup (id), g_memdup2 (&stored_job, sizeof stored_job));
}

static void
finish_request (KrJobView *view, gboolean up_to_date)
{
  g_autoptr (GArray) current = view->current;
  view->current = g_array_new (FALSE, FALSE, sizeof (Waiter));
  view->request_in_progress = FALSE;
  kr_timer_clear (&view->timer);
  if (up_to_date)
    view->synced_at = view->request_started_at;
  for (guint i = 0; i < current->len; i++) {
    const Waiter *waiter = &g_array_index (current, Waiter, i);
    waiter->callback (up_to_date, waiter->data);
  }
  schedule_request (view);
}

static void
list_done (json_t *items, guint64 revision, gpointer data)
{
  KrJobView *view = data;
  json_t *entry;
  size_t i;

  kr_watch_stop (view->lister);
  view->stats.lists_completed++;
  g_hash_table_remove_all (view->jobs);
  json_array_foreach (items, i, entry)
  {
    KrKeyValue item;
    if (kr_wire_key_value_parse (entry, &item))
      apply_item (view, &item);
  }
  view->revision = revision;
  finish_request (view, TRUE);
}

static void
ignore_event (const KrKeyValue *item, gpointer data)
{
  /* The watch is stopped as soon as the list is complete. */
}

static void
changes_done (guint status, json_t *body, gpointer data)
{
  KrJobView *view = data;
  json_t *entry;
  size_t i;

  if (status == 410)
    view->revision = 0; /* too old: the changes since then are no longer kept */
  if (status != 200) {
    view->stats.updates_failed++;
    finish_request (view, FALSE);
    return;
  }
  view->stats.updates_completed++;
  json_array_foreach (kr_wire_watch_events (body), i, entry)
  {
    KrKeyValue item;
    if (kr_wire_watch_event_parse (entry, &item))
      apply_item (view, &item);
  }
  view->revision = MAX (view->revision, kr_wire_revision (body));
  finish_request (view, TRUE);
}

static gboolean
list_timed_out (gpointer data)
{
  KrJobView *view = data;
  view->timer = 0;
  view->stats.lists_given_up++;
  kr_watch_stop (view->lister);
  finish_request (view, FALSE);
  return G_SOURCE_REMOVE;
}

static gboolean
start_request (gpointer data)
{
  KrJobView *view = data;
  GArray *current = view->current;
  gint64 now = kr_now ();

  view->timer = 0;
  view->request_in_progress = TRUE;
  view->current = view->queued;
  view->queued = current;
  view->request_started_at = now;
  /* After a longer pause there are more changes than live jobs. */
  if (view->revision && now - view->synced_at < (gint64) (KR_JOB_VIEW_STALE_S * G_USEC_PER_SEC))
    kr_state_changes (view->state, JOB_KEY_PREFIX, view->revision, KR_USER_READ_DEADLINE_MS,
                      view->cancel, changes_done, view);
  else {
    view->timer = kr_timer_add (KR_USER_READ_DEADLINE_MS, list_timed_out, view);
    view->stats.lists_started++;
    kr_watch_relist (view->lister);
  }
  return G_SOURCE_REMOVE;
}

static void
schedule_request (KrJobView *view)
{
  if (view->request_in_progress || view->timer || view->queued->len == 0)
    return;
  gint64 wait = view->request_started_at + KR_JOB_VIEW_SYNC_MS * 1000 - kr_now ();
  view->timer =
      kr_timer_add ((guint) CLAMP (wait / 1000, 1, KR_JOB_VIEW_SYNC_MS), start_request, view);
}

KrJobView *
kr_job_view_new (KrStateClient *state, GCancellable *cancel)
{
  KrJobView *view = g_new0 (KrJobView, 1);
  view->state = state;
  view->cancel = kr_cancellable_new_child (cancel);
  view->lister = kr_watch_new (state, JOB_KEY_PREFIX, view->cancel, list_done, ignore_event, view);
  view->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  view->queued = g_array_new (FALSE, FALSE, sizeof (Waiter));
  view->current = g_array_new (FALSE, FALSE, sizeof (Waiter));
  return view;
}

void
kr_job_view_free (KrJobView *view)
{
  kr_timer_clear (&view->timer);
  g_cancellable_cancel (view->cancel);
  kr_watch_stop (view->lister);
}

/* The caller is served by a request that starts after this call. A request in progress may miss a
 * change that the caller has already been told by another node. */
void
kr_job_view_sync (KrJobView *view, KrJobViewFunc callback, gpointer data)
{
  const Waiter waiter = { callback, data };
  g_array_append_val (view->queued, waiter);
  schedule_request (view);
}

const KrStoredJob *
kr_job_view_find (KrJobView *view, const char *job)
{
  return g_hash_table_lookup (view->jobs, job);
}

KrJobViewStats
kr_job_view_stats (KrJobView *view)
{
  KrJobViewStats stats = view->stats;
  stats.jobs = g_hash_table_size (view->jobs);
  stats.waiting = view->queued->len + view->current->len;
  stats.pages = kr_watch_pages_read (view->lister);
  stats.age_s = view->synced_at ? (double) (kr_now () - view->synced_at) / G_USEC_PER_SEC : -1;
  return stats;
}
