#include "view.h"
#include "clock.h"
#include "constants.h"
#include <string.h>

#define PREFIX "job/"

typedef struct {
  KrViewReply reply;
  gpointer data;
} Waiter;

struct KrView {
  KrState *state;
  GCancellable *cancel;
  KrFollow *scan;
  GHashTable *jobs; /* id -> KrViewJob */
  guint64 revision; /* all changes up to it are in; 0: not read yet */
  gint64 synced;    /* monotonic us: what was changed before then is in */
  gint64 began;     /* the same of the request under way */
  gboolean busy;
  GArray *waiting; /* Waiter: for the next request */
  GArray *served;  /* Waiter: for the one under way */
  guint timer;
};

static void go_on (KrView *v);

gboolean
kr_view_job_parse (KrViewJob *j, const KrItem *item)
{
  *j = (KrViewJob){ .revision = item->revision };
  if (!kr_job_peek (item->value, &j->state, &j->done, &j->running))
    return FALSE;
  j->cancelled = kr_job_peek_cancelled (item->value, &j->part, &j->owner);
  return TRUE;
}

static void
take (KrView *v, const KrItem *item)
{
  const char *id = item->key + strlen (PREFIX);
  KrViewJob j;
  if (!item->value || !kr_view_job_parse (&j, item)) {
    g_hash_table_remove (v->jobs, id);
    return;
  }
  g_hash_table_replace (v->jobs, g_strdup (id), g_memdup2 (&j, sizeof j));
}

static void
finish (KrView *v, gboolean known)
{
  g_autoptr (GArray) served = v->served;
  v->served = g_array_new (FALSE, FALSE, sizeof (Waiter));
  v->busy = FALSE;
  kr_timer_clear (&v->timer);
  if (known)
    v->synced = v->began;
  for (guint i = 0; i < served->len; i++) {
    const Waiter *w = &g_array_index (served, Waiter, i);
    w->reply (known, w->data);
  }
  go_on (v);
}

static void
scanned (json_t *items, guint64 revision, gpointer data)
{
  KrView *v = data;
  json_t *o;
  size_t i;

  kr_follow_stop (v->scan);
  g_hash_table_remove_all (v->jobs);
  json_array_foreach (items, i, o)
  {
    KrItem item;
    if (kr_wire_item_parse (o, &item))
      take (v, &item);
  }
  v->revision = revision;
  finish (v, TRUE);
}

static void
never (const KrItem *item, gpointer data)
{
  /* The scan is stopped before it follows. */
}

static void
changed (guint status, json_t *body, gpointer data)
{
  KrView *v = data;
  json_t *o;
  size_t i;

  if (status == 410)
    v->revision = 0;
  if (status != 200) {
    finish (v, FALSE);
    return;
  }
  json_array_foreach (kr_wire_events (body), i, o)
  {
    KrItem item;
    if (kr_wire_event_parse (o, &item))
      take (v, &item);
  }
  v->revision = MAX (v->revision, kr_wire_revision (body));
  finish (v, TRUE);
}

static gboolean
scan_late (gpointer data)
{
  KrView *v = data;
  v->timer = 0;
  kr_follow_stop (v->scan);
  finish (v, FALSE);
  return G_SOURCE_REMOVE;
}

static gboolean
start (gpointer data)
{
  KrView *v = data;
  GArray *served = v->served;
  gint64 now = kr_now ();

  v->timer = 0;
  v->busy = TRUE;
  v->served = v->waiting;
  v->waiting = served;
  v->began = now;
  /* After a pause the live jobs are fewer than the changes. */
  if (v->revision && now - v->synced < (gint64) (KR_VIEW_STALE_S * G_USEC_PER_SEC))
    kr_state_changes (v->state, PREFIX, v->revision, KR_USER_READ_MS, v->cancel, changed, v);
  else {
    v->timer = kr_timer_add (KR_USER_READ_MS, scan_late, v);
    kr_follow_rescan (v->scan);
  }
  return G_SOURCE_REMOVE;
}

static void
go_on (KrView *v)
{
  if (v->busy || v->timer || v->waiting->len == 0)
    return;
  gint64 wait = v->began + KR_VIEW_SYNC_MS * 1000 - kr_now ();
  v->timer = kr_timer_add ((guint) CLAMP (wait / 1000, 1, KR_VIEW_SYNC_MS), start, v);
}

KrView *
kr_view_new (KrState *state, GCancellable *cancel)
{
  KrView *v = g_new0 (KrView, 1);
  v->state = state;
  v->cancel = kr_cancellable_child (cancel);
  v->scan = kr_follow_new (state, PREFIX, v->cancel, scanned, never, v);
  v->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  v->waiting = g_array_new (FALSE, FALSE, sizeof (Waiter));
  v->served = g_array_new (FALSE, FALSE, sizeof (Waiter));
  return v;
}

void
kr_view_free (KrView *v)
{
  kr_timer_clear (&v->timer);
  g_cancellable_cancel (v->cancel);
  kr_follow_stop (v->scan);
}

/* Joins only a request that begins after this call: one under way may have been answered before
 * what the asker has been told elsewhere. */
void
kr_view_sync (KrView *v, KrViewReply reply, gpointer data)
{
  const Waiter w = { reply, data };
  g_array_append_val (v->waiting, w);
  go_on (v);
}

const KrViewJob *
kr_view_find (KrView *v, const char *job)
{
  return g_hash_table_lookup (v->jobs, job);
}
