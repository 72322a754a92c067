#include "job-view.h"
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "state-list.h"
#include <string.h>

#define JOB_KEY_PREFIX "job/"

/* A caller of kr_job_view_sync. */
typedef struct {
  KrJobViewFunc callback;
  gpointer data;
  gint64 deadline; /* monotonic us */
} Waiter;

/* What the view has of the live jobs. */
typedef enum {
  VIEW_EMPTY,   /* nothing: a list has to be started */
  VIEW_LISTING, /* a list is in progress */
  VIEW_LISTED,  /* a complete list, but the changes since its first page may be missing */
  VIEW_SYNCED   /* all changes up to `revision` */
} ViewState;

struct KrJobView {
  KrStateClient *state;
  GCancellable *cancel;
  KrStateList *list;
  ViewState content;
  GHashTable *jobs;        /* id -> KrStoredJob */
  GHashTable *listed_jobs; /* the same, of the list in progress */
  guint64 revision;        /* revision up to which `jobs` has all changes */
  gint64 synced_at;        /* monotonic us: the view has all changes made before this time */
  gint64 unserved_since;   /* monotonic us: since when callers wait and none was served; 0: none */
  gint64 last_sync_at;     /* monotonic us: the newest call of kr_job_view_sync() */
  gint64 request_started_at; /* monotonic us */
  guint timeout_ms;          /* of the next request for changes */
  gboolean request_in_progress;
  GQueue queued;        /* Waiter: callers that the next request serves, oldest first */
  GQueue current;       /* Waiter: callers that the request in progress serves, oldest first */
  guint timer;          /* until the next request */
  guint deadline_timer; /* until the deadline of the oldest caller */
  KrJobViewStats stats; /* the counters; the other fields are filled in on request */
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
apply_item (GHashTable *jobs, const KrKeyValue *item)
{
  const char *id = item->key + strlen (JOB_KEY_PREFIX);
  KrStoredJob stored_job;
  if (!item->value || !kr_stored_job_parse (&stored_job, item)) {
    g_hash_table_remove (jobs, id);
    return;
  }
  g_hash_table_replace (jobs, g_strdup (id), g_memdup2 (&stored_job, sizeof stored_job));
}

static GHashTable *
new_job_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* --- callers ---------------------------------------------------------------------------- */
/* Reports a view that serves nobody although the state service answers. `oldest`: the caller whose
 * deadline has passed. */
static void
check_progress (KrJobView *view, const Waiter *oldest)
{
  if (kr_now () > oldest->deadline + KR_USER_STALE_MS * G_GINT64_CONSTANT (1000)) {
    view->unserved_since = 0; /* the process was stalled, and read nothing meanwhile */
    return;
  }
  double unserved_s = (double) (kr_now () - view->unserved_since) / G_USEC_PER_SEC;
  if (view->unserved_since && unserved_s > KR_VIEW_UNSERVED_MAX_S &&
      kr_state_seconds_since_failure (view->state) > KR_VIEW_UNSERVED_MAX_S) {
    kr_invariant_violated (KR_INVARIANT_POLLS_SERVED,
                           "no poll was served from the live jobs for %.0f s", unserved_s);
    view->unserved_since = 0;
  }
}

static void
call_waiter (GQueue *queue, gboolean up_to_date)
{
  g_autofree Waiter *waiter = g_queue_pop_head (queue);
  waiter->callback (up_to_date, waiter->data);
}

static const Waiter *
oldest_waiter (KrJobView *view)
{
  const Waiter *current = g_queue_peek_head (&view->current);
  return current ? current : g_queue_peek_head (&view->queued);
}

static void start_deadline_timer (KrJobView *view);

/* Ends the wait of callers at their deadline. The request or list that they wait for goes on. */
static gboolean
deadline_passed (gpointer data)
{
  KrJobView *view = data;
  const Waiter *oldest = oldest_waiter (view);

  view->deadline_timer = 0;
  if (oldest)
    check_progress (view, oldest);
  while ((oldest = oldest_waiter (view)) && oldest->deadline <= kr_now ())
    call_waiter (view->current.length ? &view->current : &view->queued, FALSE);
  start_deadline_timer (view);
  return G_SOURCE_REMOVE;
}

static void
start_deadline_timer (KrJobView *view)
{
  const Waiter *oldest = oldest_waiter (view);
  if (view->deadline_timer || !oldest)
    return;
  gint64 wait_ms = (oldest->deadline - kr_now ()) / 1000;
  view->deadline_timer = kr_timer_add ((guint) MAX (1, wait_ms + 1), deadline_passed, view);
}

/* --- requests --------------------------------------------------------------------------- */
static void
serve_current (KrJobView *view)
{
  view->content = VIEW_SYNCED;
  view->synced_at = view->request_started_at;
  view->timeout_ms = KR_USER_READ_DEADLINE_MS;
  view->unserved_since = 0;
  /* Callers that come meanwhile go to the other queue. */
  while (view->current.length)
    call_waiter (&view->current, TRUE);
}

/* Puts the callers of a failed request back: the next one serves them, if it ends in time. */
static void
requeue_current (KrJobView *view)
{
  while (view->current.length)
    g_queue_push_head (&view->queued, g_queue_pop_tail (&view->current));
}

static gboolean
apply_changes (KrJobView *view, json_t *body)
{
  g_autoptr (GArray) events = kr_wire_watch_events (body);

  if (!events || kr_wire_revision (body) < view->revision)
    return FALSE;
  for (guint i = 0; i < events->len; i++)
    apply_item (view->jobs, &g_array_index (events, KrKeyValue, i));
  view->revision = kr_wire_revision (body);
  return TRUE;
}

static void
changes_received (guint status, json_t *body, gpointer data)
{
  KrJobView *view = data;

  view->request_in_progress = FALSE;
  if (status == 410)
    view->content = VIEW_EMPTY; /* the changes since `revision` are no longer kept */
  if (status == 200 && apply_changes (view, body)) {
    view->stats.updates_completed++;
    serve_current (view);
  } else {
    view->stats.updates_failed++;
    view->timeout_ms = MIN (2 * view->timeout_ms, KR_JOB_VIEW_TIMEOUT_MAX_MS);
    requeue_current (view);
  }
  schedule_request (view);
}

static void
request_changes (KrJobView *view)
{
  g_warn_if_fail (view->current.length == 0);
  view->current = view->queued;
  g_queue_init (&view->queued);
  view->request_in_progress = TRUE;
  view->request_started_at = kr_now ();
  kr_state_changes (view->state, JOB_KEY_PREFIX, view->revision, view->timeout_ms, view->cancel,
                    changes_received, view);
}

static void
page_listed (json_t *items, guint64 revision, gboolean last, gpointer data)
{
  KrJobView *view = data;
  json_t *entry;
  size_t i;

  json_array_foreach (items, i, entry)
  {
    KrKeyValue item;
    if (kr_wire_key_value_parse (entry, &item))
      apply_item (view->listed_jobs, &item);
  }
  if (!last)
    return;
  view->stats.lists_completed++;
  g_hash_table_unref (view->jobs);
  view->jobs = g_steal_pointer (&view->listed_jobs);
  view->revision = revision;
  view->content = VIEW_LISTED;
  schedule_request (view);
}

/* The list goes on until it is complete, whether or not its callers still wait: with thousands of
 * live jobs it takes longer than any of them does. */
static void
start_list (KrJobView *view)
{
  g_clear_pointer (&view->listed_jobs, g_hash_table_unref);
  view->listed_jobs = new_job_table ();
  view->content = VIEW_LISTING;
  view->stats.lists_started++;
  kr_state_list_start (view->list);
}

/* After a longer pause there are more changes than live jobs. */
static gboolean
is_outdated (const KrJobView *view)
{
  return view->content == VIEW_SYNCED &&
         kr_now () - view->synced_at >= (gint64) (KR_JOB_VIEW_STALE_S * G_USEC_PER_SEC);
}

static gboolean
request_due (gpointer data)
{
  KrJobView *view = data;
  view->timer = 0;
  if (view->content == VIEW_EMPTY || is_outdated (view))
    start_list (view);
  else
    request_changes (view);
  return G_SOURCE_REMOVE;
}

static void
schedule_request (KrJobView *view)
{
  if (view->request_in_progress || view->timer || view->content == VIEW_LISTING ||
      view->queued.length == 0)
    return;
  gint64 wait_us = view->request_started_at + KR_JOB_VIEW_SYNC_MS * 1000 - kr_now ();
  view->timer =
      kr_timer_add ((guint) CLAMP (wait_us / 1000, 1, KR_JOB_VIEW_SYNC_MS), request_due, view);
}

KrJobView *
kr_job_view_new (KrStateClient *state, GCancellable *cancel)
{
  KrJobView *view = g_new0 (KrJobView, 1);
  view->state = state;
  view->cancel = kr_cancellable_new_child (cancel);
  view->list = kr_state_list_new (state, JOB_KEY_PREFIX, view->cancel, page_listed, view);
  view->jobs = new_job_table ();
  view->timeout_ms = KR_USER_READ_DEADLINE_MS;
  g_queue_init (&view->queued);
  g_queue_init (&view->current);
  return view;
}

void
kr_job_view_free (KrJobView *view)
{
  kr_timer_clear (&view->timer);
  kr_timer_clear (&view->deadline_timer);
  g_cancellable_cancel (view->cancel);
  kr_state_list_stop (view->list);
}

/* The caller is served by a request that starts after this call. A request in progress may miss a
 * change that the caller has already been told by another node. */
void
kr_job_view_sync (KrJobView *view, KrJobViewFunc callback, gpointer data)
{
  gint64 now = kr_now ();
  Waiter *waiter = g_new (Waiter, 1);
  *waiter = (Waiter){ callback, data, now + KR_USER_READ_DEADLINE_MS * G_GINT64_CONSTANT (1000) };
  if (now - view->last_sync_at > (gint64) (KR_JOB_VIEW_STALE_S * G_USEC_PER_SEC)) {
    view->unserved_since = 0; /* nobody waited in between */
    if (view->content == VIEW_LISTED)
      view->content = VIEW_EMPTY;
  }
  if (!view->unserved_since)
    view->unserved_since = now;
  view->last_sync_at = now;
  g_queue_push_tail (&view->queued, waiter);
  start_deadline_timer (view);
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
  stats.waiting = view->queued.length + view->current.length;
  stats.pages = kr_state_list_pages_read (view->list);
  stats.age_s = view->synced_at ? (double) (kr_now () - view->synced_at) / G_USEC_PER_SEC : -1;
  return stats;
}
