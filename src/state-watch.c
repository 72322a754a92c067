#include "state-watch.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "state-list.h"

struct KrWatch {
  KrStateClient *state;
  char *prefix;
  GCancellable *parent, *cancel; /* cancel: of the call in flight */
  KrStateList *list;
  json_t *items; /* the pages of the list read so far; NULL: none yet */
  KrWatchListFunc on_list;
  KrWatchEventFunc on_event;
  gpointer data;
  guint64 revision; /* the changes up to this revision are known; valid once listed */
  gboolean listed;  /* the list is complete; its changes are being followed */
  guint timer;      /* until the next call; while a call is in flight: until it counts as lost */
};

/* A call in flight. It may end after the watch has abandoned it. */
typedef struct {
  KrWatch *watch;
  GCancellable *cancel;
} WatchCall;

static void follow (KrWatch *watch);

static gboolean
next_call_due (gpointer data)
{
  KrWatch *watch = data;
  watch->timer = 0;
  follow (watch);
  return G_SOURCE_REMOVE;
}

static void
schedule_next_call (KrWatch *watch, guint ms)
{
  kr_timer_clear (&watch->timer);
  watch->timer = kr_timer_add (ms, next_call_due, watch);
}

/* Cancels the call in flight; its response will be ignored. */
static void
abandon_call (KrWatch *watch)
{
  g_autoptr (GCancellable) cancel = g_steal_pointer (&watch->cancel);
  if (cancel)
    g_cancellable_cancel (cancel);
}

/* Guards against a call whose end is never reported. Each call is scheduled when the previous one
 * ends, so the changes would never be read again. */
static gboolean
call_lost (gpointer data)
{
  KrWatch *watch = data;
  watch->timer = 0;
  kr_info ("state: the end of a watch of %s was never reported, watching again", watch->prefix);
  abandon_call (watch);
  schedule_next_call (watch, KR_STATE_RETRY_MS);
  return G_SOURCE_REMOVE;
}

static void
page_listed (json_t *items, guint64 revision, gboolean last, gpointer data)
{
  KrWatch *watch = data;
  if (!watch->items)
    watch->items = json_array ();
  json_array_extend (watch->items, items);
  if (!last)
    return;
  json_t *all = g_steal_pointer (&watch->items);
  watch->listed = TRUE;
  /* The pages may lack changes that were made after the first one. */
  watch->revision = revision;
  watch->on_list (all, revision, watch->data);
  json_decref (all);
  if (watch->listed && !watch->cancel)
    schedule_next_call (watch, KR_WATCH_INTERVAL_MS);
}

static void
handle_events (KrWatch *watch, json_t *body)
{
  g_autoptr (GArray) events = kr_wire_watch_events (body);
  guint64 revision = kr_wire_revision (body);

  if (revision > watch->revision)
    watch->revision = revision;
  for (guint i = 0; events && i < events->len; i++) {
    watch->on_event (&g_array_index (events, KrKeyValue, i), watch->data);
    if (!watch->listed) /* the callback has called kr_watch_relist() or kr_watch_stop() */
      return;
  }
  schedule_next_call (watch, KR_WATCH_INTERVAL_MS);
}

static void
call_done (guint status, json_t *body, gpointer data)
{
  g_autofree WatchCall *call = data;
  KrWatch *watch = call->watch;
  gboolean current = watch->cancel == call->cancel;

  g_object_unref (call->cancel);
  if (!current || g_cancellable_is_cancelled (watch->parent))
    return;
  g_clear_object (&watch->cancel);
  kr_timer_clear (&watch->timer);
  if (status == 410) {
    kr_info ("state: the watch of %s is too far behind, listing it again", watch->prefix);
    kr_watch_relist (watch);
  } else if (status == 200)
    handle_events (watch, body);
  else
    schedule_next_call (watch, KR_STATE_RETRY_MS);
}

static void
follow (KrWatch *watch)
{
  WatchCall *call = g_new (WatchCall, 1);
  watch->cancel = kr_cancellable_new_child (watch->parent);
  *call = (WatchCall){ watch, g_object_ref (watch->cancel) };
  kr_timer_clear (&watch->timer);
  watch->timer = kr_timer_add (KR_WATCH_HOLD_MS + KR_WATCH_TIMEOUT_SLACK_MS + KR_WATCH_LOST_MS,
                               call_lost, watch);
  kr_state_follow (watch->state, watch->prefix, watch->revision, watch->cancel, call_done, call);
}

KrWatch *
kr_watch_new (KrStateClient *state, const char *prefix, GCancellable *cancel,
              KrWatchListFunc on_list, KrWatchEventFunc on_event, gpointer data)
{
  KrWatch *watch = g_new0 (KrWatch, 1);
  watch->state = state;
  watch->prefix = g_strdup (prefix);
  watch->parent = kr_cancellable_new_child (cancel);
  watch->list = kr_state_list_new (state, prefix, watch->parent, page_listed, watch);
  watch->on_list = on_list;
  watch->on_event = on_event;
  watch->data = data;
  return watch;
}

void
kr_watch_stop (KrWatch *watch)
{
  kr_state_list_stop (watch->list);
  g_clear_pointer (&watch->items, json_decref);
  kr_timer_clear (&watch->timer);
  watch->listed = FALSE;
  abandon_call (watch);
}

void
kr_watch_relist (KrWatch *watch)
{
  kr_watch_stop (watch);
  kr_state_list_start (watch->list);
}

guint64
kr_watch_revision (const KrWatch *watch)
{
  return watch->listed ? watch->revision : 0;
}
